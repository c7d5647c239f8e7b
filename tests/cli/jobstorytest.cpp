#include "jobstory.h"

#include <gtest/gtest.h>

#include <sstream>

namespace waxwingloft::cli::tests {

namespace {

const std::string Job = "f261a21fc24e7996";

std::string line(const std::string &time, const std::string &rest)
{
    return "time=2026-12-04 08:49:" + time + " " + rest;
}

std::string storyOf(const std::vector<std::string> &lines)
{
    JobStory story(Job);
    for (const auto &text : lines) {
        const auto parsed = parseLogLine(text);
        if (parsed) {
            story.add(*parsed);
        }
    }
    std::ostringstream stream;
    return story.print(stream) ? stream.str() : "";
}

} // namespace

TEST(JobStory, ReadsTheFieldsOfALine)
{
    const auto parsed =
        parseLogLine("  53.1 side-a " + line("20,136", R"(level=WARN node=side-a part=gangs what="A run started." job="j" checkpoint="" took_ms="7")"));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->atMs % 60'000, 20'136);
    EXPECT_EQ(parsed->level, "WARN");
    EXPECT_EQ(parsed->node, "side-a");
    EXPECT_EQ(parsed->part, "gangs");
    EXPECT_EQ(parsed->what, "A run started.");
    EXPECT_EQ(parsed->inputs, (std::map<std::string, std::string>{{"job", "j"}, {"checkpoint", ""}, {"took_ms", "7"}}));
}

TEST(JobStory, LeavesOutWhatIsNoLogLine)
{
    EXPECT_FALSE(parseLogLine(""));
    EXPECT_FALSE(parseLogLine("time=yesterday what=\"x\""));
    EXPECT_FALSE(parseLogLine("terminate called without an active exception"));
    EXPECT_FALSE(parseLogLine(line("20,136", "level=INFO")));
}

TEST(JobStory, TellsTheStepsOfOneJobInOrderWithTheLengthOfEachPhase)
{
    const auto story = storyOf({
        line("24,991", "level=INFO node=front part=placer what=\"A job's state changed.\" job=\"" + Job + R"(" from="running" to="completed")"),
        line("20,087", R"(level=INFO node=front part=placer what="A job came in." job=")" + Job + R"(" priority="0")"),
        line("20,089", R"(level=INFO node=front part=placer what="Tasks of a step were assigned." job=")" + Job + R"(" tasks="2")"),
        line("20,089", "level=INFO node=front part=placer what=\"A job's state changed.\" job=\"" + Job + R"(" to="running")"),
        line("20,136", R"(level=INFO node=side part=gangs what="A run started." job=")" + Job + R"(" executor="i-4")"),
        line("20,137", R"(level=INFO node=side part=gangs what="A run started." job="another" executor="i-4")"),
        line("21,000", R"(level=WARN node=side part=gangs what="Executor i-4 does not answer; it gets no new work.")"),
        line("21,000", R"(level=WARN node=side part=gangs what="Executor i-5 does not answer; it gets no new work.")"),
    });
    EXPECT_EQ(story,
              "       0 ms  front placer: A job came in. priority=0\n"
              "       2 ms  front placer: Tasks of a step were assigned. tasks=2\n"
              "       2 ms  front placer: A job's state changed. to=running\n"
              "      49 ms  side gangs: A run started. executor=i-4\n"
              "     913 ms  WARN side gangs: Executor i-4 does not answer; it gets no new work.\n"
              "    4904 ms  front placer: A job's state changed. from=running to=completed\n"
              "       0 ms  until the placer knew it\n"
              "       2 ms  until there was room\n"
              "      47 ms  until it started\n"
              "    4855 ms  until its last change of state\n");
}

// Without the line that ends them, runs of a replaced incarnation look as if they went on beside their successors.
TEST(JobStory, ShowsWhatEndedTheRunsOfAnExecutorThatStartedAgain)
{
    const std::string replaced =
        R"(level=INFO node=side part=gangs what="Executor i-5 started at 1779 with 8 accelerators; 2 runs of its previous incarnation are over.")";
    const std::string left = R"(level=INFO node=side part=gangs what="Executor i-4 leaves with 2 runs.")";
    const std::string joined = R"(level=INFO node=side part=gangs what="Executor i-4 started at 1779 with 8 accelerators.")";
    const auto story = storyOf({
        line("20,136", R"(level=INFO node=side part=gangs what="A run started." job=")" + Job + R"(" run="1" executor="i-4")"),
        line("21,000", joined),
        line("22,000", left),
        line("23,000", replaced),
        line("23,000", R"(level=INFO node=other part=gangs what="Executor i-6 started at 1779; 2 runs of its previous incarnation are over.")"),
        line("24,000", R"(level=INFO node=front part=placer what="A run ended." job=")" + Job + R"(" run="1" end="lapsed" executor="i-4")"),
    });
    EXPECT_NE(story.find("side gangs: Executor i-5 started at 1779 with 8 accelerators; 2 runs of its previous incarnation are over."), std::string::npos);
    EXPECT_NE(story.find("side gangs: Executor i-4 leaves with 2 runs."), std::string::npos);
    EXPECT_EQ(story.find("other gangs"), std::string::npos) << "another agent's executor";
    EXPECT_EQ(story.find("8 accelerators.\n"), std::string::npos) << "it ended no runs";
}

TEST(JobStory, SaysWhichPhaseWasNotReached)
{
    const auto story = storyOf({line("20,087", R"(level=INFO node=front part=placer what="A job came in." job=")" + Job + "\"")});
    EXPECT_NE(story.find("not reached: until there was room"), std::string::npos);
    EXPECT_EQ(storyOf({}), "");
}

} // namespace waxwingloft::cli::tests
