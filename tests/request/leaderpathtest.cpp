#include "leaderpathsite.h"

#include "waxwingloft/request/jobrows.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

constexpr auto Bound = Millis(3000); ///< the users': a job that has room starts within this time of the table's return
const Millis Term = LeaseOptions().term;

class LeaderPath : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(this->site.isReady());
        std::this_thread::sleep_for(TaskPlacerOptions().settleTime);
        this->leader = this->site.leader();
        ASSERT_NE(this->leader, nullptr);
    }

    /** Expects that all that was accepted starts within @p bound of @p since, and once. */
    void expectStarts(const std::vector<JobId> &jobs, Instant since, Millis bound = Bound)
    {
        const auto took = this->site.startedAfter(jobs, since);
        ASSERT_TRUE(took.has_value()) << "a job never started";
        RecordProperty("first_start_ms", std::to_string(took->count()));
        EXPECT_LE(*took, bound);
        EXPECT_EQ(this->site.mostStarts(), 1);
    }

    /** Gives the table @p fault for @p duration; a job comes in as it begins and another as it ends. Expects both to start in time. */
    void expectStartsAfterOutage(PathFault fault, Millis duration)
    {
        this->site.setFault(fault);
        std::vector<JobId> jobs = {this->site.accept(this->site.bystander())};
        std::this_thread::sleep_for(duration);
        jobs.push_back(this->site.accept(this->site.bystander()));
        this->site.setFault(PathFault::None);
        this->expectStarts(jobs, this->site.clock.now());
    }

    /** Waits until the leader has next written its duty row by a call that ends by @p fault. */
    void waitForRenewal(PathFault fault)
    {
        auto &path = this->leader->table.path;
        path.failNext(PathCall::Commit, "duty/", fault);
        while (!path.areFaultsUsed()) {
            std::this_thread::sleep_for(Millis(1));
        }
    }

    /** Ends the leader without a word once @p fault of the call @p call on @p prefix awaits each successor, and expects the successor to start a job. */
    void expectStartsAfterFailedTakeover(PathCall call, const std::string &prefix, PathFault fault)
    {
        for (const auto &entry : this->site.entries) {
            if (entry.get() != this->leader) {
                entry->table.path.failNext(call, prefix, fault);
            }
        }
        this->site.kill(*this->leader);
        const auto since = this->site.clock.now();
        const auto job = this->site.accept(this->site.bystander());
        this->expectStarts({job}, since, Term + Bound);
    }

    LeaderPathSite site;
    LeaderPathEntry *leader = nullptr;
};

} // namespace

// Guards against waits that begin anew at the end of an outage and add up to more than the users' bound.
TEST_F(LeaderPath, StartsAfterTheTableWasBusyForFourSeconds)
{
    this->expectStartsAfterOutage(PathFault::Busy, Millis(4000));
}

TEST_F(LeaderPath, StartsAfterTheTableWasSilentForASecond)
{
    this->expectStartsAfterOutage(PathFault::Silent, Millis(1000));
}

TEST_F(LeaderPath, StartsAfterTheTableWasSilentForFourSeconds)
{
    this->expectStartsAfterOutage(PathFault::Silent, Millis(4000));
}

// A call that the table carries out without an answer is not to be taken for another process's.
TEST_F(LeaderPath, StartsAfterTheTableCarriedOutCallsWithoutAnAnswerForASecond)
{
    this->expectStartsAfterOutage(PathFault::AnswerLost, Millis(1000));
}

TEST_F(LeaderPath, StartsAfterTheTableCarriedOutCallsWithoutAnAnswerForFourSeconds)
{
    this->expectStartsAfterOutage(PathFault::AnswerLost, Millis(4000));
}

TEST_F(LeaderPath, StartsAlthoughTheAnswersToSingleReadsAreLost)
{
    for (const auto &entry : this->site.entries) {
        entry->table.path.failNext(PathCall::Get, "", PathFault::Silent);
    }
    const auto since = this->site.clock.now();
    this->expectStarts({this->site.accept(this->site.bystander())}, since);
}

TEST_F(LeaderPath, StartsAlthoughTheAnswerToItsTransactionIsLost)
{
    for (const auto fault : {PathFault::AnswerLost, PathFault::Silent}) {
        this->leader->table.path.failNext(PathCall::Commit, "jobs/", fault);
        const auto since = this->site.clock.now();
        this->expectStarts({this->site.accept(this->site.bystander())}, since);
    }
}

TEST_F(LeaderPath, StartsAlthoughEachTransactionTakesLong)
{
    for (const auto &entry : this->site.entries) {
        entry->table.path.commitMs = 300;
    }
    std::this_thread::sleep_for(Millis(1500));
    const auto since = this->site.clock.now();
    std::vector<JobId> jobs;
    for (int index = 0; index < 5; ++index) {
        jobs.push_back(this->site.accept(this->site.bystander()));
        std::this_thread::sleep_for(Millis(100));
    }
    this->expectStarts(jobs, since);
}

TEST_F(LeaderPath, StartsAfterItsLeaderWasStopped)
{
    const auto since = this->site.clock.now();
    this->site.stop(*this->leader);
    const auto job = this->site.accept(this->site.bystander());
    this->expectStarts({job}, since);
}

