#include "waxwingloft/request/jobrows.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace waxwingloft {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Prefix = "jobs/";
constexpr std::string_view CancellationSuffix = "/cancel";
constexpr std::string_view ProgressSuffix = "/progress";

constexpr char PartSeparator = '/';
constexpr const char *PartsField = "parts"; ///< number of the parts; absent when the head holds everything
constexpr std::string_view SplitMark = R"({"parts":)"; ///< begins a head with parts, as objects are written in order of their names
constexpr unsigned char ContinuationMask = 0xC0; ///< of the bytes of a character in UTF-8 after its first one
constexpr unsigned char Continuation = 0x80;

/** Positions of a task's fields in a progress row. Trailing fields may be absent. */
enum TaskField : std::size_t { StateField, RunField, FailuresField, CheckpointField, ExecutorField, StartCrashesField, CrashesField, FailedRunField };

Json toJson(const JobStep &step)
{
    return {{"count", step.count},
            {"milli_cores", step.needs.milliCores},
            {"memory_mb", step.needs.memoryMb},
            {"accelerators", step.needs.accelerators},
            {"estimate_ms", step.estimate.count()},
            {"after", step.after},
            {"checkpointing", step.isCheckpointing},
            {"gang", step.isGang},
            {"one_rack", step.prefersOneRack},
            {"label", step.requiredLabel},
            {"data_rack", step.dataRack},
            {"per_executor", step.maxPerExecutor},
            {"speculative", step.isSpeculative},
            {"perpetual", step.isPerpetual},
            {"filling", step.isBestEffort},
            {"may_miss", step.mayMiss},
            {"latency_target_ms", step.latencyTarget.count()},
            {"image", step.image}};
}

JobStep stepOf(const Json &json)
{
    JobStep step;
    step.count = json.at("count").get<std::uint32_t>();
    step.needs = {json.at("milli_cores").get<std::int64_t>(), json.at("memory_mb").get<std::int64_t>(), json.at("accelerators").get<std::int64_t>()};
    step.estimate = Millis(json.at("estimate_ms").get<std::int64_t>());
    step.after = json.at("after").get<std::vector<std::uint32_t>>();
    step.isCheckpointing = json.at("checkpointing").get<bool>();
    step.isGang = json.at("gang").get<bool>();
    step.prefersOneRack = json.at("one_rack").get<bool>();
    step.requiredLabel = json.at("label").get<std::string>();
    step.dataRack = json.at("data_rack").get<std::string>();
    step.maxPerExecutor = json.at("per_executor").get<std::uint32_t>();
    step.isSpeculative = json.at("speculative").get<bool>();
    step.isPerpetual = json.at("perpetual").get<bool>();
    step.isBestEffort = json.at("filling").get<bool>();
    step.mayMiss = json.at("may_miss").get<std::uint32_t>();
    step.latencyTarget = Millis(json.at("latency_target_ms").get<std::int64_t>());
    step.image = json.at("image").get<std::string>();
    return step;
}

JobSubmission submissionOf(const Json &json)
{
    JobSubmission submission;
    submission.id.value = json.at("id").get<std::string>();
    submission.workspace.value = json.at("workspace").get<std::string>();
    submission.route = json.at("route").get<std::string>();
    submission.service = json.at("service").get<std::string>();
    submission.priority = json.at("priority").get<int>();
    submission.maxAttempts = json.at("max_attempts").get<std::uint32_t>();
    submission.stretch = json.at("stretch").get<double>();
    submission.latencySlack = Millis(json.at("latency_slack_ms").get<std::int64_t>());
    submission.acceptedAt = json.at("accepted_at").get<std::int64_t>();
    submission.graph.spec = json.at("spec").get<std::string>();
    submission.graph.occurrences = json.at("occurrences").get<std::uint32_t>();
    submission.graph.firstRunAt = json.at("first_run_at").get<std::int64_t>();
    submission.graph.interval = Millis(json.at("interval_ms").get<std::int64_t>());
    for (const auto &step : json.at("steps")) {
        submission.graph.steps.push_back(stepOf(step));
    }
    return submission;
}

/** Executors that the tasks of a row refer to; each is written once and referenced by its index, which keeps rows small. */
class ExecutorList
{
public:
    std::size_t indexOf(const TaskProgress &task)
    {
        const Json executor = {task.worker.value, task.incarnation.id, task.incarnation.startedAt};
        const auto found = std::find(this->executors.begin(), this->executors.end(), executor);
        if (found != this->executors.end()) {
            return static_cast<std::size_t>(std::distance(this->executors.begin(), found));
        }
        this->executors.push_back(executor);
        return this->executors.size() - 1;
    }

