#include "waxwingloft/connection/relaytable.h"
#include "process/faketable.h"
#include "process/manualclock.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

/** A way to the table that can be cut, with or without the answer alone. */
class CutTable : public TableStore, public TableFeed
{
public:
    explicit CutTable(FakeRows &rows)
        : rows(rows)
    {
    }

    Result<std::optional<Row>> get(const std::string &key) override
    {
        ++this->calls;
        return this->isCut ? Result<std::optional<Row>>(makeError(ErrorKind::PlatformDown, "cut")) : this->rows.get(key);
    }

    Result<RowList> list(const std::string &prefix, std::uint64_t since) override
    {
        ++this->calls;
        return this->isCut ? Result<RowList>(makeError(ErrorKind::PlatformDown, "cut")) : this->rows.list(prefix, since);
    }

    Result<Commit> commit(const Transaction &transaction) override
    {
        ++this->calls;
        if (this->losesAnswers) {
            this->rows.commit(transaction);
            return makeError(ErrorKind::Ambiguous, "lost");
        }
        return this->isCut ? Result<Commit>(makeError(ErrorKind::PlatformDown, "cut")) : this->rows.commit(transaction);
    }

    Result<ChangeBatch> changes(const std::string &table, std::uint64_t after, Millis /*wait*/) override
    {
        ++this->calls;
        if (this->isCut) {
            return makeError(ErrorKind::PlatformDown, "cut");
        }
        const auto rows = valueOf(this->rows.list(table + "/", after));
        ChangeBatch batch{{}, rows.revision};
        for (const auto &row : rows.rows) {
            batch.changes.push_back({row, false});
        }
        return batch;
    }

    FakeRows &rows;
    bool isCut = false;
    bool losesAnswers = false;
    int calls = 0;
};

/** Delivers calls to relay tables by address. */
class PeerNet : public NodePort
{
public:
    Result<Message> call(const std::string &address, const Message &message, Millis /*timeout*/) override
    {
        ++this->calls;
        const auto peer = this->peers.find(address);
        if (peer == this->peers.end()) {
            return makeError(ErrorKind::Unreachable, "nobody at " + address);
        }
        auto reply = peer->second->serve(std::get<RelayTableCall>(message));
        return this->replyInstead.value_or(std::move(reply));
    }

    std::map<std::string, RelayTable *> peers;
    std::optional<Message> replyInstead; ///< what arrives in place of each reply
    int calls = 0;
};

class RelayTableTest : public testing::Test
{
protected:
    RelayTableTest()
    {
        this->net.peers["b"] = &this->peer;
    }

    ManualClock clock;
    FakeRows rows;
    PeerNet net;
    CutTable own{this->rows};
    CutTable others{this->rows};
    std::vector<std::string> addresses = {"b"};
    RelayTable table{this->own, this->own, this->net, this->clock, [this] { return this->addresses; }, RelayTableOptions()};
    RelayTable peer{this->others, this->others, this->net, this->clock, [] { return std::vector<std::string>(); }, RelayTableOptions()};
};

} // namespace

TEST_F(RelayTableTest, GoesDirectlyWhileThatWorks)
{
    ASSERT_TRUE(succeeded(this->table.commit({"op", {}, {{"jobs/1", "a"}}})));
    EXPECT_EQ(this->net.calls, 0);
}

TEST_F(RelayTableTest, GoesThroughAPeerWhileTheDirectWayFails)
{
    this->own.isCut = true;
    ASSERT_TRUE(succeeded(this->table.commit({"op", {{"jobs/1", 0}}, {{"jobs/1", "a"}}})));
    EXPECT_EQ(valueOf(this->table.get("jobs/1"))->value, "a");
    EXPECT_EQ(valueOf(this->table.list("jobs/", 0)).rows.size(), 1U);
    EXPECT_EQ(valueOf(this->table.changes("jobs", 0, Millis(10))).changes.size(), 1U);
    EXPECT_EQ(errorOf(this->table.commit({"op2", {{"jobs/1", 0}}, {{"jobs/1", "b"}}})).kind, ErrorKind::Conflict);
    EXPECT_EQ(this->own.calls, 1) << "after the first failure peers are asked first";
}

