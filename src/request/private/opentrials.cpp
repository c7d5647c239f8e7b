#include "opentrials.h"

namespace waxwingloft {

std::set<JobId> jobsOnTrial(const std::map<JobId, LiveJob> &jobs, const LiveWorker &worker)
{
    std::set<JobId> onTrial;
    for (const auto &[run, live] : worker.runs) {
        const auto job = jobs.find(run.task.job);
        if (job != jobs.end() && live.startEffect != StartEffect::Outlived && job->second.isSuspect(run.task)) {
            onTrial.insert(run.task.job);
        }
    }
    return onTrial;
}

std::set<TaskKey> tasksOfSilentExecutors(const std::map<NodeId, LiveWorker> &workers, std::size_t limit, Instant since)
{
    std::map<TaskKey, std::size_t> silent;
    std::set<TaskKey> tasks;
    for (const auto &[node, worker] : workers) {
        for (const auto &[run, lapsed] : worker.lapsedRuns) {
            const bool isSuspicious = lapsed.startEffect && mayBeCause(*lapsed.startEffect) && lapsed.lapsedAt >= since;
            if (isSuspicious && ++silent[run.task] >= limit) {
                tasks.insert(run.task);
            }
        }
    }
    return tasks;
}

OpenTrials::OpenTrials(const std::map<JobId, LiveJob> &jobs, const std::map<NodeId, LiveWorker> &workers)
{
    for (const auto &[node, worker] : workers) {
        const auto onTrial = jobsOnTrial(jobs, worker);
        if (!onTrial.empty()) {
            this->nodes.insert(node);
            this->jobs.insert(onTrial.begin(), onTrial.end());
        }
    }
}

bool OpenTrials::isAt(const NodeId &node) const
{
    return this->nodes.contains(node);
}

bool OpenTrials::isOf(const JobId &job) const
{
    return this->jobs.contains(job);
}

} // namespace waxwingloft
