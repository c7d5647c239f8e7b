#include "waxwingloft/process/guard.h"

#include "faketable.h"
#include "manualclock.h"
#include "waxwingloft/process/tablefollower.h"
#include "waxwingloft/process/threadpool.h"
#include "waxwingloft/process/ticker.h"

#include <atomic>
#include <gtest/gtest.h>
#include <stdexcept>
#include <thread>

namespace waxwingloft::tests {

namespace {

/** Waits in real time until @p isDone returns true. */
bool waitUntil(const std::function<bool()> &isDone)
{
    for (int step = 0; step < 5000 && !isDone(); ++step) {
        std::this_thread::sleep_for(Millis(1));
    }
    return isDone();
}

/** Fails on its first rows. */
class FailingObserver : public TableObserver
{
public:
    void reset(const RowList &rows) override
    {
        if (++this->resets == 1) {
            throw std::runtime_error("first rows");
        }
        this->seen = static_cast<int>(rows.rows.size());
    }

    void apply(const ChangeBatch & /*batch*/) override
    {
    }

    std::atomic<int> resets = 0;
    std::atomic<int> seen = 0;
};

/** A table with one row and no changes. */
class QuietTable : public TableStore, public TableFeed
{
public:
    Result<std::optional<Row>> get(const std::string & /*key*/) override
    {
        return std::optional<Row>();
    }

    Result<RowList> list(const std::string & /*prefix*/, std::uint64_t /*since*/) override
    {
        return RowList{{Row{"jobs/1", "{}", 1, {}}}, 1};
    }

    Result<Commit> commit(const Transaction & /*transaction*/) override
    {
        return Commit{1};
    }

    Result<ChangeBatch> changes(const std::string & /*table*/, std::uint64_t after, Millis /*wait*/) override
    {
        std::this_thread::sleep_for(Millis(1));
        return ChangeBatch{{}, after};
    }
};

} // namespace

TEST(Guard, SaysWhetherTheWorkEndedNormally)
{
    EXPECT_TRUE(runGuarded("work", [] {}));
    EXPECT_FALSE(runGuarded("work", [] { throw std::runtime_error("broken"); }));
    EXPECT_FALSE(runGuarded("work", [] { throw 7; }));
}

// An exception in a posted task, in a tick or in an observer of the table took the whole process down.
TEST(Guard, AThreadPoolOutlivesATaskThatThrows)
{
    ThreadPool pool("tests", 1, 10);
    std::atomic<bool> hasRun = false;
    pool.post([] { throw std::runtime_error("broken"); });
    pool.post([&hasRun] { hasRun = true; });
    EXPECT_TRUE(waitUntil([&hasRun] { return hasRun.load(); }));
}

TEST(Guard, ATickerOutlivesATickThatThrows)
{
    std::atomic<int> ticks = 0;
    Ticker ticker("tests", Millis(1), [&ticks] {
        if (++ticks == 1) {
            throw std::runtime_error("broken");
        }
    });
    EXPECT_TRUE(waitUntil([&ticks] { return ticks > 2; }));
}

TEST(Guard, AFollowerReadsTheTableAgainAfterAnObserverThatThrows)
{
    SystemClock clock;
    QuietTable table;
    FailingObserver observer;
    TableFollower follower(table, table, clock, "jobs", observer, TableFollowerOptions());
    EXPECT_TRUE(waitUntil([&observer] { return observer.seen > 0; }));
}

} // namespace waxwingloft::tests