TEST_F(RelayTableTest, ComesBackToTheDirectWayAfterAProbe)
{
    this->own.isCut = true;
    this->table.get("jobs/1");
    EXPECT_TRUE(this->table.isFailing());
    this->own.isCut = false;
    this->table.probe();
    EXPECT_FALSE(this->table.isFailing());
}

// A leader would hand over in an outage of the whole table, and its running work would lose its leases for nothing.
TEST_F(RelayTableTest, TellsATableThatTurnsThisProcessAwayFromOneThatIsDown)
{
    EXPECT_FALSE(this->table.isRelaying());
    this->own.isCut = true;
    this->table.get("jobs/1");
    EXPECT_TRUE(this->table.isRelaying());
    this->others.isCut = true;
    this->table.get("jobs/1");
    EXPECT_FALSE(this->table.isRelaying());
    this->others.isCut = false;
    this->table.get("jobs/1");
    this->own.isCut = false;
    this->table.probe();
    EXPECT_FALSE(this->table.isRelaying());
}

TEST_F(RelayTableTest, NeverRepeatsACommitThatMayHaveTakenEffect)
{
    this->own.losesAnswers = true;
    EXPECT_EQ(errorOf(this->table.commit({"op", {{"jobs/1", 0}}, {{"jobs/1", "a"}}})).kind, ErrorKind::Ambiguous);
    EXPECT_EQ(this->net.calls, 0);
    EXPECT_EQ(valueOf(this->table.get("jobs/1"))->operation, "op") << "the settling goes through the peer";
    EXPECT_EQ(this->net.calls, 1);
}

// A peer whose answer says nothing on the effect of a commit counted as one without an effect, and the commit went out again.
TEST_F(RelayTableTest, ACommitWhosePeerGivesAnUnexpectedAnswerIsInDoubt)
{
    this->own.isCut = true;
    this->table.get("jobs/1");
    for (const auto kind : {ErrorKind::Internal, ErrorKind::Damaged, ErrorKind::DeadlineExceeded, ErrorKind::NotFound, ErrorKind::Stale}) {
        this->net.replyInstead = replyWith(makeError(kind, "unexpected"));
        const auto operation = std::string(nameOf(kind));
        EXPECT_EQ(errorOf(this->table.commit({operation, {}, {{"jobs/1", "a"}}})).kind, ErrorKind::Ambiguous) << operation;
        EXPECT_EQ(this->rows.rows.at("jobs/1").operation, operation);
    }
    this->net.replyInstead = Ack{};
    EXPECT_EQ(errorOf(this->table.commit({"op", {}, {{"jobs/1", "a"}}})).kind, ErrorKind::Ambiguous);
    EXPECT_EQ(this->own.calls, 1) << "no commit was repeated";
}

TEST_F(RelayTableTest, APeerThatSurelyDidNothingLeavesNoDoubt)
{
    this->own.isCut = true;
    for (const auto kind : {ErrorKind::PlatformDown, ErrorKind::LimitExceeded, ErrorKind::Draining, ErrorKind::InvalidInput}) {
        this->net.replyInstead = replyWith(makeError(kind, "nothing was done"));
        EXPECT_EQ(errorOf(this->table.commit({"op", {}, {{"jobs/1", "a"}}})).kind, ErrorKind::PlatformDown) << nameOf(kind);
    }
}

TEST_F(RelayTableTest, SaysSoWhenNobodyReachesTheTable)
{
    this->own.isCut = true;
    this->others.isCut = true;
    EXPECT_EQ(errorOf(this->table.commit({"op", {}, {{"jobs/1", "a"}}})).kind, ErrorKind::PlatformDown);
    EXPECT_TRUE(this->rows.rows.empty());
}

TEST_F(RelayTableTest, LeavesOutPeersThatCannotBeReachedForAWhile)
{
    this->addresses = {"gone", "b"};
    this->own.isCut = true;
    ASSERT_TRUE(succeeded(this->table.get("jobs/1")));
    const auto calls = this->net.calls;
    ASSERT_TRUE(succeeded(this->table.get("jobs/1")));
    EXPECT_EQ(this->net.calls, calls + 1);
    this->clock.advance(Millis(5000));
    ASSERT_TRUE(succeeded(this->table.get("jobs/1")));
    EXPECT_EQ(this->net.calls, calls + 3);
}

} // namespace waxwingloft::tests
