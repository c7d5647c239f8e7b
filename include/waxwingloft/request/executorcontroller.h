#ifndef WAXWINGLOFT_REQUEST_EXECUTORCONTROLLER_H
#define WAXWINGLOFT_REQUEST_EXECUTORCONTROLLER_H

#include "waxwingloft/connection/executorport.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/request/agentrun.h"
#include "waxwingloft/request/endproof.h"
#include "waxwingloft/request/executorcontrolleroptions.h"
#include "waxwingloft/request/heldcapacity.h"
#include "waxwingloft/request/incarnationcandidate.h"
#include "waxwingloft/request/leasegranter.h"
#include "waxwingloft/request/startpermission.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwingloft {

/** An order to send to the executor. */
struct DueOrder {
    bool isStop = false;
    ExecutorIncarnation incarnation;
    StartOrder start; ///< for a stop, only the run and the token are used
    Instant leaseEndsBy; ///< of the lease that a start asks for
};

/** A list poll to send to the executor. */
struct DueRunListQuery {
    ExecutorIncarnation incarnation;
    RunListQuery question;
    std::uint64_t serial = 0; ///< increases with each poll
    Instant leaseEndsBy; ///< of the lease that it asks for, if the question does
    bool isOfCandidate = false; ///< asks whether an incarnation that is not in use is live
    bool isOfLeaver = false; ///< goes to an incarnation that said that it is about to end
};

/**
 * The agent's state of its executor: runs that were assigned, runs that are active and runs that ended.
 *
 * It makes the final checks before a start: the placer's epoch, the executor's incarnation, whether the executor
 * drains, whether starts are permitted in its zone, that the run has not ended, and that the executor's capacity covers it beside the other runs that may
 * be live there. It renews the executor's lease
 * only while it holds an agent lease from the placer. It makes no calls itself; its owner sends what is due and passes the answers back. Thread safe.
 */
class ExecutorController
{
public:
    ExecutorController(Clock &clock, Metrics &metrics, NodeId node, std::string address, ExecutorControllerOptions options);

    /** Whether an executor that left or is unresponsive has runs whose end the placer has not confirmed. */
    bool hasUnconfirmedEnds() const;

    /** Whether a new generation is needed: at the start, and at the first answer of an executor that restarted under the same id. */
    bool needsGeneration() const;

    /**
     * Sets a generation higher than all earlier ones; no order or poll is sent before it is set.
     *
     * @p epoch is that of the leading placer, read since this process started: an earlier process of the agent may have reported to it already,
     * so placers of lower epochs are ignored from the start.
     */
    void setGeneration(std::uint64_t generation, Epoch epoch);

    /** Sets a callback, called without a lock held, for changes worth a report and for new orders. */
    void setWakeUp(std::function<void()> wakeUp);

    void heartbeat(const ExecutorHeartbeat &heartbeat);

    /** Notes that the incarnation is about to end. It gets no more orders and no more lease; its runs are over once that is proven. */
    void deregister(const ExecutorIncarnation &incarnation);

    /** Applies the assignments of a placer unless newer ones have been applied. */
    void apply(const AssignmentSync &sync);

    /** Applies the answer to a report. Its agent lease and start permission count from @p sentAt, when the report was sent, so they end no later than the
     * placer assumes. */
    void applyAnswer(const AssignmentSync &sync, Instant sentAt);

    /** Returns the orders that are due and marks them as in flight. Returns starts for which there is no room to the placer. */
    std::vector<DueOrder> takeDueOrders();

    /** Whether starts may be sent now. Asked again just before each is sent, as it may have waited for other orders or a paused process. */
    bool maySendStarts() const;
    void startAnswered(const DueOrder &order, const Result<StartAnswer> &answer);
    void stopAnswered(const DueOrder &order, const Result<ExecutorStamp> &answer);

    /** Returns the next list poll; empty while no executor is registered or no generation is set. */
    std::optional<DueRunListQuery> nextRunListQuery();

