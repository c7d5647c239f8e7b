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

/** Decides which gang runs where. One interface for the product's policy and the naive baseline. */
class GangPolicy
{
public:
    virtual ~GangPolicy() = default;

    /** Takes a job in. InvalidInput when its shape never fits; the message says what would. */
    virtual Status submit(const GangJob &job) = 0;

    /** Notes that a job's tasks have ended everywhere; its room is free again. */
    virtual void ended(const JobId &job, Instant now) = 0;

    /** Notes that a job's tasks were stopped before their end; it waits again. */
    virtual void stopped(const JobId &job, Instant now) = 0;

    /** Drops a waiting job. */
    virtual void withdraw(const JobId &job) = 0;

    /** Returns what to do now. Room for every start is already taken in the accounts. */
    virtual std::vector<GangDecision> decide(Instant now) = 0;
};

/**
 * The placement policy of a region: guarantees, reclaim, fair shares, best fit, and backfill for
 * starved gangs.
 *
 * A pure decision object: it knows no network and no clock, and its owner carries out what decide()
 * returns. Not thread safe.
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

    /** Takes in a waiting job that was accepted earlier, also when its shape does not fit the fleet of the moment. */
    void restore(const GangJob &job);

    /** Takes in a job that already runs, when a successor rebuilds its state. */
    void adopt(const GangJob &job, const Placement &placement, PreemptionClass preemptionClass, Instant startedAt);

    /** Takes over the settings' guarantees and weights. */
    void setSettings(const Settings &settings);

    /** Notes that a running job has written a checkpoint. */
    void checkpointed(const JobId &job, Instant now);

    /** Says in words what a waiting job waits for; empty for a job that does not wait. */
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

    /** A job whose workers are being cleared of lent work. */
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

    std::map<WorkspaceId, Waiting> waiting; ///< in order of urgency, then of submission
    std::unordered_map<JobId, Running> running;
    std::unordered_map<JobId, Reclaim> reclaims;
    BackfillReservations backfill;
    std::unordered_map<JobId, Instant> unplaceableSince;
    std::map<WorkspaceId, double> weights;
    std::map<WorkspaceId, Millis> reclaimGraces;
    Instant consolidatedAt;
    std::vector<std::pair<Shape, PreemptionClass>> failedShapes; ///< that found no room in this pass
};

} // namespace waxwingloft

#endif
