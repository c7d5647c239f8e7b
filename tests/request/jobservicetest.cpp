#include "waxwingloft/request/jobservice.h"
#include "process/faketable.h"
#include "process/manualclock.h"
#include "waxwingloft/request/jobrows.h"

#include <functional>
#include <gtest/gtest.h>
#include <utility>
#include <vector>

namespace waxwingloft::tests {

namespace {

const std::string Id = "5c0e7a21d94b36f8";

/** Forwards calls to another table, and can leave commits without an answer or keep them back. */
class AmbiguousTable : public SettlingStore
{
public:
    AmbiguousTable(FakeRows &rows, ManualClock &clock)
        : rows(rows)
        , clock(clock)
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
        ++this->commits;
        if (this->isAmbiguous) {
            this->kept.push_back(transaction);
            return makeError(ErrorKind::Ambiguous, "no answer");
        }
        if (this->beforeCommit) {
            std::exchange(this->beforeCommit, nullptr)();
        }
        return this->rows.commit(transaction);
    }

    Result<Commit> commitWhile(const Transaction &transaction, const SettleCheck &mayGoOn) override
    {
        auto committed = this->commit(transaction);
        while (this->settlesForever && !succeeded(committed) && errorOf(committed).kind == ErrorKind::Ambiguous && mayGoOn()) {
            this->clock.advance(Millis(50));
            if (this->onSettle) {
                this->onSettle();
            }
        }
        return committed;
    }

    /** Carries out the commits that had no answer. Returns how many took effect. */
    int commitKept()
    {
        int done = 0;
        for (const auto &transaction : std::exchange(this->kept, {})) {
            done += succeeded(this->rows.commit(transaction)) ? 1 : 0;
        }
        return done;
    }

    FakeRows &rows;
    ManualClock &clock;
    bool isAmbiguous = false;
    bool settlesForever = false; ///< settles commits without an answer in vain for as long as the caller wants
    std::function<void()> onSettle; ///< called after each try
    int commits = 0;
    std::vector<Transaction> kept; ///< without an answer, in order
    std::function<void()> beforeCommit; ///< called once, before the next commit
};

class JobServiceTest : public testing::Test
{
protected:
    JobServiceTest()
    {
        RoutingTable routing;
        routing.version = 7;
        Route route;
        route.name = "r";
        route.host = "h";
        route.pathPrefix = "/a/";
        route.service = "tune";
        route.maxAttempts = 4;
        routing.routes.push_back(route);
        route.name = "open";
        route.pathPrefix = "/open/";
        route.isPublic = true;
        routing.routes.push_back(route);
        routing.quotaByKey["k1"] = {WorkspaceId{"plant"}, 8};
        routing.quotaByKey["k2"] = {WorkspaceId{"stranger"}, 8};
        this->routes.replaceIf(routing, [](const RoutingTable &) { return true; });
        this->jobCache.reset({});
    }

    static Result<JobGraph> parse(const std::string &body)
    {
        const bool isWide = body.starts_with("iii");
        if (body != "job" && !isWide) {
            return makeError(ErrorKind::InvalidInput, "no job");
        }
        JobGraph graph;
        graph.spec = "s";
        graph.steps.resize(1);
        graph.steps[0].image = isWide ? body : std::string();
        return graph;
    }

    JobAnswer call(JobVerb verb, const std::string &path, const std::string &key = "k1", const std::string &body = "job")
    {
        return this->jobService.handle({verb, "h", path, key, Millis(2000), body});
    }

    ManualClock clock;
    IdSource ids{1};
    Metrics metrics;
    FakeRows rows;
    AmbiguousTable table{this->rows, this->clock};
    TaskPlacer placer{this->clock, TaskPlacerOptions(), JobRankOptions()};
    JobCache jobCache{this->placer};
    Published<RoutingTable> routes{RoutingTable()};
    JobService jobService{this->clock, this->ids, this->metrics, this->table, this->jobCache, this->routes, &JobServiceTest::parse, JobServiceOptions()};
};

/** Calls while the outlook on the table is set by the test. */
class JobServiceOutlookTest : public JobServiceTest
{
protected:
    JobServiceOutlookTest()
    {
        this->jobService.setOutlook(this->outlook);
        this->clock.advance(Millis(5000));
        this->startedAt = this->clock.now();
    }