TEST_F(LeaderPath, StartsAfterItsLeaderWasStoppedJustBeforeAnOutage)
{
    for (const auto fault : {PathFault::Busy, PathFault::Silent}) {
        auto *const leading = this->site.leader();
        ASSERT_NE(leading, nullptr);
        std::thread stopping([this, leading] { this->site.stop(*leading); });
        std::this_thread::sleep_for(Millis(1));
        this->site.setFault(fault);
        std::this_thread::sleep_for(Millis(1000));
        stopping.join();
        const auto job = this->site.accept(this->site.bystander());
        this->site.setFault(PathFault::None);
        this->expectStarts({job}, this->site.clock.now());
        ASSERT_TRUE(this->site.isReady());
    }
}

// A process that is stopped has some time to leave; the table's short outages end within it.
TEST_F(LeaderPath, StartsAfterItsLeaderWasStoppedDuringAShortOutage)
{
    this->site.setFault(PathFault::Busy);
    const auto job = this->site.accept(this->site.bystander());
    std::thread stopping([this] { this->site.stop(*this->leader); });
    std::this_thread::sleep_for(Millis(300));
    this->site.setFault(PathFault::None);
    const auto since = this->site.clock.now();
    stopping.join();
    this->expectStarts({job}, since);
}

TEST_F(LeaderPath, StartsAfterItsLeaderWasStoppedDuringALongOutage)
{
    this->site.setFault(PathFault::Busy);
    const auto job = this->site.accept(this->site.bystander());
    std::this_thread::sleep_for(Millis(1500));
    this->site.stop(*this->leader);
    std::this_thread::sleep_for(Millis(1800));
    this->site.setFault(PathFault::None);
    this->expectStarts({job}, this->site.clock.now());
}

// Guards against a successor that waits for the term, as the outage took the only attempt at the release.
TEST_F(LeaderPath, StartsAfterAMomentsOutageTookTheReleaseOfAStoppedLeader)
{
    this->waitForRenewal(PathFault::None);
    std::this_thread::sleep_for(Millis(20));
    this->site.setFault(PathFault::Busy);
    std::thread stopping([this] { this->site.stop(*this->leader); });
    std::this_thread::sleep_for(Millis(300));
    this->site.setFault(PathFault::None);
    const auto since = this->site.clock.now();
    stopping.join();
    this->expectStarts({this->site.accept(this->site.bystander())}, since);
}

// Guards against a successor that waits for the term, as the silent table held up the release for longer than the stopped process lasts.
TEST_F(LeaderPath, StartsAfterAMomentsSilenceTookTheReleaseOfAStoppedLeader)
{
    this->waitForRenewal(PathFault::None);
    std::this_thread::sleep_for(Millis(20));
    this->site.setFault(PathFault::Silent);
    std::thread stopping([this] { this->site.stop(*this->leader); });
    std::this_thread::sleep_for(Millis(300));
    this->site.setFault(PathFault::None);
    const auto since = this->site.clock.now();
    stopping.join();
    this->expectStarts({this->site.accept(this->site.bystander())}, since);
}

// Guards against a holder that waits for the term of its own renewal, which took effect and was settled only after the lease had lapsed.
TEST_F(LeaderPath, StartsAfterARenewalWasSettledTooLate)
{
    this->waitForRenewal(PathFault::AnswerLost);
    this->expectStartsAfterOutage(PathFault::AnswerLost, Millis(4000));
}

TEST_F(LeaderPath, StartsAfterItsLeaderEndedWithoutAWord)
{
    this->site.kill(*this->leader);
    const auto since = this->site.clock.now();
    this->expectStarts({this->site.accept(this->site.bystander())}, since, Term + Bound);
}

TEST_F(LeaderPath, StartsAfterASuccessorCouldNotReadThePlacerRow)
{
    this->expectStartsAfterFailedTakeover(PathCall::Get, std::string(PlacerKey), PathFault::Silent);
}

TEST_F(LeaderPath, StartsAfterASuccessorCouldNotWriteThePlacerRow)
{
    this->expectStartsAfterFailedTakeover(PathCall::Commit, std::string(PlacerKey), PathFault::Silent);
}

TEST_F(LeaderPath, StartsAfterASuccessorWroteThePlacerRowWithoutAnAnswer)
{
    this->expectStartsAfterFailedTakeover(PathCall::Commit, std::string(PlacerKey), PathFault::AnswerLost);
}

TEST_F(LeaderPath, StartsAfterASuccessorCouldNotReadTheJobs)
{
    this->expectStartsAfterFailedTakeover(PathCall::List, std::string(JobTable), PathFault::Silent);
}

TEST_F(LeaderPath, StartsAfterASuccessorCouldNotReadTheBoundsOfAgents)
{
    this->expectStartsAfterFailedTakeover(PathCall::Get, std::string(AgentBoundsKey), PathFault::Silent);
}

// Guards against a leader that asks its own silent feed again and again, while its other calls and the feeds of its peers are answered.
TEST_F(LeaderPath, StartsAJobWithoutANoticeWhileOnlyTheLeadersFeedIsSilent)
{
    this->leader->table.path.isFeedSilent = true;
    this->site.net.losesNotices = true;
    const auto since = this->site.clock.now();
    this->expectStarts({this->site.accept(this->site.bystander())}, since);
}

// Guards against a notice that is sent only once, while the feed is silent everywhere.
TEST_F(LeaderPath, StartsAJobWhoseFirstNoticeWasLostWhileAllFeedsAreSilent)
{
    for (const auto &entry : this->site.entries) {
        entry->table.path.isFeedSilent = true;
    }
    this->site.net.losesNotices = true;
    const auto since = this->site.clock.now();
    const auto job = this->site.accept(this->site.bystander());
    std::this_thread::sleep_for(Millis(500));
    this->site.net.losesNotices = false;
    this->expectStarts({job}, since);
}

} // namespace waxwingloft::tests
