#ifndef WAXWINGLOFT_REQUEST_FAIRQUEUE_H
#define WAXWINGLOFT_REQUEST_FAIRQUEUE_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/version/settings.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace waxwingloft {

/** Names one waiting request in a queue. */
using Ticket = std::uint64_t;

/** A request as the queue needs it. */
struct QueuedCall {
    Ticket ticket = 0;
    WorkspaceId workspace;
    double weight = 1.0; ///< of the workspace
    KindId kind;
    double worth = 1.0; ///< of the kind, against other kinds of the workspace
    Urgency urgency = Urgency::Normal;
    CallerId caller;
    WorkspaceLimits limits;
    Instant deadline;
    double chargedMillis = 0.0; ///< slot time charged when it was popped; set by the queue
};

/** Orders waiting requests. One interface for the product's queue and the naive baseline. */
class CallQueue
{
public:
    virtual ~CallQueue() = default;

    /** Takes a request in, or refuses it early as LimitExceeded, NoCapacity or DeadlineExceeded. */
    virtual Status push(const QueuedCall &call, Instant now) = 0;

    /** Returns the next request among the kinds that @p canServe names, or nothing. */
    virtual std::optional<QueuedCall> pop(Instant now, const std::function<bool(const KindId &)> &canServe) = 0;

    /** Drops a waiting request; returns whether it was there. */
    virtual bool remove(Ticket ticket) = 0;

    /** Notes how long a popped request held its slot. */
    virtual void served(const QueuedCall &call, Millis duration) = 0;

    virtual std::size_t size() const = 0;
};

/**
 * Hierarchical fair queue: workspaces, then their kinds, then the callers of each kind.
 *
 * Every level shares slot time by weight (start-time fair queueing). A more urgent kind goes ahead
 * of other kinds of its own workspace by a bounded credit, so its flood takes their share only for
 * a moment. Callers share equally, so a bulk caller waits behind itself. Not thread safe.
 *
 * Source: Goyal, Vin and Cheng, Start-time Fair Queueing (1996).
 */
class FairQueue : public CallQueue
{
public:
    Status push(const QueuedCall &call, Instant now) override;
    std::optional<QueuedCall> pop(Instant now, const std::function<bool(const KindId &)> &canServe) override;
    bool remove(Ticket ticket) override;
    void served(const QueuedCall &call, Millis duration) override;
    std::size_t size() const override;

    /** Returns how many requests of a workspace wait, for the status page. */
    std::size_t sizeOf(const WorkspaceId &workspace) const;

private:
    /** What start-time fair queueing keeps for one child of a level. */
    struct Flow {
        double start = 0.0; ///< virtual time at which its next request may start
        std::size_t waiting = 0;
    };

    struct CallerFlow : Flow {
        std::deque<QueuedCall> calls;
    };

    struct KindFlow : Flow {
        std::map<CallerId, CallerFlow> callers;
        double virtualTime = 0.0;
        double worth = 1.0;
        Urgency urgency = Urgency::Normal;
        double meanMillis = 10.0; ///< moving average of the slot time of a request
    };

    struct WorkspaceFlow : Flow {
        std::map<KindId, KindFlow> kinds;
        double virtualTime = 0.0;
        double weight = 1.0;
    };

    using CanServe = std::function<bool(const KindId &)>;

    Status refusalOf(const QueuedCall &call, Instant now) const;
    WorkspaceFlow *chooseWorkspace(const CanServe &canServe);
    static KindFlow *chooseKind(WorkspaceFlow &workspace, const CanServe &canServe);
    static CallerFlow &chooseCaller(KindFlow &kind);
    static bool hasServableKind(const WorkspaceFlow &workspace, const CanServe &canServe);
    void removeFromFlows(WorkspaceFlow &workspace, KindFlow &kind, CallerFlow &caller, const CallerId &id);
    double expectedWaitMillis(const QueuedCall &call) const;

    std::map<WorkspaceId, WorkspaceFlow> workspaces;
    std::unordered_map<Ticket, QueuedCall> tickets;
    double virtualTime = 0.0;
    double millisPerServed = 0.0; ///< moving average of the time between two served requests
    std::optional<Instant> lastPop;
};

/** One line in order of urgency, then of arrival. The naive baseline. */
class SortedQueue : public CallQueue
{
public:
    Status push(const QueuedCall &call, Instant now) override;
    std::optional<QueuedCall> pop(Instant now, const std::function<bool(const KindId &)> &canServe) override;
    bool remove(Ticket ticket) override;
    void served(const QueuedCall &call, Millis duration) override;
    std::size_t size() const override;

private:
    std::map<std::pair<Urgency, Ticket>, QueuedCall> calls;
};

} // namespace waxwingloft

#endif
