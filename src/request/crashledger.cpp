#include "waxwingloft/request/crashledger.h"

#include <algorithm>
#include <string>

namespace waxwingloft {

CrashLedger::CrashLedger(std::map<JobId, LiveJob> &jobs)
    : jobs(jobs)
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

/** Returns the runs whose start the crashed executor may have carried out. */
std::map<TaskRun, StartEffect> CrashLedger::runsUnder(const LiveWorker &worker) const
{
    std::map<TaskRun, StartEffect> runs;
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
        tasks.push_back(run.task);
        this->log.warn("An executor crashed under a task.",
                       {{"job", run.task.job.value},
                        {"task", toString(run.task)},
                        {"run", std::to_string(run.run)},
                        {"executor", worker.last.incarnation.id},
                        {"start_effect", std::string(nameOf(startEffect))}});
    }
    return tasks;
}

} // namespace waxwingloft
