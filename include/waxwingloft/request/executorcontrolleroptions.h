#ifndef WAXWINGLOFT_REQUEST_EXECUTORCONTROLLEROPTIONS_H
#define WAXWINGLOFT_REQUEST_EXECUTORCONTROLLEROPTIONS_H

#include "waxwingloft/process/clock.h"

namespace waxwingloft {

/** Timing between an agent and its executor. */
struct ExecutorControllerOptions {
    Millis lease = Millis(5900); ///< of all runs; the reserve below the longest lease that executors grant
    Millis startLease = Millis(1000); ///< of a start beside other runs, whose renewals keep the lease
    Millis leaseReserve = Millis(100); ///< by which a lease may last longer, as the executor's clock falls behind since its last answer
    Millis longestLease = Millis(6000); ///< that an executor grants, on its own clock; also to an order meant for its previous incarnation
    double clockDrift = 0.02; ///< largest share by which an executor's clock may be slow
    Millis renewalInterval = Millis(500); ///< least time between two renewals; one follows each poll that stayed open
    Millis pollWait = Millis(1000); ///< how long a list poll stays open; allows several renewals within a lease
    Millis stopWait = Millis(200); ///< the same while a stop is pending, as its run may never appear in the lists and so end the poll
    Millis resendAfter = Millis(50); ///< pause before an unanswered order is sent again
    Millis unknownNeedsWait = Millis(1000); ///< for which a start waits for a run of unknown needs to end; then it returns to the placer
    Millis startPeriod = Millis(500); ///< on the executor's clock, after which a run that it still lists did not crash it by its start
    bool needsStartPermission = false; ///< starts are sent only within a start permission, whatever the leading placer says
    int unansweredPollsToUnreachable = 2; ///< consecutive unanswered polls after which the executor gets no new work
};

} // namespace waxwingloft

#endif
