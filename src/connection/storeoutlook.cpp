#include "waxwingloft/connection/storeoutlook.h"

#include <algorithm>

namespace waxwingloft {

StoreOutlook::StoreOutlook(Clock &clock, StoreOutlookOptions options, std::uint64_t seed)
    : clock(clock)
    , options(options)
    , log(LogPart::Table)
    , random(seed)
    , answeredAt(clock.now())
{
    this->nextProbeAt.fill(clock.now());
}

void StoreOutlook::noteDirect(bool isAnswered, Instant dueAt)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto now = this->clock.now();
    if (isAnswered) {
        this->answeredAt = now;
        this->failingSince.reset();
        this->isDirectAway = false;
        this->havePeersReached.reset();
    } else {
        // An answer to another call in the meantime shows that the table was there.
        const auto since = std::max(std::min(dueAt, now), this->answeredAt);
        this->failingSince = std::min(since, this->failingSince.value_or(since));
        this->isDirectAway = this->isDirectAway || now - *this->failingSince >= this->options.awayAfter;
    }
    this->update();
}

void StoreOutlook::notePeers(bool hasReached)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->failingSince) {
        this->havePeersReached = hasReached;
        this->update();
    }
}

StoreState StoreOutlook::state() const
{
    return this->current.load(std::memory_order_acquire);
}

Millis StoreOutlook::retryAfter()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto lasted = this->clock.now() - this->failingSince.value_or(this->clock.now());
    const auto latest = std::clamp(lasted, this->options.shortestRetryAfter, this->options.longestRetryAfter);
    return Millis(std::uniform_int_distribution<std::int64_t>(this->options.shortestRetryAfter.count(), latest.count())(this->random));
}

bool StoreOutlook::takeProbe(StorePath path)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto &next = this->nextProbeAt.at(static_cast<std::size_t>(path));
    const auto now = this->clock.now();
    if (!this->failingSince || now < next) {
        return false;
    }
    const auto shortest = this->options.shortestProbePause.count();
    next = now + Millis(std::uniform_int_distribution<std::int64_t>(shortest, this->options.longestProbePause.count())(this->random));
    return true;
}

/** Derives the state from what was noted, and logs a change. Call with the mutex held. */
void StoreOutlook::update()
{
    auto next = StoreState::Reachable;
    if (this->isDirectAway && !this->havePeersReached) {
        next = StoreState::InDoubt;
    } else if (this->isDirectAway && !*this->havePeersReached) {
        next = StoreState::Unavailable;
    }
    const auto before = this->current.exchange(next, std::memory_order_acq_rel);
    if (before == next) {
        return;
    }
    const auto failingFor = this->clock.now() - this->failingSince.value_or(this->clock.now());
    const LogFields fields{{"before", std::string(nameOf(before))},
                           {"now", std::string(nameOf(next))},
                           {"failing_ms", std::to_string(failingFor.count())},
                           {"last_answer_ms", std::to_string((this->clock.now() - this->answeredAt).count())}};
    if (next == StoreState::Unavailable) {
        this->log.warn("The table is away; calls that need it are refused at once until it answers.", fields);
    } else {
        this->log.info("The outlook on the table has changed.", fields);
    }
}

} // namespace waxwingloft
