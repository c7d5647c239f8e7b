#include "waxwingloft/version/settingstree.h"

namespace waxwingloft {

namespace {

constexpr std::string_view TeamsPrefix = "/teams/";

using ChangePlanner = Result<SettingsDelta> (*)(const SettingsTree &, const SettingsChange &, const TeamId &);

SettingsDelta makeNextDelta(const SettingsTree &tree)
{
    return SettingsDelta{tree.version, tree.version + 1, {}};
}

void addSubtree(SettingsDelta &delta, const TeamId &team, nlohmann::json value, const std::string &changedBy)
{
    delta.teams.push_back(TeamSubtree{team, delta.version, std::move(value), changedBy});
}

nlohmann::json currentValue(const SettingsTree &tree, const TeamId &team)
{
    const auto found = tree.teams.find(team);
    return found == tree.teams.end() ? nlohmann::json() : found->second.value;
}

/** Returns the part of @p path below its team, as a JSON pointer. */
std::string pointerBelowTeam(const std::string &path, const TeamId &team)
{
    return path.substr(TeamsPrefix.size() + team.value.size());
}

Result<SettingsDelta> planSet(const SettingsTree &tree, const SettingsChange &change, const TeamId &team)
{
    auto subtree = currentValue(tree, team);
    const auto pointer = pointerBelowTeam(change.path, team);
    if (subtree.is_null()) {
        subtree = nlohmann::json::object();
    }
    try {
        subtree[nlohmann::json::json_pointer(pointer)] = change.value;
    } catch (const nlohmann::json::exception &) {
        return makeError(ErrorKind::InvalidInput, "the path " + change.path + " passes through a value that is not an object", "set the parent object first");
    }
    auto delta = makeNextDelta(tree);
    addSubtree(delta, team, std::move(subtree), change.changedBy);
    return delta;
}

Result<SettingsDelta> planRemove(const SettingsTree &tree, const SettingsChange &change, const TeamId &team)
{
    auto subtree = currentValue(tree, team);
    const auto pointer = pointerBelowTeam(change.path, team);
    if (subtree.is_null()) {
        return makeError(ErrorKind::NotFound, "team \"" + team.value + "\" does not exist", "list the teams with: settings get /teams");
    }
    auto delta = makeNextDelta(tree);
    if (pointer.empty()) {
        addSubtree(delta, team, nullptr, change.changedBy);
        return delta;
    }
    const nlohmann::json::json_pointer where(pointer);
    if (!subtree.contains(where) || !subtree[where.parent_pointer()].is_object()) {
        return makeError(ErrorKind::NotFound, "there is nothing at " + change.path, "list what is there with: settings get /teams/" + team.value);
    }
    subtree[where.parent_pointer()].erase(where.back());
    addSubtree(delta, team, std::move(subtree), change.changedBy);
    return delta;
}

Result<SettingsDelta> planMove(const SettingsTree &tree, const SettingsChange &change, const TeamId &team)
{
    auto subtree = currentValue(tree, team);
    if (subtree.is_null()) {
        return makeError(ErrorKind::NotFound, "team \"" + team.value + "\" does not exist", "list the teams with: settings get /teams");
    }
    if (!pointerBelowTeam(change.path, team).empty() || !change.value.is_string()) {
        return makeError(ErrorKind::InvalidInput, "only a whole team can be moved", "give the path /teams/OLD and the new name of the team as the value");
    }
    const TeamId target{change.value.get<std::string>()};
    if (!currentValue(tree, target).is_null()) {
        return makeError(ErrorKind::Conflict, "team \"" + target.value + "\" already exists", "choose another name or remove that team first");
    }
    auto delta = makeNextDelta(tree);
    addSubtree(delta, team, nullptr, change.changedBy);
    addSubtree(delta, target, std::move(subtree), change.changedBy);
    return delta;
}

constexpr std::array<ChangePlanner, NameTable<SettingsAction>::names.size()> ChangePlanners = {&planSet, &planRemove, &planMove};

} // namespace

SettingsDelta SettingsTree::changesSince(SettingsVersion since) const
{
    SettingsDelta delta{since, this->version, {}};
    for (const auto &[team, subtree] : this->teams) {
        if (subtree.version > since) {
            delta.teams.push_back(subtree);
        }
    }
    return delta;
}

bool SettingsTree::apply(const SettingsDelta &delta)
{
    if (delta.version <= this->version || delta.since > this->version) {
        return false;
    }
    for (const auto &subtree : delta.teams) {
        auto &known = this->teams[subtree.team];
        if (subtree.version > known.version) {
            known = subtree;
        }
    }
    this->version = delta.version;
    return true;
}

Result<nlohmann::json> SettingsTree::valueAt(const std::string &path) const
{
    auto whole = nlohmann::json::object();
    whole["teams"] = nlohmann::json::object();
    for (const auto &[team, subtree] : this->teams) {
        if (!subtree.value.is_null()) {
            whole["teams"][team.value] = subtree.value;
        }
    }
    if (path.empty() || path == "/") {
        return whole;
    }
    try {
        return whole.at(nlohmann::json::json_pointer(path));
    } catch (const nlohmann::json::exception &) {
        return makeError(ErrorKind::NotFound, "there is nothing at " + path, "list the teams with: settings get /teams");
    }
}

Result<TeamId> teamOfPath(const std::string &path)
{
    const auto remedy = "give a path such as /teams/NAME/kinds/KIND";
    if (!path.starts_with(TeamsPrefix)) {
        return makeError(ErrorKind::InvalidInput, "the path \"" + path + "\" is not inside /teams", remedy);
    }
    const auto rest = path.substr(TeamsPrefix.size());
    const auto name = rest.substr(0, rest.find('/'));
    if (name.empty() || path.back() == '/' || path.find('~') != std::string::npos) {
        return makeError(ErrorKind::InvalidInput, "the path \"" + path + "\" names no team", remedy);
    }
    return TeamId{name};
}

Result<SettingsDelta> planChange(const SettingsTree &tree, const SettingsChange &change)
{
    const auto team = teamOfPath(change.path);
    if (!succeeded(team)) {
        return errorOf(team);
    }
    const auto current = tree.teams.find(valueOf(team));
    const auto currentVersion = current == tree.teams.end() ? 0 : current->second.version;
    if (change.expectedTeamVersion != 0 && change.expectedTeamVersion != currentVersion) {
        return makeError(ErrorKind::Conflict,
                         "team \"" + valueOf(team).value + "\" was changed to version " + std::to_string(currentVersion) + " by "
                             + (current == tree.teams.end() ? "nobody" : current->second.changedBy) + " after the version "
                             + std::to_string(change.expectedTeamVersion) + " that this change builds on");
    }
    return ChangePlanners.at(static_cast<std::size_t>(change.action))(tree, change, valueOf(team));
}

nlohmann::json hideTokens(nlohmann::json value)
{
    if (!value.is_structured()) {
        return value;
    }
    for (auto &[key, item] : value.items()) {
        if (value.is_object() && key == "tokens") {
            item = "(hidden)";
        } else {
            item = hideTokens(item);
        }
    }
    return value;
}

} // namespace waxwingloft
