#include "waxwingloft/request/callscheduler.h"

#include <map>
#include <random>

namespace waxwingloft {

namespace {

/** Uses a generator per thread, so that threads need no lock. */
std::uint64_t drawRandom()
{
    thread_local std::mt19937_64 generator(std::random_device{}());
    return generator();
}

} // namespace

CallScheduler::CallScheduler(Clock &clock, ServerTable &servers, CallQueue &queue)
    : clock(clock)
    , servers(servers)
    , queue(queue)
{
}

Result<SlotGrant> CallScheduler::acquire(const AdmittedCall &call)
{
    if (!this->servers.serves(call.kind.id)) {
        return makeError(
            ErrorKind::NoCapacity, "no backend server that is up serves kind \"" + call.kind.id.value + "\"", "retry when one has announced itself");
    }
    if (this->waitingCount.load(std::memory_order_acquire) == 0) {
        auto server = this->tryTake(call.kind.id);
        if (server != nullptr) {
            return SlotGrant{std::move(server), std::nullopt, this->clock.now()};
        }
    }
    Waiter waiter;
    std::unique_lock<std::mutex> lock(this->mutex);
    const auto now = this->clock.now();
    const QueuedCall queued{
        this->nextTicket++, call.workspace, call.weight, call.kind.id, call.kind.worth, call.kind.urgency, call.caller, call.limits, call.deadline};
    const auto pushed = this->queue.push(queued, now);
    if (!succeeded(pushed)) {
        return errorOf(pushed);
    }
    this->waiters.emplace(queued.ticket, &waiter);
    this->waitingCount.store(this->queue.size(), std::memory_order_release);
    this->dispatchWaitingLocked();
    this->clock.waitFor(lock, waiter.wakeUp, call.deadline - now, [&waiter] { return waiter.grant.has_value(); });
    this->waiters.erase(queued.ticket);
    if (!waiter.grant) {
        this->queue.remove(queued.ticket);
        this->waitingCount.store(this->queue.size(), std::memory_order_release);
        return makeError(ErrorKind::DeadlineExceeded, "no slot became free before the deadline");
    }
    return std::move(*waiter.grant);
}

void CallScheduler::release(const SlotGrant &grant)
{
    grant.server->giveSlotBack();
    if (!grant.queued && this->waitingCount.load(std::memory_order_acquire) == 0) {
        return;
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (grant.queued) {
        this->queue.chargeActual(*grant.queued, this->clock.now() - grant.grantedAt);
    }
    this->dispatchWaitingLocked();
}

void CallScheduler::dispatchWaiting()
{
    if (this->waitingCount.load(std::memory_order_acquire) > 0) {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->dispatchWaitingLocked();
    }
}

std::size_t CallScheduler::size() const
{
    return this->waitingCount.load(std::memory_order_acquire);
}

ServerPointer CallScheduler::tryTake(const KindId &kind)
{
    return this->servers.tryTake(kind, this->clock.now(), drawRandom());
}

/** Pops requests while a server of a waiting kind has a free slot; returns slots taken for a kind that was not popped. */
void CallScheduler::dispatchWaitingLocked()
{
    std::map<KindId, ServerPointer> taken;
    const auto canServe = [this, &taken](const KindId &kind) {
        const auto [entry, isNew] = taken.emplace(kind, nullptr);
        if (isNew) {
            entry->second = this->tryTake(kind);
        }
        return entry->second != nullptr;
    };
    const auto now = this->clock.now();
    while (auto call = this->queue.pop(now, canServe)) {
        auto server = std::move(taken[call->kind]);
        taken.erase(call->kind);
        auto *const waiter = this->waiters.at(call->ticket);
        waiter->grant = SlotGrant{std::move(server), std::move(*call), now};
        waiter->wakeUp.notify_one();
    }
    for (const auto &[kind, server] : taken) {
        if (server != nullptr) {
            server->giveSlotBack();
        }
    }
    this->waitingCount.store(this->queue.size(), std::memory_order_release);
}

} // namespace waxwingloft