    Json executors = Json::array();
};

/** Whether another run of @p task may start, in a job in state @p phase. */
bool mayStart(const TaskProgress &task, JobPhase phase)
{
    return !isFinal(phase) && task.state != TaskPhase::Done && task.state != TaskPhase::Failed;
}

Json toJson(const TaskProgress &task, JobPhase phase, ExecutorList &executors)
{
    Json json = {static_cast<int>(task.state), task.run, task.failures, mayStart(task, phase) ? task.checkpoint : std::string()};
    const bool hasFailed = task.failedRun > 0;
    const bool hasCrashes = task.startCrashes > 0 || task.crashes > 0 || hasFailed;
    if (task.state == TaskPhase::Assigned) {
        json.push_back(executors.indexOf(task));
    } else if (hasCrashes) {
        json.push_back(nullptr);
    }
    if (hasCrashes) {
        json.push_back(task.startCrashes);
        json.push_back(task.crashes);
    }
    if (hasFailed) {
        json.push_back(task.failedRun);
    }
    return json;
}

TaskProgress taskOf(const Json &json, const Json &executors)
{
    TaskProgress task;
    task.state = static_cast<TaskPhase>(std::clamp(json.at(StateField).get<int>(), 0, static_cast<int>(TaskPhase::Failed)));
    task.run = json.at(RunField).get<std::uint32_t>();
    task.failures = json.at(FailuresField).get<std::uint32_t>();
    task.checkpoint = json.at(CheckpointField).get<std::string>();
    if (json.size() > ExecutorField && !json.at(ExecutorField).is_null()) {
        const auto &executor = executors.at(json.at(ExecutorField).get<std::size_t>());
        task.worker.value = executor.at(0).get<std::string>();
        task.incarnation = {executor.at(1).get<std::string>(), executor.at(2).get<std::int64_t>()};
    }
    if (json.size() > CrashesField) {
        task.startCrashes = json.at(StartCrashesField).get<std::uint32_t>();
        task.crashes = json.at(CrashesField).get<std::uint32_t>();
    }
    if (json.size() > FailedRunField) {
        task.failedRun = json.at(FailedRunField).get<std::uint32_t>();
    }
    return task;
}

template<typename Progress, typename Visit>
void forEachTask(Progress &progress, Visit visit)
{
    for (auto &occurrence : progress.occurrences) {
        for (auto &step : occurrence) {
            std::for_each(step.begin(), step.end(), visit);
        }
    }
}

JobProgress progressOf(const Json &json)
{
    JobProgress progress;
    progress.state = fromName<JobPhase>(json.at("state").get<std::string>()).value_or(JobPhase::Pending);
    for (const auto &steps : json.at("tasks")) {
        OccurrenceProgress occurrence;
        for (const auto &tasks : steps) {
            StepProgress step;
            for (const auto &task : tasks) {
                step.push_back(taskOf(task, json.at("executors")));
            }
            occurrence.push_back(std::move(step));
        }
        progress.occurrences.push_back(std::move(occurrence));
    }
    return progress;
}

ProgressHead headOf(const Json &json)
{
    return {fromName<JobPhase>(json.at("state").get<std::string>()).value_or(JobPhase::Pending), json.value(PartsField, std::size_t(0))};
}

/** Returns the text in pieces of at most @p pieceBytes, none of which ends within a character. */
std::vector<std::string> piecesOf(const std::string &text, std::size_t pieceBytes)
{
    std::vector<std::string> pieces;
    for (std::size_t begin = 0; begin < text.size();) {
        auto end = std::min(text.size(), begin + pieceBytes);
        while (end < text.size() && (static_cast<unsigned char>(text[end]) & ContinuationMask) == Continuation) {
            --end;
        }
        pieces.push_back(text.substr(begin, end - begin));
        begin = end;
    }
    return pieces;
}

Withdrawal withdrawalOf(const Json &json)
{
    return {WorkspaceId{json.at("workspace").get<std::string>()}, json.at("withdrawn_at").get<std::int64_t>()};
}

/** Parses a row with @p read; returns Damaged when the row is invalid or was written in an incompatible format. */
template<typename T>
Result<T> parseRow(const std::string &value, const char *what, T (*read)(const Json &))
{
    try {
        return read(Json::parse(value));
    } catch (const Json::exception &error) {
        return makeError(ErrorKind::Damaged, std::string("a row of ") + what + " cannot be parsed: " + error.what(), "remove the row or upgrade this process");
    }
}

} // namespace

