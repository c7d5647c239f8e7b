#include "jobsite.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace waxwingloft::tests {

namespace {

const Capacity Half{64'000, 131'072, 4};
const Capacity Whole{128'000, 262'144, 8};
constexpr std::uint32_t Members = 3;
constexpr std::uint32_t MostAttempts = 3; ///< of the jobs of a JobSite
constexpr auto ClearOfFailures = Millis(30'000); ///< pauses after failures and quarantines are over by then

/** Has each run end as @p how says, after the time that @p time says. */
void endRunsAs(JobSite &site, const std::function<RunEnd(const TaskRun &)> &how, const std::function<Millis(const TaskRun &)> &time)
{
    for (auto &agent : site.agents) {
        agent.executor->runOf = [how, time](const StartOrder &order) {
            FakeRun run;
            run.endsAs = how(order.run);
            run.endsAt = time(order.run);
            return run;
        };
    }
}

/** Lets all members of the first @p runs runs fail and later ones succeed. */
void failRuns(JobSite &site, std::uint32_t runs)
{
    endRunsAs(
        site, [runs](const TaskRun &run) { return run.run <= runs ? RunEnd::Failed : RunEnd::Done; }, [](const TaskRun & /*run*/) { return Millis(300); });
}

std::uint32_t failuresOf(const JobSite &site, const JobId &job)
{
    return site.progressOf(job).occurrences.at(0).at(0).at(0).failures;
}

/** Returns the agent whose executor runs @p task; the task must run. */
SiteAgent &agentOf(JobSite &site, const TaskKey &task)
{
    return *std::find_if(site.agents.begin(), site.agents.end(), [&task](const SiteAgent &agent) {
        const auto &running = agent.executor->running;
        return std::any_of(running.begin(), running.end(), [&task](const auto &item) { return item.first.task == task; });
    });
}

} // namespace

// Each member that ended failed used up an attempt, so that a gang of three was shown as failed after one run of three.
TEST(JobSiteGangFailures, ARunThatSeveralMembersFailCountsOnce)
{
    JobSite site(11);
    site.advance(Millis(2000));
    failRuns(site, MostAttempts - 1);
    const auto job = site.submit(oneStep(Members, Whole, true));
    EXPECT_EQ(site.finish(job, ClearOfFailures), JobPhase::Completed);
    EXPECT_EQ(failuresOf(site, job), MostAttempts - 1);
    expectNoViolations(site);
}

TEST(JobSiteGangFailures, AGangIsFailedAfterItsLastPermittedRun)
{
    JobSite site(11);
    site.advance(Millis(2000));
    failRuns(site, 100);
    const auto job = site.submit(oneStep(Members, Whole, true));
    EXPECT_EQ(site.finish(job, ClearOfFailures), JobPhase::Failed);
    EXPECT_EQ((site.checker.starts[{job, 0, 0, 0}]), MostAttempts);
}

// What a run had counted for was known to the placer alone, so that ends which came after a change of placer counted again.
TEST(JobSiteGangFailures, EndsOfOneRunThatReachDifferentPlacersCountOnce)
{
    JobSite site(11);
    site.advance(Millis(2000));
    failRuns(site, MostAttempts - 1);
    const auto job = site.submit(oneStep(Members, Whole, true));
    site.advance(Millis(200));
    auto &cutMember = agentOf(site, {job, 0, 0, 1});
    auto &restarted = agentOf(site, {job, 0, 0, 2});
    cutMember.isCut = true;
    restarted.isCut = true;
    site.advance(Millis(500));
    ASSERT_EQ(failuresOf(site, job), 1U);
    site.restartAgent(static_cast<std::size_t>(&restarted - site.agents.data()));
    site.elect(1);
    cutMember.isCut = false;
    site.advance(Millis(500));
    EXPECT_EQ(failuresOf(site, job), 1U);
    site.elect(0);
    restarted.isCut = false;
    site.advance(Millis(300));
    EXPECT_EQ(failuresOf(site, job), 1U);
    EXPECT_EQ(site.finish(job, ClearOfFailures), JobPhase::Completed);
    expectNoViolations(site);
}

// The members of a gang are done together, so that one such end stands for all, whatever came before it.
TEST(JobSiteGangFailures, ARunThatOneMemberEndsAsDoneIsDone)
{
    for (const std::uint32_t failing : {0U, 2U}) {
        JobSite site(11);
        site.advance(Millis(2000));
        endRunsAs(
            site,
            [failing](const TaskRun &run) { return run.task.index == failing ? RunEnd::Failed : RunEnd::Done; },
            [](const TaskRun &run) { return Millis(300 + 50 * run.task.index); });
        const auto job = site.submit(oneStep(Members, Whole, true));
        EXPECT_EQ(site.finish(job, ClearOfFailures), JobPhase::Completed) << failing;
        EXPECT_EQ((site.checker.starts[{job, 0, 0, failing}]), 1U) << failing;
        expectNoViolations(site);
    }
}

// An end that comes after its run has counted as over says nothing of the run that has taken its place.
TEST(JobSiteGangFailures, ALateFailureUsesUpNoAttemptOfALaterRun)
{
    for (const std::uint32_t count : {1U, Members}) {
        JobSite site(11);
        site.advance(Millis(2000));
        endRunsAs(
            site,
            [](const TaskRun &run) { return run.run < MostAttempts ? RunEnd::Failed : RunEnd::Done; },
            [](const TaskRun &run) { return Millis(run.run == 1 ? 1000 : 5000); });
        const auto job = site.submit(oneStep(count, Whole, count > 1));
        site.advance(Millis(500));
        for (auto &agent : site.agents) {
            agent.isCut = !agent.executor->running.empty();
        }
        const auto &starts = site.checker.starts[{job, 0, 0, 0}];
        for (auto passed = Millis(0); passed < Millis(60'000) && starts < 2; passed += Millis(100)) {
            site.advance(Millis(100));
        }
        ASSERT_EQ(starts, 2U) << "otherwise this shows nothing";
        for (auto &agent : site.agents) {
            agent.isCut = false;
        }
        site.advance(Millis(2000));
        EXPECT_EQ(failuresOf(site, job), 0U) << count;
        EXPECT_EQ(site.finish(job, ClearOfFailures), JobPhase::Completed) << count;
        expectNoViolations(site);
    }
}

/** Gangs and single tasks that fail at random members while placers change and agents fall silent or start again. */
class JobSiteFailedRuns : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(JobSiteFailedRuns, EachCountsOnceAndNoneIsLeftOut)
{
    std::mt19937_64 random(GetParam());
    const auto draw = [&random](std::uint64_t below) { return random() % below; };
    JobSite site(8);
    site.advance(Millis(2000));
    for (auto &agent : site.agents) {
        agent.executor->runOf = [&draw](const StartOrder &) {
            FakeRun run;
            run.endsAs = draw(2) == 0 ? RunEnd::Failed : RunEnd::Done;
            run.endsAt = Millis(200 + static_cast<std::int64_t>(draw(2000)));
            return run;
        };
    }
    std::vector<std::pair<JobId, std::uint32_t>> jobs;
    for (int round = 0; round < 20; ++round) {
        const auto count = 1 + static_cast<std::uint32_t>(draw(4));
        const bool isGang = draw(3) != 0;
        jobs.emplace_back(site.submit(oneStep(count, Half, isGang)), count);
        auto &agent = site.agents[draw(site.agents.size())];
        const auto trouble = draw(4);
        agent.isCut = trouble == 0;
        agent.executor->isUnreachable = trouble == 1;
        if (trouble == 2) {
            site.restartAgent(static_cast<std::size_t>(&agent - site.agents.data()));
        }
        if (draw(3) == 0) {
            site.elect(draw(site.placers.size()));
        }
        const auto pause = draw(3) == 0 ? 25'000 : 1500;
        site.advance(Millis(static_cast<std::int64_t>(draw(static_cast<std::uint64_t>(pause)))));
        agent.isCut = false;
        agent.executor->isUnreachable = false;
    }
    for (const auto &[job, count] : jobs) {
        const auto state = site.finish(job, Millis(120'000));
        ASSERT_TRUE(isFinal(state)) << job.value;
        std::size_t most = 0;
        for (std::uint32_t index = 0; index < count; ++index) {
            most = std::max(most, site.checker.failedRunsOf({job, 0, 0, index}));
        }
        EXPECT_TRUE(state == JobPhase::Completed || most >= MostAttempts) << job.value << " is failed after " << most << " failed runs";
    }
    expectNoViolations(site);
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobSiteFailedRuns, testing::Range<std::uint64_t>(1, 31));

TEST(JobRows, KeepWhichRunFailedLast)
{
    JobGraph graph;
    graph.steps.resize(1);
    auto progress = initialProgress(graph);
    progress.occurrences[0][0][0].failures = 2;
    progress.occurrences[0][0][0].failedRun = 4;
    EXPECT_EQ(valueOf(parseProgress(encodeProgress(progress))), progress);
    progress.occurrences[0][0][0].state = TaskPhase::Assigned;
    progress.occurrences[0][0][0].worker = NodeId{"a"};
    EXPECT_EQ(valueOf(parseProgress(encodeProgress(progress))), progress);
}

} // namespace waxwingloft::tests
