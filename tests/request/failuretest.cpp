#include "jobsite.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

const Capacity One{10'000, 10'000, 1};
const Capacity Whole{128'000, 262'144, 8};
constexpr auto FailurePeriod = Millis(4500); ///< long enough for three attempts without a pause, too short for three with the pauses
constexpr auto LongestIdleTime = Millis(3000); ///< the users' rule: a task that could start must not wait longer

/** Makes all that @p executor starts fail after a moment, or take @p time otherwise. */
void setFailing(FakeExecutor &executor, bool isFailing, Millis time = Millis(2000))
{
    executor.runOf = [isFailing, time](const StartOrder &) {
        FakeRun run;
        run.endsAt = isFailing ? Millis(20) : time;
        run.endsAs = isFailing ? RunEnd::Failed : RunEnd::Done;
        return run;
    };
}

/** Returns a graph of one task that only executors with @p label may run. */
JobGraph labelled(const std::string &label)
{
    auto graph = oneStep(1, One);
    graph.steps[0].requiredLabel = label;
    return graph;
}

/** Returns for how long nothing of @p job was assigned until it ended, at most @p limit. */
Millis longestIdleTimeOf(JobSite &site, const JobId &job, Millis limit)
{
    constexpr auto Tick = Millis(10);
    auto idle = Millis(0);
    auto longest = Millis(0);
    for (auto passed = Millis(0); passed < limit && !isFinal(site.stateOf(job)); passed += Tick) {
        site.advance(Tick);
        const auto progress = site.progressOf(job);
        const bool isAssigned = !progress.occurrences.empty() && progress.occurrences[0][0][0].state == TaskPhase::Assigned;
        idle = isAssigned ? Millis(0) : idle + Tick;
        longest = std::max(longest, idle);
    }
    return longest;
}

