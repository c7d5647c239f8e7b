#include "waxwingloft/request/agentcalls.h"
#include "../connection/fakebackend.h"
#include "../process/manualclock.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

class AgentCallsTest : public testing::Test
{
protected:
    AgentCallsTest()
    {
        this->settings.offer({0, 1, {{TeamId{"t"}, 1, nlohmann::json::object(), "tester"}}});
    }

    Dispatch dispatch(const std::string &attempt) const
    {
        return {AttemptId{attempt}, WorkspaceId{"ws"}, RequestId{"r"}, KindId{"k"}, TeamId{"t"}, 1, 7, false, Millis(1000), "body"};
    }

    Header header() const
    {
        return {NodeId{"entry"}, "entry:1", HybridTime{this->clock.wallMillis(), 0}, 1};
    }

    ManualClock clock;
    EventLog events{this->clock, "agent", 100};
    SettingsPublisher settings{this->events};
    RunCounts runs;
    FaultPlan plan;
    FakeBackend backend{this->runs, this->plan, "agent"};
    AgentCalls calls{{this->clock, this->events, this->settings, this->backend, 7, 2}, AttemptLedgerOptions{}};
};

} // namespace

TEST_F(AgentCallsTest, runsAnAttemptOnceAndAnswersItsDuplicate)
{
    EXPECT_EQ(this->calls.dispatch(this->header(), this->dispatch("a")).outcome, Outcome::Done);
    EXPECT_EQ(this->calls.dispatch(this->header(), this->dispatch("a")).payload, "echo body");
    EXPECT_EQ(this->runs["body"], 1);
}

TEST_F(AgentCallsTest, refusesAnAttemptThatWasQueriedFirst)
{
    EXPECT_EQ(this->calls.query({AttemptId{"a"}, 7, Millis(0), Millis(0)}).outcome, Outcome::NotRun);
    EXPECT_EQ(this->calls.dispatch(this->header(), this->dispatch("a")).outcome, Outcome::NotRun);
    EXPECT_EQ(this->runs["body"], 0);
}

TEST_F(AgentCallsTest, reportsUnknownForAnotherIncarnationAndForExpiredAttempts)
{
    EXPECT_EQ(this->calls.query({AttemptId{"a"}, 6, Millis(0), Millis(0)}).outcome, Outcome::Unknown);
    EXPECT_EQ(this->calls.query({AttemptId{"b"}, 7, Millis(560000), Millis(0)}).outcome, Outcome::Unknown);
}

TEST_F(AgentCallsTest, refusesADispatchDecidedUnderOlderSettingsOfTheTeam)
{
    this->settings.offer({1, 2, {{TeamId{"t"}, 2, nlohmann::json::object(), "tester"}}});
    const auto reply = this->calls.dispatch(this->header(), this->dispatch("a"));
    EXPECT_EQ(reply.outcome, Outcome::NotRun);
    EXPECT_EQ(reply.error.kind, ErrorKind::Stale);
    this->settings.offer({2, 3, {{TeamId{"other"}, 3, nlohmann::json::object(), "tester"}}});
    auto fresh = this->dispatch("b");
    fresh.teamVersion = 2;
    EXPECT_EQ(this->calls.dispatch(this->header(), fresh).outcome, Outcome::Done) << "a change of another team's settings must not cause a refusal";
}

TEST_F(AgentCallsTest, refusesDispatchesWhileDraining)
{
    this->calls.drain();
    EXPECT_EQ(this->calls.dispatch(this->header(), this->dispatch("a")).error.kind, ErrorKind::Draining);
    EXPECT_EQ(this->runs["body"], 0);
}

TEST_F(AgentCallsTest, refusesADispatchThatWasSentLongAgo)
{
    const auto old = this->header();
    this->clock.advance(Millis(301000));
    EXPECT_EQ(this->calls.dispatch(old, this->dispatch("a")).outcome, Outcome::NotRun);
}

} // namespace waxwingloft::tests