    /** Makes the table away from this entry; @p arePeersAsked makes it known that it is from peers as well. */
    void loseTable(bool arePeersAsked = true)
    {
        this->outlook.noteDirect(false, this->clock.now() - Millis(800));
        if (arePeersAsked) {
            this->outlook.notePeers(false);
        }
    }

    StoreOutlook outlook{this->clock, StoreOutlookOptions(), 1};
    Instant startedAt;
};

} // namespace

// A submission held its thread until the caller's time was over, though the entry knew that the table did not answer.
TEST_F(JobServiceOutlookTest, CallsThatNeedATableThatIsAwayAreRefusedAtOnce)
{
    this->call(JobVerb::Submit, "/a/" + Id);
    this->loseTable();
    const auto before = this->clock.now();
    const auto commits = this->table.commits;
    const std::string other = "0123456789abcdef";
    for (const auto verb : {JobVerb::Submit, JobVerb::Show, JobVerb::Cancel}) {
        const auto refused = this->call(verb, "/a/" + other);
        EXPECT_EQ(refused.outcome, JobCallOutcome::NotNow) << nameOf(verb);
        EXPECT_GE(refused.retryAfter, Millis(1000)) << nameOf(verb);
        EXPECT_LE(refused.retryAfter, Millis(3000)) << nameOf(verb);
    }
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id).outcome, JobCallOutcome::NotNow);
    EXPECT_EQ(this->table.commits, commits) << "nothing is sent";
    EXPECT_EQ(this->clock.now(), before);
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Done) << "known already";
    EXPECT_EQ(this->call(JobVerb::Show, "/a/" + Id).outcome, JobCallOutcome::Done);
    EXPECT_EQ(this->call(JobVerb::CountWaiting, "/a/").outcome, JobCallOutcome::Done);
    this->outlook.noteDirect(true, this->clock.now());
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + other).outcome, JobCallOutcome::Done);
}

TEST_F(JobServiceOutlookTest, WaitsShortlyForThePeersWordOnTheTable)
{
    this->loseTable(false);
    this->clock.onSleep = [this](Millis duration) {
        this->clock.advance(duration);
        this->outlook.notePeers(true);
    };
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Done) << "a peer reaches it";
    this->outlook.noteDirect(true, this->clock.now());
    this->clock.advance(Millis(5000));
    this->loseTable(false);
    this->clock.onSleep = nullptr;
    const auto before = this->clock.now();
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/0123456789abcdef").outcome, JobCallOutcome::NotNow);
    EXPECT_LE(this->clock.now() - before, Millis(400));
}

// The repetition of a call whose write may have taken effect would be told that the job does not run.
TEST_F(JobServiceOutlookTest, ARepetitionOfACallInDoubtIsNotRefused)
{
    this->table.isAmbiguous = true;
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Undecided);
    this->loseTable();
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Undecided);
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/0123456789abcdef").outcome, JobCallOutcome::NotNow) << "nothing was sent for it";
    EXPECT_EQ(this->table.commitKept(), 1);
    this->table.isAmbiguous = false;
    this->outlook.noteDirect(true, this->clock.now());
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Done) << "the row settles it";
}

// A write in doubt was settled until its caller's time was over, so that the caller could not ask at another entry.
TEST_F(JobServiceOutlookTest, AWriteInDoubtIsAnsweredWhileTheCallerHasTimeLeft)
{
    this->table.isAmbiguous = true;
    this->table.settlesForever = true;
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Undecided);
    EXPECT_GE(this->clock.now() - this->startedAt, Millis(1000)) << "half of the caller's time";
    EXPECT_LE(this->clock.now() - this->startedAt, Millis(1050));
    const auto before = this->clock.now();
    this->table.onSettle = [this] { this->loseTable(); };
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/0123456789abcdef").outcome, JobCallOutcome::Undecided);
    EXPECT_EQ(this->clock.now() - before, Millis(50)) << "the table is known to be away";
}

