#include "waxwingloft/request/fairqueue.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace waxwingloft {

namespace {

constexpr double AverageWeight = 0.1; ///< weight of a new sample in the moving averages
constexpr std::size_t MaxIdleCallers = 256; ///< callers of a kind kept without waiting requests, for the slot time already charged to them

/** Slot time by which a kind of each urgency goes ahead of the other kinds of its workspace, in milliseconds. */
constexpr std::array<double, NameTable<Urgency>::names.size()> UrgencyCreditMillis = {500.0, 50.0, 0.0};

double creditOf(Urgency urgency, double worth)
{
    return UrgencyCreditMillis[static_cast<std::size_t>(urgency)] / worth;
}

} // namespace

Status FairQueue::push(const QueuedCall &call, Instant now)
{
    auto refusal = this->refusalOf(call, now);
    if (!succeeded(refusal)) {
        return refusal;
    }
    auto &workspace = this->workspaces[call.workspace];
    workspace.weight = call.weight;
    if (workspace.waiting++ == 0) {
        workspace.start = std::max(workspace.start, this->virtualTime);
    }
    auto &kind = workspace.kinds[call.kind];
    kind.worth = call.worth;
    kind.urgency = call.urgency;
    if (kind.waiting++ == 0) {
        kind.start = std::max(kind.start, workspace.virtualTime);
    }
    auto &caller = kind.callers[call.caller];
    if (caller.waiting++ == 0) {
        caller.start = std::max(caller.start, kind.virtualTime);
    }
    caller.calls.push_back(call);
    this->tickets.emplace(call.ticket, call);
    return Done{};
}

std::optional<QueuedCall> FairQueue::pop(Instant now, const CanServe &canServe)
{
    auto *const workspace = this->chooseWorkspace(canServe);
    if (workspace == nullptr) {
        return std::nullopt;
    }
    auto &kind = *chooseKind(*workspace, canServe);
    auto &caller = chooseCaller(kind);
    auto call = caller.calls.front();
    caller.calls.pop_front();

    const double cost = kind.meanMillis;
    call.chargedMillis = cost;
    this->virtualTime = std::max(this->virtualTime, workspace->start);
    workspace->virtualTime = std::max(workspace->virtualTime, kind.start);
    kind.virtualTime = std::max(kind.virtualTime, caller.start);
    workspace->start += cost / workspace->weight;
    kind.start += cost / kind.worth;
    caller.start += cost;
    this->removeFromFlows(*workspace, kind, caller, call.caller);
    this->tickets.erase(call.ticket);
    if (this->lastPop) {
        const auto gap = static_cast<double>((now - *this->lastPop).count());
        this->millisPerServed += AverageWeight * (gap - this->millisPerServed);
    }
    this->lastPop = this->tickets.empty() ? std::nullopt : std::optional<Instant>(now);
    return call;
}

bool FairQueue::remove(Ticket ticket)
{
    const auto found = this->tickets.find(ticket);
    if (found == this->tickets.end()) {
        return false;
    }
    const auto call = found->second;
    auto &workspace = this->workspaces.at(call.workspace);
    auto &kind = workspace.kinds.at(call.kind);
    auto &caller = kind.callers.at(call.caller);
    std::erase_if(caller.calls, [ticket](const QueuedCall &waiting) { return waiting.ticket == ticket; });
    this->removeFromFlows(workspace, kind, caller, call.caller);
    this->tickets.erase(found);
    return true;
}

void FairQueue::chargeActual(const QueuedCall &call, Millis duration)
{
    const auto workspace = this->workspaces.find(call.workspace);
    if (workspace == this->workspaces.end()) {
        return;
    }
    const auto kind = workspace->second.kinds.find(call.kind);
    if (kind == workspace->second.kinds.end()) {
        return;
    }
    const auto actual = static_cast<double>(duration.count());
    const double correction = actual - call.chargedMillis;
    workspace->second.start += correction / workspace->second.weight;
    kind->second.start += correction / kind->second.worth;
    kind->second.meanMillis += AverageWeight * (actual - kind->second.meanMillis);
    const auto caller = kind->second.callers.find(call.caller);
    if (caller != kind->second.callers.end()) {
        caller->second.start += correction;
    }
}

std::size_t FairQueue::size() const
{
    return this->tickets.size();
}

std::size_t FairQueue::sizeOf(const WorkspaceId &workspace) const
{
    const auto found = this->workspaces.find(workspace);
    return found == this->workspaces.end() ? 0 : found->second.waiting;
}

