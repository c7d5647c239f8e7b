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

/** Dependencies of a dispatcher. */
struct DispatcherContext {
    Clock &clock;
    EventLog &events;
    Metrics &metrics;
    NodePort &peers;
    CallScheduler &callScheduler;
    ClaimStore &claims;
    IdSource &ids;
};

/** Limits of retries and queries. */
struct CallDispatcherOptions {
    double retriesPerSuccess = 0.1; ///< retry tokens earned by each successful request
    double retryBurst = 20.0; ///< retry tokens held at most
    Millis queryTimeout = Millis(1000); ///< of one query about an attempt
    Millis queryInterval = Millis(200); ///< between two queries about an attempt
    Millis answerSlack = Millis(500); ///< wait for an answer beyond the deadline of the request
    Millis ejection = Millis(2000); ///< how long an unreachable server gets no requests
    WorkerHealthOptions health = {3, 3, Millis(5000), Millis(300000)}; ///< of servers that fail requests
    int maxAttempts = 16; ///< attempts per request, refusals included
};

/**
 * Runs one admitted call until its outcome is known: slot, claim, attempts, retries and queries
 * about attempts with an unknown outcome.
 *
 * Returns NotRun only if the call was never sent, was refused by the agent or is tombstoned there.
 * A call that is not idempotent is claimed in the table first; a second attempt is sent only once
 * the first is proven not to have run. Thread safe; blocks the calling thread.
 */
class CallDispatcher
{
public:
    CallDispatcher(const DispatcherContext &context, CallDispatcherOptions options);

    CallAnswer run(const AdmittedCall &call);

private:
    /** Result of one attempt. */
    struct AttemptResult {
        AttemptReply reply;
        bool wasLost = false; ///< no valid answer arrived; the outcome is Unknown
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
