#ifndef WAXWINGLOFT_REQUEST_EXECUTORCONTROLLER_H
#define WAXWINGLOFT_REQUEST_EXECUTORCONTROLLER_H

#include "waxwingloft/connection/executorport.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/logger.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwingloft {

/** Times of an agent and its executor. */
struct ExecutorControllerOptions {
    Millis lease = Millis(5900); ///< of what runs; a little below the longest that executors grant
    double clockDrift = 0.02; ///< an executor's clock may be this share slow
    Millis pollWait = Millis(1000); ///< how long a question for the lists stays open; leaves several renewals in a lease
    Millis stopWait = Millis(200); ///< the same while a stop is open, whose run may never be listed
    Millis resendAfter = Millis(50); ///< pause before an order without an answer is sent again
    int unansweredPollsToUnreachable = 2; ///< unanswered questions after which the executor gets no new work
};

/** An order that is due to the executor. */
struct DueOrder {
    bool isStop = false;
    ExecutorIncarnation incarnation;
    StartOrder start; ///< of a stop, only the run and the token count
};

/** A question for the lists that is due. */
struct DueRunListQuery {
    ExecutorIncarnation incarnation;
    RunListQuery question;
    std::uint64_t serial = 0; ///< rises with each question
};

/**
 * The agent's book of its executor: what it was told to run, what really runs, and what ended.
 *
 * It is the last gate before a start: it checks the placer's epoch, the executor's incarnation, whether the executor
 * drains, and that a run has not ended. It prolongs the executor's lease only within a agentLease of the
 * placer. It calls nobody; its owner carries out what is due and reports back. Thread safe.
 */
class ExecutorController
{
public:
    ExecutorController(Clock &clock, NodeId node, std::string address, ExecutorControllerOptions options);

    /** Whether an executor that left or does not answer has runs whose end the placer does not know yet. */
    bool awaitsEnds() const;

    /** Whether a new number is to be drawn: at the start, and when the executor has begun another incarnation under its id. */
    bool needsGeneration() const;

    /** Sets a number that is higher than all before; nothing is ordered before it is set. */
    void setGeneration(std::uint64_t generation);

    /** Is called, without a lock held, after changes that the placer should hear of and when orders are due. */
    void setWakeUp(std::function<void()> wakeUp);

    void heartbeat(const ExecutorHeartbeat &heartbeat);
    void deregister(const std::string &executorId);

    /** Takes over the assignments of a placer unless they are older than what is known. */
    void apply(const AssignmentSync &sync);

    /** Takes over an answer to a report that was sent at @p sentAt, with its agentLease. */
    void applyAnswer(const AssignmentSync &sync, Instant sentAt);

    /** Returns the orders that are due and counts them as under way. */
    std::vector<DueOrder> takeDueOrders();
    void startAnswered(const DueOrder &order, const Result<StartAnswer> &answer);
    void stopAnswered(const DueOrder &order, const Result<ExecutorStamp> &answer);

    /** Returns the next question for the lists; nothing while no executor is known. */
    std::optional<DueRunListQuery> nextRunListQuery();
    void runListAnswered(const DueRunListQuery &poll, const Result<RunListAnswer> &answer);

    /** Returns a report; nothing before the lists of the executor's incarnation have been read. */
    std::optional<AgentReport> report();

    /** Returns a number that rises with every change worth a report. */
    std::uint64_t changes() const;

private:
    struct Entry {
        std::string spec;
        std::string checkpoint;
        std::uint32_t percent = 0;
        RunPhase phase = RunPhase::Ordered;
        bool isStopWanted = false;
        bool isInFlight = false; ///< a call is open
        bool isStopAnswered = false;
        bool isRepeated = false; ///< a start had no answer
        std::uint64_t conclusiveFrom = 0; ///< a question from this serial on shows it, or it is not there
        Instant dueAt;
    };

    void beginIncarnation(const ExecutorHeartbeat &heartbeat);
    bool applyAssignments(const AssignmentSync &sync);
    void addAssignment(const Assignment &assignment);
    bool hasEnded(const TaskRun &run) const;
    void applyRunLists(const DueRunListQuery &poll, const RunListAnswer &answer);
    void endUnlistedRuns(const DueRunListQuery &poll, const RunListAnswer &answer);
    void end(const TaskRun &run, RunEnd how, RefusalReason refusal = RefusalReason::None);
    void endAll();
    void updateClockOffset(const ExecutorStamp &stamp);
    bool isUnresponsive() const;
    void recordUnansweredPoll();
    std::optional<Millis> grantableLeaseEnd(Instant now);
    Millis longestLease() const;
    std::uint64_t fencingToken() const;
    void wake();

    Clock &clock;
    const NodeId node;
    const std::string address;
    const ExecutorControllerOptions options;
    const Logger log;
    std::function<void()> wakeUp;

    mutable std::mutex mutex;
    std::uint64_t generation = 0;
    std::uint64_t reportSequence = 0;
    std::uint64_t changeCount = 0;
    std::optional<ExecutorHeartbeat> latest;
    bool hasRunLists = false; ///< the lists of this incarnation have been read
    bool hasLeft = false;
    int unansweredPolls = 0;
    Epoch highestEpoch = 0;
    std::uint64_t syncSequence = 0;
    std::uint64_t notedEnds = 0;
    std::uint64_t pollSerial = 0;
    Instant agentLeaseUntil;
    Instant latestLeaseEnd; ///< the latest lease that this or an earlier start of the agent can have granted has surely run out
    std::optional<Millis> clockOffset; ///< of the executor before ours
    std::map<TaskRun, Entry> entries;
    std::vector<EndReport> ends;
    std::set<TaskRun> reportedEnds; ///< in the last report
    std::set<TaskRun> answeredEnds; ///< in the last report that was answered
};

} // namespace waxwingloft

#endif
