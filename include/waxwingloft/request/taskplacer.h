#ifndef WAXWINGLOFT_REQUEST_TASKPLACER_H
#define WAXWINGLOFT_REQUEST_TASKPLACER_H

#include "waxwingloft/connection/taskmessages.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/request/boundsledger.h"
#include "waxwingloft/request/closedzonewatch.h"
#include "waxwingloft/request/crashledger.h"
#include "waxwingloft/request/executorspeeds.h"
#include "waxwingloft/request/jobprogress.h"
#include "waxwingloft/request/jobrank.h"
#include "waxwingloft/request/liveworker.h"
#include "waxwingloft/request/progresswrite.h"
#include "waxwingloft/request/startwaits.h"
#include "waxwingloft/request/taskplaceroptions.h"
#include "waxwingloft/request/taskplanner.h"
#include "waxwingloft/request/zonegate.h"
#include "waxwingloft/version/routingtable.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

/** A job as stored in the table. */
struct StoredJob {
    JobSubmission submission;
    bool isCancelled = false;
    JobProgress progress;
    std::uint64_t progressRevision = 0; ///< zero when no progress row exists
    std::size_t progressParts = 0; ///< rows in the table of parts that hold the progress
};

/** What a new leader knows of the terms before its own. */
struct Takeover {
    StoredBounds bounds; ///< read after its own term had begun
    Millis sinceRenewal = Millis(0); ///< every earlier placer last renewed its leadership at least so long ago, or has given it up
};

/** Assignments to send to an agent. */
struct OutgoingSync {
    std::string address;
    AssignmentSync sync;
};

/** State of the placer for status pages and metrics. */
struct TaskPlacerStatus {
    Epoch epoch = 0; ///< zero when this placer is not leader
    std::size_t jobs = 0;
    std::size_t workers = 0;
    std::size_t assigned = 0;
};

/**
 * Decides, on the leading placer, which runs of all jobs start and stop on which executors.
 *
 * A decision is first written to the job's progress row and only then sent to the agents, and an executor
 * discards the end of a run only after that end is written. The next leader can therefore read from the rows
 * every run that may be active, and where. Does no I/O: the owner writes the rows and sends the
 * assignments. Thread safe.
 */
class TaskPlacer
{
public:
    TaskPlacer(Clock &clock, TaskPlacerOptions options, JobRankOptions rankOptions);

    /** Counts crashes of executors into @p metrics from now on, which must outlive this object. */
    void setMetrics(Metrics &metrics);

    /** Decides by the closed zones in @p zones from now on, which must outlive this object. Call before becomeLeader(). */
    void followZones(const ZoneView &zones);

    /** Becomes leader under @p epoch. @p jobs must have been read after the epoch was written. */
    void becomeLeader(Epoch epoch, std::vector<StoredJob> jobs, const Takeover &takeover = {});
    void stepDown(const std::string &reason);
    bool isLeader() const;

    /** Records a renewal of leadership by a call sent at @p sentAt, from which the grant period runs. */
    void leadershipRenewed(Instant sentAt);

    /** Adds a new job. A known job is ignored. */
    void submit(const JobSubmission &submission);
    void cancel(const JobId &job);

    /** Replaces the routing table, which holds the guarantees of the workspaces. */
    void setRoutes(const RoutingTable &routes);

    /**
     * Applies a report and returns the answer.
     *
     * The first report of an agent counts only when it names this term; otherwise the answer holds nothing but the epoch.
     * Steps down when the agent knows a newer epoch. Fails with Stale when this placer is not leader or has already applied a newer report.
     */
    Result<AssignmentSync> report(const AgentReport &report);

    /** Whether a change since the last plan could alter the next one. The passing of time does not count. */
    bool isPlanDue() const;

    /** Expires unresponsive agents, then decides which runs to start and stop now. */
    void plan();

    /** Returns the progress to write in one transaction, at most batchRows rows and batchBytes bytes, what has waited longest first; empty when nothing is
     * pending. */
    std::vector<ProgressWrite> takeWrites();

    /** Records that @p writes were committed together at @p revision. Writes of an earlier term say nothing about this one and are ignored. */
    void written(const std::vector<ProgressWrite> &writes, std::uint64_t revision);

    /** Steps down because @p writes may not have been committed. Does nothing when they belong to an earlier term. */
    void notWritten(const std::vector<ProgressWrite> &writes, const std::string &reason);

