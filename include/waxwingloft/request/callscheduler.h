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

/** A slot on a backend server granted to a request, with the data to charge its slot time on release. */
struct SlotGrant {
    ServerPointer server;
    std::optional<QueuedCall> queued; ///< unset when the request did not wait
    Instant grantedAt;
};

/**
 * Grants free slots on backend servers to requests, in the order of the fair queue.
 *
 * A request that finds a free slot while none waits gets it without a lock. The others sleep until
 * they are granted one, so a request is bound to a server as late as possible. Thread safe.
 */
class CallScheduler
{
public:
    CallScheduler(Clock &clock, ServerTable &servers, CallQueue &queue);

    /** Waits for a slot until the deadline of @p call. */
    Result<SlotGrant> acquire(const AdmittedCall &call);

    /** Returns the slot, charges its use to the queue and grants free slots to waiting requests. */
    void release(const SlotGrant &grant);

    /** Grants slots that became free elsewhere to waiting requests. Call every few milliseconds while size() is not zero. */
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
