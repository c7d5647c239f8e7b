#ifndef WAXWINGLOFT_PROCESS_TOKENBUCKET_H
#define WAXWINGLOFT_PROCESS_TOKENBUCKET_H

#include "waxwingloft/process/clock.h"

namespace waxwingloft {

/** A token bucket. Not thread safe; its owner serializes access. */
class TokenBucket
{
public:
    /** Starts full. @p perSecond is the rate of refill; @p burst is the most it holds. */
    TokenBucket(double perSecond, double burst, Instant now);

    /** Takes @p tokens when that many are there; returns whether it did. */
    bool tryTake(double tokens, Instant now);

    /** Adds @p tokens up to the burst, beside the refill by time. */
    void add(double tokens, Instant now);

    /** Returns the time until @p tokens are there when nothing else takes any. */
    Millis timeUntil(double tokens, Instant now);

private:
    void refill(Instant now);

    double perSecond;
    double burst;
    double level;
    Instant refilledAt;
};

} // namespace waxwingloft

#endif
