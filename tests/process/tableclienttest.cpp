#include "waxwingloft/process/tableclient.h"
#include "faketable.h"
#include "manualclock.h"
#include "waxwingloft/process/duty.h"

#include <functional>
#include <gtest/gtest.h>
#include <utility>

namespace waxwingloft::tests {

namespace {

class TableClientTest : public testing::Test
{
protected:
    ManualClock clock;
    FaultPlan plan;
    FakeRows rows;
    FakeTable view{this->rows, this->plan, "node", std::make_shared<bool>(true)};
    TableClient table{this->view, this->clock, TableBudget{100.0, 20.0, 4, Millis(50), Millis(1000), 5}, 1};
};

} // namespace

TEST_F(TableClientTest, settlesACommitWhoseAnswerWasLost)
{
    this->plan.injectAt(0, [](const Point &) { return Transport::LoseReply; });
    this->plan.injectAt(1, [](const Point &) { return Transport::LoseRequest; });
    this->plan.start();
    EXPECT_TRUE(succeeded(this->table.commit({"op-1", {{"job/a", 0}}, {{"job/a", "1"}}})));
    EXPECT_TRUE(succeeded(this->table.commit({"op-2", {{"job/b", 0}}, {{"job/b", "1"}}})));
    EXPECT_EQ(this->rows.revision, 2U) << "each took effect once";
}

TEST_F(TableClientTest, aRefusalOfTheRepeatLeavesACommitInDoubt)
{
    this->plan.injectAt(0, [this](const Point &) {
        this->rows.isDown = true;
        return Transport::LoseReply;
    });
    this->plan.start();
    EXPECT_EQ(errorOf(this->table.commit({"op-1", {{"job/a", 0}}, {{"job/a", "1"}}})).kind, ErrorKind::Ambiguous);
}

// A refusal for good counted as an absent table, which was then left alone by all calls; after a lost answer it was repeated until the commit was in doubt.
TEST_F(TableClientTest, ARefusalForGoodIsNeitherRepeatedNorTakenForAnAbsentTable)
{
    this->rows.limits = TableLimits{10, 100, 10};
    for (int call = 0; call < 5; ++call) {
        EXPECT_EQ(errorOf(this->table.commit({"op-1", {}, {{"job/a", "longer than ten bytes"}}})).kind, ErrorKind::Rejected);
    }
    EXPECT_EQ(this->rows.rejections, 5);
    EXPECT_TRUE(succeeded(this->table.commit({"op-2", {}, {{"job/a", "short"}}})));
    this->plan.injectAt(0, [](const Point &) { return Transport::LoseRequest; });
    this->plan.start();
    EXPECT_EQ(errorOf(this->table.commit({"op-3", {}, {{"job/a", "longer than ten bytes"}}})).kind, ErrorKind::Rejected);
}

// Five tries at a table without answers took several seconds, in which the caller could have asked elsewhere.
TEST_F(TableClientTest, settlesOnlyAsLongAsTheCallerHasTime)
{
    this->plan.injectAt(0, [this](const Point &) {
        this->rows.commit({"op-1", {{"job/a", 0}}, {{"job/a", "1"}}});
        this->rows.isDown = true;
        return Transport::LoseReply;
    });
    this->plan.start();
    const auto before = this->clock.now();
    const auto mayGoOn = [this, before] { return this->clock.now() - before < Millis(20); };
    EXPECT_EQ(errorOf(this->table.commitWhile({"op-1", {{"job/a", 0}}, {{"job/a", "1"}}}, mayGoOn)).kind, ErrorKind::Ambiguous);
    EXPECT_LE(this->clock.now() - before, Millis(20 + 1000)) << "one pause beyond its time at most";
    this->rows.isDown = false;
    this->clock.advance(Millis(2000));
    EXPECT_EQ(errorOf(this->table.commitWhile({"op-2", {{"job/a", 0}}, {{"job/a", "2"}}}, mayGoOn)).kind, ErrorKind::Conflict) << "the row settles it";
}

TEST_F(TableClientTest, staysWithinItsBudgetAndLeavesAFailingServiceAlone)
{
    int refusedByBudget = 0;
    for (int call = 0; call < 30; ++call) {
        refusedByBudget += succeeded(this->table.get("x")) ? 0 : 1;
    }
    EXPECT_EQ(refusedByBudget, 10);
    this->clock.advance(Millis(1000));
    this->rows.isDown = true;
    for (int call = 0; call < 12; ++call) {
        this->table.get("x");
    }
    EXPECT_TRUE(this->table.downSince().has_value());
    this->rows.isDown = false;
    this->clock.advance(Millis(2000));
    EXPECT_TRUE(succeeded(this->table.get("x")));
    EXPECT_FALSE(this->table.downSince().has_value());
}

TEST_F(TableClientTest, aDutyHasOneHolderAndItsEpochOnlyGrows)
{
    EventLog events(this->clock, "node", 10);
    IdSource ids(1);
    Duty first(this->view, this->clock, events, ids, "placer/r", NodeId{"n1"}, "n1:1", LeaseOptions{});
    Duty second(this->view, this->clock, events, ids, "placer/r", NodeId{"n2"}, "n2:1", LeaseOptions{});
    EXPECT_TRUE(first.pursue());
    EXPECT_FALSE(second.pursue());
    this->clock.advance(Millis(2100));
    EXPECT_FALSE(first.heldEpoch().has_value()) << "the holder counts it as lapsed first";
    EXPECT_FALSE(second.pursue());
    this->clock.advance(Millis(400));
    EXPECT_TRUE(second.pursue());
    EXPECT_EQ(second.heldEpoch(), Epoch(2));
    EXPECT_FALSE(first.pursue());
    second.release();
    EXPECT_TRUE(first.pursue());
    EXPECT_EQ(first.heldEpoch(), Epoch(3));
}

/** Two processes that compete for one duty; the first one's way to the table loses answers. */
class DutyTest : public TableClientTest
{
protected:
    /** Refuses commits or loses their answers. */
    class LossyTable : public TableStore
    {
    public:
        explicit LossyTable(FakeRows &rows)
            : rows(rows)
        {
        }

