#include "jobsite.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

const Capacity Half{64'000, 131'072, 4};
const Capacity Whole{128'000, 262'144, 8};
constexpr auto FirstReport = Millis(1000);

/** A leading placer with one agent, whose reports the test fills in itself. */
class OnePlacer
{
public:
    OnePlacer()
        : placer(this->clock, TaskPlacerOptions(), JobRankOptions())
    {
        this->report.node = NodeId{"a0"};
        this->report.generation = 1;
        this->report.epoch = 1;
        this->report.incarnation = {"e0", 1};
        this->report.service = "tune";
        this->report.capacity = Whole;
        this->placer.becomeLeader(1, {});
        this->placer.leadershipRenewed(this->clock.now());
        this->send();
        this->clock.advance(FirstReport);
    }

    void send()
    {
        ++this->report.sequence;
        this->placer.leadershipRenewed(this->clock.now());
        ASSERT_TRUE(succeeded(this->placer.report(this->report)));
    }

    /** Submits a job, which is placed but not yet written. */
    JobId place(const JobGraph &graph)
    {
        JobSubmission submission;
        submission.id = JobId{"0000000000000001"};
        submission.service = "tune";
        submission.acceptedAt = this->clock.wallMillis();
        submission.maxAttempts = 3;
        submission.graph = graph;
        this->send();
        this->placer.submit(submission);
        this->placer.plan();
        return submission.id;
    }

    /** Submits a single task, which is placed and written at once. Returns its run. */
    TaskRun startTask(Millis estimate = Millis(0))
    {
        auto graph = oneStep(1, Half);
        graph.steps[0].estimate = estimate == Millis(0) ? graph.steps[0].estimate : estimate;
        const auto job = this->place(graph);
        this->placer.written(this->placer.takeWrites(), 2);
        this->placer.takeSyncs();
        return {{job, 0, 0, 0}, 1};
    }

    /** Advances the clock, sending a report with @p phase and @p percent and planning every ReportStep. */
    void pass(Millis duration, const TaskRun &run, RunPhase phase, std::uint32_t percent)
    {
        for (auto left = duration; left > Millis(0); left -= ReportStep) {
            this->clock.advance(ReportStep);
            this->report.runs = {{run, phase, "", percent}};
            this->send();
            this->placer.plan();
        }
    }

    /** Plans without any report until no run is assigned. Returns how long that took, to the next 10 ms below. */
    Millis silenceUntilLapse()
    {
        constexpr auto Step = Millis(10);
        auto silence = Millis(0);
        this->placer.plan();
        while (this->placer.view().assigned > 0 && silence < Millis(60'000)) {
            this->clock.advance(Step);
            silence += Step;
            this->placer.plan();
        }
        return silence;
    }

    /** Lets the agent report again, so that the task whose run has lapsed starts anew; returns its run. */
    TaskRun restart()
    {
        this->report.runs.clear();
        this->send();
        this->placer.plan();
        this->placer.written(this->placer.takeWrites(), 2);
        this->placer.takeSyncs();
        this->lastRun += 1;
        return {{JobId{"0000000000000001"}, 0, 0, 0}, this->lastRun};
    }

    bool isStopped(const TaskRun &run)
    {
        ++this->report.sequence;
        const auto sync = this->placer.report(this->report);
        const auto &assignments = valueOf(sync).assignments;
        return std::none_of(assignments.begin(), assignments.end(), [&run](const Assignment &assignment) { return assignment.run == run; });
    }

    /** Replaces the executor and returns the progress that the placer then writes for the task of @p run. */
    TaskProgress progressAfterCrash(const TaskRun &run)
    {
        this->report.incarnation = {"e1", 2};
        this->report.runs.clear();
        this->send();
        const auto writes = this->placer.takeWrites();
        return writes.empty() ? TaskProgress() : *findTask(valueOf(parseProgress(writes[0].rows.head)), run.task);
    }

    static constexpr auto ReportStep = Millis(100);
    ManualClock clock;
    TaskPlacer placer;
    AgentReport report;
    std::uint32_t lastRun = 1;
};

} // namespace

// All jobs would have ended in a time in which the table refuses whatever it is sent.
TEST(TaskPlacer, RefusalsEndAJobOnlyWhileTheTableTakesOtherWrites)
{
    OnePlacer site;
    site.place(oneStep(1, Half));
    const auto stateAfterRefusals = [&site](bool isRenewed) {
        auto writes = site.placer.takeWrites();
        for (std::uint32_t round = 0; round <= TaskPlacerOptions().refusalsToEnd; ++round) {
            site.placer.refused(writes, "refused");
            site.clock.advance(TaskPlacerOptions().refusedWritePause);
            if (isRenewed) {
                site.placer.leadershipRenewed(site.clock.now());
            }
            writes = site.placer.takeWrites();
        }
        const auto state = valueOf(parseProgressHead(writes.at(0).rows.head)).state;
        site.placer.refused(writes, "refused");
        site.clock.advance(TaskPlacerOptions().refusedWritePause);
        return state;
    };
    EXPECT_EQ(stateAfterRefusals(false), JobPhase::Running);
    EXPECT_EQ(stateAfterRefusals(true), JobPhase::Failed);
}

