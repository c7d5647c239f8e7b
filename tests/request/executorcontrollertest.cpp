#include "waxwingloft/request/executorcontroller.h"
#include "process/manualclock.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

const ExecutorIncarnation SomeIncarnation{"i-1", 1000};
const TaskRun First{{JobId{"0000000000000001"}, 0, 0, 0}, 1};
constexpr Epoch SomeEpoch = 20;
constexpr std::uint64_t Generation = 30;
constexpr auto AgentLease = Millis(3000);
constexpr auto LongTime = Millis(30'000);

class ExecutorControllerTest : public testing::Test
{
protected:
    ExecutorControllerTest()
    {
        this->controller.setGeneration(Generation, 0);
        this->controller.heartbeat(this->makeHeartbeat(1));
        this->answerPoll({});
    }

    ExecutorHeartbeat makeHeartbeat(std::uint64_t sequence, bool isDraining = false)
    {
        ExecutorHeartbeat heartbeat;
        heartbeat.incarnation = SomeIncarnation;
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
        sync.incarnation = SomeIncarnation;
        sync.agentLease = AgentLease;
        for (const auto &run : runs) {
            sync.assignments.push_back({run, {16'000, 32'768, 1}, true, "spec", ""});
        }
        return sync;
    }

    /** Polls the run lists and answers with @p running. */
    DueRunListQuery answerPoll(const std::vector<TaskRun> &running)
    {
        return this->answerPollAs(SomeIncarnation.startedAt, running);
    }

    /** The same, answered by the incarnation that started at @p startedAt. */
    DueRunListQuery answerPollAs(std::int64_t startedAt, const std::vector<TaskRun> &running)
    {
        const auto poll = this->controller.nextRunListQuery();
        RunListAnswer answer;
        answer.stamp = {this->executorTime(), startedAt};
        for (const auto &run : running) {
            answer.running.push_back({run, "", 10});
        }
        this->controller.runListAnswered(*poll, answer);
        return *poll;
    }

    DueRunListQuery failPoll()
    {
        const auto poll = this->controller.nextRunListQuery();
        this->controller.runListAnswered(*poll, makeError(ErrorKind::Ambiguous, "no answer"));
        return *poll;
    }

    /** Fails polls until a run ends, while the placer keeps granting agent leases. Returns after how long that was; at most LongTime. */
    Millis timeUntilLapse()
    {
        const auto since = this->clock.now();
        while (this->controller.report()->ends.empty() && this->clock.now() - since < LongTime) {
            this->controller.applyAnswer(sync(++this->syncs, {First}), this->clock.now());
            EXPECT_FALSE(this->failPoll().question.leaseEnd);
            this->clock.advance(Millis(100));
        }
        const auto report = this->controller.report();
        EXPECT_TRUE(report->ends.empty() || report->ends[0].end == RunEnd::Lapsed);
        EXPECT_FALSE(report->isReachable);
        return this->clock.now() - since;
    }

    Millis longestOf(Millis lease) const
    {
        return Millis(static_cast<std::int64_t>(static_cast<double>(lease.count()) / (1.0 - this->options.clockDrift)));
    }

    /** The longest that a lease can last on the agent's clock. */
    Millis longestLease() const
    {
        return this->longestOf(this->options.lease + this->options.leaseReserve);
    }

    Millis executorTime() const
    {
        return Millis(50'000) + std::chrono::duration_cast<Millis>(this->clock.now().time_since_epoch());
    }

    /** The present value of a counter, by its name with its labels; -1 if there is none. */
    int countOf(const std::string &counter) const
    {
        const auto text = this->metrics.text();
        const auto found = text.find("\n" + counter + " ");
        return found == std::string::npos ? -1 : std::stoi(text.substr(found + counter.size() + 2));
    }

    std::uint64_t syncs = 1;
    ManualClock clock;
    ExecutorControllerOptions options;
    Metrics metrics;
    ExecutorController controller{this->clock, this->metrics, NodeId{"agent"}, "a:1", this->options};
};

} // namespace

TEST_F(ExecutorControllerTest, StartsOnlyWithinAnAgentLease)
{
    this->controller.apply(sync(1, {First}));
    EXPECT_TRUE(this->controller.takeDueOrders().empty()) << "a pushed assignment grants no agent lease";
    this->controller.applyAnswer(sync(2, {First}), this->clock.now());
    const auto orders = this->controller.takeDueOrders();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_FALSE(orders[0].isStop);
    EXPECT_EQ(orders[0].start.leaseEnd, this->executorTime() + this->options.lease);
}

TEST_F(ExecutorControllerTest, TheAgentLeaseCountsFromWhenTheReportWasSent)
{
    const auto sentAt = this->clock.now();
    this->clock.advance(Millis(2900));
    this->controller.applyAnswer(sync(1, {}), sentAt);
    EXPECT_TRUE(this->controller.nextRunListQuery()->question.leaseEnd);
    this->clock.advance(Millis(200));
    EXPECT_FALSE(this->controller.nextRunListQuery()->question.leaseEnd) << "the agent lease ended 3 s after the report was sent";
}

TEST_F(ExecutorControllerTest, TheTokenIsTheHigherOfEpochAndGeneration)
{
    EXPECT_EQ(this->controller.nextRunListQuery()->question.fencingToken, Generation);
    this->controller.applyAnswer(sync(1, {}, 40), this->clock.now());
    EXPECT_EQ(this->controller.nextRunListQuery()->question.fencingToken, 40U);
}

TEST_F(ExecutorControllerTest, IgnoresOlderPlacersAndOlderAssignments)
{
    this->controller.applyAnswer(sync(5, {First}), this->clock.now());
    this->controller.apply(sync(4, {}));
    this->controller.apply(sync(9, {}, SomeEpoch - 1));
    const auto orders = this->controller.takeDueOrders();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_FALSE(orders[0].isStop);
}

TEST_F(ExecutorControllerTest, RefusesNewWorkFromTheHeartbeatThatSaysItDrains)
{
    this->controller.heartbeat(this->makeHeartbeat(2, true));
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    const auto report = this->controller.report();
    ASSERT_EQ(report->ends.size(), 1U);
    EXPECT_EQ(report->ends[0].end, RunEnd::Refused);
    EXPECT_TRUE(report->isDraining);
}

// A start that waited for a lease was sent after its executor had said that it drains.
TEST_F(ExecutorControllerTest, AStartThatWaitsIsReturnedWhenItsExecutorDrains)
{
    this->controller.apply(sync(1, {First}));
    ASSERT_TRUE(this->controller.takeDueOrders().empty()) << "there is no agent lease yet";
    this->controller.heartbeat(this->makeHeartbeat(2, true));
    this->controller.applyAnswer(sync(2, {First}), this->clock.now());
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    const auto report = this->controller.report();
    ASSERT_EQ(report->ends.size(), 1U);
    EXPECT_EQ(report->ends[0].end, RunEnd::Refused);
}

TEST_F(ExecutorControllerTest, AStartWithoutAnAnswerIsNotRepeatedWhileItsExecutorDrains)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    const auto orders = this->controller.takeDueOrders();
    ASSERT_EQ(orders.size(), 1U);
    this->controller.startAnswered(orders[0], makeError(ErrorKind::Ambiguous, "no answer"));
    this->controller.heartbeat(this->makeHeartbeat(2, true));
    this->clock.advance(Millis(1000));
    this->controller.applyAnswer(sync(2, {First}), this->clock.now());
    for (const auto &order : this->controller.takeDueOrders()) {
        EXPECT_TRUE(order.isStop);
    }
    EXPECT_TRUE(this->controller.report()->ends.empty()) << "the start may still be carried out";
}

