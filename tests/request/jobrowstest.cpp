#include "waxwingloft/request/jobrows.h"
#include "waxwingloft/request/jobcache.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

const std::string Id = "5c0e7a21d94b36f8";

} // namespace

// Progress that cannot be read counted as none, so that tasks that ran were started again; one with other steps was read out of bounds.
TEST(StoredJobs, AJobWhoseProgressDoesNotFitIsLeftAlone)
{
    JobSubmission job;
    job.id = JobId{Id};
    job.graph.steps.resize(2);
    auto other = job.graph;
    other.steps.resize(3);
    const Row submission{submissionKey(job.id), encodeSubmission(job), 1, {}};
    const auto storedWith = [&](const std::string &progress) {
        return storedJobsOf(RowList{{submission, Row{progressKey(job.id), progress, 2, {}}}, 2}, {}, Logger(LogPart::Placer)).size();
    };
    EXPECT_EQ(storedWith(encodeProgress(initialProgress(job.graph))), 1U);
    EXPECT_EQ(storedWith(encodeProgress(initialProgress(other))), 0U);
    EXPECT_EQ(storedWith("{\"state\":\"running\",\"tasks\":7}"), 0U);
    EXPECT_EQ(storedWith("not a row"), 0U);
    EXPECT_EQ(storedJobsOf(RowList{{submission}, 1}, {}, Logger(LogPart::Placer)).size(), 1U) << "nothing has run yet";
}

TEST(VisibleState, AnEndIsNotTakenBackByACancellation)
{
    EXPECT_EQ(visibleState(JobPhase::Completed, true), JobPhase::Completed);
    EXPECT_EQ(visibleState(JobPhase::Running, true), JobPhase::Cancelled);
}

TEST(JobRows, ReadBackWhatWasWritten)
{
    JobSubmission job;
    job.id.value = Id;
    job.workspace.value = "plant";
    job.acceptedAt = 17;
    job.graph.spec = "quotes \" and \n lines";
    job.graph.occurrences = 3;
    job.graph.steps.resize(2);
    job.graph.steps[1].after = {0};
    job.graph.steps[1].isGang = true;
    job.graph.steps[1].count = 3;
    job.graph.steps[1].needs = {15'000, 39'000, 4};
    const auto read = parseSubmission(encodeSubmission(job));
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(valueOf(read).graph.spec, job.graph.spec);
    EXPECT_EQ(valueOf(read).graph.steps[1].needs, job.graph.steps[1].needs);
    EXPECT_TRUE(valueOf(read).graph.steps[1].isGang);

    auto progress = initialProgress(job.graph);
    progress.state = JobPhase::Running;
    progress.occurrences[2][1][0] = {TaskPhase::Assigned, 4, 1, "c", NodeId{"agent"}, {"i-1", 77}};
    progress.occurrences[2][1][2] = {TaskPhase::Assigned, 1, 0, "", NodeId{"agent"}, {"i-1", 77}};
    progress.occurrences[0][0][0].state = TaskPhase::Done;
    EXPECT_EQ(valueOf(parseProgress(encodeProgress(progress))), progress);
    EXPECT_FALSE(succeeded(parseProgress("rubbish")));
    EXPECT_FALSE(succeeded(parseSubmission("{}")));
}

TEST(JobRows, KeepAllBytesOfSpecsLabelsAndCheckpoints)
{
    using namespace std::string_literals;
    const auto text = "a\0b\n\x1f\u00e9\0"s;
    JobSubmission job;
    job.id = JobId{"1"};
    job.graph.spec = text;
    job.graph.steps.resize(1);
    job.graph.steps[0].count = 1;
    job.graph.steps[0].requiredLabel = text;
    job.graph.steps[0].dataRack = text;
    const auto read = parseSubmission(encodeSubmission(job));
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(valueOf(read).graph.spec, text);
    EXPECT_EQ(valueOf(read).graph.steps[0].requiredLabel, text);
    EXPECT_EQ(valueOf(read).graph.steps[0].dataRack, text);
    auto progress = initialProgress(job.graph);
    progress.occurrences[0][0][0].checkpoint = text;
    EXPECT_EQ(valueOf(parseProgress(encodeProgress(progress))), progress);
}

TEST(JobRows, TheProgressOfTheLargestJobFitsARow)
{
    constexpr std::size_t LargestRow = 65'536 * 3 / 4;
    JobGraph graph;
    graph.steps.resize(1);
    graph.steps[0].count = JobBounds().tasks;
    auto progress = initialProgress(graph);
    for (auto &task : progress.occurrences[0][0]) {
        task = {TaskPhase::Assigned, 12, 3, "00000bb87a21d94b", NodeId{"side-ahmedabad-a-10"}, {"i-bee5ed781d", 1777817382535}};
    }
    EXPECT_LE(encodeProgress(progress).size(), LargestRow);
}

} // namespace waxwingloft::tests
