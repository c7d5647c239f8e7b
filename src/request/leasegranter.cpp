#include "waxwingloft/request/leasegranter.h"

#include <algorithm>

namespace waxwingloft {

namespace {

/** Returns @p duration on an executor's clock as it lasts on this clock when that one is slow. */
Millis onOurClock(Millis duration, double drift)
{
    return Millis(static_cast<std::int64_t>(static_cast<double>(duration.count()) / (1.0 - drift)));
}

} // namespace

LeaseGranter::LeaseGranter(const ExecutorControllerOptions &options, Instant now)
    : options(options)
    , lease(onOurClock(options.lease + options.leaseReserve, options.clockDrift), options.longestLateness)
    , agentLeaseUntil(now)
    , renewedAt(now - options.renewalInterval)
{
}

void LeaseGranter::beginIncarnation(Instant now)
{
    this->assumeLongestLease(now);
    this->renewedAt = now - this->options.renewalInterval;
    this->clockOffset.reset();
}

void LeaseGranter::assumeLongestLease(Instant now)
{
    this->lease.restart(now + onOurClock(this->options.longestLease, this->options.clockDrift));
}

void LeaseGranter::prolongAgentLease(Instant until)
{
    this->agentLeaseUntil = std::max(this->agentLeaseUntil, until);
}

void LeaseGranter::readClock(const ExecutorStamp &stamp, Instant now)
{
    if (stamp.clock.count() == 0) {
        return;
    }
    this->clockOffsetAt = now;
    this->clockOffset = stamp.clock - std::chrono::duration_cast<Millis>(now.time_since_epoch());
}

std::optional<Millis> LeaseGranter::leaseEnd(Instant now) const
{
    const auto longestClockAge = Millis(static_cast<std::int64_t>(static_cast<double>(this->options.leaseReserve.count()) / this->options.clockDrift));
    if (now >= this->agentLeaseUntil || !this->clockOffset || now >= this->clockOffsetAt + longestClockAge) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Millis>(now.time_since_epoch()) + *this->clockOffset + this->options.lease;
}

std::optional<Millis> LeaseGranter::renewalEnd(Instant now) const
{
    return now >= this->renewedAt + this->options.renewalInterval ? this->leaseEnd(now) : std::nullopt;
}

void LeaseGranter::callSent()
{
    this->lease.callSent();
}

void LeaseGranter::renewed(Instant now)
{
    this->renewedAt = now;
}

const ExecutorLease &LeaseGranter::expiry() const
{
    return this->lease;
}

} // namespace waxwingloft