TEST_F(ExecutorControllerTest, ReportsHowLongADrainingExecutorStays)
{
    auto heartbeat = this->makeHeartbeat(2, true);
    heartbeat.drainTimeLeft = Millis(6500);
    this->controller.heartbeat(heartbeat);
    this->clock.advance(Millis(1000));
    EXPECT_EQ(this->controller.report()->drainTimeLeft, Millis(5500));
    this->clock.advance(LongTime);
    EXPECT_EQ(this->controller.report()->drainTimeLeft, Millis(0));
}

TEST_F(ExecutorControllerTest, AnOutOfDateHeartbeatChangesNothing)
{
    this->controller.heartbeat(this->makeHeartbeat(5));
    this->controller.heartbeat(this->makeHeartbeat(4, true));
    EXPECT_FALSE(this->controller.report()->isDraining);
    auto earlier = this->makeHeartbeat(99, true);
    earlier.incarnation = {"i-0", SomeIncarnation.startedAt - 1};
    this->controller.heartbeat(earlier);
    EXPECT_EQ(this->controller.report()->incarnation, SomeIncarnation);
}

TEST_F(ExecutorControllerTest, AStartWithoutAnAnswerIsRepeatedAndCountsAsRunning)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    auto orders = this->controller.takeDueOrders();
    EXPECT_TRUE(this->controller.takeDueOrders().empty()) << "one call at a time";
    this->controller.startAnswered(orders[0], makeError(ErrorKind::Ambiguous, "lost"));
    EXPECT_EQ(this->controller.report()->runs.size(), 1U);
    this->clock.advance(this->options.resendAfter);
    EXPECT_EQ(this->controller.takeDueOrders().size(), 1U);
}