        Result<std::optional<Row>> get(const std::string &key) override
        {
            return this->rows.get(key);
        }

        Result<RowList> list(const std::string &prefix, std::uint64_t since) override
        {
            return this->rows.list(prefix, since);
        }

        Result<Commit> commit(const Transaction &transaction) override
        {
            if (this->isRefusing) {
                return makeError(ErrorKind::PlatformDown, "down");
            }
            const auto committed = this->rows.commit(transaction);
            if (this->onCommit) {
                std::exchange(this->onCommit, {})();
            }
            return this->losesAnswers ? Result<Commit>(makeError(ErrorKind::Ambiguous, "lost")) : committed;
        }

        bool isRefusing = false;
        bool losesAnswers = false;
        std::function<void()> onCommit; ///< called once, between the effect of a commit and its answer

    private:
        FakeRows &rows;
    };

    EventLog events{this->clock, "node", 10};
    IdSource firstIds{1};
    IdSource secondIds{2};
    LossyTable lossy{this->rows};
    Duty first{this->lossy, this->clock, this->events, this->firstIds, "placer/r", NodeId{"n1"}, "n1:1", LeaseOptions{}};
    Duty second{this->view, this->clock, this->events, this->secondIds, "placer/r", NodeId{"n2"}, "n2:1", LeaseOptions{}};
};

// A holder whose renewal took effect without an answer waited for its own term, in which nobody led.
TEST_F(DutyTest, isTakenAgainAtOnceOnTopOfAnOwnWriteWithoutAnAnswer)
{
    ASSERT_TRUE(this->first.pursue());
    this->clock.advance(Millis(1000));
    this->lossy.losesAnswers = true;
    EXPECT_TRUE(this->first.pursue());
    this->clock.advance(Millis(1200));
    ASSERT_FALSE(this->first.heldEpoch().has_value());
    this->lossy.losesAnswers = false;
    EXPECT_FALSE(this->second.pursue()) << "another process cannot know whether the write was answered";
    EXPECT_TRUE(this->first.pursue());
    EXPECT_EQ(this->first.heldEpoch(), Epoch(2)) << "a lease that has lapsed is never renewed";
}

TEST_F(DutyTest, aRowThatAnotherProcessOfTheSameNameWroteIsNotAnOwnWrite)
{
    IdSource ids(3);
    Duty restarted(this->view, this->clock, this->events, ids, "placer/r", NodeId{"n1"}, "n1:1", LeaseOptions{});
    ASSERT_TRUE(this->first.pursue());
    EXPECT_FALSE(restarted.pursue());
    this->clock.advance(LeaseOptions().term);
    EXPECT_TRUE(restarted.pursue());
    this->clock.advance(Millis(2200));
    EXPECT_FALSE(this->first.pursue());
}

// A release that the table did not take made the successor wait for the term.
TEST_F(DutyTest, isTakenOverAtOnceWhenItsHolderHasSaidThatItGaveItUp)
{
    ASSERT_TRUE(this->first.pursue());
    EXPECT_FALSE(this->second.pursue());
    this->lossy.isRefusing = true;
    const auto grant = this->first.giveUp();
    ASSERT_TRUE(grant);
    EXPECT_FALSE(this->first.heldEpoch().has_value());
    EXPECT_FALSE(this->first.release());
    EXPECT_FALSE(this->second.pursue());
    this->second.noteGivenUp(*grant);
    EXPECT_TRUE(this->second.pursue());
    EXPECT_EQ(this->second.heldEpoch(), Epoch(2));
    this->lossy.isRefusing = false;
    EXPECT_TRUE(this->first.release()) << "nothing is left to release";
    EXPECT_EQ(this->second.heldEpoch(), Epoch(2));
    EXPECT_TRUE(this->second.pursue());
}

// A notice can arrive after the same process has been granted another lease.
TEST_F(DutyTest, aLateNoticeOfAnEarlierGrantDoesNotEndALaterOne)
{
    ASSERT_TRUE(this->first.pursue());
    const auto grant = this->first.giveUp();
    ASSERT_TRUE(this->first.release());
    ASSERT_TRUE(this->first.pursue());
    EXPECT_FALSE(this->second.pursue());
    this->second.noteGivenUp(*grant);
    EXPECT_FALSE(this->second.pursue());
}

TEST_F(DutyTest, aNoticeOfAnEarlierGrantDoesNotReplaceALaterOne)
{
    ASSERT_TRUE(this->first.pursue());
    const auto earlier = this->first.giveUp();
    ASSERT_TRUE(this->first.release());
    ASSERT_TRUE(this->first.pursue());
    EXPECT_FALSE(this->second.pursue());
    const auto later = this->first.giveUp();
    this->second.noteGivenUp(*later);
    this->second.noteGivenUp(*earlier);
    EXPECT_TRUE(this->second.pursue());
}

// A takeover that took effect without an answer was not released, so that the successor of a stopped process waited for its term.
TEST_F(DutyTest, anOwnTakeoverWithoutAnAnswerIsReleasedToo)
{
    this->lossy.losesAnswers = true;
    EXPECT_FALSE(this->first.pursue());
    this->lossy.losesAnswers = false;
    EXPECT_FALSE(this->first.giveUp().has_value()) << "it has never been held";
    this->first.release();
    EXPECT_TRUE(this->first.release());
    EXPECT_TRUE(this->second.pursue());
    EXPECT_EQ(this->second.heldEpoch(), Epoch(2)) << "the epoch of the release is that of the row";
}

// A process whose lease had lapsed took the grant of a restarted process of the same name for its own and gave it up.
TEST_F(DutyTest, aGrantOfAnotherProcessOfTheSameNameIsNotGivenUp)
{
    IdSource ids(3);
    Duty restarted(this->view, this->clock, this->events, ids, "placer/r", NodeId{"n1"}, "n1:1", LeaseOptions{});
    ASSERT_TRUE(this->first.pursue());
    EXPECT_FALSE(restarted.pursue());
    this->clock.advance(LeaseOptions().term);
    ASSERT_TRUE(restarted.pursue());
    EXPECT_FALSE(this->first.pursue());
    EXPECT_FALSE(this->first.giveUp().has_value());
    EXPECT_TRUE(this->first.release());
    EXPECT_FALSE(this->second.pursue());
    EXPECT_TRUE(restarted.pursue());
    EXPECT_EQ(restarted.heldEpoch(), Epoch(2));
}

TEST_F(DutyTest, aReleaseThatWasNotCarriedOutIsRepeated)
{
    ASSERT_TRUE(this->first.pursue());
    this->lossy.isRefusing = true;
    EXPECT_FALSE(this->first.release());
    this->lossy.isRefusing = false;
    this->lossy.losesAnswers = true;
    EXPECT_TRUE(this->first.release()) << "the row settles it";
    EXPECT_TRUE(this->second.pursue());
}

// A process that stops took the lease again, as it had read the row before it gave up.
TEST_F(DutyTest, aRetiredProcessTakesNothingAnyMore)
{
    ASSERT_TRUE(this->first.pursue());
    this->first.retire();
    EXPECT_TRUE(this->first.heldEpoch().has_value()) << "it still has a lease to give up";
    ASSERT_TRUE(this->first.giveUp().has_value());
    EXPECT_FALSE(this->first.pursue());
    EXPECT_TRUE(this->first.release());
    EXPECT_FALSE(this->first.pursue());
    EXPECT_TRUE(this->second.pursue());
}

// A lease that was given up while its renewal was under way came back with the answer.
TEST_F(DutyTest, aRenewalThatIsAnsweredAfterTheReleaseBringsNothingBack)
{
    ASSERT_TRUE(this->first.pursue());
    this->clock.advance(Millis(1000));
    this->lossy.onCommit = [this] { EXPECT_TRUE(this->first.release()) << "also on top of the renewal, which has changed the row"; };
    EXPECT_FALSE(this->first.pursue());
    EXPECT_FALSE(this->first.heldEpoch().has_value());
    EXPECT_TRUE(this->second.pursue());
}

} // namespace waxwingloft::tests
