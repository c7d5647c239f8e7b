#ifndef WAXWINGLOFT_REQUEST_LEASEGRANTER_H
#define WAXWINGLOFT_REQUEST_LEASEGRANTER_H

#include "waxwingloft/connection/executorport.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/request/executorcontrolleroptions.h"
#include "waxwingloft/request/executorlease.h"

#include <optional>

namespace waxwingloft {

/** A lease to ask for. */
struct DueLease {
    Millis end; ///< on the executor's clock
    Instant endsBy; ///< the latest end on the agent's clock
};

/**
 * Which leases an agent asks for at its executor, on whose clock they end, and when they are known to have expired.
 *
 * A lease is asked for only while the agent holds an agent lease, and with a reading of the executor's clock that is
 * so young that the lease lasts no longer than is assumed. So all leases end within the longest one after the agent lease, which is what the
 * placer waits for. Not thread safe.
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

    /** Returns the lease to ask for with a start, which is then on its way; @p isAlone says that no other run can have begun. */
    std::optional<DueLease> takeStartLease(Instant now, bool isAlone);

    /** The same with a renewal; empty until the last one is old enough. */
    std::optional<DueLease> takeRenewal(Instant now);

    /** Whether the last renewal is old enough for the next one, whether or not that may be asked for. */
    bool isRenewalDue(Instant now) const;

    /** Records the answer to a call that asked for a lease which ends by @p endsBy. */
    template<typename Answer>
    void callEnded(Instant endsBy, const Result<Answer> &answer)
    {
        if (succeeded(answer) || mayTakeEffect(errorOf(answer).kind)) {
            this->lease.callEnded(endsBy);
        } else {
            this->lease.callDropped();
        }
    }

    /** Returns for how long earlier answers to reports allow leases to keep runs alive. */
    Millis longestLeft(Instant now) const;

    /** Records that a renewal was answered. */
    void renewed(Instant now);

    /** Returns what is known of the lease's expiry. */
    const ExecutorLease &expiry() const;

private:
    bool mayAsk(Instant now) const;
    DueLease take(Millis lease, Instant now);

    const ExecutorControllerOptions options;
    ExecutorLease lease;
    Instant agentLeaseUntil;
    Instant renewedAt; ///< when the last renewal was answered
    std::optional<Millis> clockOffset; ///< executor's clock minus the agent's
    Instant clockOffsetAt; ///< when the executor last gave its time
};

} // namespace waxwingloft

#endif