TEST_F(ExecutorControllerTest, ARunStoppedBeforeItStartedIsOverOnceTheListsLackIt)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    auto orders = this->controller.takeDueOrders();
    this->controller.startAnswered(orders[0], makeError(ErrorKind::Ambiguous, "lost"));
    this->controller.apply(sync(2, {}));
    orders = this->controller.takeDueOrders();
    ASSERT_EQ(orders.size(), 1U);
    ASSERT_TRUE(orders[0].isStop);
    const auto early = this->controller.nextRunListQuery();
    this->controller.stopAnswered(orders[0], ExecutorStamp{this->executorTime(), SomeIncarnation.startedAt});
    this->controller.runListAnswered(*early, RunListAnswer{{this->executorTime(), SomeIncarnation.startedAt}, {}, {}});
    EXPECT_EQ(this->controller.report()->runs.size(), 1U) << "that poll was sent before the stop was answered";
    this->answerPoll({});
    EXPECT_TRUE(this->controller.report()->runs.empty());
}

TEST_F(ExecutorControllerTest, AnUnresponsiveExecutorIsPolledWithoutRenewalSoThatItsLeaseEnds)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    this->controller.startAnswered(this->controller.takeDueOrders()[0], StartAnswer{{this->executorTime(), SomeIncarnation.startedAt}, RefusalReason::None});
    EXPECT_TRUE(this->answerPoll({First}).question.leaseEnd);
    const auto lapsed = this->timeUntilLapse();
    EXPECT_GE(lapsed, this->longestLease()) << "not before the lease has expired on a clock that is 2% slow";
    EXPECT_LE(lapsed, this->longestOf(this->options.lease) + Millis(300));
}

// A renewal without an answer was taken to count from when it is carried out, though it names its end on the executor's clock.
TEST_F(ExecutorControllerTest, AnOpenRenewalKeepsRunsUntilTheEndThatItNames)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    this->controller.startAnswered(this->controller.takeDueOrders()[0], StartAnswer{{this->executorTime(), SomeIncarnation.startedAt}, RefusalReason::None});
    this->answerPoll({First});
    this->clock.advance(Millis(1000));
    const auto open = this->failPoll();
    EXPECT_EQ(open.question.leaseEnd, this->executorTime() + this->options.lease);
    const auto lapsed = this->timeUntilLapse();
    EXPECT_GE(lapsed, this->longestLease()) << "it may be carried out";
    EXPECT_LE(lapsed, this->longestOf(this->options.lease) + Millis(300));
}

// A start without an answer was waited for as if it could begin its run after the end of the lease that it names.
TEST_F(ExecutorControllerTest, AnOpenStartKeepsItsRunUntilItCannotBeginAnyMore)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    this->answerPoll({});
    this->controller.startAnswered(this->controller.takeDueOrders()[0], makeError(ErrorKind::Ambiguous, "no answer"));
    const auto lapsed = this->timeUntilLapse();
    EXPECT_GE(lapsed, this->longestLease());
    EXPECT_LE(lapsed, this->longestOf(this->options.lease) + Millis(300));
}

// The placer waits for the longest lease after the agent lease; a call that named a later end could keep runs beyond that.
TEST_F(ExecutorControllerTest, EveryLeaseEndsWithinTheLongestOneAfterTheAgentLease)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    const auto latestEnd = this->executorTime() + AgentLease + this->options.lease;
    std::size_t asked = 0;
    for (auto passed = Millis(0); passed < LongTime; passed += Millis(100)) {
        for (const auto &order : this->controller.takeDueOrders()) {
            EXPECT_LT(order.start.leaseEnd, latestEnd);
            this->controller.startAnswered(order, makeError(ErrorKind::Ambiguous, "no answer"));
        }
        const auto poll = passed.count() % 700 == 0 ? this->failPoll() : this->answerPoll({});
        if (poll.question.leaseEnd) {
            ++asked;
            EXPECT_LT(*poll.question.leaseEnd, latestEnd);
            EXPECT_LT(passed, AgentLease);
        }
        this->clock.advance(Millis(100));
    }
    EXPECT_GE(asked, 3U) << "renewals go on after one without an answer";
}

