#include "waxwingloft/request/attemptledger.h"

namespace waxwingloft {

AttemptLedger::AttemptLedger(Clock &clock, AttemptLedgerOptions options)
    : clock(clock)
    , options(options)
{
}

AttemptAdmission AttemptLedger::begin(const AttemptId &attempt)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->expireOld();
    const auto known = this->entries.find(attempt);
    if (known != this->entries.end()) {
        return known->second.state == State::Tombstoned ? AttemptAdmission::Tombstoned : AttemptAdmission::Duplicate;
    }
    if (this->entries.size() >= this->options.maxAttempts) {
        return AttemptAdmission::Full;
    }
    this->entries.emplace(attempt, Entry{});
    ++this->running;
    return AttemptAdmission::Start;
}

void AttemptLedger::end(const AttemptReply &reply)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        auto &entry = this->entries.at(reply.attempt);
        entry.state = State::Ended;
        entry.reply = reply;
        --this->running;
        this->scheduleExpiry(reply.attempt);
        if (!reply.payload.empty()) {
            this->payloadOrder.push_back(reply.attempt);
            this->payloadBytes += reply.payload.size();
            this->dropOldPayloads();
        }
    }
    this->ended.notify_all();
}

AttemptReply AttemptLedger::query(const AttemptId &attempt, Millis age, Millis wait)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    const auto known = this->entries.find(attempt);
    if (known == this->entries.end()) {
        if (age >= this->options.retention - this->options.ageMargin) {
            return {attempt,
                    AttemptState::Ended,
                    Outcome::Unknown,
                    makeError(ErrorKind::Ambiguous, "the attempt is older than the agent's ledger keeps attempts"),
                    {},
                    {}};
        }
        this->entries.emplace(attempt, Entry{State::Tombstoned, {}, false});
        this->scheduleExpiry(attempt);
        return this->describe(attempt, this->entries.at(attempt));
    }
    if (known->second.state == State::Running && wait > Millis(0)) {
        this->clock.waitFor(lock, this->ended, wait, [this, &attempt] { return this->entries.at(attempt).state != State::Running; });
    }
    return this->describe(attempt, this->entries.at(attempt));
}

std::size_t AttemptLedger::runningCount() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->running;
}

bool AttemptLedger::waitUntilIdle(Millis limit)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    return this->clock.waitFor(lock, this->ended, limit, [this] { return this->running == 0; });
}

void AttemptLedger::scheduleExpiry(const AttemptId &attempt)
{
    this->expiryOrder.emplace_back(this->clock.now(), attempt);
}

void AttemptLedger::expireOld()
{
    const auto now = this->clock.now();
    while (!this->expiryOrder.empty() && now - this->expiryOrder.front().first >= this->options.retention) {
        const auto found = this->entries.find(this->expiryOrder.front().second);
        if (found != this->entries.end()) {
            this->payloadBytes -= found->second.reply.payload.size();
            this->entries.erase(found);
        }
        this->expiryOrder.pop_front();
    }
}

void AttemptLedger::dropOldPayloads()
{
    while (this->payloadBytes > this->options.maxPayloadBytes && !this->payloadOrder.empty()) {
        const auto found = this->entries.find(this->payloadOrder.front());
        this->payloadOrder.pop_front();
        if (found != this->entries.end()) {
            this->payloadBytes -= found->second.reply.payload.size();
            found->second.reply.payload.clear();
            found->second.payloadDropped = true;
        }
    }
}

AttemptReply AttemptLedger::describe(const AttemptId &attempt, const Entry &entry) const
{
    if (entry.state == State::Running) {
        return {attempt, AttemptState::Running, Outcome::Unknown, makeError(ErrorKind::Ambiguous, "the attempt is running"), {}, {}};
    }
    if (entry.state == State::Tombstoned) {
        return {attempt, AttemptState::Ended, Outcome::NotRun, makeError(ErrorKind::Stale, "the attempt had not started and never will"), {}, {}};
    }
    if (entry.payloadDropped) {
        return {attempt, AttemptState::Ended, Outcome::Unknown, makeError(ErrorKind::NotFound, "the request ran, but its answer is no longer kept"), {}, {}};
    }
    return entry.reply;
}

} // namespace waxwingloft