Status FairQueue::refusalOf(const QueuedCall &call, Instant now) const
{
    const auto workspace = this->workspaces.find(call.workspace);
    if (workspace == this->workspaces.end()) {
        return Done{};
    }
    const auto kind = workspace->second.kinds.find(call.kind);
    if (kind == workspace->second.kinds.end()) {
        return Done{};
    }
    const auto caller = kind->second.callers.find(call.caller);
    if (caller != kind->second.callers.end() && caller->second.waiting >= call.limits.maxQueuedPerCaller) {
        return makeError(ErrorKind::LimitExceeded, "this caller has " + std::to_string(caller->second.waiting) + " requests waiting");
    }
    if (kind->second.waiting >= call.limits.maxQueued) {
        return makeError(ErrorKind::NoCapacity, "too many requests of kind \"" + call.kind.value + "\" wait in this workspace");
    }
    const double wait = this->expectedWaitMillis(call);
    if (wait > static_cast<double>((call.deadline - now).count())) {
        return makeError(ErrorKind::DeadlineExceeded, "the request would wait about " + std::to_string(std::lround(wait)) + " ms, longer than its deadline");
    }
    return Done{};
}

FairQueue::WorkspaceFlow *FairQueue::chooseWorkspace(const CanServe &canServe)
{
    WorkspaceFlow *best = nullptr;
    for (auto &[id, workspace] : this->workspaces) {
        if (workspace.waiting > 0 && (best == nullptr || workspace.start < best->start) && hasServableKind(workspace, canServe)) {
            best = &workspace;
        }
    }
    return best;
}

FairQueue::KindFlow *FairQueue::chooseKind(WorkspaceFlow &workspace, const CanServe &canServe)
{
    KindFlow *best = nullptr;
    double bestKey = 0.0;
    for (auto &[id, kind] : workspace.kinds) {
        const double key = kind.start - creditOf(kind.urgency, kind.worth);
        if (kind.waiting > 0 && (best == nullptr || key < bestKey) && canServe(id)) {
            best = &kind;
            bestKey = key;
        }
    }
    return best;
}

FairQueue::CallerFlow &FairQueue::chooseCaller(KindFlow &kind)
{
    CallerFlow *best = nullptr;
    for (auto &[id, caller] : kind.callers) {
        if (caller.waiting > 0 && (best == nullptr || caller.start < best->start)) {
            best = &caller;
        }
    }
    return *best;
}

bool FairQueue::hasServableKind(const WorkspaceFlow &workspace, const CanServe &canServe)
{
    const auto isServable = [&canServe](const auto &entry) { return entry.second.waiting > 0 && canServe(entry.first); };
    return std::any_of(workspace.kinds.begin(), workspace.kinds.end(), isServable);
}

/** Decrements the counts at every level and deletes an idle caller whose charged slot time has passed, or all idle ones once they exceed MaxIdleCallers. */
void FairQueue::removeFromFlows(WorkspaceFlow &workspace, KindFlow &kind, CallerFlow &caller, const CallerId &id)
{
    --workspace.waiting;
    --kind.waiting;
    if (--caller.waiting == 0 && caller.start <= kind.virtualTime) {
        kind.callers.erase(id);
    }
    if (kind.callers.size() > kind.waiting + MaxIdleCallers) {
        std::erase_if(kind.callers, [](const auto &entry) { return entry.second.waiting == 0; });
    }
}

/** Estimates the wait from the caller's weighted share and the recent rate of service. */
double FairQueue::expectedWaitMillis(const QueuedCall &call) const
{
    const auto &workspace = this->workspaces.at(call.workspace);
    const auto &kind = workspace.kinds.at(call.kind);
    double weights = 0.0;
    for (const auto &[id, other] : this->workspaces) {
        weights += other.waiting > 0 || id == call.workspace ? other.weight : 0.0;
    }
    double worths = 0.0;
    for (const auto &[id, other] : workspace.kinds) {
        worths += other.waiting > 0 || id == call.kind ? other.worth : 0.0;
    }
    const auto isWaiting = [](const auto &entry) { return entry.second.waiting > 0; };
    const auto activeCallers = static_cast<double>(std::count_if(kind.callers.begin(), kind.callers.end(), isWaiting));
    const auto own = kind.callers.find(call.caller);
    const double ownWaiting = own == kind.callers.end() ? 0.0 : static_cast<double>(own->second.waiting);
    const double callers = std::max(1.0, activeCallers + (ownWaiting == 0.0 ? 1.0 : 0.0));
    return ownWaiting * this->millisPerServed * callers * (weights / workspace.weight) * (worths / kind.worth);
}

Status SortedQueue::push(const QueuedCall &call, Instant /*now*/)
{
    this->calls.emplace(std::pair{call.urgency, call.ticket}, call);
    return Done{};
}

std::optional<QueuedCall> SortedQueue::pop(Instant /*now*/, const std::function<bool(const KindId &)> &canServe)
{
    for (auto entry = this->calls.begin(); entry != this->calls.end(); ++entry) {
        if (canServe(entry->second.kind)) {
            auto call = entry->second;
            this->calls.erase(entry);
            return call;
        }
    }
    return std::nullopt;
}

bool SortedQueue::remove(Ticket ticket)
{
    return std::erase_if(this->calls, [ticket](const auto &entry) { return entry.second.ticket == ticket; }) > 0;
}

void SortedQueue::chargeActual(const QueuedCall & /*call*/, Millis /*duration*/)
{
}

std::size_t SortedQueue::size() const
{
    return this->calls.size();
}

} // namespace waxwingloft