    /** Takes the answer to @p poll. Returns whether its lists were applied; the next poll may follow at once only then. */
    bool runListAnswered(const DueRunListQuery &poll, const Result<RunListAnswer> &answer);

    /** Notes that nobody listened at the executor's address after @p poll, which went to an incarnation that leaves, was not answered. */
    void leaverIsAbsent(const DueRunListQuery &poll);

    /** Returns a report; empty before the lists of the executor's incarnation have been read. */
    std::optional<AgentReport> report();

    /** Returns a counter that increases with every change worth a report. */
    std::uint64_t changes() const;

private:
    bool refresh(const ExecutorHeartbeat &heartbeat);
    void take(const ExecutorHeartbeat &heartbeat);
    std::optional<ExecutorIncarnation> incarnationInUse() const;
    void beginIncarnation(const ExecutorHeartbeat &heartbeat);
    bool candidateAnswered(const DueRunListQuery &poll, const Result<RunListAnswer> &answer);
    bool applyAssignments(const AssignmentSync &sync);
    bool isStartPermitted(Instant now);
    void addAssignment(const Assignment &assignment);
    bool hasEnded(const TaskRun &run) const;
    std::vector<DueOrder> collectDueOrders();
    StartFit fitOf(const AgentRun &entry, const HeldCapacity &held) const;
    RefusalReason obstacleTo(const AgentRun &entry, const HeldCapacity &held) const;
    bool giveUpStart(const TaskRun &run, AgentRun &entry, RefusalReason reason);
    void applyRefusal(AgentRun &entry, const DueOrder &order, RefusalReason refusal);
    void applyRunLists(const DueRunListQuery &poll, const RunListAnswer &answer);
    void endUnlistedRuns(const DueRunListQuery &poll, const RunListAnswer &answer);
    void end(const EndReport &end, EndProof proof);
    void endAll(EndProof proof);
    void endLapsedRuns();
    bool isUnresponsive() const;
    void recordUnansweredPoll();
    std::optional<DueLease> takeRenewal();
    bool mayHaveOtherRuns(const TaskRun &run) const;
    std::uint64_t fencingToken() const;
    void wake();

    Clock &clock;
    Metrics &metrics;
    const CountersBy<EndProof> endCounters;
    const NodeId node;
    const std::string address;
    const ExecutorControllerOptions options;
    const Logger log;
    std::function<void()> wakeUp;

    mutable std::mutex mutex;
    std::uint64_t generation = 0;
    std::optional<std::int64_t> unknownStart; ///< of an incarnation under the same id that answered before its heartbeat came
    bool isFenceDue = false; ///< that incarnation needs a higher fencing token than late orders to the previous one carry
    std::uint64_t reportSequence = 0;
    std::uint64_t changeCount = 0;
    std::optional<ExecutorHeartbeat> latest; ///< of the incarnation in use
    std::optional<Instant> leavesAt; ///< while it drains: it stays until then at least
    Instant coldUntil; ///< as its zone was closed or opened; it expects to be slow until then
    IncarnationCandidate candidate;
    bool hasRunLists = false; ///< the run lists of this incarnation have been read
    bool hasLeft = false; ///< the incarnation in use said that it is about to end
    int unansweredPolls = 0;
    Epoch highestEpoch = 0;
    std::uint64_t syncSequence = 0;
    std::uint64_t acknowledgedEnds = 0;
    std::uint64_t firstListedEnd = 0; ///< in the lists that were read last; zero when they had none
    std::uint64_t pollSerial = 0;
    LeaseGranter leases;
    StartPermission permission;
    bool isWaitingForPermission = false; ///< a start is due, for which there is no permission at the moment
    bool hasStartWithoutLease = false; ///< a start is due, for which no lease may be asked at the moment
    std::map<TaskRun, AgentRun> runs;
    std::vector<EndReport> ends;
    std::set<TaskRun> reportedEnds; ///< in the last report
    std::set<TaskRun> answeredEnds; ///< in the last report that the placer answered
};

} // namespace waxwingloft

#endif
