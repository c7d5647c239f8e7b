#ifndef WAXWINGLOFT_REQUEST_EXECUTORLEASE_H
#define WAXWINGLOFT_REQUEST_EXECUTORLEASE_H

#include "waxwingloft/process/clock.h"

namespace waxwingloft {

/**
 * When the lease of everything on an executor is known to have expired.
 *
 * A call that asks for a lease names its end on the executor's clock. Whenever it is carried out, what runs there or begins by it ends by then;
 * a start that is carried out later begins nothing. Nothing is known of a call whose answer is pending.
 *
 * Its life span is that of the executor's incarnation. Not thread safe.
 */
class ExecutorLease
{
public:
    /** Begins anew; leases that others have asked for end by @p end. */
    void restart(Instant end);

    /** Records that a call which asks for a lease is on its way. */
    void callSent();

    /** Records that the call was answered, or may be carried out without an answer; the lease that it asked for ends by @p end. */
    void callEnded(Instant end);

    /** Records that the call surely had no effect. */
    void callDropped();

    /** Whether all runs have lapsed, also those that a start without an answer may have begun. */
    bool hasExpired(Instant now) const;

private:
    int pending = 0; ///< calls whose answer is pending
    Instant end; ///< of all leases that were asked for
};

} // namespace waxwingloft

#endif
