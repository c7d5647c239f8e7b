#ifndef WAXWINGLOFT_REQUEST_TASKPLACER_H
#define WAXWINGLOFT_REQUEST_TASKPLACER_H

#include "waxwingloft/connection/taskmessages.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/request/jobprogress.h"
#include "waxwingloft/request/jobrank.h"
#include "waxwingloft/request/liveworker.h"
#include "waxwingloft/request/taskplaceroptions.h"
#include "waxwingloft/request/taskplanner.h"
#include "waxwingloft/version/routingtable.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace waxwingloft {

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
struct TaskPlacerStatus {
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
    TaskPlacer(Clock &clock, TaskPlacerOptions options, JobRankOptions rankOptions);

    /** Begins office under @p epoch with the jobs as read after the epoch was written. */
    void becomeLeader(Epoch epoch, std::vector<StoredJob> jobs);
    void stepDown(const std::string &reason);
    bool isLeader() const;

    /** The duty was renewed by a call sent at @p sentAt; licences are granted for a while from then on. */
    void leadershipRenewed(Instant sentAt);

    /** Takes in a new job. Known ones are ignored. */
    void submit(const JobSubmission &submission);
    void cancel(const JobId &job);

    /** Replaces what is known of services and guarantees. */
    void setRoutes(const RoutingTable &routes);

    /** Takes in a report and returns the answer. Stale when this placer is not in office, or has been replaced. */
    Result<AssignmentSync> report(const AgentReport &report);

    /** Whether something has changed since the last plan that could change the next one; time alone is not counted. */
    bool isPlanDue() const;

    /** Decides what to start and stop now. */
    void plan();

    /** Returns progress to write, for one transaction; empty when all is written. */
    std::vector<ProgressWrite> takeWrites();

    /** The writes have taken effect together under @p revision. */
    void written(const std::vector<ProgressWrite> &writes, std::uint64_t revision);

    /** Returns assignments that changed and have not been sent. */
    std::vector<OutgoingSync> takeSyncs();

    TaskPlacerStatus view() const;

private:
    void clearLeadership(const std::string &reason);
    void addJob(StoredJob stored);
    void refreshState(LiveJob &job);
    void stopRun(LiveWorker &worker, const TaskRun &run);
    void stopRuns(const JobId &job);
    void endRun(LiveWorker &worker, const TaskRun &run, RunEnd how, const std::string &checkpoint);
    void applyEnd(LiveJob &job, const TaskRun &run, TaskProgress &task, RunEnd how, const std::string &checkpoint);
    void stopGangMembers(LiveJob &job, const TaskRun &run, const std::string &checkpoint);

    void handleEnds(LiveWorker &worker, const AgentReport &report);
    void endUnknownRuns(LiveWorker &worker, const AgentReport &report);
    void rebindRuns(LiveWorker &worker, const AgentReport &report);
    void loseRuns(LiveWorker &worker, const std::string &reason);
    void expireUnresponsive(Instant now);

    bool isSettled(Instant now) const;
    void moveStalledRuns(const std::vector<PlacedRun> &stalled, Instant now);
    void assign(const StepStart &start, Instant now);

    Clock &clock;
    const TaskPlacerOptions options;
    const Logger log;
    mutable std::mutex mutex;
    Epoch epoch = 0;
    Instant leaderSince;
    Instant grantsUntil;
    JobRank rank;
    WorkerHealth health;
    RoutingTable routes;
    std::map<JobId, LiveJob> jobs;
    std::map<NodeId, LiveWorker> workers;
    std::atomic<bool> hasChanges{false}; ///< since the last plan
};

} // namespace waxwingloft

#endif
