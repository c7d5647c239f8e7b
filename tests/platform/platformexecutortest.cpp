#include "platformexecutor.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <latch>
#include <nlohmann/json.hpp>
#include <thread>

namespace waxwingloft::tests {

namespace {

/** An executor that gives the answers it is told to, and keeps what it was asked. */
class ScriptedExecutor
{
public:
    ScriptedExecutor()
    {
        this->server.Post(".*", [this](const httplib::Request &request, httplib::Response &response) {
            this->path = request.path;
            this->body = nlohmann::json::parse(request.body);
            this->expectedInstance = request.get_header_value("Waxwingloft-Expected-Instance");
            response.status = this->status;
            response.set_content(this->answer, "application/json");
        });
        this->server.new_task_queue = [this] {
            this->isListening.count_down();
            return new httplib::ThreadPool(CPPHTTPLIB_THREAD_POOL_COUNT);
        };
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        this->isListening.wait();
    }

    ~ScriptedExecutor()
    {
        this->server.stop();
        this->thread.join();
    }

    ScriptedExecutor(const ScriptedExecutor &) = delete;
    ScriptedExecutor &operator=(const ScriptedExecutor &) = delete;

    int status = 200;
    std::string answer = "{}";
    std::string path;
    std::string expectedInstance;
    nlohmann::json body;
    int port = 0;

private:
    httplib::Server server;
    std::latch isListening{1}; ///< the library ignores a stop that comes earlier
    std::thread thread;
};

const TaskRun SecondRun{{JobId{"5c0e7a21d94b36f8"}, 0, 1, 17}, 2};
const ExecutorIncarnation Life{"i-7", 1000};

class PlatformExecutorTest : public testing::Test
{
protected:
    Result<StartAnswer> start()
    {
        return this->executor.start(Life, StartOrder{SecondRun, "spec", "c-1", Millis(486'000), 7});
    }

    ScriptedExecutor fake;
    PlatformExecutor executor{"127.0.0.1:" + std::to_string(this->fake.port), Millis(2000)};
};

} // namespace

TEST_F(PlatformExecutorTest, SendsAStartAsThePlatformReadsIt)
{
    this->fake.answer = R"({"clock_ms":482113,"born":1000})";
    const auto answer = this->start();
    ASSERT_TRUE(succeeded(answer));
    EXPECT_EQ(valueOf(answer).refusal, RefusalReason::None);
    EXPECT_EQ(valueOf(answer).stamp.clock, Millis(482'113));
    EXPECT_EQ(valueOf(answer).stamp.startedAt, 1000);
    EXPECT_EQ(this->fake.path, "/waxwingloft/run-start");
    EXPECT_EQ(this->fake.expectedInstance, "i-7");
    const auto expected =
        nlohmann::json::parse(R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"spec","deadline_ms":486000,"fencing_token":7,"checkpoint":"c-1"})");
    EXPECT_EQ(this->fake.body, expected);
}

TEST_F(PlatformExecutorTest, TellsRefusalsApart)
{
    this->fake.status = 409;
    for (const auto &[word, reason] : {std::pair("fence", RefusalReason::Fenced),
                                       std::pair("old", RefusalReason::OldRun),
                                       std::pair("late", RefusalReason::TooLate),
                                       std::pair("room", RefusalReason::NoRoom),
                                       std::pair("ticket", RefusalReason::NoTicket)}) {
        this->fake.answer = std::string(R"({"clock_ms":1,"reason":")") + word + "\"}";
        EXPECT_EQ(valueOf(this->start()).refusal, reason) << word;
    }
    this->fake.status = 503;
    EXPECT_EQ(valueOf(this->start()).refusal, RefusalReason::Unhealthy);
    this->fake.status = 400;
    EXPECT_EQ(valueOf(this->start()).refusal, RefusalReason::Malformed);
}

TEST_F(PlatformExecutorTest, AnotherLifeIsStale)
{
    this->fake.status = 421;
    EXPECT_EQ(errorOf(this->start()).kind, ErrorKind::Stale);
    EXPECT_EQ(errorOf(this->executor.stop(Life, SecondRun, 7)).kind, ErrorKind::Stale);
    EXPECT_EQ(errorOf(this->executor.pollRuns(Life, RunListQuery())).kind, ErrorKind::Stale);
}

TEST_F(PlatformExecutorTest, AnAnswerThatCannotBeReadLeavesItOpen)
{
    this->fake.answer = "rubbish";
    EXPECT_EQ(errorOf(this->start()).kind, ErrorKind::Ambiguous);
    this->fake.answer = R"({"clock_ms":1,"running":[[1]],"ended":[]})";
    EXPECT_EQ(errorOf(this->executor.pollRuns(Life, RunListQuery())).kind, ErrorKind::Ambiguous);
}

TEST_F(PlatformExecutorTest, ReadsBothLists)
{
    this->fake.answer =
        R"({"clock_ms":9,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c-2",41,300]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"lapsed","c-1"]]})";
    RunListQuery question;
    question.leaseEnd = Millis(5000);
    question.fencingToken = 7;
    question.acknowledgedEnds = 57;
    question.wait = Millis(100);
    const auto answer = this->executor.pollRuns(Life, question);
    ASSERT_TRUE(succeeded(answer));
    ASSERT_EQ(valueOf(answer).running.size(), 1U);
    EXPECT_EQ(valueOf(answer).running[0].run, SecondRun);
    EXPECT_EQ(valueOf(answer).running[0].checkpoint, "c-2");
    EXPECT_EQ(valueOf(answer).running[0].percent, 41U);
    ASSERT_EQ(valueOf(answer).ended.size(), 1U);
    EXPECT_EQ(valueOf(answer).ended[0].number, 58U);
    EXPECT_EQ(valueOf(answer).ended[0].end, RunEnd::Lapsed);
    EXPECT_EQ(this->fake.body, nlohmann::json::parse(R"({"deadline_ms":5000,"fencing_token":7,"last_seen":57,"wait_ms":100})"));
}

