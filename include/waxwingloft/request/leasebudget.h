#ifndef WAXWINGLOFT_REQUEST_LEASEBUDGET_H
#define WAXWINGLOFT_REQUEST_LEASEBUDGET_H

#include "waxwingloft/process/clock.h"

#include <vector>

namespace waxwingloft {

/** A call that asks an executor for a lease. */
struct LeaseCall {
    Millis length = Millis(0); ///< longest that the lease can last on the agent's clock
    Millis reserved = Millis(0); ///< by which the call, while its answer is pending, can lengthen the lease of other runs
};

/**
 * The longest leases that an agent may ask for, so that the runs of its executor are over when the placer counts those of a silent agent as over.
 *
 * Each answered report allows runs to last until a limit, which is never after the time that the placer waits for. A call can be carried out late
 * and count from then, so that it adds its whole length to the lease it finds; all calls together must not exceed the limit even so. What may begin
 * late is not covered: the placer waits longer for runs that were never reported as begun. Not thread safe.
 */
class LeaseBudget
{
public:
    /**
     * Calls without an answer are carried out within @p longestLateness; no lease lasts longer than @p longestLease on this clock. The placer waits for
     * @p reserve longer than for one lease.
     */
    LeaseBudget(Millis longestLease, Millis longestLateness, Millis reserve);

    /** Begins anew; leases that others have granted end by @p grantedUntil. */
    void restart(Instant grantedUntil);

    /** Raises the limit: leases may be asked for until @p agentLeaseUntil. @p openCallsReported says that the placer knows of the calls without an answer. */
    void raise(Instant agentLeaseUntil, bool openCallsReported);

    /** Returns how long the lease asked for by a further call may be; zero for none. */
    Millis longestNext(Instant now);

    /** The same for the start of a run while no other run can have begun and no call is pending. */
    Millis longestAlone(Instant now) const;

    bool hasPendingCalls() const;

    /** Whether a call without an answer may still be carried out. */
    bool hasOpenCalls(Instant now);

    /** Returns until when the leases may keep runs alive. */
    Instant limit() const;

    void callSent(const LeaseCall &call, Instant now);
    void callAnswered(const LeaseCall &call, Instant now);

    /** Records that a call got no answer; unless it @p mayTakeEffect, it grants nothing. */
    void callFailed(const LeaseCall &call, Instant now, bool mayTakeEffect);

private:
    struct OpenCall {
        Instant latest; ///< it is carried out by then or never
        Millis length;
    };

    void settle(Instant now);

    Millis longestLease;
    Millis longestLateness;
    Millis reserve;
    Instant end; ///< of all runs that have begun, without the pending and the open calls
    Instant limitAt;
    Millis pending = Millis(0); ///< reserved by calls whose answer is pending
    int pendingCalls = 0;
    std::vector<OpenCall> open;
};

} // namespace waxwingloft

#endif
