#include "waxwingloft/process/duty.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace waxwingloft {

namespace {

constexpr std::size_t MaxOwnWrites = 16; ///< kept while the table answers reads and no writes; a forgotten one costs a wait for the term

/** Whether both are renewals of one grant. */
bool isSameGrant(const DutyRecord &left, const DutyRecord &right)
{
    return left.holder == right.holder && left.epoch == right.epoch;
}

} // namespace

std::string encodeDuty(const DutyRecord &record)
{
    return nlohmann::json{{"holder", record.holder.value}, {"address", record.address}, {"epoch", record.epoch}, {"term_ms", record.term.count()}}.dump();
}

Result<DutyRecord> parseDuty(const std::string &value)
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object()) {
        return makeError(ErrorKind::Internal, "a duty row of the table is not a JSON object");
    }
    try {
        DutyRecord record;
        record.holder.value = json.value("holder", "");
        record.address = json.value("address", "");
        record.epoch = json.value("epoch", Epoch(0));
        record.term = Millis(json.value("term_ms", std::int64_t(0)));
        return record;
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorKind::Internal, std::string("a duty row of the table has a field of another type: ") + error.what());
    }
}

Duty::Duty(TableStore &table, Clock &clock, EventLog &events, IdSource &ids, std::string name, NodeId self, std::string address, LeaseOptions options)
    : table(table)
    , clock(clock)
    , events(events)
    , ids(ids)
    , name(std::move(name))
    , self(std::move(self))
    , address(std::move(address))
    , options(options)
{
}

bool Duty::pursue()
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto now = this->clock.now();
        if (this->heldUntil && now < *this->heldUntil && now < this->renewAt) {
            return true;
        }
    }
    const auto row = this->table.get(this->key());
    const auto now = this->clock.now();
    if (!succeeded(row)) {
        return this->heldEpoch().has_value();
    }
    DutyRecord next{this->self, this->address, 1, this->options.term};
    std::uint64_t revision = 0;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->observe(valueOf(row), now);
        if (this->isRetired) {
            return false;
        }
        revision = this->seenRevision;
        if (this->seen) {
            const bool isRenewal = this->heldUntil.has_value() && this->seen->holder == this->self && now < *this->heldUntil;
            // Nobody else can hold the lease while the row is one of this process's own writes.
            if (!isRenewal && !this->lapsedForOthers(now) && !this->isOwnRow) {
                return false;
            }
            next.epoch = isRenewal ? this->seen->epoch : this->seen->epoch + 1;
        }
    }
    return this->write(next, revision, now);
}

std::optional<Epoch> Duty::heldEpoch() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (!this->heldUntil || this->clock.now() >= *this->heldUntil) {
        return std::nullopt;
    }
    return this->seen->epoch;
}

std::optional<Instant> Duty::renewedAt() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->heldUntil && this->clock.now() < *this->heldUntil ? std::optional(this->renewalSentAt) : std::nullopt;
}

std::optional<DutyRecord> Duty::lastKnown() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->seen;
}

std::optional<DutyRecord> Duty::giveUp()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    // A write without an answer may have acquired the lease.
    this->isReleaseDue = this->isReleaseDue || !this->ownWrites.empty();
    if (!this->heldUntil) {
        return std::nullopt;
    }
    this->heldUntil.reset();
    this->ownGivenUp = this->seen;
    this->events.record(EventKind::LeaseLost, this->name, {}, "released");
    return this->ownGivenUp;
}

bool Duty::release()
{
    this->giveUp();
    bool isDue = this->tryRelease();
    if (isDue) {
        // A write that was under way may have changed the row.
        this->refresh();
        isDue = this->tryRelease();
    }
    return !isDue;
}