TEST_F(PlatformExecutorTest, LeavesTheLeaseOutWhenItIsNotToChange)
{
    this->fake.answer = R"({"clock_ms":9,"running":[],"ended":[]})";
    ASSERT_TRUE(succeeded(this->executor.pollRuns(Life, RunListQuery())));
    EXPECT_FALSE(this->fake.body.contains("deadline_ms"));
    EXPECT_FALSE(this->fake.body.contains("wait_ms"));
}

TEST_F(PlatformExecutorTest, AnAbsentExecutorDidNothing)
{
    PlatformExecutor nowhere("127.0.0.1:1", Millis(500));
    EXPECT_EQ(errorOf(nowhere.stop(Life, SecondRun, 7)).kind, ErrorKind::Unreachable);
}

// A full page of ends was taken for all of them.
TEST_F(PlatformExecutorTest, AFullPageOfEndsMayHaveMoreBehindIt)
{
    for (const std::size_t count : {499U, 500U}) {
        auto lists = nlohmann::json{{"clock_ms", 5}, {"running", nlohmann::json::array()}, {"ended", nlohmann::json::array()}};
        for (std::size_t number = 1; number <= count; ++number) {
            lists["ended"].push_back({number, "5c0e7a21d94b36f8.0.1.17", number, "done", ""});
        }
        this->fake.answer = lists.dump();
        const auto answer = this->executor.pollRuns(Life, RunListQuery());
        ASSERT_TRUE(succeeded(answer));
        EXPECT_EQ(valueOf(answer).hasMoreEnds, count == 500U);
    }
}

// Only a refused connection shows that nobody listens.
TEST_F(PlatformExecutorTest, IsAbsentOnlyWhenNobodyListens)
{
    ASSERT_TRUE(succeeded(this->start()));
    EXPECT_FALSE(this->executor.isAbsent());
    EXPECT_FALSE(PlatformExecutor("not-an-address", Millis(100)).isAbsent());
    EXPECT_TRUE(PlatformExecutor("127.0.0.1:1", Millis(100)).isAbsent());
}

} // namespace waxwingloft::tests
