#include "waxwingloft/request/executorcontroller.h"
#include "process/manualclock.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

const ExecutorIncarnation Life{"i-1", 1000};
const TaskRun First{{JobId{"0000000000000001"}, 0, 0, 0}, 1};
constexpr Epoch SomeEpoch = 20;
constexpr std::uint64_t Generation = 30;
constexpr auto Licence = Millis(3000);

class ExecutorKeeperTest : public testing::Test
{
protected:
    ExecutorKeeperTest()
    {
        this->keeper.setGeneration(Generation);
        this->keeper.heartbeat(this->beat(1));
        this->answerHold({});
    }

    ExecutorHeartbeat beat(std::uint64_t sequence, bool isDraining = false)
    {
        ExecutorHeartbeat heartbeat;
        heartbeat.incarnation = Life;
        heartbeat.sequence = sequence;
        heartbeat.service = "tune";
        heartbeat.capacity = {128'000, 262'144, 8};
        heartbeat.isDraining = isDraining;
        return heartbeat;
    }

    static AssignmentSync sync(std::uint64_t sequence, const std::vector<TaskRun> &runs, Epoch epoch = SomeEpoch)
    {
        AssignmentSync sync;
        sync.epoch = epoch;
        sync.sequence = sequence;
        sync.incarnation = Life;
        sync.agentLease = Licence;
        for (const auto &run : runs) {
            sync.assignments.push_back({run, {16'000, 32'768, 1}, true, "spec", ""});
        }
        return sync;
    }