// A new placer did not know of what an agent may do on the answers of the previous one.
TEST_F(ExecutorControllerTest, AReportNamesTheTimeThatEarlierAnswersAllow)
{
    EXPECT_LE(this->controller.report()->longestLeaseLeft, this->longestLease()) << "no answer has allowed anything yet";
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    EXPECT_EQ(this->controller.report()->longestLeaseLeft, AgentLease + this->longestLease());
    this->answerPoll({First});
    this->clock.advance(this->options.renewalInterval);
    this->failPoll();
    EXPECT_EQ(this->controller.report()->longestLeaseLeft, AgentLease + this->longestLease() - this->options.renewalInterval);
    this->controller.applyAnswer(sync(2, {First}), this->clock.now());
    EXPECT_EQ(this->controller.report()->longestLeaseLeft, AgentLease + this->longestLease());
}

// The run of an order that waits in the queue counted as over while the order could still be sent.
TEST_F(ExecutorControllerTest, NothingLapsesWhileAnOrderWaitsToBeSent)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    this->answerPoll({});
    const auto takenAt = this->clock.now();
    const auto orders = this->controller.takeDueOrders();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(this->timeUntilLapse(), LongTime);
    this->controller.startAnswered(orders[0], StartAnswer{{this->executorTime(), SomeIncarnation.startedAt}, RefusalReason::TooLate});
    EXPECT_GE(this->clock.now() - takenAt, this->longestLease());
    EXPECT_LE(this->timeUntilLapse(), Millis(300)) << "what it could have begun ends with the lease that it names";
}

TEST_F(ExecutorControllerTest, ARenewalThatSurelyHadNoEffectKeepsNothing)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    this->controller.startAnswered(this->controller.takeDueOrders()[0], StartAnswer{{this->executorTime(), SomeIncarnation.startedAt}, RefusalReason::None});
    const auto poll = this->controller.nextRunListQuery();
    EXPECT_TRUE(poll->question.leaseEnd);
    this->controller.runListAnswered(*poll, makeError(ErrorKind::Unreachable, "unhealthy"));
    EXPECT_LE(this->timeUntilLapse(), this->longestOf(this->options.lease) + Millis(300));
}

// A poll that stays open is most often open when its executor fails, and a renewal that is open then lengthens the lease.
TEST_F(ExecutorControllerTest, OnlyPollsThatAreAnsweredAtOnceRenew)
{
    this->controller.applyAnswer(sync(1, {}), this->clock.now());
    const auto renewal = this->answerPoll({});
    EXPECT_TRUE(renewal.question.leaseEnd);
    EXPECT_EQ(renewal.question.wait, Millis(0));
    const auto poll = this->answerPoll({});
    EXPECT_FALSE(poll.question.leaseEnd);
    EXPECT_EQ(poll.question.wait, this->options.pollWait);
    this->clock.advance(this->options.renewalInterval);
    EXPECT_TRUE(this->answerPoll({}).question.leaseEnd);
}

// The time of an executor whose clock is slow gets ahead of it, so that a lease asked for by it would last longer than assumed.
TEST_F(ExecutorControllerTest, AnOldClockReadingGrantsNoLease)
{
    this->clock.advance(Millis(5000));
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    EXPECT_FALSE(this->controller.nextRunListQuery()->question.leaseEnd);
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    this->answerPoll({});
    EXPECT_EQ(this->controller.takeDueOrders().size(), 1U);
}

TEST_F(ExecutorControllerTest, AnEndIsReportedUntilThePlacerAcknowledgesIt)
{
    const auto poll = this->controller.nextRunListQuery();
    RunListAnswer answer{{this->executorTime(), SomeIncarnation.startedAt}, {}, {{7, First, RunEnd::Done, "", RefusalReason::None}}};
    this->controller.runListAnswered(*poll, answer);
    this->controller.runListAnswered(*this->controller.nextRunListQuery(), answer);
    EXPECT_EQ(this->controller.report()->ends.size(), 1U);
    EXPECT_EQ(this->controller.nextRunListQuery()->question.acknowledgedEnds, 0U);
    auto noted = sync(1, {});
    noted.acknowledgedEnds = 7;
    this->controller.applyAnswer(noted, this->clock.now());
    EXPECT_TRUE(this->controller.report()->ends.empty());
    EXPECT_EQ(this->controller.nextRunListQuery()->question.acknowledgedEnds, 7U);
}

TEST_F(ExecutorControllerTest, ANewIncarnationUnderTheSameIdNeedsANewGenerationBeforeItIsReported)
{
    auto again = this->makeHeartbeat(1);
    again.incarnation.startedAt += 5000;
    this->controller.heartbeat(again);
    EXPECT_FALSE(this->controller.needsGeneration()) << "a heartbeat may be late";
    this->answerPollAs(again.incarnation.startedAt, {});
    EXPECT_TRUE(this->controller.needsGeneration());
    EXPECT_FALSE(this->controller.nextRunListQuery());
    EXPECT_FALSE(this->controller.report());
    this->controller.setGeneration(Generation + 9, SomeEpoch);
    EXPECT_EQ(this->controller.nextRunListQuery()->question.fencingToken, Generation + 9);
    EXPECT_FALSE(this->controller.report()) << "its lists have not been read";
}

