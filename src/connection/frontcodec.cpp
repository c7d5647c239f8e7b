#include "frontcodec.h"

#include "waxwingloft/version/settingsparser.h"

#include <array>

namespace waxwingloft {

namespace {

constexpr std::int64_t LongestMillis = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t MostSlots = 100'000;

constexpr std::array<int, NameTable<ErrorKind>::names.size()> Statuses = {
    400, // InvalidInput
    401, // Unauthenticated
    403, // Forbidden
    404, // NotFound
    409, // Conflict
    413, // TooLarge
    429, // LimitExceeded
    503, // NoCapacity
    504, // DeadlineExceeded
    503, // Stale
    503, // Draining
    502, // Unreachable
    503, // PlatformDown
    500, // Ambiguous
    500, // Damaged
    500, // Internal
    413, // Rejected
};

Result<nlohmann::json> parseObject(const std::string &body)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return makeError(ErrorKind::InvalidInput, "the body is not a JSON object", "send a JSON object as the API page shows");
    }
    return json;
}

/** Returns all mistakes as one error; unknown fields count, since nothing in a request is from a newer version. */
std::optional<Error> errorOfMistakes(const std::vector<Mistake> &mistakes)
{
    if (mistakes.empty()) {
        return std::nullopt;
    }
    std::string text;
    for (const auto &mistake : mistakes) {
        text += (text.empty() ? "" : "; ") + mistake.path + ": " + mistake.message;
    }
    return makeError(ErrorKind::InvalidInput, text);
}

nlohmann::json toJson(const Shape &shape)
{
    return {{"tasks", shape.tasks},
            {"processors", shape.perTask.processors},
            {"memory_gb", shape.perTask.memoryGb},
            {"accelerators", shape.perTask.accelerators},
            {"adjacency", nameOf(shape.adjacency)}};
}

} // namespace

int statusOf(ErrorKind kind)
{
    return Statuses.at(static_cast<std::size_t>(kind));
}

std::string encodeError(Outcome outcome, const Error &error)
{
    return nlohmann::json{{"outcome", nameOf(outcome)}, {"error", {{"kind", nameOf(error.kind)}, {"message", error.message}, {"remedy", error.remedy}}}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<JobRequest> parseJobQuestion(const std::string &body)
{
    const auto json = parseObject(body);
    if (!succeeded(json)) {
        return errorOf(json);
    }
    std::vector<Mistake> mistakes;
    FieldReader fields(valueOf(json), "", mistakes);
    JobRequest question;
    question.kind.value = fields.text("kind", "");
    question.shape = readShape(fields);
    question.declaredRunTime = Millis(fields.integer("run_ms", 0, 0, LongestMillis));
    question.region = fields.text("region", "");
    question.payload = fields.text("payload", "");
    fields.finish();
    if (question.kind.isEmpty()) {
        fields.fail("kind", "name the kind of work");
    }
    auto error = errorOfMistakes(mistakes);
    return error ? Result<JobRequest>(std::move(*error)) : Result<JobRequest>(std::move(question));
}

Result<Announcement> parseAnnouncement(const std::string &body)
{
    const auto json = parseObject(body);
    if (!succeeded(json)) {
        return errorOf(json);
    }
    std::vector<Mistake> mistakes;
    FieldReader fields(valueOf(json), "", mistakes);
    Announcement announcement;
    announcement.role = fields.name("role", announcement.role);
    announcement.address = fields.text("address", "");
    for (const auto &kind : fields.stringList("kinds")) {
        announcement.kinds.push_back(KindId{kind});
    }
    announcement.slots = static_cast<std::uint32_t>(fields.integer("slots", 0, 0, MostSlots));
    announcement.resources.processors = fields.integer("processors", 0, 0, MaxTaskAmount);
    announcement.resources.memoryGb = fields.integer("memory_gb", 0, 0, MaxTaskAmount);
    announcement.resources.accelerators = fields.integer("accelerators", 0, 0, MaxTaskAmount);
    announcement.isLeaving = fields.flag("leaving", false);
    fields.finish();
    if (announcement.address.empty()) {
        fields.fail("address", "give the base URL on loopback");
    }
    auto error = errorOfMistakes(mistakes);
    return error ? Result<Announcement>(std::move(*error)) : Result<Announcement>(std::move(announcement));
}

Result<SettingsChange> parseSettingsChange(const std::string &body)
{
    const auto json = parseObject(body);
    if (!succeeded(json)) {
        return errorOf(json);
    }
    std::vector<Mistake> mistakes;
    FieldReader fields(valueOf(json), "", mistakes);
    SettingsChange change;
    change.action = fields.name("action", change.action);
    change.path = fields.text("path", "");
    const auto *const value = fields.child("value");
    change.value = value == nullptr ? nlohmann::json() : *value;
    change.expectedTeamVersion = static_cast<SettingsVersion>(fields.integer("expected_version", 0, 0, INT64_MAX));
    change.changedBy = fields.text("changed_by", "an operator");
    fields.finish();
    auto error = errorOfMistakes(mistakes);
    return error ? Result<SettingsChange>(std::move(*error)) : Result<SettingsChange>(std::move(change));
}

nlohmann::json toJson(const JobView &job)
{
    auto workers = nlohmann::json::array();
    for (const auto &node : job.workers) {
        workers.push_back(node.value);
    }
    return {{"id", job.id.value},
            {"kind", job.kind.value},
            {"state", job.state},
            {"outcome", job.outcome ? nlohmann::json(nameOf(*job.outcome)) : nlohmann::json()},
            {"detail", job.detail},
            {"shape", toJson(job.shape)},
            {"region", job.region},
            {"workers", workers}};
}

nlohmann::json toJson(const StatusView &status)
{
    auto members = nlohmann::json::array();
    for (const auto &view : status.members) {
        members.push_back({{"node", view.member.node.value},
                           {"role", nameOf(view.member.role)},
                           {"state", nameOf(view.member.state)},
                           {"region", view.member.location.region},
                           {"data_centre", view.member.location.dataCentre},
                           {"rack", view.member.location.rack},
                           {"slots", view.member.slots},
                           {"in_use", view.inUse},
                           {"accelerators", view.member.resources.accelerators}});
    }
    auto guarantees = nlohmann::json::array();
    for (const auto &guarantee : status.guarantees) {
        guarantees.push_back({{"workspace", guarantee.workspace.value}, {"shape", guarantee.shape}, {"state", guarantee.state}});
    }
    return {{"node", status.node.value},
            {"settings_version", status.settingsVersion},
            {"members", members},
            {"guarantees", guarantees},
            {"degraded", status.degraded},
            {"queued_requests", status.queuedRequests},
            {"waiting_jobs", status.waitingJobs},
            {"running_jobs", status.runningJobs},
            {"placer", status.placer}};
}

nlohmann::json toJson(const Event &event)
{
    return {{"millis", event.time.millis},
            {"counter", event.time.counter},
            {"node", event.node},
            {"kind", nameOf(event.kind)},
            {"subject", event.subject},
            {"workspace", event.workspace},
            {"detail", event.detail}};
}

} // namespace waxwingloft
