#include "waxwingloft/connection/relaytable.h"
#include "process/faketable.h"
#include "process/manualclock.h"

#include <functional>
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
        this->noteCall();
        return this->isCut ? Result<std::optional<Row>>(makeError(ErrorKind::PlatformDown, "cut")) : this->rows.get(key);
    }

    Result<RowList> list(const std::string &prefix, std::uint64_t since) override
    {
        this->noteCall();
        return this->isCut ? Result<RowList>(makeError(ErrorKind::PlatformDown, "cut")) : this->rows.list(prefix, since);
    }

    Result<Commit> commit(const Transaction &transaction) override
    {
        this->noteCall();
        if (this->losesAnswers) {
            this->rows.commit(transaction);
            return makeError(ErrorKind::Ambiguous, "lost");
        }
        return this->isCut ? Result<Commit>(makeError(ErrorKind::PlatformDown, "cut")) : this->rows.commit(transaction);
    }

    Result<ChangeBatch> changes(const std::string &table, std::uint64_t after, Millis /*wait*/) override
    {
        this->noteCall();
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

    void noteCall()
    {
        ++this->calls;
        if (this->onCall) {
            this->onCall();
        }
    }

    FakeRows &rows;
    bool isCut = false;
    bool losesAnswers = false;
    std::function<void()> onCall;
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

/** A relay table whose calls an outlook learns from. */
class OutlookOfRelayTest : public RelayTableTest
{
protected:
    OutlookOfRelayTest()
    {
        this->table.setOutlook(this->outlook);
        this->own.onCall = [this] { this->clock.advance(this->ownTakes); };
    }

    /** Makes calls for @p duration, 50 ms after one another. */
    void callFor(Millis duration)
    {
        const auto until = this->clock.now() + duration;
        while (this->clock.now() < until) {
            this->table.get("jobs/1");
            this->clock.advance(Millis(50));
        }
    }

    Millis ownTakes = Millis(4);
    StoreOutlook outlook{this->clock, StoreOutlookOptions(), 1};
};

} // namespace

// Each submission held its thread until its caller's time was over, though the entry knew that the table did not answer.
TEST_F(OutlookOfRelayTest, ASilentTableIsAwayAfterOneCall)
{
    this->own.isCut = true;
    this->others.isCut = true;
    this->ownTakes = Millis(800);
    const auto before = this->clock.now();
    EXPECT_FALSE(succeeded(this->table.get("jobs/1")));
    EXPECT_EQ(this->clock.now() - before, Millis(800)) << "no further time-out at peers";
    EXPECT_EQ(this->net.calls, 0);
    EXPECT_EQ(this->outlook.state(), StoreState::InDoubt);
    this->table.probePeers();
    EXPECT_EQ(this->outlook.state(), StoreState::Unavailable);
}

// An entry whose own path alone is cut would turn callers away for nothing.
TEST_F(OutlookOfRelayTest, APeerThatReachesTheTableKeepsItReachable)
{
    this->own.isCut = true;
    this->ownTakes = Millis(800);
    this->callFor(Millis(5000));
    EXPECT_EQ(this->outlook.state(), StoreState::Reachable);
    this->others.isCut = true;
    this->callFor(Millis(1000));
    EXPECT_EQ(this->outlook.state(), StoreState::Unavailable);
    this->others.isCut = false;
    this->peer.probe();
    this->table.probePeers();
    EXPECT_EQ(this->outlook.state(), StoreState::Reachable);
}

TEST_F(OutlookOfRelayTest, ASilentCommitLeavesTheOutlookInDoubtUntilPeersWereAsked)
{
    this->own.losesAnswers = true;
    this->ownTakes = Millis(800);
    this->table.commit({"op", {}, {{"jobs/1", "a"}}});
    EXPECT_EQ(this->outlook.state(), StoreState::InDoubt);
    EXPECT_TRUE(this->outlook.takeProbe(StorePath::Peers));
    this->table.probePeers();
    EXPECT_EQ(this->outlook.state(), StoreState::Reachable);
}

