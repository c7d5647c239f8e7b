#ifndef WAXWINGLOFT_REQUEST_CALLDISPATCHER_H
#define WAXWINGLOFT_REQUEST_CALLDISPATCHER_H

#include "waxwingloft/connection/frontservice.h"
#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/process/tokenbucket.h"
#include "waxwingloft/process/workerhealth.h"
#include "waxwingloft/request/callscheduler.h"
#include "waxwingloft/request/claimstore.h"

#include <mutex>

namespace waxwingloft {

/** What a dispatcher works with. */
struct DispatcherContext {
    Clock &clock;
    EventLog &events;
    Metrics &metrics;
    NodePort &peers;
    CallScheduler &callScheduler;
    ClaimStore &claims;
    IdSource &ids;
};

/** Bounds of retries and questions. */
struct CallDispatcherOptions {
    double retriesPerSuccess = 0.1; ///< retries earned by each request that ends well
    double retryBurst = 20.0; ///< retries that may be made at once
    Millis queryTimeout = Millis(1000); ///< for one question about an attempt
    Millis queryInterval = Millis(200); ///< between two questions
    Millis answerSlack = Millis(500); ///< time beyond the deadline that an answer may take to arrive
    Millis ejection = Millis(2000); ///< how long a server that could not be reached gets no requests
    WorkerHealthOptions health = {3, 3, Millis(5000), Millis(300000)}; ///< of servers that fail what they run
    int maxAttempts = 16; ///< attempts for one request, refusals included
};

/**
 * Runs one admitted call to its true end: slot, claim, attempts, retries and questions about
 * attempts in doubt.
 *
 * NotRun is returned only on proof: never sent, refused by the agent, or tombstoned there. A call
 * that is not idempotent is claimed in the table first and never sent under a second attempt before
 * the first is proven not to have run. Thread safe; blocks the calling thread.
 */
class CallDispatcher
{
public:
    CallDispatcher(const DispatcherContext &context, CallDispatcherOptions options);

    CallAnswer run(const AdmittedCall &call);

private:
    /** What one attempt came to. */
    struct AttemptResult {
        AttemptReply reply;
        bool wasLost = false; ///< no answer came; the outcome is Unknown
    };

    CallAnswer runIdempotent(const AdmittedCall &call);
    CallAnswer runAtMostOnce(const AdmittedCall &call);
    CallAnswer runClaimed(const AdmittedCall &call, std::uint64_t revision, AttemptId &claimed);
    CallAnswer confirmNotRun(const AdmittedCall &call, const AttemptId &claimed, CallAnswer answer);
    CallAnswer awaitClaimedAttempt(const AdmittedCall &call, const Claim &claim);
    AttemptResult attempt(const AdmittedCall &call, const SlotGrant &grant, const AttemptId &attempt);
    AttemptReply queryUntilEnded(const AdmittedCall &call, const Claim &claim, Millis age);
    void updateServer(const AdmittedCall &call, const SlotGrant &grant, const AttemptResult &result);
    void updateHealth(const AdmittedCall &call, Server &server, Outcome outcome);
    bool takeRetry();
    void earnRetry();
    Millis timeLeft(const AdmittedCall &call) const;
    static CallAnswer answerOf(AttemptReply reply);

    DispatcherContext context;
    const CallDispatcherOptions options;
    std::mutex mutex;
    TokenBucket retries;
    WorkerHealth health;
};

} // namespace waxwingloft

#endif
