#ifndef WAXWINGLOFT_REQUEST_LEASEGRANTER_H
#define WAXWINGLOFT_REQUEST_LEASEGRANTER_H

#include "waxwingloft/connection/executorport.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/request/executorcontrolleroptions.h"
#include "waxwingloft/request/executorlease.h"
#include "waxwingloft/request/leasebudget.h"

#include <optional>

namespace waxwingloft {

/** A lease to ask for. */
struct DueLease {
    Millis end; ///< on the executor's clock
    LeaseCall call;
};

/**
 * Which leases an agent asks for at its executor, on whose clock they end, and when they are known to have expired.
 *
 * A lease is asked for only while the agent holds an agent lease, with a reading of the executor's clock that is
 * so young that the lease lasts no longer than is assumed, and within the LeaseBudget. Not thread safe.
 */
class LeaseGranter
{
public:
    LeaseGranter(const ExecutorControllerOptions &options, Instant now);

    /** Begins anew for another incarnation of the executor. */
    void beginIncarnation(Instant now);

    /** Earlier processes of this agent, and late orders to an earlier incarnation, may have granted leases until @p now, which the executor still holds. */
    void assumeLongestLease(Instant now);

    /** Prolongs the agent lease; an earlier end changes nothing. @p openCallsReported says that the report it answers named the open calls. */
    void prolongAgentLease(Instant until, bool openCallsReported);

    /** Takes the executor's time from an answer that arrived at @p now. */
    void readClock(const ExecutorStamp &stamp, Instant now);

    /** Returns the lease to ask for with a start, which is then on its way; @p isAlone says that no other run can have begun. */
    std::optional<DueLease> takeStartLease(Instant now, bool isAlone);

    /** The same with a renewal; empty until the last one is old enough. */
    std::optional<DueLease> takeRenewal(Instant now);

    /** Whether the last renewal is old enough for the next one, whether or not that may be asked for. */
    bool isRenewalDue(Instant now) const;

    /** Records the answer to a call that asked for a lease. */
    template<typename Answer>
    void callEnded(const LeaseCall &call, const Result<Answer> &answer, Instant now)
    {
        if (succeeded(answer)) {
            this->lease.callAnswered(now);
            this->budget.callAnswered(call, now);
        } else {
            const bool takesEffect = mayTakeEffect(errorOf(answer).kind);
            this->lease.callFailed(now, takesEffect);
            this->budget.callFailed(call, now, takesEffect);
        }
    }

    /** Whether a call without an answer may still be carried out. */
    bool hasOpenCalls(Instant now);

    /** Returns for how long earlier answers to reports allow leases to keep runs alive. */
    Millis budgetLeft(Instant now) const;

    /** Records that a renewal was answered. */
    void renewed(Instant now);

    /** Returns what is known of the lease's expiry. */
    const ExecutorLease &expiry() const;

private:
    bool mayAsk(Instant now) const;
    DueLease take(Millis length, Millis reserved, Instant now);

    const ExecutorControllerOptions options;
    ExecutorLease lease;
    LeaseBudget budget;
    Instant agentLeaseUntil;
    Instant renewedAt; ///< when the last renewal was answered
    std::optional<Millis> clockOffset; ///< executor's clock minus the agent's
    Instant clockOffsetAt; ///< when the executor last gave its time
};

} // namespace waxwingloft

#endif