    /** Asks for the lists and answers with @p running. */
    DueRunListQuery answerHold(const std::vector<TaskRun> &running)
    {
        const auto hold = this->keeper.nextRunListQuery();
        RunListAnswer answer;
        answer.stamp = {Millis(50'000) + std::chrono::duration_cast<Millis>(this->clock.now().time_since_epoch()), Life.startedAt};
        for (const auto &run : running) {
            answer.running.push_back({run, "", 10});
        }
        this->keeper.runListAnswered(*hold, answer);
        return *hold;
    }

    DueRunListQuery failHold()
    {
        const auto hold = this->keeper.nextRunListQuery();
        this->keeper.runListAnswered(*hold, makeError(ErrorKind::Ambiguous, "silent"));
        return *hold;
    }

    Millis executorTime() const
    {
        return Millis(50'000) + std::chrono::duration_cast<Millis>(this->clock.now().time_since_epoch());
    }

    ManualClock clock;
    ExecutorControllerOptions options;
    ExecutorController keeper{this->clock, NodeId{"agent"}, "a:1", this->options};
};

} // namespace

TEST_F(ExecutorKeeperTest, StartsOnlyWithinALicence)
{
    this->keeper.apply(sync(1, {First}));
    EXPECT_TRUE(this->keeper.takeDueOrders().empty()) << "an assignment that was pushed carries no licence";
    this->keeper.applyAnswer(sync(2, {First}), this->clock.now());
    const auto orders = this->keeper.takeDueOrders();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_FALSE(orders[0].isStop);
    EXPECT_EQ(orders[0].start.leaseEnd, this->executorTime() + this->options.lease);
}

TEST_F(ExecutorKeeperTest, TheLicenceCountsFromBeforeTheReport)
{
    const auto sentAt = this->clock.now();
    this->clock.advance(Millis(2900));
    this->keeper.applyAnswer(sync(1, {}), sentAt);
    EXPECT_TRUE(this->keeper.nextRunListQuery()->question.leaseEnd);
    this->clock.advance(Millis(200));
    EXPECT_FALSE(this->keeper.nextRunListQuery()->question.leaseEnd) << "the licence ended 3 s after the report was sent";
}

TEST_F(ExecutorKeeperTest, TheTokenIsTheHigherOfEpochAndGeneration)
{
    EXPECT_EQ(this->keeper.nextRunListQuery()->question.fencingToken, Generation);
    this->keeper.applyAnswer(sync(1, {}, 40), this->clock.now());
    EXPECT_EQ(this->keeper.nextRunListQuery()->question.fencingToken, 40U);
}

TEST_F(ExecutorKeeperTest, IgnoresOlderPlacersAndOlderAssignments)
{
    this->keeper.applyAnswer(sync(5, {First}), this->clock.now());
    this->keeper.apply(sync(4, {}));
    this->keeper.apply(sync(9, {}, SomeEpoch - 1));
    const auto orders = this->keeper.takeDueOrders();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_FALSE(orders[0].isStop);
}

TEST_F(ExecutorKeeperTest, RefusesNewWorkFromTheHeartbeatThatSaysItDrains)
{
    this->keeper.heartbeat(this->beat(2, true));
    this->keeper.applyAnswer(sync(1, {First}), this->clock.now());
    EXPECT_TRUE(this->keeper.takeDueOrders().empty());
    const auto report = this->keeper.report();
    ASSERT_EQ(report->ends.size(), 1U);
    EXPECT_EQ(report->ends[0].end, RunEnd::Refused);
    EXPECT_TRUE(report->isDraining);
}

TEST_F(ExecutorKeeperTest, AnOutOfDateHeartbeatChangesNothing)
{
    this->keeper.heartbeat(this->beat(5));
    this->keeper.heartbeat(this->beat(4, true));
    EXPECT_FALSE(this->keeper.report()->isDraining);
    auto earlier = this->beat(99, true);
    earlier.incarnation = {"i-0", Life.startedAt - 1};
    this->keeper.heartbeat(earlier);
    EXPECT_EQ(this->keeper.report()->incarnation, Life);
}

TEST_F(ExecutorKeeperTest, AStartWithoutAnAnswerIsRepeatedAndCountsAsRunning)
{
    this->keeper.applyAnswer(sync(1, {First}), this->clock.now());
    auto orders = this->keeper.takeDueOrders();
    EXPECT_TRUE(this->keeper.takeDueOrders().empty()) << "one call at a time";
    this->keeper.startAnswered(orders[0], makeError(ErrorKind::Ambiguous, "lost"));
    EXPECT_EQ(this->keeper.report()->runs.size(), 1U);
    this->clock.advance(this->options.resendAfter);
    EXPECT_EQ(this->keeper.takeDueOrders().size(), 1U);
}

TEST_F(ExecutorKeeperTest, ARunThatWasStoppedBeforeItWasThereIsOverOnceTheListsLackIt)
{
    this->keeper.applyAnswer(sync(1, {First}), this->clock.now());
    auto orders = this->keeper.takeDueOrders();
    this->keeper.startAnswered(orders[0], makeError(ErrorKind::Ambiguous, "lost"));
    this->keeper.apply(sync(2, {}));
    orders = this->keeper.takeDueOrders();
    ASSERT_EQ(orders.size(), 1U);
    ASSERT_TRUE(orders[0].isStop);
    const auto early = this->keeper.nextRunListQuery();
    this->keeper.stopAnswered(orders[0], ExecutorStamp{this->executorTime(), Life.startedAt});
    this->keeper.runListAnswered(*early, RunListAnswer{{this->executorTime(), Life.startedAt}, {}, {}});
    EXPECT_EQ(this->keeper.report()->runs.size(), 1U) << "that question was asked before the stop was answered";
    this->answerHold({});
    EXPECT_TRUE(this->keeper.report()->runs.empty());
}

TEST_F(ExecutorKeeperTest, ASilentExecutorIsAskedWithoutRenewingSoThatItsLeaseEnds)
{
    this->keeper.applyAnswer(sync(1, {First}), this->clock.now());
    this->keeper.startAnswered(this->keeper.takeDueOrders()[0], StartAnswer{{this->executorTime(), Life.startedAt}, RefusalReason::None});
    this->failHold();
    this->failHold();
    EXPECT_FALSE(this->keeper.report()->isReachable);
    std::uint64_t sequence = 2;
    const auto silentSince = this->clock.now();
    while (this->keeper.report()->ends.empty() && this->clock.now() - silentSince < Millis(20'000)) {
        this->keeper.applyAnswer(sync(sequence++, {First}), this->clock.now());
        EXPECT_FALSE(this->failHold().question.leaseEnd);
        this->clock.advance(Millis(100));
    }
    const auto longest = Millis(static_cast<std::int64_t>(static_cast<double>(this->options.lease.count()) / 0.98));
    EXPECT_GE(this->clock.now() - silentSince, longest) << "not before the lease is surely over, on a clock that is 2% slow";
    EXPECT_LE(this->clock.now() - silentSince, longest + Millis(300));
    EXPECT_EQ(this->keeper.report()->ends[0].end, RunEnd::Lapsed);
}

TEST_F(ExecutorKeeperTest, AnEndStaysUntilItIsNoted)
{
    const auto hold = this->keeper.nextRunListQuery();
    RunListAnswer answer{{this->executorTime(), Life.startedAt}, {}, {{7, First, RunEnd::Done, "", RefusalReason::None}}};
    this->keeper.runListAnswered(*hold, answer);
    this->keeper.runListAnswered(*this->keeper.nextRunListQuery(), answer);
    EXPECT_EQ(this->keeper.report()->ends.size(), 1U);
    EXPECT_EQ(this->keeper.nextRunListQuery()->question.notedEnds, 0U);
    auto noted = sync(1, {});
    noted.notedEnds = 7;
    this->keeper.applyAnswer(noted, this->clock.now());
    EXPECT_TRUE(this->keeper.report()->ends.empty());
    EXPECT_EQ(this->keeper.nextRunListQuery()->question.notedEnds, 7U);
}

TEST_F(ExecutorKeeperTest, ANewLifeUnderTheSameIdNeedsANewGenerationBeforeItIsReported)
{
    auto again = this->beat(1);
    again.incarnation.startedAt += 5000;
    this->keeper.heartbeat(again);
    EXPECT_TRUE(this->keeper.needsGeneration());
    EXPECT_FALSE(this->keeper.nextRunListQuery());
    EXPECT_FALSE(this->keeper.report());
    this->keeper.setGeneration(Generation + 9);
    EXPECT_EQ(this->keeper.nextRunListQuery()->question.fencingToken, Generation + 9);
    EXPECT_FALSE(this->keeper.report()) << "its lists have not been read";
}

TEST_F(ExecutorKeeperTest, AnExecutorThatLeavesEndsAllThatRunsThere)
{
    this->answerHold({First});
    EXPECT_EQ(this->keeper.report()->runs.size(), 1U);
    this->keeper.deregister("another");
    EXPECT_EQ(this->keeper.report()->runs.size(), 1U);
    this->keeper.deregister(Life.id);
    EXPECT_EQ(this->keeper.report()->ends.size(), 1U);
    EXPECT_TRUE(this->keeper.report()->isDraining);
}

TEST_F(ExecutorKeeperTest, AwaitsTheEndsOfAnExecutorThatIsGoneUntilThePlacerKnows)
{
    this->keeper.applyAnswer(sync(1, {First}), this->clock.now());
    this->answerHold({First});
    EXPECT_FALSE(this->keeper.awaitsEnds()) << "what runs goes on without this agent";
    this->failHold();
    this->failHold();
    EXPECT_TRUE(this->keeper.awaitsEnds()) << "the lease is not over";
    this->clock.advance(this->options.lease * 2);
    this->failHold();
    ASSERT_EQ(this->keeper.report()->ends.size(), 1U);
    EXPECT_TRUE(this->keeper.awaitsEnds()) << "the placer does not know";
    this->keeper.applyAnswer(sync(2, {}), this->clock.now());
    EXPECT_FALSE(this->keeper.awaitsEnds());
}

TEST_F(ExecutorKeeperTest, TheLapseOfARunThatWasToStopIsReportedBeforeItIsForgotten)
{
    this->keeper.applyAnswer(sync(1, {First}), this->clock.now());
    this->answerHold({First});
    this->keeper.applyAnswer(sync(2, {}), this->clock.now());
    this->failHold();
    this->failHold();
    this->clock.advance(this->options.lease * 2);
    this->failHold();
    this->keeper.apply(sync(3, {}));
    ASSERT_EQ(this->keeper.report()->ends.size(), 1U) << "these assignments were sent before the placer heard of the end";
    EXPECT_EQ(this->keeper.report()->ends[0].end, RunEnd::Lapsed);
    this->keeper.applyAnswer(sync(4, {}), this->clock.now());
    EXPECT_TRUE(this->keeper.report()->ends.empty());
}

TEST_F(ExecutorKeeperTest, AssignmentsForAnotherLifeAreNotTakenOver)
{
    auto other = sync(1, {First});
    other.incarnation.startedAt += 1;
    this->keeper.applyAnswer(other, this->clock.now());
    EXPECT_TRUE(this->keeper.takeDueOrders().empty());
    this->keeper.applyAnswer(sync(2, {First}), this->clock.now());
    EXPECT_EQ(this->keeper.takeDueOrders().size(), 1U);
}

} // namespace waxwingloft::tests
