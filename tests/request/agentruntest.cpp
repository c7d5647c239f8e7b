#include "waxwingloft/request/agentrun.h"
#include "process/manualclock.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

const TaskRun SomeRun{{JobId{"0000000000000001"}, 0, 0, 0}, 1};
constexpr std::uint64_t NextPoll = 7;
constexpr auto Pause = Millis(50);

/** The refusals after which an executor does not know the run. */
std::vector<RefusalReason> refusalsOfUnknownRuns()
{
    std::vector<RefusalReason> reasons;
    for (std::size_t index = 0; index < NameTable<RefusalReason>::names.size(); ++index) {
        const auto reason = static_cast<RefusalReason>(index);
        if (reason != RefusalReason::None && reason != RefusalReason::OldRun && reason != RefusalReason::TooLate) {
            reasons.push_back(reason);
        }
    }
    return reasons;
}

class AgentRunTest : public testing::Test
{
protected:
    AgentRun makeRun() const
    {
        return AgentRun(Assignment{SomeRun, {}, true, "spec", "old"}, this->clock.now());
    }

    /** Sends a start that fails with @p kind; returns whether that opened the start. */
    bool failStart(AgentRun &run, ErrorKind kind = ErrorKind::Ambiguous)
    {
        run.orderSent(false);
        const bool isOpen = run.orderFailed(false, makeError(kind, "lost"), this->clock.now() + Pause);
        this->clock.advance(Pause);
        return isOpen;
    }

    bool refuseStart(AgentRun &run, RefusalReason reason) const
    {
        run.orderSent(false);
        return run.startRefused(reason, NextPoll, this->clock.now());
    }

    /** Sends a stop that is answered. */
    static void answerStop(AgentRun &run, std::uint64_t nextPoll = NextPoll)
    {
        run.orderSent(true);
        run.stopAnswered(nextPoll);
    }

    ManualClock clock;
};

} // namespace

// Waiting for the lists after a plain refusal would hold room that nothing takes.
TEST_F(AgentRunTest, ARefusalWithNoOpenStartEndsTheRun)
{
    for (const auto reason : refusalsOfUnknownRuns()) {
        auto run = this->makeRun();
        EXPECT_TRUE(this->refuseStart(run, reason)) << nameOf(reason);
    }
}

// The earlier start may be carried out after the refusal of its repeat, beside the run that replaces it.
TEST_F(AgentRunTest, ARefusalAfterAnUnansweredStartEndsNothing)
{
    for (const auto reason : refusalsOfUnknownRuns()) {
        auto run = this->makeRun();
        ASSERT_TRUE(this->failStart(run));
        EXPECT_FALSE(this->refuseStart(run, reason)) << nameOf(reason);
        EXPECT_FALSE(run.isOverIfUnlisted(NextPoll + 100)) << nameOf(reason) << ": the open start may begin it later";
        EXPECT_TRUE(run.isStopWanted()) << nameOf(reason);
        EXPECT_TRUE(run.isStopDue(this->clock.now())) << nameOf(reason);
        EXPECT_FALSE(run.isStartDue(this->clock.now())) << nameOf(reason);
    }
}

// A start whose lease was over is repeated; it neither ends the run nor closes an open start.
TEST_F(AgentRunTest, ATooLateStartIsRepeated)
{
    auto run = this->makeRun();
    this->failStart(run);
    run.orderSent(false);
    run.startWasTooLate(this->clock.now() + Pause);
    EXPECT_FALSE(run.isStartDue(this->clock.now()));
    EXPECT_TRUE(run.isStartDue(this->clock.now() + Pause));
    EXPECT_FALSE(run.isStopWanted());
    EXPECT_FALSE(run.isOverIfUnlisted(NextPoll + 100));
    EXPECT_FALSE(this->refuseStart(run, RefusalReason::NoRoom)) << "the first start is open";
}

// The executor has begun an old run and may list its end, which says more than the refusal: it may be done.
TEST_F(AgentRunTest, ARefusalAsOldLeavesTheEndToTheLists)
{
    for (const bool hasOpenStart : {false, true}) {
        auto run = this->makeRun();
        if (hasOpenStart) {
            this->failStart(run);
        }
        EXPECT_FALSE(this->refuseStart(run, RefusalReason::OldRun));
        EXPECT_FALSE(run.isOverIfUnlisted(NextPoll - 1)) << "that poll was sent before the refusal";
        EXPECT_TRUE(run.isOverIfUnlisted(NextPoll));
    }
}

