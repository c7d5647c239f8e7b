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

bool LeaseGranter::mayAsk(Instant now) const
{
    const auto longestClockAge = Millis(static_cast<std::int64_t>(static_cast<double>(this->options.leaseReserve.count()) / this->options.clockDrift));
    return now < this->agentLeaseUntil && this->clockOffset && now < this->clockOffsetAt + longestClockAge;
}

DueLease LeaseGranter::take(Millis lease, Instant now)
{
    this->lease.callSent();
    const auto theirNow = std::chrono::duration_cast<Millis>(now.time_since_epoch()) + *this->clockOffset;
    return {theirNow + lease, now + onOurClock(lease + this->options.leaseReserve, this->options.clockDrift)};
}

std::optional<DueLease> LeaseGranter::takeStartLease(Instant now, bool isAlone)
{
    // Renewals keep the lease of an executor with other runs, so a start needs one only to be valid when it arrives.
    return this->mayAsk(now) ? std::optional(this->take(isAlone ? this->options.lease : this->options.startLease, now)) : std::nullopt;
}

std::optional<DueLease> LeaseGranter::takeRenewal(Instant now)
{
    return this->mayAsk(now) && this->isRenewalDue(now) ? std::optional(this->take(this->options.lease, now)) : std::nullopt;
}

bool LeaseGranter::isRenewalDue(Instant now) const
{
    return now >= this->renewedAt + this->options.renewalInterval;
}

Millis LeaseGranter::longestLeft(Instant now) const
{
    const auto latestEnd = this->agentLeaseUntil + onOurClock(this->options.lease + this->options.leaseReserve, this->options.clockDrift);
    return std::max(Millis(0), std::chrono::ceil<Millis>(latestEnd - now));
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
