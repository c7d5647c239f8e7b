#include "waxwingloft/version/settingsparser.h"

#include <algorithm>

namespace waxwingloft {

namespace {

constexpr std::int64_t MaxMillis = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t MaxBodyBytes = 64LL << 20;
constexpr std::size_t MinTokenLength = 8;
constexpr std::size_t MaxNameLength = 64;

bool isName(const std::string &name)
{
    const auto isAllowed = [](char letter) { return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-' || letter == '_'; };
    return !name.empty() && name.size() <= MaxNameLength && std::all_of(name.begin(), name.end(), isAllowed);
}

/** Parses the teams of a settings tree into a ParsedSettings. */
class TreeParser
{
public:
    explicit TreeParser(ParsedSettings &parsed)
        : parsed(parsed)
    {
    }

    void parseTeam(const std::string &name, const nlohmann::json &object, SettingsVersion version)
    {
        const auto path = "/teams/" + name;
        this->checkName(name, path);
        Team team{TeamId{name}, version, {}};
        FieldReader fields(object, path, this->parsed.mistakes);
        this->forEachChild(fields, "kinds", path, [this, &team](const std::string &id, const std::string &at, const nlohmann::json &value) {
            team.kinds.emplace(KindId{id}, this->parseKind(id, value, at));
        });
        this->forEachChild(fields, "workspaces", path, [this, &team](const std::string &id, const std::string &at, const nlohmann::json &value) {
            this->addWorkspace(this->parseWorkspace(id, value, at, team.id), at);
        });
        fields.text("note", "");
        fields.finish();
        this->parsed.settings.teams.emplace(team.id, std::move(team));
    }

private:
    template<typename Use>
    void forEachChild(FieldReader &fields, const std::string &key, const std::string &path, Use use)
    {
        const auto *const children = fields.child(key);
        if (children == nullptr) {
            return;
        }
        if (!children->is_object()) {
            fields.fail(key, "expected a JSON object whose values are objects");
            return;
        }
        for (const auto &[id, value] : children->items()) {
            const auto at = path + "/" + key + "/" + id;
            this->checkName(id, at);
            use(id, at, value);
        }
    }

    KindOfWork parseKind(const std::string &id, const nlohmann::json &object, const std::string &path)
    {
        FieldReader fields(object, path, this->parsed.mistakes);
        KindOfWork kind;
        kind.id = KindId{id};
        kind.form = fields.name("form", kind.form);
        kind.urgency = fields.name("urgency", kind.urgency);
        kind.worth = fields.number("worth", kind.worth, 0.01, 1000.0);
        kind.idempotent = fields.flag("idempotent", kind.idempotent);
        kind.checkpointable = fields.flag("checkpointable", kind.checkpointable);
        kind.deadline = Millis(fields.integer("deadline_ms", kind.deadline.count(), 1, MaxMillis));
        kind.maxBodyBytes = static_cast<std::size_t>(fields.integer("max_body_bytes", static_cast<std::int64_t>(kind.maxBodyBytes), 0, MaxBodyBytes));
        fields.finish();
        return kind;
    }

    Workspace parseWorkspace(const std::string &id, const nlohmann::json &object, const std::string &path, const TeamId &team)
    {
        FieldReader fields(object, path, this->parsed.mistakes);
        Workspace workspace;
        workspace.id = WorkspaceId{id};
        workspace.team = team;
        workspace.weight = fields.number("weight", workspace.weight, 0.01, 1000.0);
        workspace.reclaimGrace = Millis(fields.integer("reclaim_grace_ms", workspace.reclaimGrace.count(), 0, MaxMillis));
        workspace.limits.maxQueued = static_cast<std::uint32_t>(fields.integer("max_queued", workspace.limits.maxQueued, 1, 1'000'000));
        workspace.limits.maxQueuedPerCaller =
            static_cast<std::uint32_t>(fields.integer("max_queued_per_caller", workspace.limits.maxQueuedPerCaller, 1, 100'000));
        workspace.limits.requestsPerSecondPerCaller =
            fields.number("requests_per_second_per_caller", workspace.limits.requestsPerSecondPerCaller, 0.01, 1'000'000.0);
        workspace.tokens = fields.stringList("tokens");
        this->parseGuarantees(fields, path, workspace);
        fields.finish();
        return workspace;
    }

    void parseGuarantees(FieldReader &fields, const std::string &path, Workspace &workspace)
    {
        const auto *const list = fields.child("guarantees");
        if (list == nullptr) {
            return;
        }
        if (!list->is_array()) {
            fields.fail("guarantees", "expected an array of JSON objects");
            return;
        }
        for (std::size_t index = 0; index < list->size(); ++index) {
            FieldReader guarantee((*list)[index], path + "/guarantees/" + std::to_string(index), this->parsed.mistakes);
            const auto count = static_cast<std::uint32_t>(guarantee.integer("count", 1, 1, 100'000));
            const auto shape = readShape(guarantee);
            const auto region = guarantee.text("region", "");
            guarantee.finish();
            workspace.guarantees.push_back(Guarantee{count, shape, region});
        }
    }

    void addWorkspace(Workspace workspace, const std::string &path)
    {
        auto &settings = this->parsed.settings;
        if (settings.workspaces.contains(workspace.id)) {
            this->fail(path,
                       "a workspace with this name already exists in team \"" + settings.workspaces[workspace.id].team.value
                           + "\"; workspace names must be unique across all teams");
            return;
        }
        for (const auto &token : workspace.tokens) {
            if (token.size() < MinTokenLength) {
                this->fail(path + "/tokens", "a token is shorter than " + std::to_string(MinTokenLength) + " characters");
            } else if (!settings.workspaceByToken.emplace(token, workspace.id).second) {
                this->fail(path + "/tokens", "a token is used more than once; every token must belong to one workspace");
            }
        }
        settings.workspaces.emplace(workspace.id, std::move(workspace));
    }

    void checkName(const std::string &name, const std::string &path)
    {
        if (!isName(name)) {
            this->fail(path, "invalid name; use 1 to 64 lower-case letters, digits, '-' or '_'");
        }
    }

    void fail(const std::string &path, std::string message)
    {
        this->parsed.mistakes.push_back({DiagnosticSeverity::Fatal, path, std::move(message)});
    }

    ParsedSettings &parsed;
};

} // namespace

bool ParsedSettings::isUsable() const
{
    const auto isWarning = [](const Mistake &mistake) { return mistake.severity == DiagnosticSeverity::Warning; };
    return std::all_of(this->mistakes.begin(), this->mistakes.end(), isWarning);
}

ParsedSettings parseSettings(const SettingsTree &tree)
{
    ParsedSettings parsed;
    parsed.settings.version = tree.version;
    TreeParser parser(parsed);
    for (const auto &[team, subtree] : tree.teams) {
        if (!subtree.value.is_null()) {
            parser.parseTeam(team.value, subtree.value, subtree.version);
        }
    }
    return parsed;
}

Shape readShape(FieldReader &fields)
{
    Shape shape;
    shape.tasks = static_cast<std::uint32_t>(fields.integer("tasks", 1, 1, MaxGangTasks));
    shape.perTask.processors = fields.integer("processors", 0, 0, MaxTaskAmount);
    shape.perTask.memoryGb = fields.integer("memory_gb", 0, 0, MaxTaskAmount);
    shape.perTask.accelerators = fields.integer("accelerators", 0, 0, MaxTaskAmount);
    shape.adjacency = fields.name("adjacency", shape.adjacency);
    const auto checked = checkShape(shape);
    if (!succeeded(checked)) {
        fields.fail("", errorOf(checked).message + "; " + errorOf(checked).remedy);
    }
    return shape;
}

Shape parseShape(const nlohmann::json &object, const std::string &path, std::vector<Mistake> &mistakes)
{
    FieldReader fields(object, path, mistakes);
    const auto shape = readShape(fields);
    fields.finish();
    return shape;
}

} // namespace waxwingloft