// An executor that has answered a stop begins the run no more; polls that were under way say nothing.
TEST_F(AgentRunTest, AnAnsweredStopClosesTheRunForLaterPollsOnly)
{
    auto run = this->makeRun();
    this->failStart(run);
    run.stop(this->clock.now());
    EXPECT_FALSE(run.isOverIfUnlisted(NextPoll)) << "the stop is not answered";
    run.orderSent(true);
    run.orderFailed(true, makeError(ErrorKind::Ambiguous, "lost"), this->clock.now());
    EXPECT_FALSE(run.isOverIfUnlisted(NextPoll)) << "the stop may not have arrived";
    answerStop(run);
    EXPECT_FALSE(run.isOverIfUnlisted(NextPoll - 1));
    EXPECT_TRUE(run.isOverIfUnlisted(NextPoll));
    EXPECT_TRUE(run.isOverIfUnlisted(NextPoll + 1));
    EXPECT_FALSE(run.isStopDue(this->clock.now() + Millis(60'000))) << "it has been answered";
}

// An accepted run that the lists lack is over, unless the poll was sent before.
TEST_F(AgentRunTest, AnAcceptedRunIsOverOnceALaterPollLacksIt)
{
    auto run = this->makeRun();
    this->failStart(run);
    run.orderSent(false);
    run.startAccepted(NextPoll);
    EXPECT_FALSE(run.isOverIfUnlisted(NextPoll - 1));
    EXPECT_TRUE(run.isOverIfUnlisted(NextPoll));
    EXPECT_FALSE(run.isStartDue(this->clock.now() + Millis(60'000)));
    EXPECT_EQ(run.report(SomeRun).phase, RunPhase::Running);
}

// A run that was never answered for and never listed may begin at any time.
TEST_F(AgentRunTest, ARunThatWasNeverListedIsNotOverWithoutAnAnswer)
{
    auto run = this->makeRun();
    EXPECT_FALSE(run.isOverIfUnlisted(NextPoll)) << "it was not ordered yet";
    this->failStart(run);
    EXPECT_FALSE(run.isOverIfUnlisted(NextPoll));
    EXPECT_TRUE(run.isStartDue(this->clock.now()));
}

// What was listed has begun, so that its open start cannot begin it again once it vanishes.
TEST_F(AgentRunTest, AListedRunThatVanishesIsOver)
{
    auto run = this->makeRun();
    this->failStart(run);
    EXPECT_TRUE(run.listed("", 10, NextPoll));
    EXPECT_FALSE(run.listed("new", 20, NextPoll + 1)) << "it has started only once";
    EXPECT_FALSE(run.isOverIfUnlisted(NextPoll - 1)) << "an older poll";
    EXPECT_TRUE(run.isOverIfUnlisted(NextPoll + 2));
    EXPECT_FALSE(run.isStartDue(this->clock.now() + Millis(60'000)));
    EXPECT_EQ(run.report(SomeRun).percent, 20U);
    EXPECT_EQ(run.report(SomeRun).checkpoint, "new");
}

// A start that is carried out while its repeat is under way is listed before the repeat is refused; the run goes on.
TEST_F(AgentRunTest, ARefusedRepeatOfAListedRunEndsNothing)
{
    auto reasons = refusalsOfUnknownRuns();
    reasons.push_back(RefusalReason::OldRun);
    for (const auto reason : reasons) {
        auto run = this->makeRun();
        this->failStart(run);
        run.orderSent(false);
        run.listed("new", 10, NextPoll - 1);
        EXPECT_FALSE(run.startRefused(reason, NextPoll, this->clock.now())) << nameOf(reason);
        EXPECT_FALSE(run.isStopWanted()) << nameOf(reason);
        EXPECT_EQ(run.report(SomeRun).phase, RunPhase::Running) << nameOf(reason);
        EXPECT_TRUE(run.isOverIfUnlisted(NextPoll)) << nameOf(reason);
        EXPECT_EQ(run.unlistedEnd(SomeRun).end, RunEnd::Stopped) << nameOf(reason) << ": it ran";
    }
}

// A run of an earlier agent process is known by the lists alone.
TEST_F(AgentRunTest, AnAdoptedRunIsOverWhenItVanishes)
{
    AgentRun run;
    run.listed("some", 10, NextPoll);
    EXPECT_TRUE(run.isOverIfUnlisted(NextPoll + 1));
    EXPECT_EQ(run.unlistedEnd(SomeRun).end, RunEnd::Stopped);
    EXPECT_EQ(run.unlistedEnd(SomeRun).checkpoint, "some");
}

// Only an error that rules out an effect leaves no open start; each other kind may hide a run.
TEST_F(AgentRunTest, OnlyAnErrorWithoutAnyEffectLeavesNoOpenStart)
{
    for (std::size_t index = 0; index < NameTable<ErrorKind>::names.size(); ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        const bool mayHaveEffect = kind != ErrorKind::Unreachable && kind != ErrorKind::LimitExceeded;
        auto run = this->makeRun();
        EXPECT_EQ(this->failStart(run, kind), mayHaveEffect) << nameOf(kind);
        EXPECT_FALSE(this->failStart(run, kind) && mayHaveEffect) << nameOf(kind) << ": it was open already";
        EXPECT_EQ(this->refuseStart(run, RefusalReason::NoRoom), !mayHaveEffect) << nameOf(kind);
    }
}

// A later call that surely had no effect says nothing about the open start before it.
TEST_F(AgentRunTest, AnUnreachableExecutorDoesNotCloseAnOpenStart)
{
    auto run = this->makeRun();
    this->failStart(run, ErrorKind::Ambiguous);
    EXPECT_FALSE(this->failStart(run, ErrorKind::Unreachable));
    EXPECT_FALSE(this->refuseStart(run, RefusalReason::Unhealthy));
}

// An unanswered stop begins nothing.
TEST_F(AgentRunTest, AnUnansweredStopOpensNoStart)
{
    auto run = this->makeRun();
    run.stop(this->clock.now());
    run.orderSent(true);
    EXPECT_FALSE(run.orderFailed(true, makeError(ErrorKind::Ambiguous, "lost"), this->clock.now() + Pause));
    EXPECT_FALSE(run.isStopDue(this->clock.now()));
    EXPECT_TRUE(run.isStopDue(this->clock.now() + Pause));
}

// One call at a time; while its answer is pending, no list proves the end.
TEST_F(AgentRunTest, AnOrderInFlightKeepsTheRunFromBeingOver)
{
    auto run = this->makeRun();
    run.orderSent(false);
    EXPECT_FALSE(run.isStartDue(this->clock.now() + Millis(60'000)));
    run.startAccepted(NextPoll);
    EXPECT_TRUE(run.isOverIfUnlisted(NextPoll));
    run.stop(this->clock.now());
    run.orderSent(true);
    EXPECT_FALSE(run.isStopDue(this->clock.now() + Millis(60'000)));
    EXPECT_FALSE(run.isOverIfUnlisted(NextPoll));
    run.stopAnswered(NextPoll + 1);
    EXPECT_TRUE(run.isOverIfUnlisted(NextPoll + 1));
}

// The placer tells a run that never began from one that was stopped by the end's name.
TEST_F(AgentRunTest, TheEndNamesItsRefusal)
{
    for (const auto reason : refusalsOfUnknownRuns()) {
        auto run = this->makeRun();
        this->failStart(run);
        this->refuseStart(run, reason);
        answerStop(run);
        ASSERT_TRUE(run.isOverIfUnlisted(NextPoll));
        const auto end = run.unlistedEnd(SomeRun);
        EXPECT_EQ(end.end, RunEnd::Refused) << nameOf(reason);
        EXPECT_EQ(end.refusal, reason);
        EXPECT_EQ(end.run, SomeRun);
        EXPECT_EQ(end.number, 0U);
        EXPECT_EQ(end.checkpoint, "old");
    }
    auto stopped = this->makeRun();
    this->failStart(stopped);
    stopped.stop(this->clock.now());
    answerStop(stopped);
    EXPECT_EQ(stopped.unlistedEnd(SomeRun).end, RunEnd::Stopped);
    EXPECT_EQ(stopped.unlistedEnd(SomeRun).refusal, RefusalReason::None);
}

// A run whose start was never carried out is blamed for the crash of its executor.
TEST_F(AgentRunTest, ARunHasNotStartedBeforeAStartOfItMayHaveTakenEffect)
{
    auto run = this->makeRun();
    EXPECT_EQ(run.report(SomeRun).startEffect, StartEffect::NotStarted);
    this->failStart(run, ErrorKind::Unreachable);
    EXPECT_EQ(run.report(SomeRun).startEffect, StartEffect::NotStarted) << "that start had no effect";
    run.orderSent(false);
    EXPECT_EQ(run.report(SomeRun).startEffect, StartEffect::Unanswered) << "its executor may crash before it answers";
    run.orderFailed(false, makeError(ErrorKind::Ambiguous, "lost"), this->clock.now());
    EXPECT_EQ(run.report(SomeRun).startEffect, StartEffect::Unanswered);
    run.orderSent(false);
    run.startAccepted(NextPoll);
    EXPECT_EQ(run.report(SomeRun).startEffect, StartEffect::Unproven) << "it has begun";
}

// A run that has worked for long is blamed for the crash of its executor.
TEST_F(AgentRunTest, AnExecutorOutlivesAStartOnlyOnItsOwnClock)
{
    constexpr auto StartPeriod = Millis(500);
    auto run = this->makeRun();
    run.orderSent(false);
    run.startAccepted(NextPoll);
    EXPECT_FALSE(run.seenAt(Millis(0), StartPeriod)) << "the time is not known";
    EXPECT_FALSE(run.seenAt(Millis(10'000), StartPeriod));
    EXPECT_FALSE(run.seenAt(Millis(10'499), StartPeriod));
    EXPECT_EQ(run.report(SomeRun).startEffect, StartEffect::Unproven);
    EXPECT_TRUE(run.seenAt(Millis(10'500), StartPeriod));
    EXPECT_FALSE(run.seenAt(Millis(11'000), StartPeriod)) << "it is proven only once";
    EXPECT_EQ(run.report(SomeRun).startEffect, StartEffect::Outlived);
}

} // namespace waxwingloft::tests
