#ifndef WAXWINGLOFT_REQUEST_LEASEGRANTER_H
#define WAXWINGLOFT_REQUEST_LEASEGRANTER_H

#include "waxwingloft/connection/executorport.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/request/executorcontrolleroptions.h"
#include "waxwingloft/request/executorlease.h"

#include <optional>

namespace waxwingloft {

/**
 * Which leases an agent asks for at its executor, on whose clock they end, and when they are known to have expired.
 *
 * A lease is asked for only while the agent holds an agent lease, and with a reading of the executor's clock that is
 * so young that the lease lasts no longer than is assumed. Not thread safe.
 */
class LeaseGranter
{
public:
    LeaseGranter(const ExecutorControllerOptions &options, Instant now);

    /** Begins anew for another incarnation of the executor. */
    void beginIncarnation(Instant now);

    /** Earlier processes of this agent, and late orders to an earlier incarnation, may have granted leases until @p now, which the executor still holds. */
    void assumeLongestLease(Instant now);

    /** Prolongs the agent lease; an earlier end changes nothing. */
    void prolongAgentLease(Instant until);

    /** Takes the executor's time from an answer that arrived at @p now. */
    void readClock(const ExecutorStamp &stamp, Instant now);

    /** Returns the end of a lease, on the executor's clock, that may be asked for now. */
    std::optional<Millis> leaseEnd(Instant now) const;

    /** The same for a renewal; empty until the last one is old enough. */
    std::optional<Millis> renewalEnd(Instant now) const;

    /** Records that a call which asks for a lease is on its way. */
    void callSent();

    /** Records the answer to such a call. */
    template<typename Answer>
    void callEnded(const Result<Answer> &answer, Instant now)
    {
        if (succeeded(answer)) {
            this->lease.callAnswered(now);
        } else {
            this->lease.callFailed(now, mayTakeEffect(errorOf(answer).kind));
        }
    }

    /** Records that a renewal was answered. */
    void renewed(Instant now);

    /** Returns what is known of the lease's expiry. */
    const ExecutorLease &expiry() const;

private:
    const ExecutorControllerOptions options;
    ExecutorLease lease;
    Instant agentLeaseUntil;
    Instant renewedAt; ///< when the last renewal was answered
    std::optional<Millis> clockOffset; ///< executor's clock minus the agent's
    Instant clockOffsetAt; ///< when the executor last gave its time
};

} // namespace waxwingloft

#endif
