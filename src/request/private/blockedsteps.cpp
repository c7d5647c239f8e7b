#include "blockedsteps.h"

#include <utility>

namespace waxwingloft {

BlockedSteps::BlockedSteps(const PlannerInput &state, Instant now, TaskObstacle obstacleTo)
    : state(state)
    , now(now)
    , obstacleTo(std::move(obstacleTo))
{
}

std::optional<ReadyWait> BlockedSteps::find(const LiveJob &job, std::uint32_t occurrence, std::uint32_t step, bool isOnTrial) const
{
    const auto &steps = job.progress.occurrences[occurrence];
    if (!isReady(job.submission.graph, steps, step)) {
        return std::nullopt;
    }
    const auto count = static_cast<std::uint32_t>(steps[step].size());
    for (std::uint32_t index = 0; index < count; ++index) {
        const auto &task = steps[step][index];
        const TaskKey key{job.submission.id, occurrence, step, index};
        if (task.state == TaskPhase::Assigned) {
            return ReadyWait{key, count, this->causeOfAssigned(key, task), task.worker};
        }
        if (task.state == TaskPhase::Waiting) {
            const auto obstacle = this->obstacleTo(key);
            if (obstacle || isOnTrial) {
                return ReadyWait{key, count, obstacle.value_or(WaitCause::Trial), {}};
            }
        }
    }
    return std::nullopt;
}

/** Returns why the run of a task that is assigned has not begun. */
WaitCause BlockedSteps::causeOfAssigned(const TaskKey &key, const TaskProgress &task) const
{
    const auto worker = this->state.workers.find(task.worker);
    if (worker == this->state.workers.end()) {
        return WaitCause::AgentSilent;
    }
    const auto run = worker->second.runs.find({key, task.run});
    if (run != worker->second.runs.end() && !run->second.isSent) {
        return WaitCause::WriteOpen;
    }
    if (!worker->second.isKnown || this->now - worker->second.lastReportAt >= this->state.options.maxReportAge) {
        return WaitCause::AgentSilent;
    }
    if (!worker->second.last.isReachable) {
        return WaitCause::ExecutorSilent;
    }
    const bool isStopping = run != worker->second.runs.end() && run->second.isStopping;
    const bool mayBeginLate = run != worker->second.runs.end() && run->second.startEffect == StartEffect::Unanswered;
    return isStopping && !mayBeginLate ? WaitCause::StopOpen : WaitCause::StartOpen;
}

} // namespace waxwingloft