/** Lets the only executor that may run @p job fail what it starts for the failure period, then expects the job to be done. */
void expectDoneAfterTheFailurePeriod(JobSite &site, const JobId &job, FakeExecutor &executor)
{
    setFailing(executor, true);
    site.advance(FailurePeriod);
    EXPECT_EQ(site.stateOf(job), JobPhase::Running) << "not all attempts fall into one failure period";
    setFailing(executor, false);
    EXPECT_LE(longestIdleTimeOf(site, job, Millis(20'000)), LongestIdleTime);
    EXPECT_EQ(site.stateOf(job), JobPhase::Completed);
    EXPECT_TRUE(site.checker.violations.empty());
}

} // namespace

// A job that had failed once on the only executor with its label was never started again.
TEST(JobSiteFailures, AJobReturnsToTheOnlyExecutorWithItsLabel)
{
    JobSite site(11);
    auto &executor = *site.agents[10].executor;
    executor.rack = "b";
    site.advance(Millis(2000));
    setFailing(executor, true);
    expectDoneAfterTheFailurePeriod(site, site.submit(labelled("b")), executor);
}

// The same for the only executor of a service.
TEST(JobSiteFailures, AJobReturnsToTheOnlyExecutorOfItsService)
{
    JobSite site(11);
    auto &executor = *site.agents[10].executor;
    for (std::size_t index = 0; index < 10; ++index) {
        site.agents[index].executor->service = "other";
    }
    for (auto &agent : site.agents) {
        agent.executor->restart();
    }
    site.advance(Millis(4000));
    setFailing(executor, true);
    expectDoneAfterTheFailurePeriod(site, site.submit(oneStep(1, One)), executor);
}

// The same for the only executor that is large enough.
TEST(JobSiteFailures, AJobReturnsToTheOnlyExecutorThatHoldsItsTasks)
{
    JobSite site(5);
    auto &executor = *site.agents[4].executor;
    for (std::size_t index = 0; index < 4; ++index) {
        site.agents[index].executor->capacity = One;
    }
    site.advance(Millis(2000));
    setFailing(executor, true);
    expectDoneAfterTheFailurePeriod(site, site.submit(oneStep(1, Whole)), executor);
}

// On a fleet of one executor all attempts were used up at once.
TEST(JobSiteFailures, AJobOnASmallFleetKeepsItsAttempts)
{
    JobSite site(1);
    auto &executor = *site.agents[0].executor;
    setFailing(executor, true);
    expectDoneAfterTheFailurePeriod(site, site.submit(oneStep(1, One)), executor);
}

// A gang that needs all executors of its label was never started again after one of them had failed it.
TEST(JobSiteFailures, AGangThatNeedsTheExecutorThatFailedItReturns)
{
    JobSite site(11);
    for (std::size_t index = 8; index < 11; ++index) {
        site.agents[index].executor->rack = "b";
    }
    site.advance(Millis(2000));
    setFailing(*site.agents[10].executor, true);
    auto gang = oneStep(3, Whole, true);
    gang.steps[0].requiredLabel = "b";
    expectDoneAfterTheFailurePeriod(site, site.submit(gang), *site.agents[10].executor);
}

// A gang that prefers one rack and fits on one rack only was spread over others, or waited for good.
TEST(JobSiteFailures, AGangReturnsToTheOnlyRackThatHoldsIt)
{
    JobSite site(11);
    for (std::size_t index = 3; index < 11; ++index) {
        site.agents[index].executor->rack = "r2-" + std::to_string(index);
    }
    site.advance(Millis(2000));
    setFailing(*site.agents[2].executor, true);
    auto gang = oneStep(3, Whole, true);
    gang.steps[0].prefersOneRack = true;
    const auto job = site.submit(gang);
    expectDoneAfterTheFailurePeriod(site, job, *site.agents[2].executor);
    for (std::size_t index = 3; index < 11; ++index) {
        EXPECT_EQ(site.agents[index].executor->startedRuns(), 0U) << "it is slower on several racks";
    }
}

// A limit of tasks per executor leaves no room for the last one besides the executor that failed it.
TEST(JobSiteFailures, ATaskReturnsWhereItsStepIsFullElsewhere)
{
    JobSite site(3);
    setFailing(*site.agents[2].executor, true);
    setFailing(*site.agents[0].executor, false, Millis(60'000));
    setFailing(*site.agents[1].executor, false, Millis(60'000));
    auto graph = oneStep(3, One);
    graph.steps[0].maxPerExecutor = 1;
    const auto job = site.submit(graph);
    site.advance(FailurePeriod);
    setFailing(*site.agents[2].executor, false);
    site.advance(Millis(6000));
    const auto tasks = site.progressOf(job).occurrences.at(0).at(0);
    EXPECT_EQ(std::count_if(tasks.begin(), tasks.end(), [](const TaskProgress &task) { return task.state == TaskPhase::Done; }), 1);
}

// Evidence against an executor never grew old, so a job waited for the others of its label however long they were full.
TEST(JobSiteFailures, AJobReturnsWhereItFailedWhenTheOthersStayFull)
{
    JobSite site(11);
    auto &failing = *site.agents[9].executor;
    auto &full = *site.agents[10].executor;
    failing.rack = "b";
    full.rack = "b";
    site.advance(Millis(2000));
    setFailing(failing, true);
    setFailing(full, false, Millis(60'000));
    auto blocker = labelled("b");
    blocker.steps[0].needs = Whole;
    failing.isDraining = true;
    site.advance(Millis(2000));
    site.submit(blocker);
    site.advance(Millis(500));
    failing.isDraining = false;
    site.advance(Millis(2000));
    const auto job = site.submit(labelled("b"));
    site.advance(Millis(500));
    setFailing(failing, false);
    EXPECT_EQ(site.finish(job, Millis(10'000)), JobPhase::Completed);
}

// The only executor of a label was quarantined for 4 s and then for 8 s, though nothing else could run what waited.
TEST(JobSiteFailures, AQuarantineHoldsUpNoWorkThatNothingElseCanRun)
{
    JobSite site(11);
    auto &executor = *site.agents[10].executor;
    executor.rack = "b";
    site.advance(Millis(2000));
    setFailing(executor, true);
    site.submit(labelled("b"));
    site.advance(Millis(500));
    site.submit(labelled("b"));
    site.advance(FailurePeriod);
    setFailing(executor, false);
    const auto job = site.submit(labelled("b"));
    EXPECT_LE(longestIdleTimeOf(site, job, Millis(20'000)), LongestIdleTime);
    EXPECT_EQ(site.stateOf(job), JobPhase::Completed);
}

// With room elsewhere a job keeps away from the executor that failed it.
TEST(JobSiteFailures, AJobIsTriedElsewhereFirst)
{
    JobSite site(2);
    for (auto &agent : site.agents) {
        setFailing(*agent.executor, true);
    }
    const auto job = site.submit(oneStep(1, One));
    site.advance(Millis(300));
    ASSERT_EQ(site.checker.starts[(TaskKey{job, 0, 0, 0})], 2U);
    for (auto &agent : site.agents) {
        EXPECT_EQ(agent.executor->startedRuns(), 1U);
    }
}

} // namespace waxwingloft::tests
