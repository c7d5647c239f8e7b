#ifndef WAXWINGLOFT_REQUEST_AGENTRUN_H
#define WAXWINGLOFT_REQUEST_AGENTRUN_H

#include "waxwingloft/connection/executorport.h"
#include "waxwingloft/connection/taskmessages.h"
#include "waxwingloft/process/capacity.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace waxwingloft {

/**
 * A run at an executor as its agent knows it, and what proves that it is over.
 *
 * A run is over only when it is not live now and cannot become live later. An unanswered start may have been carried
 * out, or may be carried out seconds later, after newer calls; until then it is open, and the refusal of another start
 * says nothing about it. So a run is over when
 * - its executor lists its end, or
 * - a start of it is refused while none is open and it was not listed, or
 * - it is closed, which means that its executor begins it no more, and a list poll sent after that does not list it.
 * An executor begins a run no more when it has begun it, has listed it, refuses it as an old one or has answered a stop of it.
 *
 * The end of the executor's incarnation and the expiry of its lease end all runs at once; ExecutorController decides on those.
 */
class AgentRun
{
public:
    AgentRun() = default;
    AgentRun(const Assignment &assignment, Instant now);

    bool isStartDue(Instant now) const;
    bool isStopDue(Instant now) const;

    /** Whether a stop is wanted, also when it has been answered. */
    bool isStopWanted() const;

    /** Returns since when the start that is due has been waiting. */
    Instant dueSince() const;

    /** Sets what it needs, which is not known of a run that was only listed. */
    void setNeeds(const Capacity &needs);

    /** Returns what it needs of its executor's capacity; nothing while that is not known. */
    const std::optional<Capacity> &needs() const;

    /** Whether a start of it may have been carried out, or may still be. */
    bool mayHaveStarted() const;

    /** Wants the run stopped, from @p now on. */
    void stop(Instant now);

    /** Records that the start or stop that is due was sent. */
    void orderSent(bool isStop);

    /** Records that an order failed with @p error; it is due again at @p dueAt. Returns whether this is the first start of the run without an answer. */
    bool orderFailed(bool isStop, const Error &error, Instant dueAt);

    /** Records an accepted start. Polls with @p nextPoll and later serials are conclusive. */
    void startAccepted(std::uint64_t nextPoll);

    /** Records that a start had no effect because its lease was over; it is due again at @p dueAt. */
    void startWasTooLate(Instant dueAt);

    /** Records a refused start. Returns whether the run is over; otherwise it is to be stopped from @p now on, unless it was listed and goes on. */
    bool startRefused(RefusalReason reason, std::uint64_t nextPoll, Instant now);

    /** Gives up the start that is due at @p now, as @p reason stands against it. Returns whether the run is over; otherwise an earlier start is open and the
     * run is to be stopped. */
    bool withdrawStart(RefusalReason reason, Instant now);

    void stopAnswered(std::uint64_t nextPoll);

    /** Applies its row in the lists that poll @p serial returned. Returns whether that shows that it started. */
    bool listed(const std::string &checkpoint, std::uint32_t percent, std::uint64_t serial);

    /**
     * Records that the executor had the run when its clock showed @p executorClock; zero for an unknown time.
     *
     * Returns whether that is the first proof that the executor outlived the start by @p startPeriod.
     */
    bool seenAt(Millis executorClock, Millis startPeriod);

    /** Returns what is known of the effect of its start. */
    StartEffect startEffect() const;

    /** Whether its absence from the lists that poll @p serial returned proves that it is over. */
    bool isOverIfUnlisted(std::uint64_t serial) const;

    /** Returns the end of @p run, which is this run, as its agent infers it: the executor gave it no number. */
    EndReport inferredEnd(const TaskRun &run, RunEnd end) const;

    /** Returns its end when the lists omit it: refused if a start was refused, otherwise stopped. */
    EndReport unlistedEnd(const TaskRun &run) const;
    RunReport report(const TaskRun &run) const;

    const std::string &startSpec() const;
    const std::string &latestCheckpoint() const;

private:
    void close(std::uint64_t nextPoll);

    std::string spec;
    std::string checkpoint;
    std::optional<Capacity> knownNeeds;
    std::uint32_t percent = 0;
    RunPhase phase = RunPhase::Ordered;
    bool stopWanted = false;
    bool stopWasAnswered = false;
    bool isInFlight = false; ///< an order was sent and its answer is pending
    bool openStart = false;
    bool hasOutlivedStart = false;
    std::optional<Millis> firstSeenAt; ///< on the executor's clock
    RefusalReason refusal = RefusalReason::None; ///< of a start that was refused or given up while another one was open
    std::uint64_t closedFrom = 0; ///< serial of the first poll that was sent after the run was closed; zero while it is not
    Instant dueAt;
};

} // namespace waxwingloft

#endif
