#ifndef WAXWINGLOFT_REQUEST_EXECUTORLEASE_H
#define WAXWINGLOFT_REQUEST_EXECUTORLEASE_H

#include "waxwingloft/process/clock.h"

#include <vector>

namespace waxwingloft {

/**
 * When the lease of everything on an executor is known to have expired.
 *
 * A call that asks for a lease extends it from the moment at which it is carried out, by at most the longest lease. An
 * answered call was carried out before its answer, a call without one is carried out within the longest lateness or
 * never, and nothing is known of a call whose answer is pending. What has lapsed is not revived by a later extension.
 *
 * Its life span is that of the executor's incarnation. Not thread safe.
 */
class ExecutorLease
{
public:
    /** Leases last at most @p longestLease on this clock; calls without an answer are carried out within @p longestLateness. */
    ExecutorLease(Millis longestLease, Millis longestLateness);

    /** Begins anew; leases that others have granted end by @p grantedUntil. */
    void restart(Instant grantedUntil);

    /** Records that a call which asks for a lease is on its way. */
    void callSent();

    /** Records that a call which asked for a lease was answered. */
    void callAnswered(Instant now);

    /** Records that a call which asked for a lease got no answer; unless it @p mayTakeEffect, it grants nothing. */
    void callFailed(Instant now, bool mayTakeEffect);

    /** Whether all runs that had begun by now have lapsed. */
    bool hasExpired(Instant now) const;

    /** Whether also all runs have lapsed that an unanswered start may have begun. */
    bool hasExpiredForLateStarts(Instant now) const;

private:
    Millis longestLease;
    Millis longestLateness;
    int pending = 0; ///< calls whose answer is pending
    Instant grantedUntil; ///< end of the leases of answered calls
    std::vector<Instant> carriedOutBy; ///< of each call without an answer, in ascending order
};

} // namespace waxwingloft

#endif
