#ifndef WAXWINGLOFT_REQUEST_GANGSCHEDULER_H
#define WAXWINGLOFT_REQUEST_GANGSCHEDULER_H

#include "waxwingloft/process/runtimelearner.h"
#include "waxwingloft/request/backfillreservations.h"
#include "waxwingloft/request/gangjob.h"
#include "waxwingloft/request/victimchooser.h"
#include "waxwingloft/version/reservationtable.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwingloft {

/** Decides which gang runs where. Implemented by GangScheduler and by the baseline that benchmarks compare it with. */
class GangPolicy
{
public:
    virtual ~GangPolicy() = default;

    /** Queues a job. Fails with InvalidInput when its shape can never fit; the error says which size would. */
    virtual Status submit(const GangJob &job) = 0;

    /** Releases the capacity of a job whose tasks have all ended. */
    virtual void ended(const JobId &job, Instant now) = 0;

    /** Releases the capacity of a job whose tasks were stopped early, and queues it again. */
    virtual void stopped(const JobId &job, Instant now) = 0;

    /** Removes a waiting job from the queue. */
    virtual void withdraw(const JobId &job) = 0;

    /** Returns the actions to take now. The capacity of every start is already allocated in the fleet state. */
    virtual std::vector<GangDecision> decide(Instant now) = 0;
};

/**
 * The placement policy of a region: guarantees, reclaim, fair shares, best fit, and backfill
 * reservations for starved gangs.
 *
 * Does no I/O and reads no clock: the caller passes the time and executes what decide() returns.
 * Not thread safe.
 */
class GangScheduler : public GangPolicy
{
public:
    GangScheduler(FleetState &fleet,
                  ReservationTable &reservations,
                  RuntimeLearner &learner,
                  const ShapePlanner &planner,
                  const std::string &region,
                  GangSchedulerOptions options);

    Status submit(const GangJob &job) override;
    void ended(const JobId &job, Instant now) override;
    void stopped(const JobId &job, Instant now) override;
    void withdraw(const JobId &job) override;
    std::vector<GangDecision> decide(Instant now) override;

    /** Queues a job that was accepted earlier, even if its shape does not fit the current fleet. */
    void restore(const GangJob &job);

    /** Adds a job that already runs; used by a new leader to rebuild its state. */
    void adopt(const GangJob &job, const Placement &placement, PreemptionClass preemptionClass, Instant startedAt);

    /** Applies the guarantees, weights and reclaim graces of @p settings. */
    void setSettings(const Settings &settings);

    /** Records that a running job wrote a checkpoint at @p now, which lowers the cost of stopping it. */
    void checkpointed(const JobId &job, Instant now);

    /** Describes what a waiting job waits for; empty for a job that does not wait. */
    std::string explain(const JobId &job, Instant now) const;

    bool isRunning(const JobId &job) const;
    std::size_t waitingCount() const;

private:
    struct Running {
        GangJob job;
        Instant startedAt;
        Instant checkpointedAt;
        bool isStopping = false;
    };

    /** A job that starts once the preemptible jobs on its workers have stopped. */
    struct Reclaim {
        GangJob job;
        Placement placement;
        std::set<JobId> victims;
    };

    using Decisions = std::vector<GangDecision>;
    using Waiting = std::deque<GangJob>;

    void enqueue(const GangJob &job);
    void endUnplaceable(Instant now, Decisions &decisions);
    bool abandonReclaim(const JobId &job);
    void startReclaimed(Instant now, Decisions &decisions);
    void startWaiting(Instant now, Decisions &decisions);
    bool tryStart(const GangJob &job, Instant now, Decisions &decisions);
    bool tryGuaranteed(const GangJob &job, Instant now, Decisions &decisions);
    bool reclaimFor(const GangJob &job, ReservationIndex index, Instant now, Decisions &decisions);
    bool tryOverGuarantee(const GangJob &job, Instant now, Decisions &decisions);
    void start(const GangJob &job, const Placement &placement, PreemptionClass preemptionClass, Instant now, Decisions &decisions);
    void stop(const JobId &victim, const JobId &owner, Millis grace, Decisions &decisions);
    void updateBackfill(Instant now, Decisions &decisions);
    void migrateOut(const GangJob &job, const BackfillReservation &reservation, Instant now, Decisions &decisions);
    void consolidate(Instant now, Decisions &decisions);
    std::optional<WorkerIndex> findLeastUsedMovable(Instant now) const;
    bool mayMoveFor(const GangJob &job, const Running &holder, Instant now) const;
    Instant expectedEnd(const JobId &job, Instant now) const;
    double stopCost(const JobId &job, Instant now) const;
    Millis graceFor(const GangJob &owner) const;
    std::map<WorkspaceId, double> usedShares() const;
    void removeRunning(const JobId &job);

    FleetState &fleet;
    ReservationTable &reservations;
    RuntimeLearner &learner;
    const ShapePlanner &planner;
    const std::string region;
    const GangSchedulerOptions options;
    const VictimChooser chooser;

    std::map<WorkspaceId, Waiting> waiting; ///< each queue ordered by urgency, then by submission time
    std::unordered_map<JobId, Running> running;
    std::unordered_map<JobId, Reclaim> reclaims;
    BackfillReservations backfill;
    std::unordered_map<JobId, Instant> unplaceableSince;
    std::map<WorkspaceId, double> weights;
    std::map<WorkspaceId, Millis> reclaimGraces;
    Instant consolidatedAt;
    std::vector<std::pair<Shape, PreemptionClass>> failedShapes; ///< found no placement in this pass
};

} // namespace waxwingloft

#endif
