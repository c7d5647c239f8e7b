#include "waxwingloft/request/jobstore.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace waxwingloft {

namespace {

constexpr std::size_t MaxFailures = 8; ///< failed attempts after which an idempotent job ends
const std::string Prefix = "job/";

std::string keyOf(const JobId &id)
{
    return Prefix + id.value;
}

template<typename Enum>
Enum enumField(const nlohmann::json &json, const char *key, Enum fallback)
{
    return fromName<Enum>(json.value(key, "")).value_or(fallback);
}

nlohmann::json membersToJson(const std::vector<GangMember> &members)
{
    auto list = nlohmann::json::array();
    for (const auto &member : members) {
        list.push_back({{"node", member.node.value}, {"address", member.address}, {"incarnation", member.incarnation}, {"tasks", member.tasks}});
    }
    return list;
}

std::vector<GangMember> membersFromJson(const nlohmann::json &list)
{
    std::vector<GangMember> members;
    for (const auto &item : list) {
        members.push_back({NodeId{item.value("node", "")}, item.value("address", ""), item.value("incarnation", Incarnation(0)), item.value("tasks", 0U)});
    }
    return members;
}

KindOfWork kindFromJson(const nlohmann::json &json)
{
    KindOfWork kind;
    kind.id.value = json.value("kind", "");
    kind.form = WorkForm::Gang;
    kind.urgency = enumField(json, "urgency", Urgency::Normal);
    kind.worth = json.value("worth", 1.0);
    kind.idempotent = json.value("idempotent", false);
    kind.checkpointable = json.value("checkpointable", false);
    return kind;
}

Shape shapeFromJson(const nlohmann::json &json)
{
    Shape shape;
    shape.tasks = json.value("tasks", 1U);
    shape.perTask = {json.value("processors", std::int64_t(0)), json.value("memory_gb", std::int64_t(0)), json.value("accelerators", std::int64_t(0))};
    shape.adjacency = enumField(json, "adjacency", Adjacency::Region);
    return shape;
}

JobRecord recordFromJson(const nlohmann::json &json)
{
    JobRecord record;
    record.id.value = json.value("id", "");
    record.workspace.value = json.value("workspace", "");
    record.team.value = json.value("team", "");
    record.kind = kindFromJson(json);
    record.shape = shapeFromJson(json);
    record.declaredRunTime = Millis(json.value("declared_run_ms", std::int64_t(0)));
    record.region = json.value("region", "");
    record.payload = json.value("payload", "");
    record.submittedAtWallMillis = json.value("submitted_at_ms", std::int64_t(0));
    record.endedAtWallMillis = json.value("ended_at_ms", std::int64_t(0));
    record.state = enumField(json, "state", JobState::Queued);
    record.outcome = enumField(json, "outcome", Outcome::Unknown);
    record.detail = json.value("detail", "");
    record.attempt.value = json.value("attempt", "");
    record.epoch = json.value("epoch", Epoch(0));
    record.preemptionClass = enumField(json, "holding_class", PreemptionClass::Preemptible);
    record.members = membersFromJson(json.value("members", nlohmann::json::array()));
    record.checkpoint = json.value("checkpoint", "");
    record.earlierCheckpoint = json.value("earlier_checkpoint", "");
    for (const auto &node : json.value("failed_on", std::vector<std::string>())) {
        record.failedOn.push_back(NodeId{node});
    }
    record.cancelRequested = json.value("cancel_requested", false);
    record.hasStarted = json.value("has_started", false);
    return record;
}

void requeue(JobRecord &record, std::string detail)
{
    record.state = JobState::Queued;
    record.outcome = Outcome::NotRun;
    record.detail = std::move(detail);
    record.attempt = AttemptId{};
    record.members.clear();
}

std::string joinNodes(const std::vector<NodeId> &nodes)
{
    std::string text;
    for (const auto &node : nodes) {
        text += (text.empty() ? "" : ", ") + node.value;
    }
    return text;
}

} // namespace

