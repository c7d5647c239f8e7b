#include "waxwingloft/version/settingsstore.h"

#include "waxwingloft/version/settingsparser.h"

namespace waxwingloft {

namespace {

constexpr int MaxCommitAttempts = 5;
const std::string Prefix = "settings/";
const std::string HeadKey = "settings/head";
const std::string TeamPrefix = "settings/team/";

std::string encodeSubtree(const TeamSubtree &subtree)
{
    return nlohmann::json{{"version", subtree.version}, {"value", subtree.value}, {"changed_by", subtree.changedBy}}.dump();
}

std::string firstFatalMistake(const std::vector<Mistake> &mistakes)
{
    for (const auto &mistake : mistakes) {
        if (mistake.severity == DiagnosticSeverity::Fatal) {
            return mistake.path + ": " + mistake.message;
        }
    }
    return {};
}

} // namespace

SettingsStore::SettingsStore(TableStore &table, IdSource &ids)
    : table(table)
    , ids(ids)
{
}

Result<SettingsDelta> SettingsStore::load()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->loadLocked();
}

SettingsDelta SettingsStore::deltaSince(SettingsVersion since)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->tree.changesSince(since);
}

Result<SettingsDelta> SettingsStore::commit(const SettingsChange &change, const SettingsCheck &check)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    for (int attempt = 0; attempt < MaxCommitAttempts; ++attempt) {
        const auto loaded = this->loadLocked();
        if (!succeeded(loaded)) {
            return loaded;
        }
        const auto planned = planChange(this->tree, change);
        if (!succeeded(planned)) {
            return planned;
        }
        auto next = this->tree;
        next.apply(valueOf(planned));
        const auto parsed = parseSettings(next);
        if (!parsed.isUsable()) {
            return makeError(ErrorKind::InvalidInput, firstFatalMistake(parsed.mistakes));
        }
        const auto checked = check(next);
        if (!succeeded(checked)) {
            return errorOf(checked);
        }
        auto written = this->writeLocked(valueOf(planned));
        if (succeeded(written) || errorOf(written).kind != ErrorKind::Conflict) {
            return written;
        }
    }
    return makeError(ErrorKind::Conflict, "every attempt was preceded by another change of the settings", "retry in a moment");
}

Result<SettingsDelta> SettingsStore::loadLocked()
{
    const auto listed = this->table.list(Prefix, this->loadedRevision);
    if (!succeeded(listed)) {
        return errorOf(listed);
    }
    SettingsDelta delta{this->tree.version, this->tree.version, {}};
    for (const auto &row : valueOf(listed).rows) {
        const auto json = nlohmann::json::parse(row.value, nullptr, false);
        if (!json.is_object()) {
            return makeError(ErrorKind::Internal, "row " + row.key + " of the table is not a JSON object");
        }
        if (row.key == HeadKey) {
            delta.version = json.value("version", SettingsVersion(0));
            this->headRevision = row.revision;
        } else if (row.key.starts_with(TeamPrefix)) {
            const TeamId team{row.key.substr(TeamPrefix.size())};
            delta.teams.push_back({team, json.value("version", SettingsVersion(0)), json.value("value", nlohmann::json()), json.value("changed_by", "")});
            this->rowRevisions[team] = row.revision;
        }
    }
    this->loadedRevision = valueOf(listed).revision;
    this->tree.apply(delta);
    return delta;
}

Result<SettingsDelta> SettingsStore::writeLocked(const SettingsDelta &delta)
{
    Transaction transaction{this->ids.next(), {{HeadKey, this->headRevision}}, {{HeadKey, nlohmann::json{{"version", delta.version}}.dump()}}};
    for (const auto &subtree : delta.teams) {
        const auto key = TeamPrefix + subtree.team.value;
        transaction.conditions.push_back({key, this->rowRevisions[subtree.team]});
        transaction.writes.push_back({key, encodeSubtree(subtree)});
    }
    const auto committed = this->table.commit(transaction);
    if (!succeeded(committed)) {
        return errorOf(committed);
    }
    this->tree.apply(delta);
    this->headRevision = valueOf(committed).revision;
    for (const auto &subtree : delta.teams) {
        this->rowRevisions[subtree.team] = valueOf(committed).revision;
    }
    return delta;
}

} // namespace waxwingloft