// A late heartbeat whose sender started at a later time of day, before a clock step, was adopted: the live incarnation's runs counted as over.
TEST_F(ExecutorControllerTest, ALateHeartbeatOfAnEarlierIncarnationEndsNoRun)
{
    this->answerPoll({First});
    auto late = this->makeHeartbeat(99);
    late.incarnation.startedAt += 5000;
    this->controller.heartbeat(late);
    const auto probe = this->answerPoll({First});
    EXPECT_FALSE(probe.question.leaseEnd);
    EXPECT_EQ(probe.question.acknowledgedEnds, 0U) << "the number of an end holds for one incarnation";
    late.incarnation.id = "i-0";
    this->controller.heartbeat(late);
    auto poll = this->controller.nextRunListQuery();
    EXPECT_EQ(poll->incarnation.id, "i-0");
    this->controller.runListAnswered(*poll, makeError(ErrorKind::Stale, "another life answered"));
    EXPECT_EQ(this->controller.nextRunListQuery()->incarnation, SomeIncarnation);
    EXPECT_EQ(this->controller.report()->incarnation, SomeIncarnation);
    EXPECT_EQ(this->controller.report()->runs.size(), 1U);
}

// An incarnation that started at a lower time of day than its predecessor was ignored for ever.
TEST_F(ExecutorControllerTest, AnIncarnationThatStartedAtALowerTimeOfDayIsUsed)
{
    this->answerPoll({First});
    auto next = this->makeHeartbeat(1);
    next.incarnation = {"i-2", SomeIncarnation.startedAt - 500};
    this->controller.heartbeat(next);
    this->answerPollAs(next.incarnation.startedAt, {});
    ASSERT_TRUE(this->controller.report());
    EXPECT_EQ(this->controller.report()->incarnation, next.incarnation);
    EXPECT_TRUE(this->controller.report()->runs.empty());
}

// The current incarnation was no longer polled, and so lost its lease, while a late heartbeat named another one.
TEST_F(ExecutorControllerTest, PollsOfTheCurrentIncarnationGoOnWhileAnotherOneDoesNotAnswer)
{
    this->answerPoll({First});
    auto other = this->makeHeartbeat(1);
    other.incarnation = {"i-2", SomeIncarnation.startedAt + 500};
    this->controller.heartbeat(other);
    EXPECT_EQ(this->failPoll().incarnation, other.incarnation);
    EXPECT_EQ(this->answerPoll({First}).incarnation, SomeIncarnation);
    EXPECT_EQ(this->failPoll().incarnation, other.incarnation);
    EXPECT_TRUE(this->controller.report()->isReachable);
    EXPECT_EQ(this->controller.report()->runs.size(), 1U);
}

// The silence of a candidate held up the renewals of the incarnation in use, whose lease then expired.
TEST_F(ExecutorControllerTest, TheLeaseIsRenewedWhileAnotherIncarnationDoesNotAnswer)
{
    this->answerPoll({First});
    auto other = this->makeHeartbeat(1);
    other.incarnation = {"i-2", SomeIncarnation.startedAt + 500};
    this->controller.heartbeat(other);
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    this->clock.advance(this->options.renewalInterval);
    EXPECT_EQ(this->failPoll().incarnation, other.incarnation);
    EXPECT_TRUE(this->answerPoll({First}).question.leaseEnd);
}

// An answer to a poll that a later poll has overtaken says nothing on which incarnation is live now.
TEST_F(ExecutorControllerTest, OnlyTheAnswerToTheLatestPollAdoptsAnIncarnation)
{
    auto other = this->makeHeartbeat(1);
    other.incarnation = {"i-2", SomeIncarnation.startedAt + 500};
    this->controller.heartbeat(other);
    const auto early = this->controller.nextRunListQuery();
    this->answerPoll({First});
    this->controller.runListAnswered(*early, RunListAnswer{{this->executorTime(), other.incarnation.startedAt}, {}, {}});
    EXPECT_EQ(this->controller.report()->incarnation, SomeIncarnation);
}

