#include "jobsite.h"
#include "waxwingloft/process/duty.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace waxwingloft::tests {

namespace {

const Capacity Half{64'000, 131'072, 4};
const Capacity Small{10'000, 10'000, 1};
constexpr auto LongestWait = Millis(17'000); ///< the users' rule: 14 s after all is over they look for 3 s whether something runs

/** Submits a long task, lets it run for 3 s, and loses its host for good. Returns the job. */
JobId loseHostOfATask(JobSite &site)
{
    makeRunsLastFor(site, Millis(60'000));
    const auto job = site.submit(oneStep(1, Half));
    site.advance(Millis(3000));
    const auto worker = site.progressOf(job).occurrences.at(0).at(0).at(0).worker;
    auto &agent = *std::find_if(site.agents.begin(), site.agents.end(), [&worker](const SiteAgent &other) { return other.name == worker.value; });
    agent.isAlive = false;
    agent.executor->restart();
    agent.executor->hasEnded = true;
    agent.executor->isUnreachable = true;
    return job;
}

/** Returns after how long the task of @p job has begun its next run, with @p changes of placer at intervals of @p interval from now on. */
Millis timeToNextRun(JobSite &site, const JobId &job, int changes, Millis interval)
{
    constexpr auto Tick = Millis(10);
    const TaskKey task{job, 0, 0, 0};
    const auto before = site.checker.starts[task];
    auto waited = Millis(0);
    for (; site.checker.starts[task] == before && waited < Millis(90'000); waited += Tick) {
        if (changes > 0 && waited.count() % interval.count() == 0) {
            site.elect(*site.leader == 0 ? 1 : 0);
            --changes;
        }
        site.advance(Tick);
    }
    return waited;
}

/** A task that is assigned to an agent, as a new placer finds it in the rows. */
class Successor
{
public:
    Successor()
        : placer(this->clock, TaskPlacerOptions(), JobRankOptions())
    {
        this->job.submission.id = JobId{"0000000000000001"};
        this->job.submission.service = "tune";
        this->job.submission.maxAttempts = 3;
        this->job.submission.graph = oneStep(1, Half);
        this->job.progress = initialProgress(this->job.submission.graph);
        this->task() = {TaskPhase::Assigned, 1, 0, "", NodeId{"a0"}, {"e0", 1}};
        this->report.node = NodeId{"a0"};
        this->report.generation = 1;
        this->report.incarnation = {"e0", 1};
        this->report.service = "tune";
        this->report.capacity = {128'000, 262'144, 8};
        this->stored.revision = 7;
    }

    TaskProgress &task()
    {
        return this->job.progress.occurrences[0][0][0];
    }

    void lead()
    {
        this->placer.becomeLeader(3, {this->job}, {this->stored, this->sinceRenewal});
        this->placer.leadershipRenewed(this->clock.now());
        this->report.epoch = 3;
    }

    /** Returns the lease that the agent gets for a report. */
    Millis leaseOfReport()
    {
        ++this->report.sequence;
        this->placer.leadershipRenewed(this->clock.now());
        return valueOf(this->placer.report(this->report)).agentLease;
    }

    /** Returns for how long the run counts as live without a report. */
    Millis timeUntilOver()
    {
        constexpr auto Tick = Millis(10);
        auto waited = Millis(0);
        for (this->placer.plan(); this->placer.view().assigned > 0 && waited < Millis(60'000); waited += Tick) {
            this->clock.advance(Tick);
            this->placer.plan();
        }
        return waited;
    }

    const TaskPlacerOptions options;
    ManualClock clock;
    TaskPlacer placer;
    StoredJob job;
    StoredBounds stored;
    Millis sinceRenewal = Millis(0);
    AgentReport report;
};

} // namespace

// Work of a host that was lost for good was waited for anew, and longest, when the placer was lost in the same moment.
TEST(JobSiteTakeover, WorkOfALostHostStartsAgainInTimeAfterAChangeOfPlacer)
{
    JobSite site(4);
    const auto job = loseHostOfATask(site);
    EXPECT_LE(timeToNextRun(site, job, 1, Millis(1000)), LongestWait);
    expectNoViolations(site);
}

// Each further placer began the wait anew.
TEST(JobSiteTakeover, AFurtherPlacerGoesOnWithTheWaitOfTheOneBefore)
{
    JobSite site(4);
    const auto job = loseHostOfATask(site);
    site.advance(Millis(2500));
    EXPECT_LE(timeToNextRun(site, job, 4, Millis(2500)), LongestWait);
    expectNoViolations(site);
}

// A run that was not noted as begun was waited for 12 s longer than one that was. The last grant may be one of the version before.
TEST(JobSiteTakeover, ARunOfAnAgentThatHasNotReportedIsWaitedForFromTheLastGrant)
{
    Successor site;
    site.lead();
    EXPECT_EQ(site.timeUntilOver(), site.options.grantPeriod + site.options.longestAgentLease + site.options.longestLease + site.options.margin);
}

// The grants of an earlier placer run from its last renewal, which a successor has seen to be a term old.
TEST(JobSiteTakeover, TheTermThatPassedBeforeATakeoverCountsAgainstTheGrantPeriod)
{
    Successor site;
    site.sinceRenewal = LeaseOptions().term;
    site.lead();
    EXPECT_EQ(site.timeUntilOver(),
              site.options.grantPeriod - LeaseOptions().term + site.options.longestAgentLease + site.options.longestLease + site.options.margin);
}

TEST(JobSiteTakeover, ASilentAgentIsWaitedForNoLongerThanItsFormerPlacerWould)
{
    Successor site;
    site.stored.bounds.silent[NodeId{"a0"}] = Millis(2000);
    site.lead();
    EXPECT_EQ(site.timeUntilOver(), Millis(2000));
}

// A successor would count runs as over that a lease keeps alive, if it were granted before the row says so.
TEST(JobSiteTakeover, AnAgentThatIsListedAsSilentGetsNoLeaseAndNoWorkBeforeTheRowIsWritten)
{
    Successor site;
    site.stored.bounds.silent[NodeId{"a0"}] = Millis(2000);
    site.report.runs = {{{{site.job.submission.id, 0, 0, 0}, 1}, RunPhase::Running, "", 10}};
    site.lead();
    EXPECT_EQ(site.leaseOfReport(), Millis(0));
    EXPECT_TRUE(site.placer.isBoundsWriteUrgent());
    const auto write = site.placer.takeBoundsWrite();
    ASSERT_TRUE(write);
    EXPECT_EQ(write->revision, 7U);
    EXPECT_TRUE(write->bounds.silent.empty());
    EXPECT_EQ(site.leaseOfReport(), Millis(0)) << "the write may fail yet";
    JobSubmission more = site.job.submission;
    more.id = JobId{"0000000000000002"};
    site.placer.submit(more);
    site.clock.advance(Millis(1000));
    EXPECT_EQ(site.leaseOfReport(), Millis(0));
    site.placer.plan();
    EXPECT_EQ(site.placer.view().assigned, 1U) << "only what it had";
    site.placer.boundsWritten(*write, 8);
    EXPECT_EQ(site.leaseOfReport(), site.options.agentLease);
    site.placer.plan();
    EXPECT_EQ(site.placer.view().assigned, 2U);
}

// A write of the bounds that had no effect must not grant the lease that waits for it.
TEST(JobSiteTakeover, ALeaseWaitsForAWriteThatHasTakenEffect)
{
    Successor site;
    site.stored.bounds.silent[NodeId{"a0"}] = Millis(2000);
    site.lead();
    EXPECT_EQ(site.leaseOfReport(), Millis(0));
    auto write = site.placer.takeBoundsWrite();
    ASSERT_TRUE(write);
    site.placer.boundsNotWritten(*write);
    EXPECT_EQ(site.leaseOfReport(), Millis(0)) << "the write had no effect";
    write = site.placer.takeBoundsWrite();
    ASSERT_TRUE(write);
    site.placer.boundsWritten(*write, 8);
    EXPECT_EQ(site.leaseOfReport(), site.options.agentLease);
}

// A write without an answer may take effect after a later reading of the row.
TEST(JobSiteTakeover, AWriteInDoubtCountsAsPossibleUntilALaterOneBarsIt)
{
    BoundsLedger ledger;
    const NodeId agent{"a0"};
    const AgentBounds calm;
    AgentBounds silent;
    silent.silent[agent] = Millis(2000);
    ledger.begin({calm, 7});
    const auto doubtful = ledger.takeWrite(3, silent, Instant(Millis(10'000)));
    ASSERT_TRUE(doubtful);
    EXPECT_FALSE(ledger.allowsLease(agent));
    ledger.inDoubt(*doubtful, StoredBounds{calm, 7});
    EXPECT_FALSE(ledger.allowsLease(agent));
    ledger.requestWrite();
    const auto later = ledger.takeWrite(3, calm, Instant(Millis(10'100)));
    ASSERT_TRUE(later);
    EXPECT_EQ(later->revision, 7U);
    ledger.written(*later, 8);
    EXPECT_TRUE(ledger.allowsLease(agent));
}

// Each call on the table has a price.
TEST(JobSiteTakeover, ACalmSiteWritesNoBounds)
{
    JobSite site(4);
    makeRunsLastFor(site, Millis(60'000));
    site.submit(oneStep(8, Half));
    site.advance(Millis(12'000));
    EXPECT_FALSE(site.rows.rows.contains(std::string(AgentBoundsKey)));
}

TEST(AgentBounds, ReadBackWhatWasWritten)
{
    AgentBounds bounds;
    bounds.silent[NodeId{"c"}] = Millis(9320);
    EXPECT_EQ(valueOf(parseAgentBounds(encodeAgentBounds(bounds))), bounds);
    const Logger log(LogPart::Placer);
    EXPECT_EQ(storedBoundsOf(std::nullopt, log).bounds, AgentBounds());
    for (const auto *const damaged : {"", "[]", "{\"complete\":true}", "{\"silent\":[[]]}", "{\"silent\":[[7,1]]}"}) {
        const auto stored = storedBoundsOf(Row{std::string(AgentBoundsKey), damaged, 9, {}}, log);
        EXPECT_EQ(stored.bounds, AgentBounds()) << damaged;
        EXPECT_EQ(stored.revision, 9U);
    }
}

// During a replacement a successor of the version before reads the row, and one of this version reads its rows.
TEST(AgentBounds, AreReadByTheVersionBeforeAndFromIt)
{
    const auto before = R"({"complete":true,"open":["a"],"silent":[["c",11320,23320]]})";
    EXPECT_EQ(valueOf(parseAgentBounds(before)).silent.at(NodeId{"c"}), Millis(11'320));
    AgentBounds bounds;
    bounds.silent[NodeId{"c"}] = Millis(9320);
    EXPECT_EQ(encodeAgentBounds(bounds), R"({"complete":true,"open":[],"silent":[["c",9320,9320]]})");
}

// A row that is too large would be refused for good.
TEST(AgentBounds, TheLargestRowFitsTheTable)
{
    constexpr std::size_t LargestRow = 65'536 * 3 / 4;
    AgentBounds bounds;
    for (int index = 0; index < 10'000; ++index) {
        bounds.silent[NodeId{"side-ahmedabad-a-with-a-name-of-fifty-bytes-" + std::to_string(index)}] = Millis(9320);
    }
    const auto value = encodeAgentBounds(bounds);
    EXPECT_LE(value.size(), LargestRow);
    EXPECT_TRUE(succeeded(parseAgentBounds(value)));
}

/** Hosts that fall silent, come back or are lost, late calls, slow clocks, and a placer after the other: no run may be live twice, and all jobs must end. */
class JobSiteTakeovers : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(JobSiteTakeovers, AllGuaranteesHold)
{
    std::mt19937_64 random(GetParam());
    const auto draw = [&random](std::uint64_t below) { return random() % below; };
    JobSite site(4);
    for (auto &agent : site.agents) {
        agent.executor->clockRate = 1.0 - 0.02 * static_cast<double>(draw(2));
    }
    std::vector<JobId> jobs;
    for (int round = 0; round < 8; ++round) {
        makeRunsLastFor(site, Millis(1000 + static_cast<std::int64_t>(draw(20'000))));
        jobs.push_back(site.submit(oneStep(4, Small)));
        site.advance(Millis(draw(4000)));
        auto &agent = site.agents[draw(site.agents.size())];
        agent.executor->lateBy = Millis(2000 + static_cast<std::int64_t>(draw(9900)));
        const auto fate = [&draw] { return draw(3) == 0 ? OrderFate::Delayed : draw(3) == 0 ? OrderFate::Lost : OrderFate::Answered; };
        if (draw(2) == 0) {
            agent.executor->drawFate = fate;
            agent.executor->drawPollFate = [fate](const RunListQuery &) { return fate(); };
            site.advance(Millis(draw(2500)));
        }
        jobs.push_back(site.submit(oneStep(2, Small)));
        site.advance(Millis(draw(200)));
        agent.isCut = true;
        for (auto changes = draw(5); changes > 0; --changes) {
            site.advance(Millis(draw(6000)));
            site.elect(draw(site.placers.size()));
            if (draw(4) == 0) {
                agent.isCut = !agent.isCut;
            }
            if (draw(6) == 0) {
                agent.executor->isUnreachable = !agent.executor->isUnreachable;
            }
        }
        site.advance(Millis(draw(25'000)));
        agent.executor->drawFate = nullptr;
        agent.executor->drawPollFate = nullptr;
        agent.executor->isUnreachable = false;
        agent.isCut = false;
        site.advance(Millis(draw(3000)));
    }
    site.advance(Millis(120'000));
    for (const auto &job : jobs) {
        EXPECT_TRUE(isFinal(site.stateOf(job))) << job.value << " is " << nameOf(site.stateOf(job));
    }
    expectNoViolations(site);
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobSiteTakeovers, testing::Range<std::uint64_t>(1, 61));

} // namespace waxwingloft::tests
