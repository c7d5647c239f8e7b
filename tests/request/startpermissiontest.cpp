#include "waxwingloft/request/startpermission.h"
#include "process/manualclock.h"
#include "waxwingloft/request/executorcontroller.h"
#include "waxwingloft/request/zonegate.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

constexpr auto CloseTime = Millis(5000);
constexpr auto Margin = Millis(500);
constexpr Epoch SomeEpoch = 20;
const ExecutorIncarnation SomeIncarnation{"i-1", 1000};
const TaskRun First{{JobId{"0000000000000001"}, 0, 0, 0}, 1};

AssignmentSync answerWith(std::uint64_t sequence, Millis permission, bool isZoneClosed = false)
{
    AssignmentSync sync;
    sync.epoch = SomeEpoch;
    sync.sequence = sequence;
    sync.incarnation = SomeIncarnation;
    sync.agentLease = Millis(3000);
    sync.needsStartPermission = true;
    sync.startPermission = permission;
    sync.isZoneClosed = isZoneClosed;
    return sync;
}

/** An agent's controller whose executor has answered, with one run assigned. */
class StartPermissionTest : public testing::Test
{
protected:
    StartPermissionTest()
    {
        this->controller.setGeneration(30, 0);
        this->beat(1, "a");
        this->controller.runListAnswered(*this->controller.nextRunListQuery(), RunListAnswer{{Millis(50'000), SomeIncarnation.startedAt}, {}, {}});
    }

    void beat(std::uint64_t sequence, const std::string &zone)
    {
        ExecutorHeartbeat heartbeat;
        heartbeat.incarnation = SomeIncarnation;
        heartbeat.sequence = sequence;
        heartbeat.service = "tune";
        heartbeat.zone = zone;
        heartbeat.capacity = {128'000, 262'144, 8};
        this->controller.heartbeat(heartbeat);
    }

    /** Sends a report and applies the answer to it, @p latency later. */
    void answer(AssignmentSync sync, Millis latency = Millis(0))
    {
        const auto sentAt = this->clock.now();
        this->controller.report();
        this->clock.advance(latency);
        sync.assignments.push_back({First, {16'000, 32'768, 1}, true, "spec", ""});
        this->controller.applyAnswer(sync, sentAt);
    }

    ManualClock clock;
    Metrics metrics;
    ExecutorController controller{this->clock, this->metrics, NodeId{"agent"}, "a:1", ExecutorControllerOptions()};
};

} // namespace

TEST_F(StartPermissionTest, CountsFromWhenTheReportWasSent)
{
    this->answer(answerWith(1, Millis(700)), Millis(700));
    EXPECT_TRUE(this->controller.takeDueOrders().empty()) << "the answer was under way for as long as it permits";
    this->answer(answerWith(2, Millis(700)), Millis(300));
    this->clock.advance(Millis(399));
    EXPECT_EQ(this->controller.takeDueOrders().size(), 1U);
}

TEST_F(StartPermissionTest, AnAgentWithoutAnAnswerThatPermitsStartsNothing)
{
    this->answer(answerWith(1, Millis(0)));
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    EXPECT_EQ(this->controller.report()->runs.size(), 1U) << "the run waits";
}

/** Guards against a start that waits behind others, or in a paused process, between its last check and its call. */
TEST_F(StartPermissionTest, AStartThatWaitsIsCheckedAgainBeforeItIsSent)
{
    this->answer(answerWith(1, Millis(1000)));
    const auto orders = this->controller.takeDueOrders();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_TRUE(this->controller.maySendStarts());
    this->clock.advance(Millis(1000));
    EXPECT_FALSE(this->controller.maySendStarts());
    this->controller.startAnswered(orders[0], makeError(ErrorKind::Unreachable, "expired"));
    this->answer(answerWith(2, Millis(0), true), Millis(100));
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    const auto report = *this->controller.report();
    ASSERT_EQ(report.ends.size(), 1U) << "nothing was sent, so the run is over";
    EXPECT_EQ(report.ends[0].refusal, RefusalReason::ZoneClosed);
}

TEST_F(StartPermissionTest, AStartWithoutAnAnswerIsStoppedWhenTheZoneCloses)
{
    this->answer(answerWith(1, Millis(3000)));
    const auto orders = this->controller.takeDueOrders();
    ASSERT_EQ(orders.size(), 1U);
    this->controller.startAnswered(orders[0], makeError(ErrorKind::Ambiguous, "no answer"));
    this->clock.advance(Millis(100));
    this->answer(answerWith(2, Millis(0), true));
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    const auto stops = this->controller.takeDueOrders();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_TRUE(stops[0].isStop);
    EXPECT_TRUE(this->controller.report()->ends.empty()) << "it may have begun";
}

TEST_F(StartPermissionTest, APermissionForOneZoneIsNoneForAnother)
{
    this->answer(answerWith(1, Millis(3000)));
    this->beat(2, "b");
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    this->answer(answerWith(2, Millis(3000)));
    EXPECT_EQ(this->controller.takeDueOrders().size(), 1U);
}

/** Guards against a push that closes the zone and is overtaken by the answer to an earlier report. */
TEST_F(StartPermissionTest, AnAnswerThatAPushHasOvertakenOpensNothing)
{
    this->answer(answerWith(1, Millis(0)));
    auto push = answerWith(5, Millis(0), true);
    push.assignments.push_back({First, {16'000, 32'768, 1}, false, "", ""});
    this->controller.apply(push);
    this->answer(answerWith(4, Millis(3000)));
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
}

TEST(ZoneGateTest, PermitsForWhatIsLeftOfTheCloseTime)
{
    ManualClock clock;
    ZoneView view;
    ZoneGate gate(CloseTime, Margin);
    const auto now = clock.now() + Millis(100'000);
    EXPECT_FALSE(gate.isFresh(now)) << "it follows no view yet";
    gate.follow(view);
    EXPECT_EQ(gate.permission("a", now), Millis(0)) << "the rows were never read";
    view.seenAt(now - Millis(1200));
    EXPECT_EQ(gate.permission("a", now), CloseTime - Margin - Millis(1200));
    view.publish({{{"a", {3, now}}}});
    EXPECT_EQ(gate.permission("a", now), Millis(0));
    EXPECT_TRUE(gate.isFresh(now));
    view.seenAt(now - CloseTime + Margin);
    EXPECT_FALSE(gate.isFresh(now));
    EXPECT_EQ(gate.permission("b", now), Millis(0));
}

TEST(ZoneGateTest, IgnoresClosuresWithoutACloseTime)
{
    ZoneView view;
    view.publish({{{"a", {3, Instant()}}}});
    ZoneGate gate(std::nullopt, Margin);
    gate.follow(view);
    EXPECT_FALSE(gate.isClosed("a"));
    EXPECT_TRUE(gate.isFresh(Instant(Millis(100'000))));
}

} // namespace waxwingloft::tests
