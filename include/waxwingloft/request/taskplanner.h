#ifndef WAXWINGLOFT_REQUEST_TASKPLANNER_H
#define WAXWINGLOFT_REQUEST_TASKPLANNER_H

#include "waxwingloft/process/workerhealth.h"
#include "waxwingloft/request/executorspeeds.h"
#include "waxwingloft/request/jobrank.h"
#include "waxwingloft/request/liveworker.h"
#include "waxwingloft/request/readywait.h"
#include "waxwingloft/request/startwaits.h"
#include "waxwingloft/request/stepplanner.h"
#include "waxwingloft/request/taskplaceroptions.h"
#include "waxwingloft/version/routingtable.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwingloft {

class OpenTrials;

/** The state that a plan is computed from. */
struct PlannerInput {
    const std::map<JobId, LiveJob> &jobs;
    const std::map<NodeId, LiveWorker> &workers;
    const RoutingTable &routes;
    const WorkerHealth &health;
    const JobRank &rank;
    const ExecutorSpeeds &speeds;
    const TaskPlacerOptions &options;
    const StartWaits &waits;
    bool mayStart = true; ///< the closed zones are known well enough to start tasks
};

/** A run and the agent that it is assigned to. */
using PlacedRun = std::pair<NodeId, TaskRun>;

/** Tasks of a step to start; task indices[i] starts at agents[i]. */
struct StepStart {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::uint32_t> indices;
    std::vector<NodeId> agents;
    std::size_t waiting = 0; ///< tasks of the step that were waiting, including those started
    double rank = 0.0;
    bool isGuaranteed = false;
};

/** A step whose tasks could start now, were it not for the workers that its job keeps away from after a failure. */
struct HeldStep {
    JobId job;
    std::uint32_t step = 0;
    std::size_t tasks = 0;
    std::size_t avoided = 0; ///< workers
    std::size_t others = 0; ///< workers that may run the tasks besides
};

/** Runs to stop and tasks to start. */
struct TaskPlan {
    std::vector<PlacedRun> stops;
    std::vector<PlacedRun> moves; ///< runs to stop because their executors leave before they can end
    std::vector<StepStart> starts;
    std::vector<HeldStep> held;
    std::vector<JobId> closedOut; ///< jobs with tasks that wait and that executors in closed zones could run
    std::vector<ReadyWait> waits; ///< jobs with nothing running beside room for them; only if they were asked for
    std::set<JobId> begun; ///< jobs with a run that has begun; as waits
};

/** Computes one plan over all jobs and executors from a snapshot, without changing it. Lives for one plan. */
class TaskPlanner
{
public:
    TaskPlanner(const PlannerInput &state, Instant now, std::int64_t wallNow);

    /** Returns the runs below movePercent that have made no progress for their stall time although their executor responds. */
    std::vector<PlacedRun> stalledRuns() const;

    /** Computes the plan; with @p findsWaits also which jobs wait beside room for them. */
    TaskPlan plan(bool findsWaits = false) const;

private:
    /** Waiting tasks of one step of a job occurrence. */
    struct Unit {
        const LiveJob *job = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::vector<std::uint32_t> indices;
        double rank = 0.0;
        bool isGuaranteed = false;
        bool isUrgent = false; ///< has priority zero
        bool isSuspect = false; ///< its start is a trial
        bool isRecent = false; ///< was accepted within waitForEnds
        bool isOverdue = false; ///< one of those that its job may begin with after it has waited too long beside reserved room
    };

    /** The workers of the plan, indexed as in the step planner. */
    struct Fleet {
        std::vector<PlannerWorker> workers;
        std::vector<const LiveWorker *> byIndex;
        std::map<NodeId, std::size_t> indexOf;
        Capacity total;
        std::vector<std::size_t> probes; ///< quarantined workers that could be tried again
        std::vector<std::size_t> stalled; ///< workers that are left out only as runs stood still there
        std::vector<std::size_t> closed; ///< workers in closed zones
    };

    using Ranks = std::map<JobId, double>; ///< of jobs that are not in a final state

