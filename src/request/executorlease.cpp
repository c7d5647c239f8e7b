#include "waxwingloft/request/executorlease.h"

#include <algorithm>

namespace waxwingloft {

void ExecutorLease::restart(Instant end)
{
    this->pending = 0;
    this->end = end;
}

void ExecutorLease::callSent()
{
    ++this->pending;
}

void ExecutorLease::callEnded(Instant end)
{
    --this->pending;
    this->end = std::max(this->end, end);
}

void ExecutorLease::callDropped()
{
    --this->pending;
}

bool ExecutorLease::hasExpired(Instant now) const
{
    return this->pending == 0 && now >= this->end;
}

} // namespace waxwingloft
