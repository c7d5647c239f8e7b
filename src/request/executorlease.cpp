#include "waxwingloft/request/executorlease.h"

#include <algorithm>

namespace waxwingloft {

ExecutorLease::ExecutorLease(Millis longestLease, Millis longestLateness)
    : longestLease(longestLease)
    , longestLateness(longestLateness)
{
}

void ExecutorLease::restart(Instant grantedUntil)
{
    this->pending = 0;
    this->grantedUntil = grantedUntil;
    this->carriedOutBy.clear();
}

void ExecutorLease::callSent()
{
    ++this->pending;
}

void ExecutorLease::callAnswered(Instant now)
{
    --this->pending;
    this->grantedUntil = std::max(this->grantedUntil, now + this->longestLease);
    std::erase_if(this->carriedOutBy, [now](Instant latest) { return latest <= now; });
}

void ExecutorLease::callFailed(Instant now, bool mayTakeEffect)
{
    --this->pending;
    if (mayTakeEffect) {
        this->carriedOutBy.push_back(now + this->longestLateness);
    }
}

bool ExecutorLease::hasExpired(Instant now) const
{
    auto end = this->grantedUntil;
    for (const auto latest : this->carriedOutBy) {
        end = std::max(end, std::min(end, latest) + this->longestLease);
    }
    return this->pending == 0 && now >= end;
}

bool ExecutorLease::hasExpiredForLateStarts(Instant now) const
{
    return this->hasExpired(now) && (this->carriedOutBy.empty() || now >= this->carriedOutBy.back() + this->longestLease);
}

} // namespace waxwingloft
