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

/** Identifies a waiting request in a queue. */
using Ticket = std::uint64_t;

/** A waiting request with the data that decides its order. */
struct QueuedCall {
    Ticket ticket = 0;
    WorkspaceId workspace;
    double weight = 1.0; ///< of the workspace
    KindId kind;
    double worth = 1.0; ///< weight of the kind among the kinds of the workspace
    Urgency urgency = Urgency::Normal;
    CallerId caller;
    WorkspaceLimits limits;
    Instant deadline;
    double chargedMillis = 0.0; ///< expected slot time charged by pop()
};

/** Orders waiting requests. Interface of the fair queue and of the baseline that benchmarks compare it with. */
class CallQueue
{
public:
    virtual ~CallQueue() = default;

    /** Adds a request, or refuses it with LimitExceeded, NoCapacity or DeadlineExceeded. */
    virtual Status push(const QueuedCall &call, Instant now) = 0;

    /** Removes and returns the next request of a kind that @p canServe accepts, if any. */
    virtual std::optional<QueuedCall> pop(Instant now, const std::function<bool(const KindId &)> &canServe) = 0;

    /** Removes a waiting request. Returns whether it was waiting. */
    virtual bool remove(Ticket ticket) = 0;

    /** Corrects the charge of a popped request by the time that it held its slot. */
    virtual void chargeActual(const QueuedCall &call, Millis duration) = 0;

    virtual std::size_t size() const = 0;
};

/**
 * Hierarchical fair queue: workspaces, then their kinds, then the callers of each kind.
 *
 * Every level shares slot time by weight (start-time fair queueing). A more urgent kind goes ahead
 * of other kinds of its own workspace by a bounded credit, so a burst of it delays them only
 * briefly. Callers of a kind share equally, so a bulk caller delays only itself. Not thread safe.
 *
 * Source: Goyal, Vin and Cheng, Start-time Fair Queueing (1996).
 */
class FairQueue : public CallQueue
{
public:
    Status push(const QueuedCall &call, Instant now) override;
    std::optional<QueuedCall> pop(Instant now, const std::function<bool(const KindId &)> &canServe) override;
    bool remove(Ticket ticket) override;
    void chargeActual(const QueuedCall &call, Millis duration) override;
    std::size_t size() const override;

    /** Returns how many requests of a workspace wait, for the status page. */
    std::size_t sizeOf(const WorkspaceId &workspace) const;

private:
    /** State of one flow in start-time fair queueing. */
    struct Flow {
        double start = 0.0; ///< start tag: virtual time at which its next request may start
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

/** Orders by urgency, then by arrival. Baseline for benchmarks of FairQueue. */
class SortedQueue : public CallQueue
{
public:
    Status push(const QueuedCall &call, Instant now) override;
    std::optional<QueuedCall> pop(Instant now, const std::function<bool(const KindId &)> &canServe) override;
    bool remove(Ticket ticket) override;
    void chargeActual(const QueuedCall &call, Millis duration) override;
    std::size_t size() const override;

private:
    std::map<std::pair<Urgency, Ticket>, QueuedCall> calls;
};

} // namespace waxwingloft

#endif
