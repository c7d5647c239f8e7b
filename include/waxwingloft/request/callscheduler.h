#ifndef WAXWINGLOFT_REQUEST_CALLSCHEDULER_H
#define WAXWINGLOFT_REQUEST_CALLSCHEDULER_H

#include "waxwingloft/process/servertable.h"
#include "waxwingloft/request/admission.h"
#include "waxwingloft/request/fairqueue.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace waxwingloft {

/** A slot on a backend server that a request may use, and what the queue needs to know afterwards. */
struct SlotGrant {
    ServerPointer server;
    std::optional<QueuedCall> queued; ///< absent when the request did not wait
    Instant grantedAt;
};

/**
 * Lets requests through to backend servers with a free slot, in the order of the fair queue.
 *
 * A request that finds a slot while nothing waits passes without a lock. The others sleep until a
 * slot is given to them: a request is bound to a server as late as possible. Thread safe.
 */
class CallScheduler
{
public:
    CallScheduler(Clock &clock, ServerTable &servers, CallQueue &queue);

    /** Waits for a slot until the deadline of @p call. */
    Result<SlotGrant> acquire(const AdmittedCall &call);

    /** Gives the slot back and lets the next request through. */
    void release(const SlotGrant &grant);

    /** Lets waiting requests through to slots that became free elsewhere. Call every few milliseconds while size() is not zero. */
    void dispatchWaiting();

    /** Returns the number of waiting requests. */
    std::size_t size() const;

private:
    struct Waiter {
        std::condition_variable wakeUp;
        std::optional<SlotGrant> grant;
    };

    ServerPointer tryTake(const KindId &kind);
    void dispatchWaitingLocked();

    Clock &clock;
    ServerTable &servers;
    CallQueue &queue;
    std::atomic<std::size_t> waitingCount = 0;
    std::mutex mutex;
    Ticket nextTicket = 1;
    std::unordered_map<Ticket, Waiter *> waiters;
};

} // namespace waxwingloft

#endif
