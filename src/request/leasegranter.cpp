#include "waxwingloft/request/leasegranter.h"

#include <algorithm>
#include <cmath>

namespace waxwingloft {

namespace {

/** Returns @p duration on an executor's clock as it lasts on this clock when that one is slow. */
Millis onOurClock(Millis duration, double drift)
{
    return Millis(static_cast<std::int64_t>(static_cast<double>(duration.count()) / (1.0 - drift)));
}

/** Returns the longest duration on an executor's clock that lasts no longer than @p duration on this one. */
Millis onTheirClock(Millis duration, double drift)
{
    return Millis(static_cast<std::int64_t>(std::round(static_cast<double>(duration.count()) * (1.0 - drift))));
}

} // namespace

LeaseGranter::LeaseGranter(const ExecutorControllerOptions &options, Instant now)
    : options(options)
    , lease(onOurClock(options.lease + options.leaseReserve, options.clockDrift), options.longestLateness)
    , budget(onOurClock(options.lease + options.leaseReserve, options.clockDrift), options.longestLateness, options.lateCallReserve)
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
    const auto until = now + onOurClock(this->options.longestLease, this->options.clockDrift);
    this->lease.restart(until);
    this->budget.restart(until);
}

void LeaseGranter::prolongAgentLease(Instant until, bool openCallsReported)
{
    this->agentLeaseUntil = std::max(this->agentLeaseUntil, until);
    this->budget.raise(until, openCallsReported);
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

DueLease LeaseGranter::take(Millis length, Millis reserved, Instant now)
{
    const LeaseCall call{length, reserved};
    this->lease.callSent();
    this->budget.callSent(call, now);
    const auto asked = onTheirClock(length, this->options.clockDrift) - this->options.leaseReserve;
    return {std::chrono::duration_cast<Millis>(now.time_since_epoch()) + *this->clockOffset + asked, call};
}

std::optional<DueLease> LeaseGranter::takeStartLease(Instant now, bool isAlone)
{
    if (!this->mayAsk(now)) {
        return std::nullopt;
    }
    if (isAlone && !this->budget.hasPendingCalls()) {
        return this->take(this->budget.longestAlone(now), Millis(0), now);
    }
    // Renewals keep the lease of an executor with other runs, so a start needs one only to be valid when it arrives.
    const auto longest = this->budget.longestNext(now);
    const auto length = std::min(longest, onOurClock(this->options.startLease + this->options.leaseReserve, this->options.clockDrift));
    return length <= onOurClock(this->options.startLease, this->options.clockDrift) ? std::nullopt : std::optional(this->take(length, length, now));
}

std::optional<DueLease> LeaseGranter::takeRenewal(Instant now)
{
    if (!this->mayAsk(now) || !this->isRenewalDue(now)) {
        return std::nullopt;
    }
    const auto length = this->budget.longestNext(now);
    return length <= this->options.renewalInterval ? std::nullopt : std::optional(this->take(length, length, now));
}

bool LeaseGranter::isRenewalDue(Instant now) const
{
    return now >= this->renewedAt + this->options.renewalInterval;
}

bool LeaseGranter::hasOpenCalls(Instant now)
{
    return this->budget.hasOpenCalls(now);
}

Millis LeaseGranter::budgetLeft(Instant now) const
{
    return std::max(Millis(0), std::chrono::ceil<Millis>(this->budget.limit() - now));
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
