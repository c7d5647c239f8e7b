#include "waxwingloft/request/crashledger.h"

#include <algorithm>
#include <string>

namespace waxwingloft {

CrashLedger::CrashLedger(std::map<JobId, LiveJob> &jobs, const TaskPlacerOptions &options)
    : jobs(jobs)
    , options(options)
    , log(LogPart::Placer)
{
}

void CrashLedger::setMetrics(Metrics &metrics)
{
    this->metrics = &metrics;
}

bool CrashLedger::isCrash(const LiveWorker &worker, const AgentReport &report)
{
    return worker.last.incarnation.isKnown() && worker.last.incarnation != report.incarnation && !worker.last.isDraining;
}

void CrashLedger::keepLapsedRuns(LiveWorker &worker, const AgentReport &report, Instant now)
{
    if (report.isReachable) {
        worker.lapsedRuns.clear();
    }
    for (const auto &end : report.ends) {
        const auto live = worker.runs.find(end.run);
        // An executor numbers the ends that it reports itself.
        const bool isUnanswered = end.end == RunEnd::Lapsed && end.number == 0 && live != worker.runs.end();
        if (isUnanswered && live->second.isSent && live->second.startEffect != StartEffect::NotStarted) {
            worker.lapsedRuns[end.run] = {live->second.startEffect, now};
        }
    }
}

/** Returns the runs whose start the crashed executor may have carried out. */
std::map<TaskRun, std::optional<StartEffect>> CrashLedger::runsUnder(const LiveWorker &worker) const
{
    std::map<TaskRun, std::optional<StartEffect>> runs;
    for (const auto &[run, lapsed] : worker.lapsedRuns) {
        runs[run] = lapsed.startEffect;
    }
    for (const auto &[run, live] : worker.runs) {
        const auto job = this->jobs.find(run.task.job);
        const auto *const task = job == this->jobs.end() ? nullptr : findTask(job->second.progress, run.task);
        const bool isThere = task != nullptr && task->state == TaskPhase::Assigned && task->run == run.run && task->incarnation == worker.last.incarnation;
        if (isThere && live.isSent && live.startEffect != StartEffect::NotStarted) {
            runs[run] = live.startEffect;
        }
    }
    return runs;
}

std::vector<TaskKey> CrashLedger::recordCrash(const LiveWorker &worker)
{
    const auto runs = this->runsUnder(worker);
    const auto suspects = std::count_if(runs.begin(), runs.end(), [](const auto &item) { return item.second == StartEffect::Unproven; });
    this->log.warn("An executor crashed.",
                   {{"executor", worker.last.incarnation.id},
                    {"agent", worker.last.node.value},
                    {"runs", std::to_string(runs.size())},
                    {"suspects", std::to_string(suspects)}});
    if (this->metrics != nullptr) {
        this->metrics->add(Count::ExecutorCrashes);
    }
    std::vector<TaskKey> tasks;
    for (const auto &[run, startEffect] : runs) {
        const auto job = this->jobs.find(run.task.job);
        auto *const task = job == this->jobs.end() || isFinal(job->second.progress.state) ? nullptr : findTask(job->second.progress, run.task);
        if (task == nullptr || task->state == TaskPhase::Done) {
            continue;
        }
        tasks.push_back(run.task);
        ++task->crashes;
        // Of a run that was never reported to this leader nothing is known; blaming it would put all tasks on trial after a loss of power. A start
        // without an answer was often sent to an executor that had crashed before, so it counts as a crash of any kind only.
        task->startCrashes += startEffect == StartEffect::Unproven ? 1 : 0;
        job->second.markChanged();
        this->log.warn("An executor crashed under a task.",
                       {{"job", run.task.job.value},
                        {"task", toString(run.task)},
                        {"run", std::to_string(run.run)},
                        {"executor", worker.last.incarnation.id},
                        {"start_effect", startEffect ? std::string(nameOf(*startEffect)) : "unknown"},
                        {"start_crashes", std::to_string(task->startCrashes)},
                        {"crashes", std::to_string(task->crashes)}});
    }
    return tasks;
}

bool CrashLedger::isLimitReached(const LiveJob &job, const TaskKey &key) const
{
    const auto &task = *findTask(job.progress, key);
    const bool isWorn = task.crashes >= this->options.crashesToGiveUp && !job.stepOf(key).isPerpetual;
    return task.startCrashes >= this->options.startCrashesToGiveUp || isWorn;
}

std::set<JobId> CrashLedger::giveUp(const std::vector<TaskKey> &tasks)
{
    std::set<JobId> failed;
    for (const auto &key : tasks) {
        auto &job = this->jobs.at(key.job);
        auto &task = *findTask(job.progress, key);
        if (task.state == TaskPhase::Done || task.state == TaskPhase::Failed || !this->isLimitReached(job, key)) {
            continue;
        }
        task.state = TaskPhase::Failed;
        job.markChanged();
        failed.insert(key.job);
        this->log.warn(
            "A task is given up: the executors that start it crash.",
            {{"job", key.job.value}, {"task", toString(key)}, {"start_crashes", std::to_string(task.startCrashes)}, {"crashes", std::to_string(task.crashes)}});
        if (this->metrics != nullptr) {
            this->metrics->add(Count::TasksGivenUp);
        }
    }
    return failed;
}

} // namespace waxwingloft
