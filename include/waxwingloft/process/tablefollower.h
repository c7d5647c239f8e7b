#ifndef WAXWINGLOFT_PROCESS_TABLEFOLLOWER_H
#define WAXWINGLOFT_PROCESS_TABLEFOLLOWER_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/tablefeed.h"

#include <atomic>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace waxwingloft {

/** Gets the contents of a followed table. Called on the follower's thread. */
class TableObserver
{
public:
    virtual ~TableObserver() = default;

    /** The whole table as of one revision; replaces all that was known. */
    virtual void reset(const RowList &rows) = 0;

    /** Changes since the last call. May be empty: the table was looked at and is unchanged. */
    virtual void apply(const ChangeBatch &batch) = 0;

    /**
     * All rows as of @p askedAt are known, possibly later ones too. Called after each successful reset() or apply().
     *
     * @p askedAt is the time before the question was sent, on the follower's clock, so that a slow answer or a paused process makes the view no fresher.
     */
    virtual void seenAt(Instant /*askedAt*/)
    {
    }
};

/** Passes the contents of one table on to several observers, in their order. */
class TableObservers : public TableObserver
{
public:
    explicit TableObservers(std::vector<TableObserver *> observers);

    void reset(const RowList &rows) override;
    void apply(const ChangeBatch &batch) override;
    void seenAt(Instant askedAt) override;

private:
    const std::vector<TableObserver *> observers;
};

/** Times of a follower. */
struct TableFollowerOptions {
    Millis wait = Millis(2000); ///< how long one question to the feed stays open
    Millis retryBase = Millis(50); ///< first pause after a failure
    Millis retryLimit = Millis(400); ///< longest pause after failures; bounds how long a change goes unseen after an outage
    bool listsAfterFailure = false; ///< reads the whole table after an unanswered question to the feed; the next one is answered at once
};

/**
 * Keeps an observer up to date with one table: a list, then its feed, and a list again when history is lost.
 *
 * Runs a thread of its own, which sleeps in the feed.
 */
class TableFollower
{
public:
    TableFollower(TableStore &store, TableFeed &feed, Clock &clock, std::string table, TableObserver &observer, TableFollowerOptions options);
    ~TableFollower();
    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

    /** Ends the thread; waits for the question that is open. */
    void stop();

private:
    void run();
    bool list();
    bool follow();
    void pause();
    void noteReachable(bool isReachable, const std::string &reason);

    TableStore &store;
    TableFeed &feed;
    Clock &clock;
    const std::string table;
    TableObserver &observer;
    const TableFollowerOptions options;
    const Logger log;
    std::mt19937_64 random;
    std::uint64_t revision = 0;
    bool isListed = false;
    bool isReachable = true;
    bool isFeedSilent = false; ///< the last question to the feed had no answer
    int failures = 0;
    std::atomic<bool> isStopping = false;
    std::thread thread;
};

} // namespace waxwingloft

#endif