// A caller whose write was in doubt at one entry was told by the next one that its job does not run.
TEST_F(JobServiceOutlookTest, ARepetitionAtAnotherEntryIsNotRefusedEither)
{
    JobCache otherCache(this->placer);
    JobService other(this->clock, this->ids, this->metrics, this->table, otherCache, this->routes, &JobServiceTest::parse, JobServiceOptions());
    other.setDoubtObserver([this](const std::string &call) { this->jobService.noteDoubt(call); });
    this->table.isAmbiguous = true;
    EXPECT_EQ(other.handle({JobVerb::Submit, "h", "/a/" + Id, "k1", Millis(2000), "job"}).outcome, JobCallOutcome::Undecided);
    this->loseTable();
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Undecided);
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/0123456789abcdef").outcome, JobCallOutcome::NotNow) << "another job";
}

TEST_F(JobServiceOutlookTest, RetriesEndAsSoonAsTheTableIsKnownToBeAway)
{
    this->rows.isDown = true;
    this->clock.onSleep = [this](Millis duration) {
        this->clock.advance(duration);
        this->loseTable();
    };
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::NotNow);
    EXPECT_LE(this->clock.now() - this->startedAt, Millis(100));
}

TEST_F(JobServiceTest, AcceptsAJobOnceItsRowIsWritten)
{
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Done);
    const auto row = this->rows.rows.at(submissionKey(JobId{Id}));
    const auto stored = parseSubmission(row.value);
    ASSERT_TRUE(succeeded(stored));
    EXPECT_EQ(valueOf(stored).workspace, WorkspaceId{"plant"});
    EXPECT_EQ(valueOf(stored).maxAttempts, 4U);
    const auto shown = this->call(JobVerb::Show, "/a/" + Id);
    EXPECT_EQ(shown.outcome, JobCallOutcome::Done);
    EXPECT_EQ(shown.state, "pending");
    EXPECT_EQ(this->call(JobVerb::CountWaiting, "/a/").waiting, 1U);
}

TEST_F(JobServiceTest, TellsItsObserverOfEachRowThatItWrites)
{
    std::vector<std::string> keys;
    this->jobService.setRowObserver([&keys](const Row &row) { keys.push_back(row.key); });
    this->call(JobVerb::Submit, "/a/" + Id);
    this->call(JobVerb::Submit, "/a/" + Id);
    this->call(JobVerb::Cancel, "/a/" + Id);
    EXPECT_EQ(keys, (std::vector<std::string>{submissionKey(JobId{Id}), cancellationKey(JobId{Id})}));
}

TEST_F(JobServiceTest, TheSameIdAgainJoinsTheJob)
{
    this->call(JobVerb::Submit, "/a/" + Id);
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Done);
    JobCache otherCache(this->placer);
    JobService other(this->clock, this->ids, this->metrics, this->table, otherCache, this->routes, &JobServiceTest::parse, JobServiceOptions());
    EXPECT_EQ(other.handle({JobVerb::Submit, "h", "/a/" + Id, "k1", Millis(2000), "job"}).outcome, JobCallOutcome::Done);
    EXPECT_EQ(this->rows.rows.size(), 1U);
}

TEST_F(JobServiceTest, RefusesOnlyWhatHadNoEffect)
{
    this->rows.isDown = true;
    const auto refused = this->call(JobVerb::Submit, "/a/" + Id);
    EXPECT_EQ(refused.outcome, JobCallOutcome::NotNow);
    EXPECT_GT(refused.retryAfter.count(), 0);
    this->rows.isDown = false;
    this->table.isAmbiguous = true;
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Undecided);
}

TEST_F(JobServiceTest, WaitsOutAShortOutageForAShareOfTheCallersTime)
{
    this->rows.isDown = true;
    const auto before = this->clock.now();
    this->clock.onSleep = [this, before](Millis duration) {
        this->clock.advance(duration);
        this->rows.isDown = this->clock.now() - before < Millis(300);
    };
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Done);
    EXPECT_LE((this->clock.now() - before).count(), 500);
}

TEST_F(JobServiceTest, KeysRoutesAndIdsAreChecked)
{
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id, "wrong").outcome, JobCallOutcome::UnknownKey);
    EXPECT_EQ(this->call(JobVerb::Submit, "/open/" + Id, "").outcome, JobCallOutcome::Done);
    EXPECT_EQ(this->call(JobVerb::Submit, "/b/" + Id).outcome, JobCallOutcome::UnknownRoute);
    for (const auto *id : {"", "5c0e7a21d94b36f", "5c0e7a21d94b36f81", "5c0e7a21d94b36fz", "../../../../../.."}) {
        EXPECT_EQ(this->call(JobVerb::Submit, std::string("/a/") + id).outcome, JobCallOutcome::BadRequest) << id;
    }
    const std::string otherId = "0123456789abcdef";
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + otherId, "k1", "rubbish").outcome, JobCallOutcome::BadRequest);
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + otherId, "k1", std::string(300'000, 'x')).outcome, JobCallOutcome::TooLarge);
    EXPECT_EQ(this->rows.rows.size(), 1U);
}