TEST(TaskPlacer, TimeBeforeTheStartDoesNotCountAsAStall)
{
    OnePlacer site;
    const auto run = site.startTask();
    site.pass(Millis(900), run, RunPhase::Ordered, 0);
    // The agent polls once a second, so a run may be two seconds old before its progress is reported.
    site.pass(Millis(2000), run, RunPhase::Running, 0);
    EXPECT_FALSE(site.isStopped(run));
    site.pass(Millis(2500), run, RunPhase::Running, 20);
    EXPECT_FALSE(site.isStopped(run));
}

TEST(TaskPlacer, ARunWithoutProgressIsStopped)
{
    OnePlacer site;
    const auto run = site.startTask();
    site.pass(Millis(200), run, RunPhase::Ordered, 0);
    site.pass(Millis(3500), run, RunPhase::Running, 0);
    EXPECT_TRUE(site.isStopped(run));
}

// Runs of 400 s were stopped each 3 s, before their first percent was done.
TEST(TaskPlacer, ARunThatTakesLongForAPercentIsNotStopped)
{
    OnePlacer site;
    const auto run = site.startTask(Millis(400'000));
    for (std::uint32_t percent = 0; percent < 50; ++percent) {
        site.pass(Millis(4000), run, RunPhase::Running, percent);
        ASSERT_FALSE(site.isStopped(run)) << percent;
    }
}

// A task may take seven times as long as its estimate, so what it has shown counts for more.
TEST(TaskPlacer, ARunThatTakesLongerThanItsEstimateIsNotStopped)
{
    OnePlacer site;
    const auto run = site.startTask(Millis(60'000));
    for (std::uint32_t percent = 0; percent < 50; ++percent) {
        site.pass(Millis(4200), run, RunPhase::Running, percent);
        ASSERT_FALSE(site.isStopped(run)) << percent;
    }
}

TEST(TaskPlacer, ALongRunThatStandsStillIsStopped)
{
    OnePlacer site;
    const auto run = site.startTask(Millis(400'000));
    for (std::uint32_t percent = 0; percent < 10; ++percent) {
        site.pass(Millis(4000), run, RunPhase::Running, percent);
    }
    site.pass(Millis(12'500), run, RunPhase::Running, 9);
    EXPECT_TRUE(site.isStopped(run));
}

TEST(TaskPlacer, ARunThatIsNeverReportedAsRunningIsStopped)
{
    OnePlacer site;
    const auto run = site.startTask();
    site.pass(Millis(3500), run, RunPhase::Ordered, 0);
    EXPECT_TRUE(site.isStopped(run));
}

TEST(TaskPlacer, AStartThatWasNeverCarriedOutIsNoCrashUnderItsTask)
{
    OnePlacer site;
    const auto run = site.startTask();
    site.report.runs = {{run, RunPhase::Ordered, "", 0, StartEffect::NotStarted}};
    site.send();
    const auto task = site.progressAfterCrash(run);
    EXPECT_EQ(task.state, TaskPhase::Waiting);
    EXPECT_EQ(task.crashes, 0U);
}

TEST(TaskPlacer, ARunWhoseStartWasOutlivedIsNoSuspect)
{
    OnePlacer site;
    const auto run = site.startTask();
    site.report.runs = {{run, RunPhase::Running, "", 0, StartEffect::Outlived}};
    site.send();
    site.report.runs = {{run, RunPhase::Running, "", 0, StartEffect::Unproven}};
    site.send();
    const auto task = site.progressAfterCrash(run);
    EXPECT_EQ(task.crashes, 1U);
    EXPECT_EQ(task.startCrashes, 0U);
}

// After a loss of power and a change of placer all tasks became suspects, and were tried one after the other.
TEST(TaskPlacer, ARunThatWasNotReportedToThisLeaderIsNoSuspect)
{
    OnePlacer site;
    const auto run = site.startTask();
    const auto task = site.progressAfterCrash(run);
    EXPECT_EQ(task.crashes, 1U);
    EXPECT_EQ(task.startCrashes, 0U);
}

TEST(TaskPlacer, ARunThatLapsedBeforeItsExecutorWasReplacedStoodInTheCrash)
{
    OnePlacer site;
    const auto run = site.startTask();
    site.report.runs = {{run, RunPhase::Running, "", 0, StartEffect::Unproven}};
    site.send();
    site.report.isReachable = false;
    site.report.runs.clear();
    site.report.ends = {{0, run, RunEnd::Lapsed, "", RefusalReason::None}};
    site.send();
    site.report.ends.clear();
    EXPECT_EQ(site.progressAfterCrash(run).startCrashes, 1U);
}

TEST(TaskPlacer, ALapseOfAnExecutorThatAnswersAgainIsNoCrash)
{
    OnePlacer site;
    const auto run = site.startTask();
    site.report.isReachable = false;
    site.report.ends = {{0, run, RunEnd::Lapsed, "", RefusalReason::None}};
    site.send();
    site.report.isReachable = true;
    site.report.ends.clear();
    site.send();
    EXPECT_EQ(site.progressAfterCrash(run).crashes, 0U);
}

TEST(TaskPlacer, AGangCancelledBeforeItIsSentEndsAsAWhole)
{
    OnePlacer site;
    const auto job = site.place(oneStep(2, Half, true));
    ASSERT_EQ(site.placer.view().assigned, 2U);
    site.placer.cancel(job);
    EXPECT_EQ(site.placer.view().assigned, 0U);
}

TEST(TaskPlacer, ARunItsAgentNoLongerReportsEndsEvenWhileTheExecutorIsUnreachable)
{
    OnePlacer site;
    const auto run = site.startTask();
    site.pass(Millis(500), run, RunPhase::Running, 10);
    site.placer.cancel(run.task.job);
    site.report.isReachable = false;
    site.send();
    ASSERT_EQ(site.placer.view().assigned, 1U) << "it is still reported";
    site.report.syncSequence = 1000;
    site.report.runs.clear();
    site.send();
    EXPECT_EQ(site.placer.view().assigned, 0U);
}

TEST(TaskPlacer, GrantsNoAgentLeaseAfterTheGrantPeriod)
{
    OnePlacer site;
    site.placer.leadershipRenewed(site.clock.now());
    ++site.report.sequence;
    EXPECT_EQ(valueOf(site.placer.report(site.report)).agentLease, TaskPlacerOptions().agentLease);
    site.clock.advance(TaskPlacerOptions().grantPeriod);
    ++site.report.sequence;
    EXPECT_EQ(valueOf(site.placer.report(site.report)).agentLease, Millis(0));
}

// Runs of a silent agent counted as over while the answers of an earlier placer could still keep them alive.
TEST(TaskPlacer, RunsOfASilentAgentLastAsLongAsItsLastReportsAllow)
{
    const TaskPlacerOptions options;
    OnePlacer site;
    const auto run = site.startTask();
    site.pass(OnePlacer::ReportStep, run, RunPhase::Running, 10);
    EXPECT_EQ(site.silenceUntilLapse(), options.agentLease + options.longestLease + options.margin);
    site.report.longestLeaseLeft = Millis(15'000);
    const auto last = site.restart();
    site.pass(OnePlacer::ReportStep, last, RunPhase::Running, 10);
    EXPECT_EQ(site.silenceUntilLapse(), Millis(15'000) + options.margin);
}

// A run whose start had no answer was waited for 12 s longer than one that had begun, though its start names the same latest end.
TEST(TaskPlacer, ARunOfASilentAgentThatMayBeginLateLastsNoLongerThanOthers)
{
    const TaskPlacerOptions options;
    OnePlacer site;
    const auto run = site.startTask();
    site.pass(OnePlacer::ReportStep, run, RunPhase::Ordered, 0);
    EXPECT_EQ(site.silenceUntilLapse(), options.agentLease + options.longestLease + options.margin);
}

// The answers of the previous placer may allow an agent that has not reported to this one more than the usual time.
TEST(TaskPlacer, RunsOfAnAgentThatNeverReportedLastAsLongAsAnyPlacerMayHaveAllowed)
{
    const TaskPlacerOptions options;
    OnePlacer site;
    StoredJob stored;
    stored.submission.id = JobId{"0000000000000001"};
    stored.submission.service = "tune";
    stored.submission.maxAttempts = 3;
    stored.submission.graph = oneStep(1, Half);
    stored.progress = initialProgress(stored.submission.graph);
    auto &task = stored.progress.occurrences[0][0][0];
    task.state = TaskPhase::Assigned;
    task.run = 1;
    task.worker = site.report.node;
    task.incarnation = site.report.incarnation;
    site.placer.stepDown("another placer leads");
    site.placer.becomeLeader(3, {stored});
    EXPECT_EQ(site.silenceUntilLapse(), options.grantPeriod + options.longestAgentLease + options.longestLease + options.margin);
}

TEST(TaskPlacer, AnEndIsAcknowledgedOnlyAfterItsRowIsWritten)
{
    OnePlacer site;
    const auto run = site.startTask();
    site.pass(Millis(500), run, RunPhase::Running, 10);
    site.report.runs.clear();
    site.report.ends.push_back({1, run, RunEnd::Done, "", {}});
    ++site.report.sequence;
    EXPECT_EQ(valueOf(site.placer.report(site.report)).acknowledgedEnds, 0U);
    site.placer.written(site.placer.takeWrites(), 3);
    ++site.report.sequence;
    EXPECT_EQ(valueOf(site.placer.report(site.report)).acknowledgedEnds, 1U);
}

TEST(TaskPlacer, AStartIsSentOnlyAfterItsRowIsWritten)
{
    OnePlacer site;
    site.place(oneStep(1, Half));
    ++site.report.sequence;
    EXPECT_TRUE(valueOf(site.placer.report(site.report)).assignments.empty());
    EXPECT_TRUE(site.placer.takeSyncs().empty());
    site.placer.written(site.placer.takeWrites(), 2);
    const auto syncs = site.placer.takeSyncs();
    ASSERT_EQ(syncs.size(), 1U);
    EXPECT_EQ(syncs[0].sync.assignments.size(), 1U);
}

// A commit of an earlier term's progress was taken as proof that the rows hold the assignments of the current one.
TEST(TaskPlacer, AWriteFromAnEarlierTermStoresNothingOfThisOne)
{
    OnePlacer site;
    const auto job = site.place(oneStep(1, Half));
    const auto earlier = site.placer.takeWrites();
    ASSERT_EQ(earlier.size(), 1U);
    site.placer.stepDown("another placer leads");
    site.report.epoch = 2;
    site.placer.becomeLeader(2, {});
    ASSERT_EQ(site.place(oneStep(1, Half)), job);
    site.clock.advance(FirstReport);
    site.send();
    site.placer.plan();
    ASSERT_EQ(site.placer.view().assigned, 1U);
    site.placer.written(earlier, 2);
    EXPECT_TRUE(site.placer.takeSyncs().empty()) << "the row does not hold this assignment";
    EXPECT_EQ(site.placer.takeWrites().size(), 1U);
}

// A report that was sent to an earlier term and arrives late names an incarnation that has been replaced since.
TEST(TaskPlacer, ADelayedReportToAnEarlierTermEndsNoRun)
{
    OnePlacer site;
    StoredJob stored;
    stored.submission.id = JobId{"0000000000000001"};
    stored.submission.service = "tune";
    stored.submission.maxAttempts = 3;
    stored.submission.graph = oneStep(1, Half);
    stored.progress = initialProgress(stored.submission.graph);
    auto &task = stored.progress.occurrences[0][0][0];
    task.state = TaskPhase::Assigned;
    task.run = 1;
    task.worker = site.report.node;
    task.incarnation = {"e1", 2};
    site.placer.stepDown("another placer leads");
    site.placer.becomeLeader(3, {stored});
    ++site.report.sequence;
    site.placer.report(site.report);
    EXPECT_EQ(site.placer.view().assigned, 1U) << "the run may be live on the newer incarnation";
}

// A row that was not written since its executor was replaced names an incarnation that the expiry of the agent passed over.
TEST(TaskPlacer, TheExpiryOfAnAgentEndsTheRunsOfAllItsIncarnations)
{
    OnePlacer site;
    StoredJob stored;
    stored.submission.id = JobId{"0000000000000001"};
    stored.submission.service = "tune";
    stored.submission.maxAttempts = 3;
    stored.submission.graph = oneStep(2, Half);
    stored.progress = initialProgress(stored.submission.graph);
    for (auto &task : stored.progress.occurrences[0][0]) {
        task.state = TaskPhase::Assigned;
        task.run = 1;
        task.worker = NodeId{"gone"};
    }
    stored.progress.occurrences[0][0][0].incarnation = {"e1", 1};
    stored.progress.occurrences[0][0][1].incarnation = {"e2", 2};
    site.placer.stepDown("another placer leads");
    site.report.epoch = 3;
    site.placer.becomeLeader(3, {stored});
    const TaskPlacerOptions options;
    site.clock.advance(options.grantPeriod + options.longestAgentLease + options.longestLease + options.margin);
    site.placer.plan();
    EXPECT_EQ(site.placer.view().assigned, 0U);
    site.send();
    site.placer.plan();
    EXPECT_EQ(site.placer.view().assigned, 2U) << "both tasks start elsewhere";
}

TEST(TaskPlacer, AWorkerWithAnUnassignedRunGetsNoNewWork)
{
    OnePlacer site;
    const TaskRun orphan{{JobId{"0000000000000009"}, 0, 0, 0}, 1};
    site.report.runs = {{orphan, RunPhase::Running, "", 10}};
    site.place(oneStep(1, Half));
    EXPECT_EQ(site.placer.view().assigned, 0U);
    site.report.runs.clear();
    site.send();
    site.placer.plan();
    EXPECT_EQ(site.placer.view().assigned, 1U);
}

} // namespace waxwingloft::tests