/** Writes the row that ends an own grant if that is due and the row is known. Returns whether it is due still. */
bool Duty::tryRelease()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    if (!this->isReleaseDue || !this->isOwnRow) {
        return this->isReleaseDue;
    }
    const DutyRecord released{NodeId{}, "", this->seen->epoch, Millis(0)};
    const auto revision = this->seenRevision;
    lock.unlock();
    const auto committed = this->table.commit(Transaction{this->ids.next(), {{this->key(), revision}}, {{this->key(), encodeDuty(released)}}});
    lock.lock();
    // Otherwise the row has been read or written again in the meantime, and its state is known.
    if (succeeded(committed) && this->seenRevision == revision) {
        this->isReleaseDue = false;
        this->isOwnRow = false;
        this->ownWrites.clear();
    }
    return this->isReleaseDue;
}

void Duty::retire()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->isRetired = true;
}

void Duty::refresh()
{
    const auto row = this->table.get(this->key());
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (succeeded(row)) {
        this->observe(valueOf(row), this->clock.now());
    }
}

void Duty::noteGivenUp(const DutyRecord &grant)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (!this->otherGivenUp || this->otherGivenUp->epoch <= grant.epoch) {
        this->otherGivenUp = grant;
    }
}

std::string Duty::key() const
{
    return "duty/" + this->name;
}

bool Duty::write(const DutyRecord &record, std::uint64_t revision, Instant sentAt)
{
    const auto operation = this->ids.next();
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->ownWrites.push_back(operation);
        if (this->ownWrites.size() > MaxOwnWrites) {
            this->ownWrites.pop_front();
        }
    }
    const auto committed = this->table.commit(Transaction{operation, {{this->key(), revision}}, {{this->key(), encodeDuty(record)}}});
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (!succeeded(committed)) {
        if (errorOf(committed).kind != ErrorKind::Ambiguous) {
            std::erase(this->ownWrites, operation);
        }
        return this->heldUntil.has_value() && this->clock.now() < *this->heldUntil;
    }
    if (this->ownGivenUp && isSameGrant(*this->ownGivenUp, record)) {
        return false;
    }
    const bool isNew = !this->seen || this->seen->epoch != record.epoch;
    this->seen = record;
    this->seenRevision = valueOf(committed).revision;
    this->seenUnchangedSince = this->clock.now();
    this->ownWrites = {operation};
    this->isOwnRow = true;
    this->isReleaseDue = false;
    this->heldUntil = sentAt + this->options.term - this->options.safety;
    this->renewalSentAt = sentAt;
    this->renewAt = sentAt + this->options.term / 3;
    if (isNew) {
        this->events.record(EventKind::LeaseTaken, this->name, {}, "epoch " + std::to_string(record.epoch));
    }
    return this->clock.now() < *this->heldUntil;
}

void Duty::observe(const std::optional<Row> &row, Instant now)
{
    const std::uint64_t revision = row ? row->revision : 0;
    if (revision == this->seenRevision && this->seenUnchangedSince) {
        return;
    }
    this->seenRevision = revision;
    this->seenUnchangedSince = now;
    this->seen.reset();
    if (row) {
        const auto record = parseDuty(row->value);
        this->seen = succeeded(record) ? valueOf(record) : DutyRecord{};
    }
    this->isOwnRow = this->isOwnWrite(row);
    if (!this->isOwnRow) {
        // The conditions of all own writes that are still under way fail now.
        this->ownWrites.clear();
        this->heldUntil.reset();
        this->isReleaseDue = false;
    }
    if (!this->seen || !this->otherGivenUp || !isSameGrant(*this->otherGivenUp, *this->seen)) {
        this->otherGivenUp.reset();
    }
}

bool Duty::lapsedForOthers(Instant now) const
{
    const bool isGivenUp = this->otherGivenUp && isSameGrant(*this->otherGivenUp, *this->seen);
    return this->seen->holder.isEmpty() || isGivenUp || now >= *this->seenUnchangedSince + this->seen->term;
}

bool Duty::isOwnWrite(const std::optional<Row> &row) const
{
    return row && std::find(this->ownWrites.begin(), this->ownWrites.end(), row->operation) != this->ownWrites.end();
}

} // namespace waxwingloft