TEST_F(JobServiceTest, BeforeTheFirstRoutesNothingIsAccepted)
{
    const Published<RoutingTable> none{RoutingTable()};
    JobService early(this->clock, this->ids, this->metrics, this->table, this->jobCache, none, &JobServiceTest::parse, JobServiceOptions());
    EXPECT_EQ(early.handle({JobVerb::Submit, "h", "/a/" + Id, "k1", Millis(2000), "job"}).outcome, JobCallOutcome::NotNow);
}

TEST_F(JobServiceTest, AnUnknownJobIsSaidToBeUnknownOnlyByTheTable)
{
    EXPECT_EQ(this->call(JobVerb::Show, "/a/" + Id).outcome, JobCallOutcome::UnknownJob);
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id).outcome, JobCallOutcome::UnknownJob);
    this->rows.isDown = true;
    EXPECT_EQ(this->call(JobVerb::Show, "/a/" + Id).outcome, JobCallOutcome::NotNow);
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id).outcome, JobCallOutcome::NotNow);
}

TEST_F(JobServiceTest, AJobOfAnotherEntryIsFoundInTheTable)
{
    JobCache otherCache(this->placer);
    JobService other(this->clock, this->ids, this->metrics, this->table, otherCache, this->routes, &JobServiceTest::parse, JobServiceOptions());
    other.handle({JobVerb::Submit, "h", "/a/" + Id, "k1", Millis(2000), "job"});
    EXPECT_EQ(this->call(JobVerb::Show, "/a/" + Id).state, "pending");
}

TEST_F(JobServiceTest, ACancelledJobIsShownAsCancelled)
{
    this->call(JobVerb::Submit, "/a/" + Id);
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id).outcome, JobCallOutcome::Done);
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id).outcome, JobCallOutcome::Done);
    EXPECT_EQ(this->call(JobVerb::Show, "/a/" + Id).state, "cancelled");
    EXPECT_EQ(this->call(JobVerb::CountWaiting, "/a/").waiting, 0U);
}

// A submission that lay at a frozen entry was accepted after another entry had acknowledged its cancellation.
TEST_F(JobServiceTest, ASubmissionThatArrivesAfterItsCancellationIsNotAccepted)
{
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id).outcome, JobCallOutcome::UnknownJob);
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id).outcome, JobCallOutcome::UnknownJob) << "again";
    JobCache otherCache(this->placer);
    JobService other(this->clock, this->ids, this->metrics, this->table, otherCache, this->routes, &JobServiceTest::parse, JobServiceOptions());
    const auto refused = other.handle({JobVerb::Submit, "h", "/a/" + Id, "k1", Millis(2000), "job"});
    EXPECT_EQ(refused.outcome, JobCallOutcome::Withdrawn);
    EXPECT_NE(refused.message.find("new id"), std::string::npos) << refused.message;
    EXPECT_FALSE(this->rows.rows.contains(submissionKey(JobId{Id})));
    EXPECT_EQ(this->call(JobVerb::Show, "/a/" + Id).outcome, JobCallOutcome::UnknownJob);
    EXPECT_EQ(this->call(JobVerb::CountWaiting, "/a/").waiting, 0U);
}

// The same for a submission whose write was without an answer and is carried out late.
TEST_F(JobServiceTest, ASubmissionInDoubtTakesNoEffectAfterItsCancellation)
{
    this->table.isAmbiguous = true;
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Undecided);
    this->table.isAmbiguous = false;
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id).outcome, JobCallOutcome::UnknownJob);
    EXPECT_EQ(this->table.commitKept(), 0);
    EXPECT_FALSE(this->rows.rows.contains(submissionKey(JobId{Id})));
}

