#include "waxwingloft/request/livejob.h"

#include "waxwingloft/connection/taskmessages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace waxwingloft {

namespace {

constexpr std::size_t CheckpointBytes = 300'000; ///< of all tasks of a job; leaves room for the rest of its rows in a transaction of a megabyte in base64

/** Returns the bytes that @p text takes in a row. */
std::size_t bytesInRow(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).size();
}

} // namespace

void LiveJob::markChanged()
{
    ++this->change;
}

const JobStep &LiveJob::stepOf(const TaskKey &key) const
{
    return this->submission.graph.steps[key.step];
}

bool LiveJob::refreshState()
{
    if (isFinal(this->progress.state)) {
        return false;
    }
    bool isAllDone = true;
    bool hasBegun = false;
    bool hasFailed = false;
    for (const auto &occurrence : this->progress.occurrences) {
        for (const auto &step : occurrence) {
            for (const auto &task : step) {
                isAllDone = isAllDone && task.state == TaskPhase::Done;
                hasBegun = hasBegun || task.run > 0;
                hasFailed = hasFailed || task.state == TaskPhase::Failed;
            }
        }
    }
    const auto before = this->progress.state;
    this->progress.state = hasFailed ? JobPhase::Failed : isAllDone ? JobPhase::Completed : hasBegun ? JobPhase::Running : JobPhase::Pending;
    return this->progress.state != before;
}

bool LiveJob::isSuspect(const TaskKey &key) const
{
    const auto &tasks = this->progress.occurrences[key.occurrence][key.step];
    if (!this->stepOf(key).isGang) {
        return tasks[key.index].startCrashes > 0;
    }
    return std::any_of(tasks.begin(), tasks.end(), [](const TaskProgress &member) { return member.startCrashes > 0; });
}

bool LiveJob::keepCheckpoint(TaskProgress &task, const std::string &checkpoint) const
{
    const auto longest = std::min(LongestCheckpointBytes, CheckpointBytes / std::max<std::size_t>(1, taskCount(this->submission.graph)));
    if (bytesInRow(checkpoint) > longest) {
        return false;
    }
    task.checkpoint = checkpoint.empty() ? task.checkpoint : checkpoint;
    return true;
}

void LiveJob::finishGang(const TaskRun &run)
{
    for (auto &member : this->progress.occurrences[run.task.occurrence][run.task.step]) {
        if (member.run == run.run) {
            member.state = TaskPhase::Done;
        }
    }
}

bool LiveJob::countFailure(const TaskRun &run, TaskProgress &task)
{
    const auto &key = run.task;
    auto &counter = this->stepOf(key).isGang ? this->progress.occurrences[key.occurrence][key.step].front() : task;
    if (counter.failedRun == run.run) {
        return false;
    }
    counter.failedRun = run.run;
    ++counter.failures;
    if (counter.failures < this->submission.maxAttempts) {
        return false;
    }
    task.state = TaskPhase::Failed;
    return true;
}

} // namespace waxwingloft
