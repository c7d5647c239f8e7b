#ifndef WAXWINGLOFT_REQUEST_STEPPLANNER_H
#define WAXWINGLOFT_REQUEST_STEPPLANNER_H

#include "waxwingloft/process/capacity.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/request/startworth.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace waxwingloft {

/** The planner's view of an executor. */
struct PlannerWorker {
    NodeId node;
    std::string service;
    std::string rack;
    std::vector<std::string> labels;
    Capacity capacity;
    Capacity free; ///< excludes what stopping runs still hold
    bool acceptsWork = false;
    bool isSlow = false; ///< gets tasks only when they fit on no other worker
    bool isOnTrial = false; ///< starts suspect tasks and gets nothing else meanwhile
    double speed = 1.0; ///< relative to the faster class of executors; 1.0 for all while they do not clearly differ
    bool countsAsFleet = true; ///< counts when it is judged how much of the fleet is in use, also while it takes no work for a moment
};

/** Waiting tasks of a step. The tasks of a gang start together or not at all, others one by one. */
struct WaitingTasks {
    std::uint32_t count = 0;
    Capacity needs; ///< of one task
    std::string service;
    std::string requiredLabel;
    std::string dataRack;
    bool isGang = false;
    bool prefersOneRack = false;
    bool isSuspect = false; ///< crashed the executors that started it; starts with nothing else and preempts and reserves nothing
    int priority = 0; ///< zero is the most urgent
    double rank = 0.0; ///< value per capacity and time used
    bool isGuaranteed = false; ///< within its workspace's guarantee; may preempt any work that is not
    std::vector<bool> avoided; ///< by worker, true where the task has failed; empty for none
    bool mayPreempt = false; ///< work of others may be stopped for it
    StartWorth worth; ///< of its job, by how long the start of these tasks takes; only for tasks that may preempt
    double longestWait = 0.0; ///< seconds that runs may be waited for rather than stopping others
    bool isMove = false; ///< tasks that still run, on an executor that leaves; their start here says that they may be stopped there
    double runTime = 0.0; ///< estimate of one task in seconds; only matters where executors differ in speed
    bool prefersSlower = false; ///< leaves the faster executors to work that gains more by them
    bool isOverdue = false; ///< has waited too long beside reserved room: starts on slower workers rather than wait for faster ones; the caller puts it first
    std::uint32_t maxPerWorker = 0; ///< zero means no limit
    std::vector<std::uint32_t> present; ///< tasks of the step that each worker already runs; empty for none
};

/** Running tasks that can only be stopped together. */
struct RunningTasks {
    struct Part {
        std::size_t worker = 0;
        std::uint32_t count = 0;
    };

    std::vector<Part> parts;
    Capacity needs; ///< of one task
    double lostWork = 0.0; ///< core seconds that a stop would lose
    double stopCost = 0.0; ///< worth of that work
    double delayLoss = 0.0; ///< worth that their job would lose by ending later
    std::size_t job = 0; ///< entries of one job are delayed together
    int priority = 0;
    double rank = 0.0; ///< value per capacity and time used
    bool isGuaranteed = false; ///< must not be preempted
    double endsIn = std::numeric_limits<double>::infinity(); ///< seconds until they are expected to end without a stop
    bool isStopping = false; ///< is already being stopped; its capacity becomes free shortly
};

/** Placement of the tasks of one waiting entry, one worker per task. */
struct PlannedStart {
    std::size_t waiting = 0; ///< index of the waiting entry
    std::vector<std::size_t> workers;
};

/** Tasks to start and runs to stop. */
struct StepPlan {
    std::vector<PlannedStart> starts;
    std::vector<std::size_t> stops; ///< indices of running entries
};

/**
 * Decides where waiting tasks start, and which running tasks are preempted for those that may do so.
 *
 * @p waiting is in order of precedence. Small tasks are packed best-fit, so that whole workers and racks
 * stay free for large gangs. A gang goes to a single rack if it fits there now; one that prefers one rack waits for
 * any rack that could hold it. While at least half of its service is in use, executors that take no work for a moment included, a gang that does not fit
 * reserves capacity against the entries after it. Work is preempted where that gains clearly more worth than it loses.
 *
 * Where executors differ in speed, the members of a gang go to executors of like speed, and a gang that may preempt waits
 * briefly for faster ones where that is worth more than a start on slower ones now.
 */
StepPlan planSteps(const std::vector<PlannerWorker> &workers, const std::vector<WaitingTasks> &waiting, const std::vector<RunningTasks> &running);

} // namespace waxwingloft

#endif