    /**
     * Records that the table has refused @p writes for good: nothing was written, and the same rows never will be.
     *
     * From then on each of these jobs is written by itself, so that it holds up no other. One that is refused by itself as well is tried again
     * after a pause, and ends as failed after a number of refusals, as its runs cannot be recorded. Refusals count only while leadership is renewed,
     * as a table that refuses everything says nothing of a job.
     */
    void refused(const std::vector<ProgressWrite> &writes, const std::string &reason);

    /** Whether @p writes belong to the current term. */
    bool isCurrent(const std::vector<ProgressWrite> &writes) const;

    /** Returns the write of the agents' bounds that is due; nothing otherwise. Each one that is taken must be answered by one of the next three. */
    std::optional<BoundsWrite> takeBoundsWrite();

    /** Records that @p write was committed at @p revision. Ignored, as the next two are, when it belongs to an earlier term. */
    void boundsWritten(const BoundsWrite &write, std::uint64_t revision);

    /** Records that @p write had no effect and never will. */
    void boundsNotWritten(const BoundsWrite &write);

    /** Records that @p write may take effect yet; @p stored is the row as read since, or nothing. */
    void boundsInDoubt(const BoundsWrite &write, const std::optional<StoredBounds> &stored);

    /** Whether an agent waits for a lease until the bounds are written. */
    bool isBoundsWriteUrgent() const;

    /** Returns the assignments that have changed since they were last sent. */
    std::vector<OutgoingSync> takeSyncs();

    TaskPlacerStatus view() const;

private:
    void clearLeadership(const std::string &reason);
    bool areOfThisTerm(const std::vector<ProgressWrite> &writes) const;
    ProgressWrite writeOf(const JobId &id, const LiveJob &job) const;
    void setAside(const JobId &id, LiveJob &job, const std::string &reason);
    void addJob(StoredJob stored);
    void refreshState(LiveJob &job);
    void stopRun(LiveWorker &worker, const TaskRun &run);
    void stopRuns(const JobId &job);
    void endRun(LiveWorker &worker, const TaskRun &run, RunEnd how, const std::string &checkpoint);
    void applyEnd(LiveJob &job, const TaskRun &run, TaskProgress &task, RunEnd how, const std::string &checkpoint);
    void stopGangMembers(LiveJob &job, const TaskRun &run, const std::string &checkpoint);

    AssignmentSync announcement() const;
    void handleEnds(LiveWorker &worker, const AgentReport &report);
    void endUnknownRuns(LiveWorker &worker, const AgentReport &report);
    void rebindRuns(LiveWorker &worker, const AgentReport &report);
    void loseRuns(LiveWorker &worker, const std::string &reason);
    Millis runsLastAfter(Millis agentLease) const;
    void boundUnreportedRuns(const Takeover &takeover);
    void boundRuns(LiveWorker &worker, const AgentReport &report, bool isFirst);
    AgentBounds wantedBounds(Instant now) const;
    void expireUnresponsive(Instant now);

    bool isSettled(Instant now) const;
    void moveStalledRuns(const std::vector<PlacedRun> &stalled, Instant now);
    void assign(const StepStart &start, Instant now);
    bool applyZone(LiveWorker &worker);
    void applyZones(Instant now);
    void refreshSpeeds(Instant now);
    void logHeld(const std::vector<HeldStep> &held);
    void logClosedOut(const std::vector<JobId> &jobs);

    Clock &clock;
    const TaskPlacerOptions options;
    const Logger log;
    mutable std::mutex mutex;
    Epoch epoch = 0;
    Instant leaderSince;
    Instant renewedAt; ///< when the last renewal of leadership was sent
    Instant grantsUntil;
    JobRank rank;
    WorkerHealth health;
    ExecutorSpeeds speeds; ///< kept from term to term, as machines keep their speed
    RoutingTable routes;
    std::map<JobId, LiveJob> jobs;
    std::map<NodeId, LiveWorker> workers;
    CrashLedger crashes;
    BoundsLedger bounds;
    ZoneGate zones;
    ClosedZoneWatch zoneWatch;
    StartWaits waits;
    Instant nextWaitWatchAt;
    bool areZonesKnown = true; ///< as of the last plan
    std::atomic<bool> hasChanges{false}; ///< since the last plan; read without the mutex
};

} // namespace waxwingloft

#endif