// A run that was in neither list counted as stopped, though its end may not have fitted in.
TEST_F(ExecutorControllerTest, ARunWhoseEndDidNotFitIntoTheListsIsNotTakenAsStopped)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    const ExecutorStamp stamp{this->executorTime(), SomeIncarnation.startedAt};
    this->controller.startAnswered(this->controller.takeDueOrders()[0], StartAnswer{stamp, RefusalReason::None});
    const TaskRun other{{JobId{"0000000000000002"}, 0, 0, 0}, 1};
    this->controller.runListAnswered(*this->controller.nextRunListQuery(), RunListAnswer{stamp, {}, {{1, other, RunEnd::Done, "", {}}}, true});
    EXPECT_EQ(this->controller.report()->runs.size(), 1U);
    this->controller.runListAnswered(*this->controller.nextRunListQuery(), RunListAnswer{stamp, {}, {{2, First, RunEnd::Done, "", {}}}, false});
    ASSERT_EQ(this->controller.report()->ends.size(), 2U);
    EXPECT_EQ(this->controller.report()->ends[1].end, RunEnd::Done);
}

// Polls that another incarnation answered under the same id were not counted, so that the runs stayed assigned for ever.
TEST_F(ExecutorControllerTest, RunsEndWithTheirLeaseWhileAnotherIncarnationAnswersWithoutAHeartbeat)
{
    this->answerPoll({First});
    const auto other = SomeIncarnation.startedAt - 500;
    this->answerPollAs(other, {});
    this->answerPollAs(other, {});
    EXPECT_FALSE(this->controller.report()->isReachable);
    EXPECT_EQ(this->controller.report()->runs.size(), 1U) << "its lease may not have expired";
    this->clock.advance(this->options.lease * 2);
    EXPECT_FALSE(this->answerPollAs(other, {}).question.leaseEnd);
    ASSERT_EQ(this->controller.report()->ends.size(), 1U);
    EXPECT_EQ(this->controller.report()->ends[0].end, RunEnd::Lapsed);
}

// A late deregister of an earlier incarnation under the same id ended the runs of the live one.
TEST_F(ExecutorControllerTest, ADeregisterOfAnotherIncarnationChangesNothing)
{
    this->answerPoll({First});
    this->controller.deregister({"another", SomeIncarnation.startedAt});
    this->controller.deregister({SomeIncarnation.id, SomeIncarnation.startedAt - 500});
    EXPECT_EQ(this->controller.report()->runs.size(), 1U);
    EXPECT_FALSE(this->controller.report()->isDraining);
}

// A late deregister that does not say which incarnation it is from left the live executor without work for good.
TEST_F(ExecutorControllerTest, AHeartbeatAfterADeregisterWithoutAStartPutsTheExecutorBackToWork)
{
    this->controller.deregister({SomeIncarnation.id, 0});
    EXPECT_TRUE(this->controller.report()->isDraining);
    this->controller.heartbeat(this->makeHeartbeat(2));
    EXPECT_FALSE(this->controller.report()->isDraining);
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    EXPECT_EQ(this->controller.takeDueOrders().size(), 1U);
}

// Renewals wait for an answer after an unanswered poll, and a poll that stays open takes too long to bring one.
TEST_F(ExecutorControllerTest, APollAfterAnUnansweredOneIsAnsweredAtOnceSoThatRenewalsGoOn)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    this->answerPoll({First});
    this->clock.advance(this->options.renewalInterval);
    this->failPoll();
    const auto next = this->answerPoll({First});
    EXPECT_FALSE(next.question.leaseEnd);
    EXPECT_EQ(next.question.wait, Millis(0));
    EXPECT_TRUE(this->answerPoll({First}).question.leaseEnd);
}

// Lists of another incarnation counted as an answer, so that polls which are answered at once followed each other without a pause.
TEST_F(ExecutorControllerTest, ListsOfAnotherIncarnationAreNotApplied)
{
    const auto poll = this->controller.nextRunListQuery();
    EXPECT_FALSE(this->controller.runListAnswered(*poll, RunListAnswer{{this->executorTime(), SomeIncarnation.startedAt - 500}, {}, {}}));
    const auto next = this->controller.nextRunListQuery();
    EXPECT_TRUE(this->controller.runListAnswered(*next, RunListAnswer{{this->executorTime(), SomeIncarnation.startedAt}, {}, {}}));
}

// Runs counted as over at the deregister, though an executor that gets no answer to it runs on for seconds.
TEST_F(ExecutorControllerTest, RunsOfAnExecutorThatDeregisteredEndWithItsLease)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    this->answerPoll({First});
    this->controller.deregister(SomeIncarnation);
    EXPECT_TRUE(this->controller.report()->isDraining);
    EXPECT_FALSE(this->answerPoll({First}).question.leaseEnd) << "its lease is not prolonged";
    this->failPoll();
    this->failPoll();
    EXPECT_EQ(this->controller.report()->runs.size(), 1U);
    this->clock.advance(this->options.lease * 2);
    this->failPoll();
    ASSERT_EQ(this->controller.report()->ends.size(), 1U);
    EXPECT_EQ(this->controller.report()->ends[0].end, RunEnd::Lapsed);
    EXPECT_FALSE(this->controller.nextRunListQuery()) << "nothing is left to prove";
}

