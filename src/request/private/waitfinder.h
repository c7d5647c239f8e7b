#ifndef WAXWINGLOFT_REQUEST_WAITFINDER_H
#define WAXWINGLOFT_REQUEST_WAITFINDER_H

#include "serviceuse.h"
#include "waxwingloft/request/liveworker.h"
#include "waxwingloft/request/readywait.h"
#include "waxwingloft/request/stepplanner.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

/** Finds out of one plan what holds back tasks that have not started, and whether there is room for them. Lives for one plan. */
class WaitFinder
{
public:
    /** Returns why a worker takes no work now; nothing when it does. */
    using WorkerObstacle = std::function<std::optional<WaitCause>(std::size_t)>;

    /** @p workers are as of before the plan's starts and must outlive this object. */
    WaitFinder(const std::vector<PlannerWorker> &workers, const WorkerObstacle &obstacleAt);

    /** Takes the room of a task that the plan starts on @p worker. */
    void take(std::size_t worker, const Capacity &needs);

    /**
     * Whether less than half of each resource of the tasks' service is in use and its executors have room for one of the tasks twice over, and for a
     * gang as a whole. Says nothing of racks.
     */
    bool hasRoom(const WaitingTasks &tasks) const;

    /** Returns why the plan starts none of @p tasks. */
    WaitCause causeOf(const WaitingTasks &tasks) const;

private:
    /** Returns how many of @p tasks fit on the workers that @p isUsed accepts, at most @p limit. */
    std::uint64_t slots(const WaitingTasks &tasks, std::uint64_t limit, const std::function<bool(std::size_t)> &isUsed) const;
    WaitCause mostCommonObstacle(const WaitingTasks &tasks) const;

    const std::vector<PlannerWorker> &workers;
    ServiceUse use;
    std::vector<Capacity> free; ///< after the starts of the plan
    std::vector<std::optional<WaitCause>> obstacles; ///< by worker
};

} // namespace waxwingloft

#endif
