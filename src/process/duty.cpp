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
        revision = this->seenRevision;
        if (this->seen) {
            const bool isRenewal = this->heldUntil.has_value() && this->seen->holder == this->self && now < *this->heldUntil;
            // Nobody else can hold the lease while the row is one of this process's own writes.
            if (!isRenewal && !this->lapsedForOthers(now) && !this->isOwnWrite(valueOf(row))) {
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
    if (!this->heldUntil) {
        return std::nullopt;
    }
    this->heldUntil.reset();
    this->ownWrites.clear();
    this->ended = this->seen;
    this->isReleaseDue = true;
    this->events.record(EventKind::LeaseLost, this->name, {}, "released");
    return this->ended;
}

bool Duty::release()
{
    this->giveUp();
    DutyRecord released;
    std::uint64_t revision = 0;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (!this->isReleaseDue) {
            return true;
        }
        released = DutyRecord{NodeId{}, "", this->ended->epoch, Millis(0)};
        revision = this->seenRevision;
    }
    const auto committed = this->table.commit(Transaction{this->ids.next(), {{this->key(), revision}}, {{this->key(), encodeDuty(released)}}});
    // A renewal that was under way may have changed the row.
    const auto row = succeeded(committed) ? Result<std::optional<Row>>(std::nullopt) : this->table.get(this->key());
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (succeeded(committed)) {
        this->isReleaseDue = false;
    } else if (succeeded(row)) {
        this->observe(valueOf(row), this->clock.now());
    }
    return !this->isReleaseDue;
}

void Duty::noteGivenUp(const DutyRecord &grant)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->givenUpElsewhere = grant;
}

std::string Duty::key() const
{
    return "duty/" + this->name;
}

bool Duty::write(const DutyRecord &record, std::uint64_t revision, Instant sentAt)
{
    const auto operation = this->ids.next();
    const auto committed = this->table.commit(Transaction{operation, {{this->key(), revision}}, {{this->key(), encodeDuty(record)}}});
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (!succeeded(committed)) {
        if (errorOf(committed).kind == ErrorKind::Ambiguous && !this->hasEnded(record)) {
            this->ownWrites.push_back(operation);
            if (this->ownWrites.size() > MaxOwnWrites) {
                this->ownWrites.pop_front();
            }
        }
        return this->heldUntil.has_value() && this->clock.now() < *this->heldUntil;
    }
    if (this->hasEnded(record)) {
        return false;
    }
    const bool isNew = !this->seen || this->seen->epoch != record.epoch;
    this->seen = record;
    this->seenRevision = valueOf(committed).revision;
    this->seenUnchangedSince = this->clock.now();
    this->ownWrites = {operation};
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
    if (!this->seen || this->seen->holder != this->self) {
        this->heldUntil.reset();
    }
    if (!this->isOwnWrite(row)) {
        this->ownWrites.clear();
    }
    this->isReleaseDue = this->isReleaseDue && this->seen && this->hasEnded(*this->seen);
}

bool Duty::lapsedForOthers(Instant now) const
{
    const bool isGivenUp = this->givenUpElsewhere && isSameGrant(*this->givenUpElsewhere, *this->seen);
    return this->seen->holder.isEmpty() || isGivenUp || now >= *this->seenUnchangedSince + this->seen->term;
}

bool Duty::isOwnWrite(const std::optional<Row> &row) const
{
    return row && std::find(this->ownWrites.begin(), this->ownWrites.end(), row->operation) != this->ownWrites.end();
}

/** Whether @p record is of the last own grant that was given up. */
bool Duty::hasEnded(const DutyRecord &record) const
{
    return this->ended && isSameGrant(*this->ended, record);
}

} // namespace waxwingloft
