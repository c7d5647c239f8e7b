#include "waxwingloft/process/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace waxwingloft {

namespace {

constexpr double MillisPerSecond = 1000.0;
constexpr auto Never = Millis(24 * 3600 * 1000);

} // namespace

TokenBucket::TokenBucket(double perSecond, double burst, Instant now)
    : perSecond(perSecond)
    , burst(burst)
    , level(burst)
    , refilledAt(now)
{
}

bool TokenBucket::tryTake(double tokens, Instant now)
{
    this->refill(now);
    if (this->level < tokens) {
        return false;
    }
    this->level -= tokens;
    return true;
}

void TokenBucket::add(double tokens, Instant now)
{
    this->refill(now);
    this->level = std::min(this->burst, this->level + tokens);
}

Millis TokenBucket::timeUntil(double tokens, Instant now)
{
    this->refill(now);
    if (this->level >= tokens) {
        return Millis(0);
    }
    if (this->perSecond <= 0.0 || tokens > this->burst) {
        return Never;
    }
    return Millis(static_cast<std::int64_t>(std::ceil((tokens - this->level) / this->perSecond * MillisPerSecond)));
}

void TokenBucket::refill(Instant now)
{
    if (now <= this->refilledAt) {
        return;
    }
    const double elapsed = static_cast<double>((now - this->refilledAt).count()) / MillisPerSecond;
    this->level = std::min(this->burst, this->level + elapsed * this->perSecond);
    this->refilledAt = now;
}

} // namespace waxwingloft