    /** The active runs, indexed as in the step planner. */
    struct RunningSet {
        std::vector<RunningTasks> tasks;
        std::vector<std::vector<PlacedRun>> runs;
        std::vector<TaskKey> keys;
        std::vector<double> savedShares; ///< of the work of each entry that a stop keeps
        std::vector<const LiveJob *> jobs; ///< by RunningTasks::job
    };

    /** An entry of the step planner: the tasks of a unit, or running tasks that are to move. */
    struct Entry {
        WaitingTasks tasks;
        const Unit *unit = nullptr; ///< null for a move
        std::size_t running = 0; ///< index of what moves
    };

    /** The entries and what the step planner has decided on them. */
    struct Outcome {
        const std::vector<Entry> &entries;
        const std::vector<WaitingTasks> &waiting; ///< of the entries
        const StepPlan &steps;
        std::set<std::size_t> started; ///< entries that start, at least in part
    };

    Fleet collectFleet(const OpenTrials &trials) const;
    std::optional<WaitCause> obstacleAt(const LiveWorker &worker) const;
    std::optional<WaitCause> doubtAt(const LiveWorker &worker) const;
    std::optional<WaitCause> obstacleTo(const TaskKey &task) const;
    bool isDue(const LiveJob &job, std::uint32_t occurrence) const;
    bool mustTryFailedWorkers(const JobId &job) const;
    void markSlow(Fleet &fleet) const;
    Ranks rankJobs(const Fleet &fleet) const;
    std::vector<Unit> collectUnits(const std::set<JobId> &guaranteed, const Ranks &ranks, const OpenTrials &trials) const;
    std::vector<Unit> unitsOf(const LiveJob &job, const Unit &base) const;
    static void splitOffOverdue(std::vector<Unit> &units);
    static bool fitsNow(const Fleet &fleet, const WaitingTasks &tasks);
    static void limitOverdue(const Fleet &fleet, std::vector<Entry> &entries);
    std::set<JobId> recentlyAssigned() const;
    void addUnits(const LiveJob &job, std::uint32_t occurrence, const Unit &base, std::vector<Unit> &units) const;
    bool isOrphaned(const TaskKey &task) const;
    WaitingTasks waitingOf(const Unit &unit, const Fleet &fleet) const;
    bool keepsObjectiveOnSlower(const Unit &unit) const;
    std::vector<bool> avoidedBy(const JobId &job, const WaitingTasks &waiting, const Fleet &fleet) const;
    std::vector<bool> failedSince(const JobId &job, const Fleet &fleet, Instant since) const;
    std::set<JobId> guaranteedJobs() const;
    RunningSet collectRunning(const Fleet &fleet, const std::set<JobId> &guaranteed, const Ranks &ranks) const;
    void addRun(RunningSet &running, std::size_t entry, const LiveJob &job, const TaskRun &run, const LiveRun &live) const;
    void weighDelays(RunningSet &running) const;
    double endOfWaiting(const LiveJob &job, const std::vector<Millis> &chains) const;
    std::vector<Entry> collectMoves(const Fleet &fleet, const RunningSet &running) const;
    std::vector<Entry> collectEntries(const Fleet &fleet, const std::vector<Unit> &units, const RunningSet &running) const;
    bool admitDoubtful(Fleet &fleet, const std::vector<Entry> &entries) const;
    static std::vector<HeldStep> heldSteps(const Outcome &outcome, const Fleet &fleet);
    static std::vector<JobId> closedOutJobs(const Outcome &outcome, const Fleet &fleet);
    std::set<JobId> begunJobs() const;
    bool isCutShort(const Fleet &fleet, const RunningTasks &tasks) const;
    std::vector<ReadyWait> readyWaits(const Outcome &outcome, const Fleet &fleet, const OpenTrials &trials, std::set<JobId> active) const;

    const PlannerInput &state;
    const Instant now;
    const std::int64_t wallNow;
    const std::set<JobId> justAssigned; ///< jobs of which a run was assigned within the preference wait
    const std::set<TaskKey> ofSilentExecutors; ///< tasks that start once the executors of their last starts have answered
};

} // namespace waxwingloft

#endif
