#include "waxwingloft/request/leasebudget.h"

#include <algorithm>

namespace waxwingloft {

LeaseBudget::LeaseBudget(Millis longestLease, Millis longestLateness, Millis reserve)
    : longestLease(longestLease)
    , longestLateness(longestLateness)
    , reserve(reserve)
{
}

void LeaseBudget::restart(Instant grantedUntil)
{
    this->end = grantedUntil;
    this->pending = Millis(0);
    this->pendingCalls = 0;
    this->open.clear();
}

void LeaseBudget::raise(Instant agentLeaseUntil, bool openCallsReported)
{
    const auto lateness = openCallsReported ? this->longestLateness : Millis(0);
    this->limitAt = std::max(this->limitAt, agentLeaseUntil + lateness + this->longestLease + this->reserve);
}

Millis LeaseBudget::longestNext(Instant now)
{
    this->settle(now);
    // All calls together keep a run alive no longer than one that is sent now and carried out last.
    if (std::max(this->end, now + this->longestLateness + this->longestLease) <= this->limitAt) {
        return this->longestLease;
    }
    auto latestEnd = std::max(this->end, now) + this->pending;
    for (const auto &call : this->open) {
        latestEnd += call.length;
    }
    const auto left = std::chrono::duration_cast<Millis>(this->limitAt - latestEnd);
    return std::clamp(left, Millis(0), this->longestLease);
}

Millis LeaseBudget::longestAlone(Instant now) const
{
    return std::clamp(std::chrono::duration_cast<Millis>(this->limitAt - now), Millis(0), this->longestLease);
}

bool LeaseBudget::hasPendingCalls() const
{
    return this->pendingCalls > 0;
}

bool LeaseBudget::hasOpenCalls(Instant now)
{
    this->settle(now);
    return !this->open.empty();
}

Instant LeaseBudget::limit() const
{
    return this->limitAt;
}

void LeaseBudget::callSent(const LeaseCall &call, Instant now)
{
    ++this->pendingCalls;
    this->pending += call.reserved;
    if (call.reserved == Millis(0)) {
        this->end = std::max(this->end, now + call.length);
    }
}

void LeaseBudget::callAnswered(const LeaseCall &call, Instant now)
{
    --this->pendingCalls;
    this->pending -= call.reserved;
    this->end = std::max(this->end, now + call.length);
}

void LeaseBudget::callFailed(const LeaseCall &call, Instant now, bool mayTakeEffect)
{
    --this->pendingCalls;
    this->pending -= call.reserved;
    if (mayTakeEffect) {
        this->open.push_back({now + this->longestLateness, call.length});
    }
}

/** Counts the calls that can be carried out no more as carried out at their latest. */
void LeaseBudget::settle(Instant now)
{
    for (const auto &call : this->open) {
        if (call.latest <= now) {
            this->end = std::max(this->end, std::min(this->end, call.latest) + call.length);
        }
    }
    std::erase_if(this->open, [now](const OpenCall &call) { return call.latest <= now; });
}

} // namespace waxwingloft