std::string encodeJob(const JobRecord &record)
{
    auto failedOn = nlohmann::json::array();
    for (const auto &node : record.failedOn) {
        failedOn.push_back(node.value);
    }
    return nlohmann::json{{"id", record.id.value},
                          {"workspace", record.workspace.value},
                          {"team", record.team.value},
                          {"kind", record.kind.id.value},
                          {"urgency", nameOf(record.kind.urgency)},
                          {"worth", record.kind.worth},
                          {"idempotent", record.kind.idempotent},
                          {"checkpointable", record.kind.checkpointable},
                          {"tasks", record.shape.tasks},
                          {"processors", record.shape.perTask.processors},
                          {"memory_gb", record.shape.perTask.memoryGb},
                          {"accelerators", record.shape.perTask.accelerators},
                          {"adjacency", nameOf(record.shape.adjacency)},
                          {"declared_run_ms", record.declaredRunTime.count()},
                          {"region", record.region},
                          {"payload", record.payload},
                          {"submitted_at_ms", record.submittedAtWallMillis},
                          {"ended_at_ms", record.endedAtWallMillis},
                          {"state", nameOf(record.state)},
                          {"outcome", nameOf(record.outcome)},
                          {"detail", record.detail},
                          {"attempt", record.attempt.value},
                          {"epoch", record.epoch},
                          {"holding_class", nameOf(record.preemptionClass)},
                          {"members", membersToJson(record.members)},
                          {"checkpoint", record.checkpoint},
                          {"earlier_checkpoint", record.earlierCheckpoint},
                          {"failed_on", failedOn},
                          {"cancel_requested", record.cancelRequested},
                          {"has_started", record.hasStarted}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<JobRecord> parseJob(const Row &row)
{
    try {
        auto record = recordFromJson(nlohmann::json::parse(row.value));
        record.revision = row.revision;
        return record;
    } catch (const nlohmann::json::exception &) {
        return makeError(ErrorKind::Internal, "table row \"" + row.key + "\" does not hold a valid job");
    }
}

JobStore::JobStore(TableStore &table, IdSource &ids)
    : table(table)
    , ids(ids)
{
}

Result<std::uint64_t> JobStore::create(const JobRecord &record)
{
    return this->write(record, 0);
}

Result<std::uint64_t> JobStore::update(const JobRecord &record)
{
    return this->write(record, record.revision);
}

Result<std::optional<JobRecord>> JobStore::find(const JobId &id)
{
    const auto row = this->table.get(keyOf(id));
    if (!succeeded(row)) {
        return errorOf(row);
    }
    if (!valueOf(row)) {
        return std::optional<JobRecord>();
    }
    auto record = parseJob(*valueOf(row));
    return succeeded(record) ? Result<std::optional<JobRecord>>(std::move(valueOf(record))) : errorOf(record);
}

Result<std::vector<JobRecord>> JobStore::listOf(const WorkspaceId &workspace)
{
    std::uint64_t since = 0;
    auto all = this->changes(since);
    if (succeeded(all)) {
        std::erase_if(valueOf(all), [&workspace](const JobRecord &record) { return record.workspace != workspace; });
    }
    return all;
}

Result<std::vector<JobRecord>> JobStore::changes(std::uint64_t &since)
{
    const auto listed = this->table.list(Prefix, since);
    if (!succeeded(listed)) {
        return errorOf(listed);
    }
    std::vector<JobRecord> records;
    for (const auto &row : valueOf(listed).rows) {
        auto record = parseJob(row);
        if (succeeded(record)) {
            records.push_back(std::move(valueOf(record)));
        }
    }
    since = valueOf(listed).revision;
    return records;
}

Status JobStore::requestCancel(const JobId &id)
{
    const auto found = this->find(id);
    if (!succeeded(found)) {
        return errorOf(found);
    }
    if (!valueOf(found)) {
        return makeError(ErrorKind::NotFound, "job " + id.value + " does not exist");
    }
    auto record = *valueOf(found);
    if (record.state == JobState::Ended || record.cancelRequested) {
        return Done{};
    }
    record.cancelRequested = true;
    const auto written = this->update(record);
    return succeeded(written) ? Status(Done{}) : Status(errorOf(written));
}

Result<std::uint64_t> JobStore::write(const JobRecord &record, std::uint64_t revision)
{
    const auto key = keyOf(record.id);
    const auto committed = this->table.commit({this->ids.next(), {{key, revision}}, {{key, encodeJob(record)}}});
    return succeeded(committed) ? Result<std::uint64_t>(valueOf(committed).revision) : errorOf(committed);
}

TableGangRecorder::TableGangRecorder(JobStore &jobs, Clock &clock)
    : jobs(jobs)
    , clock(clock)
{
}

bool TableGangRecorder::recordEnd(const JobId &job, const AttemptId &attempt, const GangResult &result)
{
    const auto found = this->jobs.find(job);
    if (!succeeded(found)) {
        return false;
    }
    const auto &record = valueOf(found);
    if (!record || record->state != JobState::Placed || record->attempt != attempt) {
        return true;
    }
    return succeeded(this->jobs.update(applyAttemptResult(*record, result, this->clock.wallMillis())));
}

bool TableGangRecorder::recordCheckpoint(const JobId &job, const AttemptId &attempt, const std::string &key)
{
    const auto found = this->jobs.find(job);
    if (!succeeded(found)) {
        return false;
    }
    auto record = valueOf(found);
    if (!record || record->state != JobState::Placed || record->attempt != attempt) {
        return true;
    }
    setCheckpoint(*record, key);
    return succeeded(this->jobs.update(*record));
}

void endJob(JobRecord &record, Outcome outcome, std::string detail, std::int64_t wallMillis)
{
    record.state = JobState::Ended;
    record.outcome = outcome;
    record.detail = std::move(detail);
    record.endedAtWallMillis = wallMillis;
}

void setCheckpoint(JobRecord &record, const std::string &key)
{
    if (!key.empty() && key != record.checkpoint) {
        record.earlierCheckpoint = std::exchange(record.checkpoint, key);
    }
}

JobRecord applyAttemptResult(JobRecord record, const GangResult &result, std::int64_t wallMillis)
{
    if (result.outcome == Outcome::Done) {
        endJob(record, Outcome::Done, "", wallMillis);
        return record;
    }
    if (record.cancelRequested) {
        endJob(record, Outcome::Cancelled, "cancelled while it ran", wallMillis);
        return record;
    }
    if (result.checkpointIsDamaged) {
        record.checkpoint = std::exchange(record.earlierCheckpoint, std::string());
        if (record.checkpoint.empty() && !record.kind.idempotent) {
            endJob(record, Outcome::Unknown, result.reason + "; it ran partly and is not repeated", wallMillis);
            return record;
        }
    }
    if (result.outcome == Outcome::NotRun) {
        requeue(record, result.reason);
        return record;
    }
    record.hasStarted = true;
    setCheckpoint(record, result.checkpoint);
    if (result.outcome == Outcome::Failed) {
        record.failedOn.push_back(record.members.empty() ? NodeId{} : record.members.front().node);
        if (!record.kind.idempotent || record.failedOn.size() >= MaxFailures) {
            endJob(record, Outcome::Failed, result.reason + "; failed on " + joinNodes(record.failedOn), wallMillis);
        } else {
            requeue(record, result.reason);
        }
        return record;
    }
    if (record.kind.idempotent || (record.kind.checkpointable && !record.checkpoint.empty())) {
        requeue(record, result.reason);
    } else {
        endJob(record, Outcome::Unknown, result.reason + "; it may have run partly and is not repeated", wallMillis);
    }
    return record;
}

} // namespace waxwingloft
