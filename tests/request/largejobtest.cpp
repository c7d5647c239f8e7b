#include "jobsite.h"
#include "waxwingloft/request/placerdirectory.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

const Capacity Small{1000, 1000, 0};
constexpr std::uint32_t Many = 1300; ///< tasks; they fit on eleven executors
constexpr std::size_t LongCheckpoint = 64; ///< bytes, such as a hash in hexadecimal digits
constexpr auto StoreLimits = TableLimits();

/** Returns the progress of a job of the largest size, each task on an executor of its own. */
JobProgress largestProgress(std::size_t checkpointBytes)
{
    JobGraph graph;
    graph.steps.resize(1);
    graph.steps[0].count = JobBounds().tasks;
    auto progress = initialProgress(graph);
    progress.state = JobPhase::Running;
    auto &tasks = progress.occurrences[0][0];
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const auto name = std::to_string(index);
        tasks[index] = {
            TaskPhase::Assigned, 12, 3, std::string(checkpointBytes, 'c'), NodeId{"side-ahmedabad-a-" + name}, {"i-bee5ed781d" + name, 1777817382535}};
    }
    return progress;
}

/** Returns the rows of @p job in the fake table, as a new leader reads them. */
std::vector<StoredJob> readBack(const FakeRows &rows)
{
    return storedJobsOf(valueOf(rows.list("jobs/", 0)), valueOf(rows.list("progress-parts/", 0)), Logger(LogPart::Placer));
}

/** Returns how many tasks of @p job have a checkpoint in the table. */
std::size_t countCheckpoints(const JobSite &site, const JobId &job)
{
    for (const auto &stored : readBack(site.rows)) {
        if (stored.submission.id == job) {
            const auto &tasks = stored.progress.occurrences[0][0];
            return static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const TaskProgress &task) { return !task.checkpoint.empty(); }));
        }
    }
    return 0;
}

} // namespace

TEST(ProgressRows, NoRowOfTheLargestJobIsLargerThanTheTableTakes)
{
    const auto progress = largestProgress(200);
    const ProgressWrite write{1, JobId{"0000000000000001"}, 0, 1, encodeProgressRows(progress, LargestRowBytes), 0};
    EXPECT_GT(write.rows.parts.size(), 1U);
    EXPECT_TRUE(StoreLimits.allow(transactionOf("op", {write})));
    EXPECT_EQ(valueOf(parseProgressHead(write.rows.head)).state, JobPhase::Running) << "entries that do not lead read the head alone";
}

TEST(ProgressRows, AreReadBackOnlyWithAllPartsOfOneWrite)
{
    JobSubmission job;
    job.id = JobId{"0000000000000001"};
    job.graph.steps.resize(1);
    job.graph.steps[0].count = JobBounds().tasks;
    auto progress = largestProgress(100);
    for (auto &task : progress.occurrences[0][0]) {
        task.checkpoint += "\xc3\xa5\xc3\xa5"; // characters of two bytes, so that a piece may end within one
    }
    FakeRows rows;
    rows.limits = StoreLimits;
    ASSERT_TRUE(succeeded(rows.commit({"op", {}, {{submissionKey(job.id), encodeSubmission(job)}, {std::string(PlacerKey), ""}}})));
    ProgressWrite write{1, job.id, 0, 1, encodeProgressRows(progress, LargestRowBytes), 0};
    const auto committed = rows.commit(transactionOf("op", {write}));
    ASSERT_TRUE(succeeded(committed));
    const auto stored = readBack(rows);
    ASSERT_EQ(stored.size(), 1U);
    EXPECT_EQ(stored[0].progress, progress);
    EXPECT_EQ(stored[0].progressParts, write.rows.parts.size());

    auto other = rows;
    other.rows.erase(progressPartKey(job.id, 1));
    EXPECT_TRUE(readBack(other).empty());
    other = rows;
    ++other.rows.at(progressPartKey(job.id, 1)).revision;
    EXPECT_TRUE(readBack(other).empty()) << "what has run is not known";

    progress = largestProgress(0);
    progress.state = JobPhase::Completed;
    for (auto &task : progress.occurrences[0][0]) {
        task = TaskProgress();
        task.state = TaskPhase::Done;
    }
    write = {1, job.id, valueOf(committed).revision, 2, encodeProgressRows(progress, LargestRowBytes), write.rows.parts.size()};
    ASSERT_TRUE(succeeded(rows.commit(transactionOf("op", {write}))));
    EXPECT_TRUE(valueOf(rows.list("progress-parts/", 0)).rows.empty()) << "parts that are not needed any more are removed";
    EXPECT_EQ(readBack(rows)[0].progress, progress);
}

// Checkpoints made the row of a large job larger than the table takes; nothing of any job started any more, also after a change of leader.
TEST(JobSite, TheCheckpointsOfALargeJobHoldUpNothing)
{
    JobSite site(11);
    site.rows.limits = StoreLimits;
    std::size_t resumed = 0;
    auto runTime = Millis(60'000);
    for (auto &agent : site.agents) {
        agent.executor->runOf = [&resumed, &runTime](const StartOrder &order) {
            FakeRun run;
            run.endsAt = runTime;
            run.checkpoint = std::string(LongCheckpoint, 'c');
            resumed += order.checkpoint.size() == LongCheckpoint ? 1 : 0;
            return run;
        };
    }
    site.advance(Millis(2000));
    auto graph = oneStep(Many, Small);
    graph.steps[0].isCheckpointing = true;
    const auto large = site.submit(graph);
    site.advance(Millis(3000));
    runTime = Millis(2000);
    for (auto &agent : site.agents) {
        agent.executor->restart();
    }
    site.advance(Millis(1000));
    EXPECT_EQ(countCheckpoints(site, large), Many);
    site.elect(1);
    const auto small = site.submit(oneStep(1, Small));
    EXPECT_EQ(site.finish(small, Millis(10'000)), JobPhase::Completed);
    EXPECT_EQ(site.finish(large, Millis(20'000)), JobPhase::Completed);
    EXPECT_GE(resumed, Many);
    EXPECT_EQ(site.rows.rejections, 0);
    expectNoViolations(site);
}

// Executors choose the length of a checkpoint; those of all tasks of a job must fit into one transaction.
TEST(LiveJob, KeepsTheEarlierCheckpointWhenTheNextIsTooLongToBeStored)
{
    LiveJob job;
    job.submission.graph.steps.resize(1);
    job.submission.graph.steps[0].count = JobBounds().tasks;
    TaskProgress task;
    EXPECT_TRUE(job.keepCheckpoint(task, std::string(128, 'a')));
    EXPECT_FALSE(job.keepCheckpoint(task, std::string(1000, 'b')));
    EXPECT_FALSE(job.keepCheckpoint(task, std::string(128, '\x01'))) << "it takes six bytes for each character";
    EXPECT_TRUE(job.keepCheckpoint(task, ""));
    EXPECT_EQ(task.checkpoint, std::string(128, 'a'));
    job.submission.graph.steps[0].count = 2;
    EXPECT_TRUE(job.keepCheckpoint(task, std::string(1000, 'b')));
}

} // namespace waxwingloft::tests
