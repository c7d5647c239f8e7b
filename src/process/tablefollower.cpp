#include "waxwingloft/process/tablefollower.h"

#include "waxwingloft/process/guard.h"
#include "waxwingloft/process/ids.h"

#include <algorithm>

namespace waxwingloft {

namespace {

constexpr int LongestBackoffStep = 6;

} // namespace

TableObservers::TableObservers(std::vector<TableObserver *> observers)
    : observers(std::move(observers))
{
}

void TableObservers::reset(const RowList &rows)
{
    for (auto *const observer : this->observers) {
        observer->reset(rows);
    }
}

void TableObservers::apply(const ChangeBatch &batch)
{
    for (auto *const observer : this->observers) {
        observer->apply(batch);
    }
}

void TableObservers::seenAt(Instant askedAt)
{
    for (auto *const observer : this->observers) {
        observer->seenAt(askedAt);
    }
}

TableFollower::TableFollower(TableStore &store, TableFeed &feed, Clock &clock, std::string table, TableObserver &observer, TableFollowerOptions options)
    : store(store)
    , feed(feed)
    , clock(clock)
    , table(std::move(table))
    , observer(observer)
    , options(options)
    , log(LogPart::Table)
    , random(IdSource::entropySeed())
{
    this->thread = std::thread([this] { this->run(); });
}

TableFollower::~TableFollower()
{
    this->stop();
}

void TableFollower::stop()
{
    this->isStopping.store(true, std::memory_order_release);
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void TableFollower::run()
{
    while (!this->isStopping.load(std::memory_order_acquire)) {
        bool succeeded = false;
        const bool isNormal = runGuarded("changes of table " + this->table, [this, &succeeded] { succeeded = this->isListed ? this->follow() : this->list(); });
        // What an observer missed is in the next list.
        this->isListed = this->isListed && isNormal;
        // A feed that fails at once must not make the follower read the table without a pause.
        const bool isInOrder = succeeded && !this->isFeedSilent;
        this->failures = isInOrder ? 0 : this->failures + 1;
        if (!isInOrder) {
            this->pause();
        }
    }
}

bool TableFollower::list()
{
    const auto askedAt = this->clock.now();
    const auto rows = this->store.list(this->table + "/", 0);
    if (!succeeded(rows)) {
        this->noteReachable(false, toString(errorOf(rows)));
        return false;
    }
    this->noteReachable(true, {});
    this->revision = valueOf(rows).revision;
    this->isListed = true;
    this->observer.reset(valueOf(rows));
    this->observer.seenAt(askedAt);
    return true;
}

bool TableFollower::follow()
{
    const auto askedAt = this->clock.now();
    const auto wait = this->isFeedSilent && this->options.listsAfterFailure ? Millis(0) : this->options.wait;
    const auto batch = this->feed.changes(this->table, this->revision, wait);
    this->isFeedSilent = !succeeded(batch) && errorOf(batch).kind != ErrorKind::Stale;
    if (succeeded(batch)) {
        this->noteReachable(true, {});
        this->revision = std::max(this->revision, valueOf(batch).revision);
        this->observer.apply(valueOf(batch));
        this->observer.seenAt(askedAt);
        return true;
    }
    if (errorOf(batch).kind == ErrorKind::Stale) {
        this->log.warn("The history of table " + this->table + " after " + std::to_string(this->revision) + " is gone; reading it whole.");
        this->isListed = false;
        return this->list();
    }
    if (this->options.listsAfterFailure) {
        return this->list();
    }
    this->noteReachable(false, toString(errorOf(batch)));
    return false;
}

void TableFollower::pause()
{
    const auto ceiling = std::min(this->options.retryLimit, this->options.retryBase * (1 << std::min(this->failures, LongestBackoffStep)));
    this->clock.sleepFor(Millis(std::uniform_int_distribution<std::int64_t>(ceiling.count() / 2, ceiling.count())(this->random)));
}

void TableFollower::noteReachable(bool isReachable, const std::string &reason)
{
    if (isReachable == this->isReachable) {
        return;
    }
    this->isReachable = isReachable;
    if (isReachable) {
        this->log.info("Table " + this->table + " is followed again from revision " + std::to_string(this->revision) + ".");
    } else {
        this->log.warn("Table " + this->table + " cannot be followed: " + reason);
    }
}

} // namespace waxwingloft