std::string withdrawalKey(const JobId &job, const WorkspaceId &workspace)
{
    // Names of workspaces may be longer than the table's keys.
    return std::string(WithdrawalTable) + "/" + job.value + "/" + std::to_string(XXH3_64bits(workspace.value.data(), workspace.value.size()));
}

std::string encodeWithdrawal(const Withdrawal &withdrawal)
{
    return Json{{"workspace", withdrawal.workspace.value}, {"withdrawn_at", withdrawal.withdrawnAt}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Withdrawal> parseWithdrawal(const std::string &value)
{
    return parseRow<Withdrawal>(value, "a withdrawal", &withdrawalOf);
}

std::string submissionKey(const JobId &job)
{
    return std::string(Prefix) + job.value;
}

std::string cancellationKey(const JobId &job)
{
    return submissionKey(job) + std::string(CancellationSuffix);
}

std::string progressKey(const JobId &job)
{
    return submissionKey(job) + std::string(ProgressSuffix);
}

std::string progressPartKey(const JobId &job, std::size_t part)
{
    return std::string(ProgressPartTable) + PartSeparator + job.value + PartSeparator + std::to_string(part);
}

std::optional<JobRowName> parseJobKey(const std::string &key)
{
    if (!key.starts_with(Prefix)) {
        return std::nullopt;
    }
    const auto rest = key.substr(Prefix.size());
    const auto slash = rest.find('/');
    const JobId job{rest.substr(0, slash)};
    if (slash == std::string::npos) {
        return JobRowName{JobRowKind::Submission, job};
    }
    const auto suffix = rest.substr(slash);
    if (suffix == CancellationSuffix) {
        return JobRowName{JobRowKind::Cancellation, job};
    }
    return suffix == ProgressSuffix ? std::optional<JobRowName>(JobRowName{JobRowKind::Progress, job}) : std::nullopt;
}

std::string encodeSubmission(const JobSubmission &submission)
{
    auto steps = Json::array();
    for (const auto &step : submission.graph.steps) {
        steps.push_back(toJson(step));
    }
    return Json{{"id", submission.id.value},
                {"workspace", submission.workspace.value},
                {"route", submission.route},
                {"service", submission.service},
                {"priority", submission.priority},
                {"max_attempts", submission.maxAttempts},
                {"stretch", submission.stretch},
                {"latency_slack_ms", submission.latencySlack.count()},
                {"accepted_at", submission.acceptedAt},
                {"spec", submission.graph.spec},
                {"occurrences", submission.graph.occurrences},
                {"first_run_at", submission.graph.firstRunAt},
                {"interval_ms", submission.graph.interval.count()},
                {"steps", std::move(steps)}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<JobSubmission> parseSubmission(const std::string &value)
{
    return parseRow<JobSubmission>(value, "a submission", &submissionOf);
}

std::string encodeProgress(const JobProgress &progress)
{
    ExecutorList executors;
    auto occurrences = Json::array();
    for (const auto &occurrence : progress.occurrences) {
        auto steps = Json::array();
        for (const auto &step : occurrence) {
            auto tasks = Json::array();
            for (const auto &task : step) {
                tasks.push_back(toJson(task, progress.state, executors));
            }
            steps.push_back(std::move(tasks));
        }
        occurrences.push_back(std::move(steps));
    }
    return Json{{"state", std::string(nameOf(progress.state))}, {"tasks", std::move(occurrences)}, {"executors", std::move(executors.executors)}}.dump(
        -1, ' ', false, Json::error_handler_t::replace);
}

ProgressRows encodeProgressRows(const JobProgress &progress, std::size_t rowBytes)
{
    auto whole = encodeProgress(progress);
    if (whole.size() <= rowBytes) {
        return {std::move(whole), {}};
    }
    auto parts = piecesOf(whole, rowBytes);
    return {Json{{"state", std::string(nameOf(progress.state))}, {PartsField, parts.size()}}.dump(), std::move(parts)};
}

bool isSplitProgress(const std::string &value)
{
    return value.starts_with(SplitMark);
}

Result<ProgressHead> parseProgressHead(const std::string &value)
{
    return parseRow<ProgressHead>(value, "progress", &headOf);
}

Result<JobProgress> parseProgress(const std::string &value)
{
    return parseRow<JobProgress>(value, "progress", &progressOf);
}

} // namespace waxwingloft
