#include "process/faketable.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/request/jobcache.h"
#include "waxwingloft/request/placerservice.h"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace waxwingloft::tests {

namespace {

/** A clock that moves only when told to, for tests with threads. */
class SharedClock : public Clock
{
public:
    Instant now() const override
    {
        return Instant(Millis(this->elapsed.load()));
    }

    std::int64_t wallMillis() const override
    {
        return this->elapsed.load();
    }

    void sleepFor(Millis duration) override
    {
        this->advance(duration);
    }

    bool waitFor(std::unique_lock<std::mutex> & /*lock*/, std::condition_variable & /*wakeUp*/, Millis duration, const std::function<bool()> &isDone) override
    {
        this->advance(duration);
        return isDone();
    }

    void advance(Millis duration)
    {
        this->elapsed += duration.count();
    }

private:
    std::atomic<std::int64_t> elapsed = 1'000'000;
};

/** A table that can stop answering; counts the reads that it fails. */
class StoppableTable : public TableStore
{
public:
    Result<std::optional<Row>> get(const std::string &key) override
    {
        if (this->isDown) {
            ++this->failedReads;
            return makeError(ErrorKind::PlatformDown, "down");
        }
        return this->rows.get(key);
    }

    Result<RowList> list(const std::string &prefix, std::uint64_t since) override
    {
        return this->rows.list(prefix, since);
    }

    Result<Commit> commit(const Transaction &transaction) override
    {
        return this->isDown ? Result<Commit>(makeError(ErrorKind::PlatformDown, "down")) : this->rows.commit(transaction);
    }

    std::atomic<bool> isDown = false;
    std::atomic<int> failedReads = 0;

private:
    FakeRows rows;
};

/** Delivers nothing. */
class SilentNodes : public NodePort
{
public:
    Result<Message> call(const std::string & /*address*/, const Message & /*message*/, Millis /*timeout*/) override
    {
        return makeError(ErrorKind::Unreachable, "silent");
    }
};

/** Waits in real time until @p isDone returns true. */
void waitUntil(const std::function<bool()> &isDone)
{
    for (int step = 0; step < 5000 && !isDone(); ++step) {
        std::this_thread::sleep_for(Millis(1));
    }
    ASSERT_TRUE(isDone());
}

} // namespace

// Grants were counted from the latest look at the leadership, also when that had not been renewed.
TEST(PlacerService, GrantsAgentLeasesOnlyForTheGrantPeriodAfterItsLastRenewalWasSent)
{
    const TaskPlacerOptions placerOptions;
    SharedClock clock;
    EventLog events(clock, "e0", 10);
    IdSource ids(1);
    StoppableTable table;
    SilentNodes nodes;
    TaskPlacer placer(clock, placerOptions, JobRankOptions());
    JobCache cache(placer);
    PlacerServiceOptions options;
    options.electionInterval = Millis(1);
    PlacerService service(clock, events, ids, table, nodes, NodeId{"e0"}, "e0:1", placer, cache, options);
    service.start();
    waitUntil([&placer] { return placer.isLeader(); });

    table.isDown = true;
    clock.advance(options.lease.term - options.lease.safety - Millis(100));
    waitUntil([&table] { return table.failedReads > 1; });
    clock.advance(placerOptions.grantPeriod - (options.lease.term - options.lease.safety) + Millis(200));
    ASSERT_TRUE(placer.isLeader());
    AgentReport report;
    report.node = NodeId{"a0"};
    report.generation = 1;
    report.sequence = 1;
    report.epoch = placer.view().epoch;
    report.incarnation = {"x0", 1};
    const auto answer = placer.report(report);
    ASSERT_TRUE(succeeded(answer));
    EXPECT_EQ(valueOf(answer).agentLease, Millis(0));
}

} // namespace waxwingloft::tests
