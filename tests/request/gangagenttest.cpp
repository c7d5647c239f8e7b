#include "waxwingloft/request/gangagent.h"
#include "../connection/fakeworker.h"
#include "../process/faketable.h"
#include "../process/manualclock.h"
#include "waxwingloft/request/checkpointframe.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

/** Keeps the recorded results and checkpoints in memory. */
class FakeRecorder : public GangRecorder
{
public:
    bool recordEnd(const JobId & /*job*/, const AttemptId & /*attempt*/, const GangResult &result) override
    {
        this->ends.push_back(result);
        return this->accepts;
    }

    bool recordCheckpoint(const JobId & /*job*/, const AttemptId & /*attempt*/, const std::string &key) override
    {
        this->checkpoints.push_back(key);
        return true;
    }

    bool accepts = true;
    std::vector<GangResult> ends;
    std::vector<std::string> checkpoints;
};

/** Fails every call, as if the coordinator could not be reached. */
class UnreachablePeers : public NodePort
{
public:
    Result<Message> call(const std::string & /*address*/, const Message & /*message*/, Millis /*timeout*/) override
    {
        return makeError(ErrorKind::Ambiguous, "unreachable");
    }
};

class GangAgentTest : public testing::Test
{
protected:
    PrepareGang order(const std::string &attempt, std::int64_t accelerators, Epoch epoch = 1, const std::string &coordinator = "me") const
    {
        PrepareGang prepare;
        prepare.job.value = "job";
        prepare.attempt.value = attempt;
        prepare.region = "r";
        prepare.epoch = epoch;
        prepare.kind.value = "k";
        prepare.perTask = {0, 0, accelerators};
        prepare.members = {{NodeId{coordinator}, coordinator + ":1", 5, 1}};
        if (coordinator != "me") {
            prepare.members.push_back({NodeId{"me"}, "me:1", 5, 1});
        }
        prepare.reserveFor = Millis(5000);
        prepare.taskLease = Millis(3000);
        return prepare;
    }

    StartGang startOf(const std::string &attempt, Epoch epoch = 1) const
    {
        return {JobId{"job"}, AttemptId{attempt}, epoch};
    }

    StopGang stopOf(const std::string &attempt, Incarnation incarnation = 5) const
    {
        return {JobId{"job"}, AttemptId{attempt}, 1, incarnation, Millis(0)};
    }

    ManualClock clock;
    EventLog events{this->clock, "me", 100};
    SettingsPublisher settings{this->events};
    FakeWorker worker{this->clock, Millis(10000)};
    UnreachablePeers peers;
    FakeObjects objects;
    FakeRecorder recorder;
    GangAgent agent{{this->clock, this->events, this->settings, this->worker, this->peers, this->objects, this->recorder, NodeId{"me"}, 5, {0, 0, 8}},
                    GangAgentOptions{}};
};

} // namespace

TEST_F(GangAgentTest, refusesWhatDoesNotFitBesideWhatIsReserved)
{
    EXPECT_FALSE(this->agent.prepare(this->order("a", 5)).refused);
    EXPECT_TRUE(this->agent.prepare(this->order("b", 4)).refused);
    EXPECT_FALSE(this->agent.prepare(this->order("c", 3)).refused);
}

TEST_F(GangAgentTest, refusesAnOlderPlacer)
{
    this->agent.report({"r", 3});
    EXPECT_TRUE(this->agent.prepare(this->order("a", 1, 2)).refused);
    EXPECT_FALSE(this->agent.prepare(this->order("b", 1, 3)).refused);
    this->agent.report({"r", 4});
    EXPECT_TRUE(this->agent.start(this->startOf("b", 3)).refused);
}

// An unanswered start counted as failed at once, although its tasks could run until their lease expired.
TEST_F(GangAgentTest, freesNothingWhileTheTasksOfAnUnansweredStartMayRun)
{
    this->worker.losesStartAnswers = true;
    this->worker.losesStops = true;
    this->agent.prepare(this->order("a", 8));
    EXPECT_TRUE(this->agent.start(this->startOf("a")).refused);
    auto &tasks = this->worker.groups.at("a");
    this->worker.settle(tasks);
    EXPECT_TRUE(tasks.ended || this->agent.prepare(this->order("b", 8)).refused) << "the worker runs tasks whose capacity counts as free";
}

