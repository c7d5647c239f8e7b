#ifndef WAXWINGLOFT_REQUEST_STEPPLANNER_H
#define WAXWINGLOFT_REQUEST_STEPPLANNER_H

#include "waxwingloft/process/capacity.h"
#include "waxwingloft/process/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingloft {

/** An executor as the planner sees it. */
struct PlannerWorker {
    NodeId node;
    std::string service;
    std::string rack;
    std::vector<std::string> labels;
    Capacity capacity;
    Capacity free; ///< held by nobody; what is being stopped is not free
    bool acceptsWork = false;
    bool isSlow = false; ///< gets work only when no other worker holds it
};

/** Tasks that wait to be started: those of a gang together, or any of a step that is none. */
struct WaitingTasks {
    std::uint32_t count = 0;
    Capacity needs; ///< of one task
    std::string service;
    std::string requiredLabel;
    std::string dataRack;
    bool isGang = false;
    bool prefersOneRack = false;
    int priority = 0; ///< zero comes first
    double rank = 0.0; ///< worth for the room it takes
    bool isGuaranteed = false; ///< inside its workspace's guarantee; may have any work stopped that is not
    std::vector<bool> avoided; ///< workers that the task failed on; empty for none
    double mayLoseWork = 0.0; ///< core seconds of other work that may be thrown away to make room; zero for none
    bool canWait = false; ///< room that comes free by itself in a moment is better than stopping work
    std::uint32_t maxPerWorker = 0; ///< zero for no limit
    std::vector<std::uint32_t> present; ///< tasks of the step by worker; empty for none anywhere
};

/** Tasks that run and could be stopped together to make room. */
struct RunningTasks {
    struct Part {
        std::size_t worker = 0;
        std::uint32_t count = 0;
    };

    std::vector<Part> parts;
    Capacity needs; ///< of one task
    double lostWork = 0.0; ///< core seconds that would have to be done again
    int priority = 0;
    double rank = 0.0; ///< worth for the room it takes
    bool isGuaranteed = false; ///< may not be stopped
    bool endsSoon = false; ///< is expected to be done in a moment
    bool isStopping = false; ///< is being stopped already; its room comes free soon
};

/** Where the tasks of one waiting entry start, one worker a task. */
struct PlannedStart {
    std::size_t waiting = 0;
    std::vector<std::size_t> workers;
};

/** What to start and what to stop. */
struct StepPlan {
    std::vector<PlannedStart> starts;
    std::vector<std::size_t> stops; ///< indices of running entries
};

/**
 * Decides which waiting tasks start where, and what is stopped for those that may reclaim.
 *
 * @p waiting is in order of precedence. Small tasks are packed tightly, so that whole workers and racks
 * stay free for large gangs. A gang goes to one rack where one could hold it. While at least half of the
 * fleet is at work, a gang that finds no room keeps some clear of what comes after it.
 */
StepPlan planSteps(const std::vector<PlannerWorker> &workers, const std::vector<WaitingTasks> &waiting, const std::vector<RunningTasks> &running);

} // namespace waxwingloft

#endif
