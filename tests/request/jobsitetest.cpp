#include "jobsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace waxwingloft::tests {

namespace {

const Capacity Half{64'000, 131'072, 4};
const Capacity Whole{128'000, 262'144, 8};
const Capacity Small{10'000, 10'000, 1};

/** Expects exactly one run of every started task. */
void expectStartedOnce(const JobSite &site)
{
    for (const auto &[task, starts] : site.checker.starts) {
        EXPECT_EQ(starts, 1U) << toString(task);
    }
}

/** Makes all runs take so long that only a stop or the expiry of their lease ends them. */
void makeRunsLast(JobSite &site)
{
    makeRunsLastFor(site, Millis(60'000));
}

/** Returns the agent of the first task of a job. */
SiteAgent &holderOf(JobSite &site, const JobId &job)
{
    const auto worker = site.progressOf(job).occurrences.at(0).at(0).at(0).worker;
    return *std::find_if(site.agents.begin(), site.agents.end(), [&worker](const SiteAgent &agent) { return agent.name == worker.value; });
}

/** Submits a drawn job of a drawn priority. */
JobId submitDrawn(JobSite &site, const Draw &draw)
{
    const auto graph = drawStep(draw, 6, {Half, Small});
    return site.submit(graph, static_cast<int>(draw(3)));
}

std::size_t runningIn(const JobSite &site)
{
    std::size_t count = 0;
    for (const auto &[executor, runs] : site.checker.running) {
        count += runs.size();
    }
    return count;
}

/** Lets the site, whose faults are over, finish its jobs. Expects each of them to reach a final state, and no violation. */
void expectAllEnd(JobSite &site, const std::vector<JobId> &jobs)
{
    site.advance(Millis(90'000));
    for (const auto &job : jobs) {
        EXPECT_TRUE(isFinal(site.stateOf(job))) << job.value << " is " << nameOf(site.stateOf(job));
    }
    expectNoViolations(site);
}

/** Lets one task end, and restarts its executor under the same id at the poll that acknowledges it and has @p fate. Returns the executor. */
FakeExecutor &restartAtAnAcknowledgement(JobSite &site, OrderFate fate)
{
    makeRunsLastFor(site, Millis(900));
    auto &executor = *site.agents[0].executor;
    executor.lateCallsSurviveRestart = true;
    const auto isSent = std::make_shared<bool>(false);
    executor.drawPollFate = [isSent, fate](const RunListQuery &query) {
        *isSent = query.acknowledgedEnds > 0;
        return *isSent ? fate : OrderFate::Answered;
    };
    EXPECT_EQ(site.finish(site.submit(oneStep(1, Whole)), Millis(5000)), JobPhase::Completed);
    while (!*isSent) {
        site.advance(Millis(10));
    }
    executor.drawPollFate = nullptr;
    site.agents[0].nextHeartbeat = site.clock.now() + Millis(1500);
    executor.restart();
    return executor;
}

/** Returns fates for successive orders; all later orders are answered. */
std::function<OrderFate()> fatesInTurn(std::deque<OrderFate> fates)
{
    return [fates]() mutable {
        if (fates.empty()) {
            return OrderFate::Answered;
        }
        const auto next = fates.front();
        fates.pop_front();
        return next;
    };
}

} // namespace

TEST(JobSite, RunsAJobToItsEnd)
{
    JobSite site(3);
    const auto job = site.submit(oneStep(5, Half));
    EXPECT_EQ(site.finish(job, Millis(5000)), JobPhase::Completed);
    expectNoViolations(site);
}

TEST(JobSite, OnlyReportsWithRelevantChangesMakeAPlanDue)
{
    JobSite site(1);
    site.submit(oneStep(1, Half));
    site.advance(Millis(1000));
    ASSERT_EQ(runningIn(site), 1U);
    auto &placer = *site.placers[*site.leader].placer;
    placer.plan();
    auto report = *site.agents[0].controller->report();
    report.runs.front().percent += 1;
    ASSERT_TRUE(succeeded(placer.report(report)));
    EXPECT_FALSE(placer.isPlanDue()) << "only the progress has changed";
    ++report.sequence;
    report.isDraining = true;
    ASSERT_TRUE(succeeded(placer.report(report)));
    EXPECT_TRUE(placer.isPlanDue()) << "the executor drains";
    placer.plan();
    ++report.sequence;
    report.ends.push_back({1, report.runs.front().run, RunEnd::Done, "", {}});
    report.runs.clear();
    ASSERT_TRUE(succeeded(placer.report(report)));
    EXPECT_TRUE(placer.isPlanDue()) << "a run has ended";
}

TEST(JobSite, StartsAStepOnlyAfterItsDependencies)
{
    JobSite site(3);
    auto graph = oneStep(4, Half);
    graph.steps.push_back(graph.steps[0]);
    graph.steps[1].after = {0};
    const auto job = site.submit(graph);
    EXPECT_EQ(site.finish(job, Millis(8000)), JobPhase::Completed);
    expectNoViolations(site);
}

TEST(JobSite, StartsTheMembersOfAGangTogetherOnOneRack)
{
    JobSite site(6);
    auto graph = oneStep(3, Whole, true);
    graph.steps[0].prefersOneRack = true;
    const auto job = site.submit(graph);
    site.advance(Millis(500));
    std::set<std::string> racks;
    for (const auto &agent : site.agents) {
        if (!agent.executor->running.empty()) {
            racks.insert(agent.executor->rack);
        }
    }
    EXPECT_EQ(racks.size(), 1U);
    EXPECT_EQ(runningIn(site), 3U);
    EXPECT_EQ(site.finish(job, Millis(5000)), JobPhase::Completed);
    expectNoViolations(site);
}

TEST(JobSite, StopsACancelledJobAndStartsNoMoreOfIt)
{
    JobSite site(2);
    const auto job = site.submit(oneStep(40, Half));
    site.advance(Millis(1000));
    ASSERT_GT(runningIn(site), 0U);
    site.cancel(job);
    site.advance(Millis(100));
    site.checker.forbid(job);
    site.advance(Millis(900));
    EXPECT_EQ(runningIn(site), 0U);
    EXPECT_EQ(site.stateOf(job), JobPhase::Cancelled);
    expectNoViolations(site);
}

TEST(JobSite, FailsAJobAfterAllItsAttempts)
{
    JobSite site(2);
    for (auto &agent : site.agents) {
        agent.executor->runOf = [](const StartOrder &) {
            FakeRun run;
            run.endsAt = Millis(300);
            run.endsAs = RunEnd::Failed;
            return run;
        };
    }
    const auto job = site.submit(oneStep(1, Small));
    EXPECT_EQ(site.finish(job, Millis(5000)), JobPhase::Failed);
    EXPECT_EQ(site.checker.starts.begin()->second, 3U);
    expectNoViolations(site);
}

// While the table was slow, jobs that changed all the time kept the rows of others from being written, so that these never started.
TEST(JobSite, AJobIsWrittenInItsTurnWhileManyOthersChange)
{
    constexpr auto CommitTime = Millis(240); // of a table that takes 60 times as long as usual
    JobSite site(12);
    makeRunsLastFor(site, Millis(50));
    auto restless = oneStep(1, Small);
    restless.steps[0].isPerpetual = true;
    for (int job = 0; job < 80; ++job) {
        site.submit(restless);
    }
    site.advance(Millis(3000));
    const auto last = site.submit(oneStep(1, Small));
    for (auto passed = Millis(0); passed < Millis(3000); passed += CommitTime) {
        site.placers[0].reachesTable = false;
        site.advance(CommitTime - Millis(10));
        site.placers[0].reachesTable = true;
        site.advance(Millis(10));
    }
    EXPECT_EQ(site.checker.starts.count({last, 0, 0, 0}), 1U);
    expectNoViolations(site);
}

// After an outage the changes of many jobs made a transaction that the table refuses for its size, and that was repeated for good.
TEST(JobSite, ChangesThatPileUpAreWrittenInTransactionsThatTheTableTakes)
{
    constexpr std::size_t LargestTransaction = 1'000'000 * 3 / 4; // the users' limit, for values in base64
    JobSite site(12);
    auto graph = oneStep(1, Small);
    graph.occurrences = 1500;
    graph.firstRunAt = site.clock.wallMillis() - 1000;
    graph.interval = Millis(4000);
    site.placers[0].reachesTable = false;
    for (int job = 0; job < 45; ++job) {
        site.submit(graph);
    }
    site.placers[0].cache->reset(valueOf(site.rows.list("jobs/", 0)));
    site.placers[0].placer->plan();
    std::size_t written = 0;
    for (auto writes = site.placers[0].placer->takeWrites(); !writes.empty(); writes = site.placers[0].placer->takeWrites()) {
        std::size_t bytes = 0;
        for (const auto &write : writes) {
            bytes += write.byteCount();
        }
        EXPECT_LE(bytes, LargestTransaction);
        written += writes.size();
    }
    EXPECT_EQ(written, 45U);
}

TEST(JobSite, GuaranteedWorkReclaimsItsCapacityInTime)
{
    JobSite site(2);
    site.routes.quotas[WorkspaceId{"owner"}] = {WorkspaceId{"owner"}, 8};
    site.placers[0].placer->setRoutes(site.routes);
    for (auto &agent : site.agents) {
        agent.executor->runOf = [](const StartOrder &) {
            FakeRun run;
            run.endsAt = Millis(20'000);
            return run;
        };
    }
    site.submit(oneStep(4, Half));
    site.advance(Millis(1000));
    ASSERT_EQ(runningIn(site), 4U);
    const auto urgent = site.submit(oneStep(1, Whole), 0, "owner");
    site.advance(Millis(1500));
    EXPECT_EQ(site.checker.starts[(TaskKey{urgent, 0, 0, 0})], 1U);
    EXPECT_EQ(runningIn(site), 3U);
    expectNoViolations(site);
}

TEST(JobSite, StopsNoMoreThanGuaranteedWorkNeeds)
{
    JobSite site(3);
    site.routes.quotas[WorkspaceId{"owner"}] = {WorkspaceId{"owner"}, 8};
    site.placers[0].placer->setRoutes(site.routes);
    for (auto &agent : site.agents) {
        agent.executor->stopTime = Millis(900);
        agent.executor->runOf = [](const StartOrder &) {
            FakeRun run;
            run.endsAt = Millis(20'000);
            return run;
        };
    }
    site.submit(oneStep(6, Half));
    site.advance(Millis(1000));
    site.submit(oneStep(1, Whole, true), 0, "owner");
    site.advance(Millis(3000));
    EXPECT_EQ(runningIn(site), 5U) << "two half-worker tasks are stopped for one whole-worker task";
    expectNoViolations(site);
}

TEST(JobSite, ANewLeaderContinuesWhereThePreviousOneStopped)
{
    JobSite site(3);
    const auto job = site.submit(oneStep(12, Half));
    site.advance(Millis(500));
    site.placers[0].isAlive = false;
    site.advance(Millis(700));
    site.elect(1);
    EXPECT_EQ(site.finish(job, Millis(15'000)), JobPhase::Completed);
    expectStartedOnce(site);
    expectNoViolations(site);
}

TEST(JobSite, AReplacedPlacerChangesNothing)
{
    JobSite site(3);
    const auto job = site.submit(oneStep(12, Half));
    site.advance(Millis(500));
    site.elect(1);
    EXPECT_EQ(site.finish(job, Millis(15'000)), JobPhase::Completed);
    EXPECT_FALSE(succeeded(site.placers[0].placer->report(*site.agents[0].controller->report())));
    EXPECT_FALSE(site.placers[0].placer->isLeader());
    expectNoViolations(site);
}

TEST(JobSite, ARestartedAgentAdoptsTheActiveRuns)
{
    JobSite site(2);
    const auto job = site.submit(oneStep(8, Half));
    site.advance(Millis(600));
    site.restartAgent(0);
    EXPECT_EQ(site.finish(job, Millis(12'000)), JobPhase::Completed);
    expectStartedOnce(site);
    expectNoViolations(site);
}

TEST(JobSite, WorkOfACrashedExecutorRunsElsewhere)
{
    JobSite site(2);
    const auto job = site.submit(oneStep(4, Half));
    site.advance(Millis(600));
    site.agents[0].executor->restart();
    site.agents[0].executor->isUnreachable = true;
    EXPECT_EQ(site.finish(job, Millis(15'000)), JobPhase::Completed);
    expectNoViolations(site);
}

TEST(JobSite, AnExecutorMayRestartUnderTheSameId)
{
    JobSite site(1);
    const auto job = site.submit(oneStep(2, Half));
    site.advance(Millis(600));
    site.agents[0].executor->restart();
    EXPECT_EQ(site.finish(job, Millis(15'000)), JobPhase::Completed);
    expectNoViolations(site);
}

// Incarnations were ordered by the time of day, so that one that started after a step back was never used.
TEST(JobSite, AnExecutorThatRestartsAfterTheTimeOfDayWentBackIsUsed)
{
    JobSite site(1);
    const auto job = site.submit(oneStep(2, Half));
    site.advance(Millis(600));
    site.clock.stepWall(Millis(-5000));
    site.agents[0].executor->restart();
    EXPECT_EQ(site.finish(job, Millis(15'000)), JobPhase::Completed);
    expectNoViolations(site);
}

// The number of an acknowledged end was sent to the next incarnation under the same id, which then forgot an end of its own.
TEST(JobSite, AnEndOfAnIncarnationThatIsNotKnownYetIsNotAcknowledged)
{
    JobSite site(1);
    auto &agent = site.agents[0];
    agent.executor->runOf = [](const StartOrder &) {
        FakeRun run;
        run.endsAt = Millis(60);
        return run;
    };
    for (int count = 0; count < 3; ++count) {
        ASSERT_EQ(site.finish(site.submit(oneStep(1, Whole)), Millis(5000)), JobPhase::Completed);
    }
    site.advance(Millis(1000));
    const auto job = site.submit(oneStep(1, Whole));
    agent.nextHeartbeat = site.clock.now() + Millis(1500);
    agent.executor->restart();
    site.advance(Millis(4000));
    EXPECT_EQ(site.finish(job, Millis(15'000)), JobPhase::Completed);
    expectNoViolations(site);
}

// An order for an earlier incarnation reached the next one under the same id before that one knew a fencing token.
TEST(JobSite, AStartForAnEarlierIncarnationOfTheSameIdRunsNothingTwice)
{
    JobSite site(1);
    auto &agent = site.agents[0];
    agent.executor->lateCallsSurviveRestart = true;
    agent.executor->lateBy = Millis(5000);
    agent.executor->drawFate = fatesInTurn({OrderFate::Delayed});
    const auto job = site.submit(oneStep(1, Whole));
    ASSERT_EQ(site.finish(job, Millis(5000)), JobPhase::Completed);
    site.advance(Millis(2000));
    agent.nextHeartbeat = site.clock.now() + Millis(1500);
    agent.executor->restart();
    site.advance(Millis(4000));
    expectNoViolations(site);
}

// After an unanswered poll the number of an earlier incarnation's end was sent again, to the next one under the same id.
TEST(JobSite, AnAcknowledgementWithoutAnAnswerIsNotRepeatedToTheNextIncarnation)
{
    JobSite site(1);
    auto &executor = restartAtAnAcknowledgement(site, OrderFate::Lost);
    const auto job = site.submit(oneStep(1, Whole));
    executor.drawPollFate = [](const RunListQuery &) { return OrderFate::Lost; };
    site.advance(Millis(1500));
    ASSERT_EQ(executor.ends.size(), 1U) << "the start was sent before its agent knew of the restart";
    executor.drawPollFate = nullptr;
    EXPECT_EQ(site.finish(job, Millis(15'000)), JobPhase::Completed);
    expectNoViolations(site);
    expectStartedOnce(site);
}

// The poll of an incarnation that is not in use had no answer, and the next one acknowledged an end that had been listed before it.
TEST(JobSite, AnEndThatWasListedBeforeAnUnansweredPollOfACandidateIsNotAcknowledged)
{
    JobSite site(1);
    makeRunsLastFor(site, Millis(900));
    auto &agent = site.agents[0];
    auto &executor = *agent.executor;
    bool isRestarted = false;
    executor.drawPollFate = [&isRestarted](const RunListQuery &query) {
        return isRestarted && query.acknowledgedEnds == 0 ? OrderFate::Lost : OrderFate::Answered;
    };
    ASSERT_EQ(site.finish(site.submit(oneStep(1, Whole)), Millis(5000)), JobPhase::Completed);
    while (executor.ends.empty()) {
        site.advance(Millis(10));
    }
    agent.nextRunListQuery = site.clock.now() + Millis(4000);
    agent.nextHeartbeat = agent.nextRunListQuery;
    site.advance(Millis(1000));
    executor.restart();
    isRestarted = true;
    const auto job = site.submit(oneStep(1, Whole));
    site.advance(Millis(2500));
    ASSERT_EQ(executor.ends.size(), 1U) << "the start was sent before its agent knew of the restart";
    site.advance(Millis(2000));
    EXPECT_EQ(executor.ends.size(), 1U);
    executor.drawPollFate = nullptr;
    EXPECT_EQ(site.finish(job, Millis(15'000)), JobPhase::Completed);
    expectNoViolations(site);
    expectStartedOnce(site);
}

// The new generation bars an acknowledgement for the previous incarnation under the same id that is still on its way.
TEST(JobSite, AnAcknowledgementThatArrivesLateForgetsNoEndOfAKnownIncarnation)
{
    JobSite site(1);
    auto &executor = restartAtAnAcknowledgement(site, OrderFate::Delayed);
    const auto sentAt = site.clock.now();
    site.agents[0].nextHeartbeat = sentAt;
    site.advance(Millis(1500));
    const auto job = site.submit(oneStep(1, Whole));
    while (executor.ends.empty() && site.clock.now() - sentAt < executor.lateBy) {
        executor.drawPollFate = [](const RunListQuery &) { return OrderFate::Lost; };
        site.advance(Millis(10));
    }
    ASSERT_EQ(executor.ends.size(), 1U);
    site.advance(sentAt + executor.lateBy - site.clock.now() + Millis(20));
    EXPECT_EQ(executor.ends.size(), 1U);
    executor.drawPollFate = nullptr;
    EXPECT_EQ(site.finish(job, Millis(15'000)), JobPhase::Completed);
    expectNoViolations(site);
    expectStartedOnce(site);
}

// Open: the same before the new generation is polled, when a start has reached the next incarnation already.
TEST(JobSite, AnAcknowledgementThatArrivesLateForgetsNoEndOfAnUnknownIncarnation)
{
    JobSite site(1);
    auto &executor = restartAtAnAcknowledgement(site, OrderFate::Delayed);
    const auto job = site.submit(oneStep(1, Whole));
    executor.drawPollFate = [](const RunListQuery &) { return OrderFate::Lost; };
    site.advance(executor.lateBy + Millis(200));
    executor.drawPollFate = nullptr;
    EXPECT_EQ(site.finish(job, Millis(15'000)), JobPhase::Completed);
    expectNoViolations(site);
    expectStartedOnce(site);
}

// The numbers of ends start anew with each incarnation, and an end that only its agent knew cannot be taken note of any more.
TEST(JobSite, AnEndThatThePlacerNeverLearntIsDoneAgainByTheNextIncarnation)
{
    JobSite site(1);
    makeRunsLastFor(site, Millis(900));
    auto &agent = site.agents[0];
    const auto first = site.submit(oneStep(1, Whole));
    site.advance(Millis(600));
    ASSERT_EQ(runningIn(site), 1U);
    agent.isCut = true;
    site.advance(Millis(1000));
    ASSERT_EQ(agent.executor->ends.size(), 1U);
    ASSERT_EQ(agent.controller->report()->ends.size(), 1U) << "the agent knows it";
    agent.executor->restart();
    site.advance(Millis(1600));
    agent.isCut = false;
    const auto second = site.submit(oneStep(1, Whole));
    EXPECT_EQ(site.finish(first, Millis(15'000)), JobPhase::Completed);
    EXPECT_EQ(site.finish(second, Millis(15'000)), JobPhase::Completed);
    EXPECT_EQ(site.checker.starts.at({first, 0, 0, 0}), 2U);
    EXPECT_EQ(site.checker.starts.at({second, 0, 0, 0}), 1U);
    expectNoViolations(site);
}

// An end from before a lapse does not count: it is acknowledged without effect when it is listed after the lapse.
TEST(JobSite, ATaskThatWasDoneBeforeItsWorkerExpiredMayRunAgain)
{
    JobSite site(2);
    makeRunsLastFor(site, Millis(4000));
    const auto job = site.submit(oneStep(1, Whole));
    site.advance(Millis(800));
    ASSERT_EQ(runningIn(site), 1U);
    auto &agent = holderOf(site, job);
    agent.isCut = true;
    EXPECT_EQ(site.finish(job, Millis(40'000)), JobPhase::Completed);
    EXPECT_EQ(site.checker.starts.at({job, 0, 0, 0}), 2U);
    ASSERT_EQ(agent.executor->ends.size(), 1U);
    EXPECT_EQ(agent.executor->ends[0].end, RunEnd::Done);
    agent.isCut = false;
    site.advance(Millis(5000));
    EXPECT_TRUE(agent.executor->ends.empty()) << "it is acknowledged";
    EXPECT_EQ(site.checker.starts.at({job, 0, 0, 0}), 2U);
    expectNoViolations(site);
}

TEST(JobSite, ATaskThatWasDoneWhileItsExecutorDidNotAnswerMayRunAgainAfterItsLease)
{
    JobSite site(2);
    makeRunsLastFor(site, Millis(4000));
    const auto job = site.submit(oneStep(1, Whole));
    site.advance(Millis(800));
    ASSERT_EQ(runningIn(site), 1U);
    auto &agent = holderOf(site, job);
    agent.executor->drawPollFate = [](const RunListQuery &) { return OrderFate::Lost; };
    EXPECT_EQ(site.finish(job, Millis(60'000)), JobPhase::Completed);
    EXPECT_EQ(site.checker.starts.at({job, 0, 0, 0}), 2U);
    ASSERT_EQ(agent.executor->ends.size(), 1U);
    EXPECT_EQ(agent.executor->ends[0].end, RunEnd::Done);
    agent.executor->drawPollFate = nullptr;
    site.advance(Millis(5000));
    EXPECT_TRUE(agent.executor->ends.empty()) << "it is acknowledged";
    EXPECT_EQ(site.checker.starts.at({job, 0, 0, 0}), 2U);
    expectNoViolations(site);
}

/** Restarts the executor under its id after its task was done, so that the task's late start arrives @p later than that; heartbeats follow after 1.5 s. */
void restartBeforeALateStart(JobSite &site, Millis later)
{
    constexpr auto LateBy = Millis(8000);
    auto &agent = site.agents[0];
    agent.executor->lateCallsSurviveRestart = true;
    agent.executor->lateBy = LateBy;
    std::optional<Instant> sentAt;
    agent.executor->drawFate = [&site, &sentAt] {
        const bool isFirst = !sentAt;
        sentAt = sentAt.value_or(site.clock.now());
        return isFirst ? OrderFate::Delayed : OrderFate::Answered;
    };
    const auto job = site.submit(oneStep(1, Whole));
    ASSERT_EQ(site.finish(job, Millis(5000)), JobPhase::Completed);
    site.advance(std::chrono::duration_cast<Millis>(*sentAt + LateBy - later - site.clock.now()));
    agent.executor->drawFate = nullptr;
    agent.nextHeartbeat = site.clock.now() + Millis(1500);
    agent.executor->restart();
    site.advance(Millis(4000));
}

// An incarnation under the same id carried out late orders to the previous one until its first heartbeat had come.
TEST(JobSite, AnUnknownIncarnationOfTheSameIdIsFencedBeforeItsHeartbeat)
{
    JobSite site(1);
    restartBeforeALateStart(site, Millis(500));
    expectNoViolations(site);
}

// Open: nothing that the new incarnation knows tells an order to the previous one from an order to it, until its agent's next poll.
TEST(JobSite, AStartThatReachesANewIncarnationOfTheSameIdBeforeItsAgentRunsNothingTwice)
{
    JobSite site(1);
    restartBeforeALateStart(site, Millis(20));
    expectNoViolations(site);
}

// After a step back of the time of day a late heartbeat of the previous incarnation passed for a newer one.
TEST(JobSite, ALateHeartbeatFromBeforeAStepBackStopsNothing)
{
    JobSite site(1);
    auto &agent = site.agents[0];
    agent.executor->runOf = [](const StartOrder &) {
        FakeRun run;
        run.endsAt = Millis(9000);
        return run;
    };
    auto late = agent.executor->heartbeat();
    site.clock.stepWall(Millis(-5000));
    agent.executor->restart();
    site.advance(Millis(2000));
    const auto job = site.submit(oneStep(2, Half));
    site.advance(Millis(1000));
    ASSERT_EQ(runningIn(site), 2U);
    agent.controller->heartbeat(late);
    EXPECT_EQ(site.finish(job, Millis(20'000)), JobPhase::Completed);
    expectStartedOnce(site);
    expectNoViolations(site);
}

// Runs counted as over at the deregister, though an executor that gets no answer to it runs on for seconds.
TEST(JobSite, AnExecutorThatRunsOnAfterItsDeregisterRunsNothingTwice)
{
    JobSite site(2);
    for (auto &agent : site.agents) {
        agent.executor->runOf = [](const StartOrder &) {
            FakeRun run;
            run.endsAt = Millis(9000);
            return run;
        };
    }
    const auto job = site.submit(oneStep(1, Whole));
    site.advance(Millis(1000));
    auto &agent = *std::find_if(site.agents.begin(), site.agents.end(), [](const SiteAgent &each) { return !each.executor->running.empty(); });
    agent.controller->deregister(agent.executor->heartbeat().incarnation);
    site.advance(Millis(1000));
    agent.executor->isUnreachable = true;
    EXPECT_EQ(site.finish(job, Millis(40'000)), JobPhase::Completed);
    expectNoViolations(site);
}

TEST(JobSite, DelayedStartOrdersRunNothingTwice)
{
    JobSite site(3);
    site.agents[0].executor->fate = OrderFate::Delayed;
    const auto job = site.submit(oneStep(10, Half));
    site.advance(Millis(1500));
    site.agents[0].executor->fate = OrderFate::Answered;
    EXPECT_EQ(site.finish(job, Millis(30'000)), JobPhase::Completed);
    expectNoViolations(site);
}

// A refusal of a repeated start was taken as proof that the earlier, unanswered start had no effect.
TEST(JobSite, ARunStartedLateAfterItsRepeatWasRefusedRunsNothingTwice)
{
    JobSite site(2);
    site.agents[0].executor->drawFate = fatesInTurn({OrderFate::Delayed, OrderFate::Unhealthy});
    const auto job = site.submit(oneStep(1, Whole));
    EXPECT_EQ(site.finish(job, Millis(30'000)), JobPhase::Completed);
    site.advance(Millis(5000));
    expectStartedOnce(site);
    expectNoViolations(site);
}

// The refusal of a run that had already ended was reported in place of its end.
TEST(JobSite, ATaskThatIsDoneBeforeItsStartIsAnsweredIsNotStartedAgain)
{
    JobSite site(2);
    for (auto &agent : site.agents) {
        agent.executor->drawFate = fatesInTurn({OrderFate::AnswerLost});
        agent.executor->runOf = [](const StartOrder &) {
            FakeRun run;
            run.endsAt = Millis(20);
            return run;
        };
    }
    const auto job = site.submit(oneStep(1, Whole));
    EXPECT_EQ(site.finish(job, Millis(30'000)), JobPhase::Completed);
    site.advance(Millis(5000));
    expectStartedOnce(site);
    expectNoViolations(site);
}

// An agent that had restarted obeyed a placer that its earlier process knew to be replaced.
TEST(JobSite, ARestartedAgentObeysNoReplacedPlacer)
{
    JobSite site(2);
    for (auto &agent : site.agents) {
        agent.isCut = true;
        agent.executor->drawFate = fatesInTurn({OrderFate::Unhealthy});
    }
    const auto job = site.submit(oneStep(1, Whole));
    site.advance(Millis(100));
    const auto first = site.progressOf(job).occurrences.at(0).at(0).at(0).worker;
    auto &agent = site.agents[first.value == site.agents[0].name ? 0 : 1];
    auto &other = site.agents[first.value == site.agents[0].name ? 1 : 0];
    other.executor->drawFate = nullptr;
    site.placers[0].reachesTable = false;
    site.elect(1);
    agent.isCut = false;
    other.isCut = false;
    site.advance(Millis(1500));
    ASSERT_EQ(other.executor->running.size(), 1U) << "the refused run is started elsewhere";
    agent.isCut = true;
    site.restartAgent(static_cast<std::size_t>(&agent - site.agents.data()));
    site.advance(Millis(50));
    const auto sync = site.placers[0].placer->report(*agent.controller->report());
    if (succeeded(sync)) {
        agent.controller->applyAnswer(valueOf(sync), site.clock.now());
    }
    site.advance(Millis(100));
    EXPECT_TRUE(agent.executor->running.empty());
    expectNoViolations(site);
}

constexpr std::array LateStarts = {Millis(2000), Millis(5000), Millis(5800), Millis(5990), Millis(6050), Millis(11'900)}; ///< around the end of the lease

/** Makes the next call of the executor that asks for a lease arrive late, and every other one get lost. */
void loseContactAfterALateRenewal(FakeExecutor &executor, Millis lateBy)
{
    executor.lateBy = lateBy;
    executor.fate = OrderFate::Lost;
    executor.drawPollFate = [isSent = false](const RunListQuery &question) mutable {
        const bool isNext = !isSent && question.leaseEnd;
        const auto before = isSent ? OrderFate::Lost : OrderFate::Answered;
        isSent = isSent || isNext;
        return isNext ? OrderFate::Delayed : before;
    };
}

// The runs of an executor that did not answer counted as over while a renewal without an answer could still keep them alive.
TEST(JobSite, ARenewalThatAnUnresponsiveExecutorGetsLateRunsNothingTwice)
{
    JobSite site(2);
    makeRunsLast(site);
    const auto job = site.submit(oneStep(1, Whole));
    site.advance(Millis(800));
    ASSERT_EQ(runningIn(site), 1U);
    loseContactAfterALateRenewal(*holderOf(site, job).executor, Millis(5500));
    site.advance(Millis(30'000));
    EXPECT_EQ(site.progressOf(job).occurrences[0][0][0].run, 2U) << "it runs again once the lease has expired";
    EXPECT_EQ(runningIn(site), 1U);
    expectNoViolations(site);
}

/** Makes each executor carry out its first start @p lateBy after it was sent, submits a task and cuts its executor off after that start. Returns its agent. */
SiteAgent &loseExecutorAfterALateStart(JobSite &site, Millis lateBy)
{
    makeRunsLast(site);
    for (auto &agent : site.agents) {
        agent.executor->clockRate = 0.98;
        agent.executor->lateBy = lateBy;
        agent.executor->drawFate = fatesInTurn({OrderFate::Delayed});
    }
    const auto job = site.submit(oneStep(1, Whole));
    while (site.progressOf(job).occurrences.empty() || site.progressOf(job).occurrences[0][0][0].state != TaskPhase::Assigned) {
        site.advance(Millis(10));
    }
    site.advance(Millis(20));
    auto &agent = holderOf(site, job);
    agent.executor->isUnreachable = true;
    return agent;
}

// The start of a run that counted as over could still begin it.
TEST(JobSite, AStartThatAnUnresponsiveExecutorGetsLateRunsNothingTwice)
{
    for (const auto lateBy : LateStarts) {
        JobSite site(2);
        loseExecutorAfterALateStart(site, lateBy);
        site.advance(Millis(40'000));
        EXPECT_EQ(runningIn(site), 1U) << lateBy.count();
        expectNoViolations(site);
    }
}

// The runs of an agent that does not report count as over while a renewal that it sent before can still keep them alive.
TEST(JobSite, ARenewalThatArrivesLateAfterItsAgentStoppedRunsNothingTwice)
{
    JobSite site(2);
    makeRunsLast(site);
    const auto job = site.submit(oneStep(1, Whole));
    site.advance(Millis(800));
    ASSERT_EQ(runningIn(site), 1U);
    auto &agent = holderOf(site, job);
    loseContactAfterALateRenewal(*agent.executor, Millis(5000));
    agent.isCut = true;
    site.advance(Millis(40'000));
    EXPECT_EQ(runningIn(site), 1U);
    expectNoViolations(site);
}

// The runs of an agent that does not report counted as over while its unanswered start could still begin one.
TEST(JobSite, AStartThatArrivesLateAfterItsAgentStoppedRunsNothingTwice)
{
    for (const auto lateBy : LateStarts) {
        JobSite site(2);
        loseExecutorAfterALateStart(site, lateBy).isCut = true;
        site.advance(Millis(60'000));
        EXPECT_EQ(runningIn(site), 1U) << lateBy.count();
        expectNoViolations(site);
    }
}

// A new placer did not wait for late starts of an agent that never reported to it.
TEST(JobSite, AStartThatArrivesLateAfterAChangeOfPlacerRunsNothingTwice)
{
    for (const auto lateBy : LateStarts) {
        JobSite site(2);
        loseExecutorAfterALateStart(site, lateBy).isCut = true;
        site.elect(1);
        site.advance(Millis(60'000));
        EXPECT_EQ(runningIn(site), 1U) << lateBy.count();
        expectNoViolations(site);
    }
}

// Jobs that were assigned to a host in the two seconds after its loss had nothing running for 23 s beside an idle fleet.
TEST(JobSite, JobsThatAreAssignedToALostHostStartElsewhereInTime)
{
    constexpr auto LongestWait = Millis(17'000); // the users' rule: 14 s after the last job they look for 3 s whether something runs
    JobSite site(4);
    makeRunsLast(site);
    site.advance(Millis(800));
    auto &lost = site.agents[0];
    lost.isAlive = false;
    lost.executor->isUnreachable = true;
    lost.executor->hasEnded = true;
    std::vector<JobId> jobs;
    std::size_t assignedToLost = 0;
    for (int index = 0; index < 12; ++index) {
        jobs.push_back(site.submit(oneStep(1, Small)));
        site.advance(Millis(200));
        assignedToLost += site.progressOf(jobs.back()).occurrences.at(0).at(0).at(0).worker.value == lost.name ? 1 : 0;
    }
    ASSERT_GT(assignedToLost, 0U);
    site.advance(LongestWait - Millis(200));
    for (const auto &job : jobs) {
        EXPECT_EQ(site.checker.starts[(TaskKey{job, 0, 0, 0})], 1U) << job.value;
    }
    expectNoViolations(site);
}

// Work that lasts started again 11 s after it was lost with its host.
TEST(JobSite, LastingWorkOfALostHostStartsAgainInTime)
{
    constexpr auto LongestWait = Millis(9000); // the users' rule: from 6 s after its last run they look for 3 s whether it runs
    for (int phase = 0; phase < 800; phase += 100) {
        JobSite site(3);
        makeRunsLast(site);
        auto graph = oneStep(1, Small);
        graph.steps[0].isPerpetual = true;
        const auto job = site.submit(graph);
        site.advance(Millis(4000 + phase));
        auto &lost = holderOf(site, job);
        lost.isAlive = false;
        lost.executor->restart();
        lost.executor->isUnreachable = true;
        lost.executor->hasEnded = true;
        site.advance(LongestWait);
        EXPECT_EQ(site.checker.starts.at({job, 0, 0, 0}), 2U) << phase;
        EXPECT_EQ(runningIn(site), 1U) << phase;
        expectNoViolations(site);
    }
}

TEST(JobSite, AnAgentThatIsCutOffLosesItsRunsOnlyAfterItsLease)
{
    JobSite site(2);
    for (auto &agent : site.agents) {
        agent.executor->clockRate = 0.98;
        agent.executor->runOf = [](const StartOrder &) {
            FakeRun run;
            run.endsAt = Millis(60'000);
            return run;
        };
    }
    const auto job = site.submit(oneStep(2, Whole));
    site.advance(Millis(800));
    ASSERT_EQ(runningIn(site), 2U);
    site.agents[0].isCut = true;
    site.advance(Millis(30'000));
    expectNoViolations(site);
    EXPECT_EQ(runningIn(site), 1U) << "the run of the agent that is cut off has lapsed, and the other worker fits one run only";
    EXPECT_EQ(site.stateOf(job), JobPhase::Running);
}

TEST(JobSite, AnExpiredAgentThatReturnsGetsWorkAtOnce)
{
    JobSite site(1);
    site.advance(Millis(40'000));
    site.agents[0].isCut = true;
    site.advance(Millis(20'000));
    site.agents[0].isCut = false;
    const auto job = site.submit(oneStep(2, Half));
    EXPECT_EQ(site.finish(job, Millis(6000)), JobPhase::Completed);
    expectNoViolations(site);
}

// Since the placer counts late calls, renewals were so short that healthy runs lapsed.
TEST(JobSite, RunsSurviveAnAgentThatIsFrozenForThreeAndAHalfSeconds)
{
    for (int phase = 0; phase < 1600; phase += 100) {
        JobSite site(1);
        makeRunsLastFor(site, Millis(15'000));
        const auto job = site.submit(oneStep(1, Half));
        site.advance(Millis(9000 + phase));
        site.agents[0].isAlive = false;
        site.advance(Millis(3500));
        site.agents[0].isAlive = true;
        site.advance(Millis(4000));
        EXPECT_EQ(site.checker.starts.at({job, 0, 0, 0}), 1U) << phase;
    }
}

TEST(JobSite, RunsSurviveATableOutageOfNineSeconds)
{
    for (int phase = 0; phase < 1600; phase += 100) {
        JobSite site(1);
        makeRunsLast(site);
        const auto job = site.submit(oneStep(1, Half));
        site.advance(Millis(9000 + phase));
        site.rows.isDown = true;
        site.advance(Millis(9000));
        site.rows.isDown = false;
        site.advance(Millis(4000));
        EXPECT_EQ(site.checker.starts.at({job, 0, 0, 0}), 1U) << phase;
        EXPECT_EQ(runningIn(site), 1U) << phase;
    }
}

TEST(JobSite, ActiveRunsSurviveAShortTableOutage)
{
    JobSite site(2);
    for (auto &agent : site.agents) {
        agent.executor->runOf = [](const StartOrder &) {
            FakeRun run;
            run.endsAt = Millis(9000);
            return run;
        };
    }
    const auto job = site.submit(oneStep(4, Half));
    site.advance(Millis(800));
    site.rows.isDown = true;
    site.advance(Millis(6000));
    site.rows.isDown = false;
    EXPECT_EQ(site.finish(job, Millis(15'000)), JobPhase::Completed);
    expectStartedOnce(site);
    expectNoViolations(site);
}

TEST(JobSite, AnOccurrenceDoesNotStartBeforeItIsDue)
{
    JobSite site(2);
    auto graph = oneStep(2, Half);
    graph.occurrences = 3;
    graph.firstRunAt = site.clock.wallMillis() + 3000;
    graph.interval = Millis(1000);
    const auto job = site.submit(graph);
    site.advance(Millis(3000));
    EXPECT_EQ(runningIn(site), 0U);
    EXPECT_EQ(site.stateOf(job), JobPhase::Pending);
    site.advance(Millis(700));
    EXPECT_EQ(runningIn(site), 2U);
    site.advance(Millis(1000));
    EXPECT_EQ(runningIn(site), 4U) << "occurrences may overlap";
    EXPECT_EQ(site.finish(job, Millis(8000)), JobPhase::Completed);
    expectNoViolations(site);
}

TEST(JobSite, APerpetualTaskAlwaysRestartsAndIsNeverPreempted)
{
    JobSite site(1);
    site.routes.quotas[WorkspaceId{"owner"}] = {WorkspaceId{"owner"}, 8};
    site.placers[0].placer->setRoutes(site.routes);
    auto graph = oneStep(1, Whole);
    graph.steps[0].isPerpetual = true;
    const auto perpetual = site.submit(graph);
    site.advance(Millis(9000));
    const TaskKey task{perpetual, 0, 0, 0};
    EXPECT_GE(site.checker.starts[task], 3U);
    EXPECT_EQ(site.stateOf(perpetual), JobPhase::Running);
    site.submit(oneStep(1, Whole, true), 0, "owner");
    site.advance(Millis(300));
    EXPECT_EQ(runningIn(site), 1U);
    site.cancel(perpetual);
    site.advance(Millis(1500));
    EXPECT_EQ(site.stateOf(perpetual), JobPhase::Cancelled);
    expectNoViolations(site);
}

TEST(JobSite, AStalledRunIsStartedElsewhere)
{
    JobSite site(4);
    site.agents[0].executor->isStalled = true;
    const auto job = site.submit(oneStep(8, Half));
    EXPECT_EQ(site.finish(job, Millis(9000)), JobPhase::Completed);
    expectNoViolations(site);
}

TEST(JobSite, AWorkerThatFailsEveryRunFailsNoJob)
{
    JobSite site(4);
    site.agents[0].executor->runOf = [](const StartOrder &) {
        FakeRun run;
        run.endsAt = Millis(50);
        run.endsAs = RunEnd::Failed;
        return run;
    };
    std::vector<JobId> jobs;
    for (int round = 0; round < 10; ++round) {
        jobs.push_back(site.submit(oneStep(4, Half)));
        site.advance(Millis(600));
    }
    for (const auto &job : jobs) {
        EXPECT_EQ(site.finish(job, Millis(20'000)), JobPhase::Completed) << job.value;
    }
    expectNoViolations(site);
}

/** Submits and cancels jobs and injects faults at random times; all guarantees must hold throughout, and all jobs must end. */
class JobSiteFaults : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(JobSiteFaults, AllGuaranteesHold)
{
    std::mt19937_64 random(GetParam());
    const auto draw = [&random](std::uint64_t below) { return random() % below; };
    JobSite site(5);
    std::vector<JobId> jobs;
    for (int round = 0; round < 60; ++round) {
        auto &agent = site.agents[draw(site.agents.size())];
        switch (draw(12)) {
        case 0:
            agent.executor->restart();
            break;
        case 1:
            agent.executor->isUnreachable = !agent.executor->isUnreachable;
            break;
        case 2:
            agent.executor->fate = static_cast<OrderFate>(draw(4));
            break;
        case 3:
            agent.isCut = !agent.isCut;
            break;
        case 4:
            site.restartAgent(draw(site.agents.size()));
            break;
        case 5:
            site.elect(draw(site.placers.size()));
            break;
        case 6:
            site.rows.isDown = !site.rows.isDown;
            if (site.rows.isDown) {
                site.advance(Millis(draw(5000)));
                site.rows.isDown = false;
            }
            break;
        case 7:
            agent.isAlive = !agent.isAlive;
            break;
        case 8:
            if (!jobs.empty()) {
                site.cancel(jobs[draw(jobs.size())]);
            }
            break;
        default:
            jobs.push_back(submitDrawn(site, draw));
            break;
        }
        site.advance(Millis(draw(1500)));
    }
    for (std::size_t index = 0; index < site.agents.size(); ++index) {
        auto &agent = site.agents[index];
        agent.executor->isUnreachable = false;
        agent.executor->fate = OrderFate::Answered;
        agent.isCut = false;
        if (!agent.isAlive) {
            agent.isAlive = true;
            site.restartAgent(index);
        }
    }
    expectAllEnd(site, jobs);
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobSiteFaults, testing::Range<std::uint64_t>(1, 41));

/** Each call meets a fate of its own, so that a late, an unanswered and a refused order for one run follow each other; in every second case the executors'
 * clocks are slow. */
class JobSiteOrderFates : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(JobSiteOrderFates, AllGuaranteesHold)
{
    std::mt19937_64 random(GetParam());
    const auto draw = [&random](std::uint64_t below) { return random() % below; };
    JobSite site(5);
    for (auto &agent : site.agents) {
        agent.executor->drawFate = [&draw] {
            constexpr std::array Fates = {OrderFate::Answered,
                                          OrderFate::Answered,
                                          OrderFate::Lost,
                                          OrderFate::Delayed,
                                          OrderFate::AnswerLost,
                                          OrderFate::Unhealthy,
                                          OrderFate::Unhealthy};
            return Fates.at(draw(Fates.size()));
        };
        agent.executor->drawPollFate = [&draw](const RunListQuery &) {
            constexpr std::array Fates = {OrderFate::Answered, OrderFate::Answered, OrderFate::Answered, OrderFate::AnswerLost, OrderFate::Delayed};
            return Fates.at(draw(Fates.size()));
        };
        agent.executor->clockRate = GetParam() % 2 == 0 ? 0.98 : 1.0;
        agent.executor->lateBy = Millis(2000 + static_cast<std::int64_t>(draw(10'000)));
    }
    std::vector<JobId> jobs;
    for (int round = 0; round < 30; ++round) {
        auto &agent = site.agents[draw(site.agents.size())];
        switch (draw(11)) {
        case 0:
            agent.executor->restart();
            break;
        case 1:
            site.restartAgent(draw(site.agents.size()));
            break;
        case 2:
            site.elect(draw(site.placers.size()));
            break;
        case 3:
            if (!jobs.empty()) {
                site.cancel(jobs[draw(jobs.size())]);
            }
            break;
        case 4:
            agent.executor->isUnreachable = !agent.executor->isUnreachable;
            break;
        default:
            jobs.push_back(submitDrawn(site, draw));
            break;
        }
        site.advance(Millis(draw(1500)));
    }
    for (auto &agent : site.agents) {
        agent.executor->drawFate = nullptr;
        agent.executor->drawPollFate = nullptr;
        agent.executor->isUnreachable = false;
    }
    expectAllEnd(site, jobs);
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobSiteOrderFates, testing::Range<std::uint64_t>(1, 41));

/** Fates of single orders beside cut agents, placers without the table that lead again, reports to replaced placers and restarts. */
class JobSiteMixedFaults : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(JobSiteMixedFaults, AllGuaranteesHold)
{
    std::mt19937_64 random(GetParam());
    const auto draw = [&random](std::uint64_t below) { return random() % below; };
    JobSite site(5);
    for (auto &agent : site.agents) {
        agent.executor->drawFate = [&draw] {
            constexpr std::array Fates = {OrderFate::Answered,
                                          OrderFate::Answered,
                                          OrderFate::Answered,
                                          OrderFate::Lost,
                                          OrderFate::Delayed,
                                          OrderFate::AnswerLost,
                                          OrderFate::Unhealthy};
            return Fates.at(draw(Fates.size()));
        };
        agent.executor->lateBy = Millis(500 + static_cast<std::int64_t>(draw(11'500)));
        agent.executor->stopTime = Millis(50 + static_cast<std::int64_t>(draw(900)));
        agent.executor->clockRate = 1.0 - 0.02 * static_cast<double>(draw(2));
    }
    std::vector<JobId> jobs;
    for (int round = 0; round < 50; ++round) {
        auto &agent = site.agents[draw(site.agents.size())];
        auto &placer = site.placers[draw(site.placers.size())];
        switch (draw(14)) {
        case 0:
            agent.executor->restart();
            break;
        case 1:
            agent.executor->isUnreachable = !agent.executor->isUnreachable;
            break;
        case 2:
            agent.isCut = !agent.isCut;
            break;
        case 3:
        case 4:
            site.restartAgent(draw(site.agents.size()));
            break;
        case 5:
            site.elect(draw(site.placers.size()));
            break;
        case 6:
            placer.reachesTable = !placer.reachesTable;
            break;
        case 7:
            // The other placer leads for a moment, which the one without the table may not notice.
            placer.reachesTable = false;
            site.elect(&placer == &site.placers[0] ? 1 : 0);
            site.advance(Millis(draw(1500)));
            site.elect(&placer == &site.placers[0] ? 0 : 1);
            placer.reachesTable = true;
            break;
        case 8:
            site.reportTo(agent, placer);
            break;
        case 9:
            agent.executor->isDraining = !agent.executor->isDraining;
            break;
        case 10:
            if (!jobs.empty()) {
                site.cancel(jobs[draw(jobs.size())]);
            }
            break;
        default:
            jobs.push_back(submitDrawn(site, draw));
            break;
        }
        site.advance(Millis(draw(1000)));
        auto &reporting = site.agents[draw(site.agents.size())];
        site.reportTo(reporting, site.placers[draw(site.placers.size())]);
    }
    for (auto &agent : site.agents) {
        agent.executor->drawFate = nullptr;
        agent.executor->isUnreachable = false;
        agent.executor->isDraining = false;
        agent.isCut = false;
    }
    for (auto &placer : site.placers) {
        placer.reachesTable = true;
    }
    expectAllEnd(site, jobs);
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobSiteMixedFaults, testing::Range<std::uint64_t>(1, 41));

/** Agents that are cut off and then lose their executors, whose clocks may be slow, with late calls beside changes of placer. */
class JobSiteSilentAgents : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(JobSiteSilentAgents, AllGuaranteesHold)
{
    std::mt19937_64 random(GetParam());
    const auto draw = [&random](std::uint64_t below) { return random() % below; };
    JobSite site(4);
    for (auto &agent : site.agents) {
        agent.executor->clockRate = 1.0 - 0.02 * static_cast<double>(draw(2));
    }
    makeRunsLast(site);
    std::vector<JobId> jobs;
    for (int round = 0; round < 6; ++round) {
        for (auto &agent : site.agents) {
            agent.executor->lateBy = Millis(2000 + static_cast<std::int64_t>(draw(10'000)));
        }
        jobs.push_back(site.submit(oneStep(4, Small)));
        site.advance(Millis(draw(2000)));
        auto &agent = site.agents[draw(site.agents.size())];
        const auto fate = [&draw] { return draw(4) == 0 ? OrderFate::Lost : OrderFate::Delayed; };
        const auto loseExecutor = [&agent, fate] {
            agent.executor->drawFate = fate;
            agent.executor->drawPollFate = [fate](const RunListQuery &) { return fate(); };
        };
        if (draw(3) == 0) {
            loseExecutor();
            site.advance(Millis(draw(1500)));
        }
        jobs.push_back(site.submit(oneStep(2, Small)));
        site.advance(Millis(draw(100)));
        agent.isCut = true;
        if (draw(4) == 0) {
            site.elect(draw(site.placers.size()));
        }
        const auto isDelayed = draw(2);
        site.advance(Millis(isDelayed * draw(2900)));
        loseExecutor();
        site.advance(Millis(30'000));
        agent.executor->drawFate = nullptr;
        agent.executor->drawPollFate = nullptr;
        agent.isCut = false;
        site.advance(Millis(3000));
        site.cancel(jobs[draw(jobs.size())]);
    }
    for (const auto &job : jobs) {
        site.cancel(job);
    }
    expectAllEnd(site, jobs);
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobSiteSilentAgents, testing::Range<std::uint64_t>(1, 41));

} // namespace waxwingloft::tests