// A table that is 60 times as slow as usual, or that loses the answers to some calls, still serves.
TEST_F(OutlookOfRelayTest, ASlowTableOrOneThatLosesSomeAnswersIsNotAway)
{
    this->others.isCut = true;
    this->ownTakes = Millis(240);
    this->callFor(Millis(3000));
    EXPECT_EQ(this->outlook.state(), StoreState::Reachable);
    this->ownTakes = Millis(4);
    for (int call = 0; call < 60; ++call) {
        this->own.isCut = call % 3 != 0;
        this->callFor(Millis(40));
        EXPECT_EQ(this->outlook.state(), StoreState::Reachable) << call;
    }
}

// The last feed call before an outage began long before it, and ended with it.
TEST_F(OutlookOfRelayTest, TheWaitOfAFeedIsNoSilence)
{
    this->others.isCut = true;
    this->own.isCut = true;
    this->ownTakes = Millis(2000);
    this->table.changes("jobs", 0, Millis(2000));
    EXPECT_EQ(this->outlook.state(), StoreState::Reachable);
}

// A follower whose own feed was silent while other calls were answered asked it again and again, and learnt of no change meanwhile.
TEST_F(OutlookOfRelayTest, AFeedThatIsSilentOnlyHereIsAskedThroughAPeerAtOnce)
{
    ASSERT_TRUE(succeeded(this->peer.commit({"op", {}, {{"jobs/1", "a"}}})));
    this->own.isCut = true;
    this->ownTakes = Millis(2800);
    const auto batch = this->table.changes("jobs", 0, Millis(2000));
    ASSERT_EQ(this->outlook.state(), StoreState::Reachable) << "the peer has reached the table";
    ASSERT_TRUE(succeeded(batch));
    EXPECT_EQ(valueOf(batch).changes.size(), 1U);
}

// Refused calls end at once: one of them, or two within moments, is no outage.
TEST_F(OutlookOfRelayTest, ATableThatRefusesIsAwayAfterHalfASecond)
{
    this->own.isCut = true;
    this->others.isCut = true;
    this->callFor(Millis(400));
    EXPECT_EQ(this->outlook.state(), StoreState::Reachable);
    this->callFor(Millis(200));
    EXPECT_EQ(this->outlook.state(), StoreState::Unavailable);
    this->own.isCut = false;
    this->table.probe();
    EXPECT_EQ(this->outlook.state(), StoreState::Reachable);
}

TEST_F(OutlookOfRelayTest, ProbesAndRetriesAreBounded)
{
    EXPECT_FALSE(this->outlook.takeProbe(StorePath::Direct)) << "the table answers";
    this->own.isCut = true;
    this->others.isCut = true;
    this->callFor(Millis(600));
    int probes = 0;
    for (int tick = 0; tick < 300; ++tick) {
        probes += this->outlook.takeProbe(StorePath::Direct) ? 1 : 0;
        this->clock.advance(Millis(10));
        EXPECT_GE(this->outlook.retryAfter(), Millis(1000));
        EXPECT_LE(this->outlook.retryAfter(), Millis(3000));
    }
    EXPECT_GE(probes, 10);
    EXPECT_LE(probes, 20);
}

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

// A refusal that a peer passed on counted as one of a table that is away, so that the call was sent again and again.
TEST_F(RelayTableTest, PassesOnARefusalForGood)
{
    this->rows.limits = TableLimits{10, 100, 10};
    this->own.isCut = true;
    const auto committed = this->table.commit({"op", {}, {{"jobs/1", "longer than ten bytes"}}});
    ASSERT_FALSE(succeeded(committed));
    EXPECT_EQ(errorOf(committed).kind, ErrorKind::Rejected);
}

} // namespace waxwingloft::tests