// An executor that has ended cannot answer, so its runs would wait for the expiry of their lease without another proof.
TEST_F(ExecutorControllerTest, RunsOfAnExecutorThatDeregisteredAreOverOnceNobodyListens)
{
    this->answerPoll({First});
    const auto early = this->failPoll();
    EXPECT_FALSE(early.isOfLeaver);
    this->controller.leaverIsAbsent(early);
    EXPECT_EQ(this->controller.report()->runs.size(), 1U) << "it did not say that it ends";
    this->controller.deregister(SomeIncarnation);
    const auto poll = this->failPoll();
    EXPECT_TRUE(poll.isOfLeaver);
    EXPECT_EQ(this->controller.report()->runs.size(), 1U);
    this->controller.leaverIsAbsent(poll);
    ASSERT_EQ(this->controller.report()->ends.size(), 1U);
    EXPECT_EQ(this->controller.report()->ends[0].end, RunEnd::Lapsed);
}

// The end of a run in the time between the deregister and the executor's end was reported as a lapse.
TEST_F(ExecutorControllerTest, ARunThatIsDoneAfterTheDeregisterIsReportedAsDone)
{
    this->answerPoll({First});
    this->controller.deregister(SomeIncarnation);
    const auto poll = this->controller.nextRunListQuery();
    ASSERT_TRUE(poll);
    this->controller.runListAnswered(*poll,
                                     RunListAnswer{{this->executorTime(), SomeIncarnation.startedAt}, {}, {{1, First, RunEnd::Done, "", RefusalReason::None}}});
    ASSERT_EQ(this->controller.report()->ends.size(), 1U);
    EXPECT_EQ(this->controller.report()->ends[0].end, RunEnd::Done);
}

TEST_F(ExecutorControllerTest, RunsOfAnExecutorThatDeregisteredAreOverOnceItsSuccessorAnswers)
{
    this->answerPoll({First});
    this->controller.deregister(SomeIncarnation);
    auto next = this->makeHeartbeat(1);
    next.incarnation = {"i-2", SomeIncarnation.startedAt + 500};
    this->controller.heartbeat(next);
    this->answerPollAs(next.incarnation.startedAt, {});
    EXPECT_EQ(this->controller.report()->incarnation, next.incarnation);
    EXPECT_TRUE(this->controller.report()->runs.empty());
}

TEST_F(ExecutorControllerTest, AwaitsTheEndsOfAnExecutorThatIsGoneUntilThePlacerKnows)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    this->answerPoll({First});
    EXPECT_FALSE(this->controller.hasUnconfirmedEnds()) << "runs continue without this agent";
    this->failPoll();
    this->failPoll();
    EXPECT_TRUE(this->controller.hasUnconfirmedEnds()) << "the lease has not expired";
    this->clock.advance(this->options.lease * 2);
    this->failPoll();
    ASSERT_EQ(this->controller.report()->ends.size(), 1U);
    EXPECT_TRUE(this->controller.hasUnconfirmedEnds()) << "the placer has not confirmed the end";
    this->controller.applyAnswer(sync(2, {}), this->clock.now());
    EXPECT_FALSE(this->controller.hasUnconfirmedEnds());
}

TEST_F(ExecutorControllerTest, TheLapseOfARunThatWasToStopIsReportedBeforeItIsForgotten)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    this->answerPoll({First});
    this->controller.applyAnswer(sync(2, {}), this->clock.now());
    this->failPoll();
    this->failPoll();
    this->clock.advance(this->options.lease * 2);
    this->failPoll();
    this->controller.apply(sync(3, {}));
    ASSERT_EQ(this->controller.report()->ends.size(), 1U) << "these assignments were sent before the placer received the end";
    EXPECT_EQ(this->controller.report()->ends[0].end, RunEnd::Lapsed);
    this->controller.applyAnswer(sync(4, {}), this->clock.now());
    EXPECT_TRUE(this->controller.report()->ends.empty());
}

TEST_F(ExecutorControllerTest, AssignmentsForAnotherIncarnationAreIgnored)
{
    auto other = sync(1, {First});
    other.incarnation.startedAt += 1;
    this->controller.applyAnswer(other, this->clock.now());
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    this->controller.applyAnswer(sync(2, {First}), this->clock.now());
    EXPECT_EQ(this->controller.takeDueOrders().size(), 1U);
}