// A cancellation read that there was no such job just before the submission was written.
TEST_F(JobServiceTest, ACancellationThatMeetsItsSubmissionCancelsTheJob)
{
    JobCache otherCache(this->placer);
    JobService other(this->clock, this->ids, this->metrics, this->table, otherCache, this->routes, &JobServiceTest::parse, JobServiceOptions());
    this->table.beforeCommit = [&other] { other.handle({JobVerb::Submit, "h", "/a/" + Id, "k1", Millis(2000), "job"}); };
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id).outcome, JobCallOutcome::Done);
    EXPECT_EQ(this->call(JobVerb::Show, "/a/" + Id).state, "cancelled");
}

// An acknowledgement is given only once the withdrawal is known to be written.
TEST_F(JobServiceTest, AWithdrawalInDoubtIsNotAcknowledged)
{
    this->table.isAmbiguous = true;
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id).outcome, JobCallOutcome::Undecided);
    this->table.isAmbiguous = false;
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::Done);
    EXPECT_EQ(this->table.commitKept(), 0) << "the late withdrawal";
    EXPECT_EQ(this->call(JobVerb::Show, "/a/" + Id).state, "pending");
}

// Whoever guessed an id could otherwise keep its owner from using it.
TEST_F(JobServiceTest, AStrangersCancellationBarsNoJob)
{
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id, "k2").outcome, JobCallOutcome::UnknownJob);
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id, "k1").outcome, JobCallOutcome::Done);
    EXPECT_EQ(this->call(JobVerb::Show, "/a/" + Id).state, "pending");
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id, "k1").outcome, JobCallOutcome::Done);
}

// Any valid key cancelled any job.
TEST_F(JobServiceTest, AStrangerCancelsNoJob)
{
    this->call(JobVerb::Submit, "/a/" + Id);
    EXPECT_EQ(this->call(JobVerb::Cancel, "/a/" + Id, "k2").outcome, JobCallOutcome::UnknownJob);
    EXPECT_EQ(this->call(JobVerb::Show, "/a/" + Id).state, "pending");
    EXPECT_EQ(this->rows.rows.size(), 1U);
    const std::string open = "0123456789abcdef";
    this->call(JobVerb::Submit, "/open/" + open);
    EXPECT_EQ(this->call(JobVerb::Cancel, "/open/" + open, "").outcome, JobCallOutcome::Done) << "the route is open to all";
}

TEST_F(JobServiceTest, OnARouteOpenToAllAnyoneMayWithdrawAJob)
{
    EXPECT_EQ(this->call(JobVerb::Cancel, "/open/" + Id, "").outcome, JobCallOutcome::UnknownJob);
    EXPECT_EQ(this->call(JobVerb::Submit, "/open/" + Id, "k1").outcome, JobCallOutcome::Withdrawn);
}

TEST_F(JobServiceTest, WithdrawalsAreNoRowsOfTheJobTable)
{
    std::vector<std::string> keys;
    this->jobService.setRowObserver([&keys](const Row &row) { keys.push_back(row.key); });
    this->call(JobVerb::Cancel, "/a/" + Id);
    EXPECT_TRUE(keys.empty());
    ASSERT_EQ(this->rows.rows.size(), 1U);
    EXPECT_TRUE(this->rows.rows.begin()->first.starts_with("withdrawals/"));
    EXPECT_LE(withdrawalKey(JobId{Id}, WorkspaceId{std::string(500, 'w')}).size(), 200U) << "the table's longest key";
}

// A job whose row the table never takes was submitted again and again until the caller's time was over, and then refused as if another try were worth it.
TEST_F(JobServiceTest, AJobThatIsTooLargeToBeStoredIsRefusedAtOnceAndForGood)
{
    const auto before = this->clock.now();
    const auto wide = this->call(JobVerb::Submit, "/a/" + Id, "k1", std::string(LargestRowBytes, 'i'));
    EXPECT_EQ(wide.outcome, JobCallOutcome::TooLarge);
    EXPECT_FALSE(wide.message.empty());
    EXPECT_EQ(this->table.commits, 0);
    this->rows.limits = TableLimits{10, 100, 10};
    EXPECT_EQ(this->call(JobVerb::Submit, "/a/" + Id).outcome, JobCallOutcome::TooLarge);
    EXPECT_EQ(this->table.commits, 1);
    EXPECT_EQ(this->clock.now(), before);
    EXPECT_FALSE(this->jobCache.contains(JobId{Id}));
}

} // namespace waxwingloft::tests