TEST_F(GangAgentTest, neverStartsAnAttemptThatWasStopped)
{
    this->agent.stop(this->stopOf("a"));
    EXPECT_TRUE(this->agent.prepare(this->order("a", 1)).refused);
    this->agent.prepare(this->order("b", 1));
    EXPECT_EQ(this->agent.stop(this->stopOf("b")).state, GangState::Prepared) << "it had not started";
    EXPECT_TRUE(this->agent.start(this->startOf("b")).refused);
    EXPECT_TRUE(this->worker.groups.empty());
}

TEST_F(GangAgentTest, expiresAReservationThatIsNotStarted)
{
    this->agent.prepare(this->order("a", 8));
    this->clock.advance(Millis(5000));
    EXPECT_TRUE(this->agent.start(this->startOf("a")).refused);
    this->agent.tick();
    EXPECT_FALSE(this->agent.prepare(this->order("b", 8)).refused);
}

TEST_F(GangAgentTest, stopsItsTasksWhenTheCoordinatorIsUnreachable)
{
    this->agent.prepare(this->order("a", 8, 1, "coordinator"));
    this->agent.start(this->startOf("a"));
    this->clock.advance(Millis(2600));
    this->agent.tick();
    EXPECT_FALSE(this->worker.groups.at("a").ended.has_value());
    this->clock.advance(Millis(200));
    this->agent.tick();
    ASSERT_TRUE(this->worker.groups.at("a").ended.has_value());
    EXPECT_LE(this->worker.groups.at("a").endedAt - this->worker.groups.at("a").startedAt, Millis(3000));
}

TEST_F(GangAgentTest, doesNotReportNotRunForAnotherIncarnation)
{
    EXPECT_TRUE(this->agent.stop(this->stopOf("a", 4)).refused);
}

TEST_F(GangAgentTest, throttlesThenStopsWorkThatUsesMoreThanItDeclared)
{
    this->worker.overuse = 2;
    this->agent.prepare(this->order("a", 4));
    this->agent.start(this->startOf("a"));
    for (int tick = 0; tick < 8; ++tick) {
        this->clock.advance(Millis(500));
        this->agent.tick();
    }
    EXPECT_EQ(this->worker.throttles, 1);
    ASSERT_FALSE(this->recorder.ends.empty());
    EXPECT_EQ(this->recorder.ends.front().outcome, Outcome::Failed);
}

TEST_F(GangAgentTest, recordsTheEndAgainUntilTheTableTakesIt)
{
    this->recorder.accepts = false;
    this->agent.prepare(this->order("a", 4));
    this->agent.start(this->startOf("a"));
    for (int tick = 0; tick < 25; ++tick) {
        this->clock.advance(Millis(500));
        this->agent.tick();
    }
    EXPECT_GT(this->recorder.ends.size(), 1U);
    this->recorder.accepts = true;
    this->agent.tick();
    const auto count = this->recorder.ends.size();
    this->agent.tick();
    EXPECT_EQ(this->recorder.ends.size(), count);
    EXPECT_EQ(this->recorder.ends.back().outcome, Outcome::Done);
}

TEST(CheckpointFrameTest, opensOnlyACompleteCheckpoint)
{
    const auto sealed = encodeCheckpointFrame("progress");
    EXPECT_EQ(valueOf(decodeCheckpointFrame(sealed)), "progress");
    for (std::size_t length = 0; length < sealed.size(); ++length) {
        EXPECT_FALSE(succeeded(decodeCheckpointFrame(sealed.substr(0, length))));
    }
    auto changed = sealed;
    changed.back() = 'x';
    EXPECT_FALSE(succeeded(decodeCheckpointFrame(changed)));
}

} // namespace waxwingloft::tests