// The counters name what proves each end, so that ends by refusal or by a lapse are seen without the logs.
TEST_F(ExecutorControllerTest, EndsAreCountedByTheirProof)
{
    const TaskRun second{{JobId{"0000000000000002"}, 0, 0, 0}, 1};
    this->controller.applyAnswer(sync(1, {First, second}), this->clock.now());
    const auto orders = this->controller.takeDueOrders();
    ASSERT_EQ(orders.size(), 2U);
    const ExecutorStamp stamp{this->executorTime(), SomeIncarnation.startedAt};
    this->controller.startAnswered(orders[0], StartAnswer{stamp, RefusalReason::Unhealthy});
    EXPECT_EQ(this->countOf("waxwingloft_run_ends_total{proof=\"refused\"}"), 1);
    this->controller.startAnswered(orders[1], StartAnswer{stamp, RefusalReason::None});
    this->controller.runListAnswered(*this->controller.nextRunListQuery(), RunListAnswer{stamp, {}, {{1, second, RunEnd::Done, "", RefusalReason::None}}});
    EXPECT_EQ(this->countOf("waxwingloft_run_ends_total{proof=\"listed\"}"), 1);
    this->answerPoll({First});
    this->controller.deregister(SomeIncarnation);
    this->controller.leaverIsAbsent(this->failPoll());
    EXPECT_EQ(this->countOf("waxwingloft_run_ends_total{proof=\"executor-left\"}"), 1);
    EXPECT_EQ(this->countOf("waxwingloft_run_ends_total{proof=\"unlisted\"}"), 0);
}

// A start that is repeated without an answer is one open start; a call that cannot have arrived is none.
TEST_F(ExecutorControllerTest, ARunWithAnUnansweredStartIsCountedOnce)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    const std::string counter = "waxwingloft_starts_unanswered_total";
    for (const auto &[kind, expected] : {std::pair(ErrorKind::Unreachable, 0), std::pair(ErrorKind::Ambiguous, 1), std::pair(ErrorKind::Ambiguous, 1)}) {
        const auto orders = this->controller.takeDueOrders();
        ASSERT_EQ(orders.size(), 1U);
        this->controller.startAnswered(orders[0], makeError(kind, "no answer"));
        EXPECT_EQ(this->countOf(counter), expected);
        this->clock.advance(this->options.resendAfter);
    }
}

// A run that is listed though it was over is the sign of two runs of one task; what the first lists hold is adopted.
TEST_F(ExecutorControllerTest, ARunThatIsListedAfterItsEndIsCounted)
{
    const std::string counter = "waxwingloft_runs_listed_unexpectedly_total";
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    const ExecutorStamp stamp{this->executorTime(), SomeIncarnation.startedAt};
    this->controller.startAnswered(this->controller.takeDueOrders()[0], StartAnswer{stamp, RefusalReason::Unhealthy});
    EXPECT_EQ(this->countOf(counter), 0);
    this->answerPoll({First});
    this->answerPoll({First});
    EXPECT_EQ(this->countOf(counter), 1);
    auto again = this->makeHeartbeat(1);
    again.incarnation = {"i-2", SomeIncarnation.startedAt + 5000};
    this->controller.heartbeat(again);
    const auto poll = this->controller.nextRunListQuery();
    RunListAnswer answer;
    answer.stamp = {this->executorTime(), again.incarnation.startedAt};
    answer.running.push_back({First, "", 0});
    this->controller.runListAnswered(*poll, answer);
    EXPECT_EQ(this->countOf(counter), 1);
}

// The placer would start such a task elsewhere while its run goes on.
TEST_F(ExecutorControllerTest, ARunThatIsListedBeforeItsRepeatIsRefusedIsNotOver)
{
    this->controller.applyAnswer(sync(1, {First}), this->clock.now());
    this->controller.startAnswered(this->controller.takeDueOrders()[0], makeError(ErrorKind::Ambiguous, "lost"));
    this->clock.advance(this->options.resendAfter);
    const auto repeats = this->controller.takeDueOrders();
    ASSERT_EQ(repeats.size(), 1U);
    this->answerPoll({First});
    this->controller.startAnswered(repeats[0], StartAnswer{{this->executorTime(), SomeIncarnation.startedAt}, RefusalReason::Unhealthy});
    this->answerPoll({First});
    const auto report = this->controller.report();
    EXPECT_TRUE(report->ends.empty());
    ASSERT_EQ(report->runs.size(), 1U);
    EXPECT_EQ(report->runs[0].phase, RunPhase::Running);
    EXPECT_EQ(this->countOf("waxwingloft_runs_listed_unexpectedly_total"), 0);
}

} // namespace waxwingloft::tests
