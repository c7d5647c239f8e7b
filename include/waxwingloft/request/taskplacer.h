#ifndef WAXWINGLOFT_REQUEST_TASKPLACER_H
#define WAXWINGLOFT_REQUEST_TASKPLACER_H

#include "waxwingloft/connection/taskmessages.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/workerhealth.h"
#include "waxwingloft/request/jobprogress.h"
#include "waxwingloft/request/jobrank.h"
#include "waxwingloft/request/stepplanner.h"
#include "waxwingloft/version/routebook.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwingloft {

/** Times of the placer in office. */
struct OfficeTerms {
    Millis licence = Millis(3000); ///< an agent may prolong its executor's lease this long after a report
    Millis longestLease = Millis(6020); ///< of an executor, on our clock: the lease by a clock that is 2% slow
    Millis margin = Millis(300); ///< for rounding and for the time of an answer
    Millis mandate = Millis(8000); ///< a placer that has lost the table grants licences this long after its last renewal
    Millis settleTime = Millis(400); ///< after taking office, for the agents to report
    Millis freshness = Millis(2000); ///< an agent that was silent for longer gets no new work
    Millis refusalPause = Millis(500); ///< a worker that refused a start for want of health or room gets no new work
    double urgentMayLose = 150.0; ///< core seconds that an urgent job in time may throw away: a fifteenth of its worth at the users' price
    Millis soon = Millis(700); ///< expected end of a run that is waited for rather than another one stopped
    Millis waitForEnds = Millis(900); ///< after a job came in; leaves the time of a stop and a start in the shortest reclaim bound
    Millis standstill = Millis(2500); ///< without progress, after which a run stands still; two looks at it by its agent and a report
    std::uint32_t movePercent = 50; ///< a run that stands still is started elsewhere before it has done this much
    double slowShare = 0.4; ///< of the median speed, below which a worker is slow; the users' slow-downs are 4 to 6.5 times
    Millis tellingTime = Millis(1000); ///< age from which the progress of a run tells its speed
    HealthTerms health = {2, 3, Millis(4000), Millis(60'000)}; ///< quarantine of workers that fail what they start; their failing spells last about 6 s
    Millis reserveAfter = Millis(1500); ///< a gang that waited this long keeps room clear for itself
    std::size_t batchRows = 40; ///< rows in one transaction; each counts as a condition and a write, of which 100 are allowed
};

/** A job as the table holds it. */
struct StoredJob {
    JobSubmission submission;
    bool isCancelled = false;
    JobProgress progress;
    std::uint64_t progressRevision = 0; ///< zero: no progress has been written
};

/** Progress to be written. */
struct ProgressWrite {
    JobId job;
    std::uint64_t revision = 0; ///< that the row must have
    std::uint64_t change = 0;
    std::string value;
};

/** Assignments to be sent to an agent. */
struct OutgoingSync {
    std::string address;
    AssignmentSync sync;
};

/** Figures of the office for status and metrics. */
struct OfficeView {
    Epoch epoch = 0; ///< zero: not in office
    std::size_t jobs = 0;
    std::size_t workers = 0;
    std::size_t assigned = 0;
};

/**
 * The decisions of the placer in office over all jobs and executors.
 *
 * What it decides takes effect in this order: the progress of a job is written, then the agents are told.
 * An end is forgotten by its executor only after it is written. So a successor that reads the rows knows
 * every run that may be under way, and where. It calls nobody; its owner writes rows and sends
 * assignments. Thread safe.
 */
class TaskPlacer
{
public:
    TaskPlacer(Clock &clock, OfficeTerms terms, RankTerms rankTerms);

    /** Begins office under @p epoch with the jobs as read after the epoch was written. */
    void takeOffice(Epoch epoch, std::vector<StoredJob> jobs);
    void leaveOffice(const std::string &reason);
    bool isInOffice() const;

    /** The duty was renewed by a call sent at @p sentAt; licences are granted for a while from then on. */
    void renewMandate(Instant sentAt);

    /** Takes in a new job. Known ones are ignored. */
    void submit(const JobSubmission &submission);
    void cancel(const JobId &job);

    /** Replaces what is known of services and guarantees. */
    void setRoutes(const RouteBook &routes);

    /** Takes in a report and returns the answer. Stale when this placer is not in office, or has been replaced. */
    Result<AssignmentSync> report(const AgentReport &report);

    /** Decides what to start and stop now. */
    void plan();

    /** Returns progress to write, for one transaction; empty when all is written. */
    std::vector<ProgressWrite> takeWrites();

    /** The writes have taken effect together under @p revision. */
    void written(const std::vector<ProgressWrite> &writes, std::uint64_t revision);

    /** Returns assignments that changed and have not been sent. */
    std::vector<OutgoingSync> takeSyncs();

    OfficeView view() const;

private:
    struct LiveJob {
        JobSubmission submission;
        JobProgress progress;
        std::uint64_t change = 0; ///< rises with every change of the progress
        std::uint64_t stored = 0; ///< change that the row holds
        std::uint64_t revision = 0;
        bool isBeingWritten = false;
        Instant knownSince;
    };

    struct LiveRun {
        std::uint64_t change = 0; ///< of the job when it was assigned
        Instant assignedAt;
        bool isStopping = false;
        bool isSent = false; ///< its agent may have been told of it
        std::optional<Instant> expectedEnd;
        std::uint32_t percent = 0;
        Instant risenAt; ///< when the percentage was last seen to rise
        Millis estimate = Millis(0);
        std::uint64_t leftOutBy = 0; ///< first assignments without it; zero while it is to run
        Capacity needs;
    };

    struct PendingNote {
        std::uint64_t number = 0;
        JobId job;
        std::uint64_t change = 0;
    };

    struct Worker {
        AgentReport last;
        bool isKnown = false; ///< has reported in this office
        Instant heardAt;
        Instant pausedUntil;
        std::uint64_t syncSequence = 0;
        std::uint64_t seenEnds = 0;
        std::uint64_t notedEnds = 0;
        std::deque<PendingNote> pendingNotes;
        bool hasOrphans = false; ///< runs there that take room which is not accounted for
        std::map<TaskRun, LiveRun> runs; ///< assigned and not known to have ended
        bool needsSync = false;
    };

    /** Waiting tasks with where they come from. */
    struct Unit {
        LiveJob *job = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::vector<std::uint32_t> indices;
        double rank = 0.0;
        bool isEntitled = false;
        bool isUrgent = false; ///< of the first priority, and still in time
        bool isYoung = false;
        bool hasWaitedLong = false;
    };

    /** The workers of one plan; indices are those of the planner. */
    struct Fleet {
        std::vector<PlannerWorker> workers;
        std::vector<Worker *> byIndex;
        std::map<NodeId, std::size_t> indexOf;
        Capacity total;
    };

    /** What runs in one plan; indices are those of the planner. */
    struct RunningSet {
        std::vector<RunningTasks> tasks;
        std::vector<std::vector<std::pair<Worker *, TaskRun>>> runs;
    };

    void leave(const std::string &reason);
    void change(LiveJob &job);
    void refreshState(LiveJob &job);
    void addJob(StoredJob stored);
    static LiveRun liveRun(const LiveJob &job, std::uint32_t step, std::uint64_t change, Instant now);
    void stopRun(Worker &worker, const TaskRun &run);
    void stopRuns(const JobId &job);
    void endRun(Worker &worker, const TaskRun &run, RunEnd how, const std::string &checkpoint);
    void applyEnd(LiveJob &job, const TaskRun &run, TaskProgress &task, RunEnd how, const std::string &checkpoint);
    void finishGang(LiveJob &job, const TaskRun &run);
    void breakGang(LiveJob &job, const TaskRun &run, const std::string &checkpoint);
    void countFailure(LiveJob &job, const TaskKey &key, TaskProgress &task);
    static const JobStep &stepOf(const LiveJob &job, const TaskKey &key);

    void takeEnds(Worker &worker, const AgentReport &report);
    void takeRuns(Worker &worker, const AgentReport &report);
    void dropUnknown(Worker &worker, const AgentReport &report);
    void rebindRuns(Worker &worker, const AgentReport &report);
    bool isOrphaned(const TaskKey &task) const;
    void loseRuns(Worker &worker, const std::string &reason);
    void sweepSilent(Instant now);
    void advanceNotes(Worker &worker);
    AssignmentSync makeSync(Worker &worker);
    Assignment assignmentOf(const Worker &worker, const TaskRun &run, const LiveRun &live, const LiveJob &job) const;
    bool isWanted(const Worker &worker, const TaskRun &run, const LiveRun &live);
    bool isStored(const TaskRun &run, const LiveRun &live) const;
    bool takesWork(const Worker &worker, Instant now) const;

    bool isSettled(Instant now) const;
    bool standsStill(const LiveRun &live, Instant now) const;
    std::optional<double> speedOf(const Worker &worker, Instant now) const;
    void markSlow(Fleet &fleet, Instant now) const;
    void moveStanding(Instant now);
    Fleet collectFleet(Instant now);
    std::vector<Unit> collectUnits(const Fleet &fleet, const std::set<JobId> &entitled, Instant now);
    void addUnits(LiveJob &job, std::uint32_t occurrence, const Unit &base, std::vector<Unit> &units);
    std::vector<bool> avoidedBy(const Unit &unit, const Fleet &fleet) const;
    WaitingTasks waitingOf(const Unit &unit, const Fleet &fleet) const;
    std::set<JobId> entitledJobs() const;
    RunningSet collectRunning(const Fleet &fleet, const std::set<JobId> &entitled, Instant now);
    void assign(const Unit &unit, const std::vector<std::size_t> &places, const Fleet &fleet, Instant now);

    Clock &clock;
    const OfficeTerms terms;
    const Logger log;
    mutable std::mutex mutex;
    Epoch epoch = 0;
    Instant inOfficeSince;
    Instant mandateUntil;
    JobRank rank;
    WorkerHealth health;
    RouteBook routes;
    std::map<JobId, LiveJob> jobs;
    std::map<NodeId, Worker> workers;
};

} // namespace waxwingloft

#endif
