#include "waxwingloft/process/tableclient.h"

#include <algorithm>

namespace waxwingloft {

namespace {

bool isPlatformFailure(const Error &error)
{
    return error.kind == ErrorKind::PlatformDown || error.kind == ErrorKind::Ambiguous;
}

} // namespace

TableClient::TableClient(TableStore &store, Clock &clock, TableBudget budget, std::uint64_t seed)
    : store(store)
    , clock(clock)
    , budget(budget)
    , bucket(budget.callsPerSecond, budget.burst, clock.now())
    , random(seed)
    , closedUntil(clock.now())
{
}

Result<std::optional<Row>> TableClient::get(const std::string &key)
{
    return this->guarded<std::optional<Row>>([this, &key] { return this->store.get(key); });
}

Result<RowList> TableClient::list(const std::string &prefix, std::uint64_t since)
{
    return this->guarded<RowList>([this, &prefix, since] { return this->store.list(prefix, since); });
}

Result<Commit> TableClient::commit(const Transaction &transaction)
{
    int triesLeft = this->budget.settleTries;
    return this->commitWhile(transaction, [&triesLeft] { return triesLeft-- > 0; });
}

Result<Commit> TableClient::commitWhile(const Transaction &transaction, const SettleCheck &mayGoOn)
{
    auto result = this->guarded<Commit>([this, &transaction] { return this->store.commit(transaction); });
    if (succeeded(result) || errorOf(result).kind != ErrorKind::Ambiguous) {
        return result;
    }
    return this->settle(transaction, mayGoOn);
}

std::optional<Instant> TableClient::downSince() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->failingSince;
}

template<typename T, typename Call>
Result<T> TableClient::guarded(Call call)
{
    const auto entered = this->enter();
    if (!succeeded(entered)) {
        return errorOf(entered);
    }
    auto result = call();
    this->noteResult(succeeded(result) || !isPlatformFailure(errorOf(result)));
    return result;
}

/**
 * Decides whether a commit without an answer took effect.
 *
 * The transaction is conditional, so it takes effect at most once however often it is sent. An
 * absent operation id is no proof while the first send may still be under way: the transaction is
 * sent again. When it conflicts with a row of another operation, that one may have replaced ours,
 * so the end stays ambiguous.
 */
Result<Commit> TableClient::settle(const Transaction &transaction, const SettleCheck &mayGoOn)
{
    const auto &key = transaction.writes.front().key;
    for (int tryNumber = 0; mayGoOn(); ++tryNumber) {
        this->clock.sleepFor(this->jitteredPause(tryNumber));
        const auto written = this->findOwnWrite(key, transaction.operation);
        if (written) {
            return *written;
        }
        auto again = this->guarded<Commit>([this, &transaction] { return this->store.commit(transaction); });
        if (succeeded(again)) {
            return again;
        }
        if (errorOf(again).kind == ErrorKind::Rejected) {
            return again;
        }
        if (errorOf(again).kind == ErrorKind::Conflict) {
            const auto earlier = this->findOwnWrite(key, transaction.operation);
            return earlier ? Result<Commit>(*earlier)
                           : makeError(ErrorKind::Ambiguous, "another operation wrote " + key + " while operation " + transaction.operation + " was in doubt");
        }
    }
    return makeError(ErrorKind::Ambiguous, "the table service gave no answer to operation " + transaction.operation);
}

std::optional<Commit> TableClient::findOwnWrite(const std::string &key, const std::string &operation)
{
    const auto row = this->guarded<std::optional<Row>>([this, &key] { return this->store.get(key); });
    if (!succeeded(row) || !valueOf(row) || valueOf(row)->operation != operation) {
        return std::nullopt;
    }
    return Commit{valueOf(row)->revision};
}

Status TableClient::enter()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto now = this->clock.now();
    if (now < this->closedUntil) {
        return makeError(ErrorKind::PlatformDown, "the table service has been failing and is left alone for a moment");
    }
    if (!this->bucket.tryTake(1.0, now)) {
        return makeError(ErrorKind::PlatformDown, "this process has used up its budget of table calls", "retry after a second");
    }
    return Done{};
}

void TableClient::noteResult(bool answered)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (answered) {
        this->consecutiveFailures = 0;
        this->failingSince.reset();
        return;
    }
    const auto now = this->clock.now();
    ++this->consecutiveFailures;
    this->failingSince = this->failingSince.value_or(now);
    if (this->consecutiveFailures >= this->budget.failuresToOpen) {
        const int step = std::min(this->consecutiveFailures - this->budget.failuresToOpen, 10);
        const auto ceiling = std::min(this->budget.backoffLimit, this->budget.backoffBase * (1 << step));
        this->closedUntil = now + Millis(std::uniform_int_distribution<std::int64_t>(0, ceiling.count())(this->random));
    }
}

Millis TableClient::jitteredPause(int tryNumber)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto ceiling = std::min(this->budget.backoffLimit, this->budget.backoffBase * (1 << std::min(tryNumber, 10)));
    return Millis(std::uniform_int_distribution<std::int64_t>(0, ceiling.count())(this->random));
}

} // namespace waxwingloft
