#include "jobfront.h"
#include "heartbeatfront.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <mutex>

namespace waxwingloft::tests {

namespace {

const std::string AnyPort = "127.0.0.1:0";

/** Keeps the last call and answers as told. */
class ScriptedHandler : public JobCallHandler
{
public:
    JobAnswer handle(const JobCall &call) override
    {
        this->last = call;
        return this->answer;
    }

    JobCall last;
    JobAnswer answer{JobCallOutcome::Done, {}, "running", 12, Millis(0)};
};

/** Keeps what executors say. */
class RecordingService : public HeartbeatService
{
public:
    void heartbeat(const ExecutorHeartbeat &heartbeat) override
    {
        this->lives.push_back(heartbeat.incarnation.id);
    }

    void deregister(const ExecutorIncarnation &incarnation) override
    {
        this->left.push_back(incarnation.id);
    }

    std::vector<std::string> lives;
    std::vector<std::string> left;
};

httplib::Headers callerHeaders()
{
    return {{"Host", "h.example:8080"}, {"Api-Key", "k1"}, {"Waxwingloft-Timeout-Ms", "2500"}};
}

} // namespace

TEST(JobFront, PassesCallsOnAndAnswersWithStatusAndBody)
{
    ScriptedHandler handler;
    JobFront front(AnyPort, ListenerOptions(), handler);
    front.start();
    httplib::Client client("127.0.0.1", front.port());
    client.set_keep_alive(false);
    const auto posted = client.Post("/a/5c0e7a21d94b36f8", callerHeaders(), "{}", "application/json");
    ASSERT_TRUE(posted);
    EXPECT_EQ(posted->status, 200);
    EXPECT_EQ(handler.last.verb, JobVerb::Submit);
    EXPECT_EQ(handler.last.host, "h.example");
    EXPECT_EQ(handler.last.key, "k1");
    EXPECT_EQ(handler.last.timeLeft, Millis(2500));
    EXPECT_EQ(handler.last.body, "{}");

    const auto shown = client.Get("/a/5c0e7a21d94b36f8", callerHeaders());
    EXPECT_EQ(handler.last.verb, JobVerb::Show);
    EXPECT_EQ(shown->body, R"({"state":"running"})");
    const auto counted = client.Get("/a/", callerHeaders());
    EXPECT_EQ(handler.last.verb, JobVerb::CountWaiting);
    EXPECT_EQ(counted->body, R"({"waiting":12})");
    client.Delete("/a/5c0e7a21d94b36f8", callerHeaders());
    EXPECT_EQ(handler.last.verb, JobVerb::Cancel);
}

TEST(JobFront, EachOutcomeHasItsStatus)
{
    ScriptedHandler handler;
    JobFront front(AnyPort, ListenerOptions(), handler);
    front.start();
    httplib::Client client("127.0.0.1", front.port());
    client.set_keep_alive(false);
    for (const auto &[outcome, status] : {std::pair(JobCallOutcome::BadRequest, 400),
                                          std::pair(JobCallOutcome::TooLarge, 413),
                                          std::pair(JobCallOutcome::UnknownKey, 401),
                                          std::pair(JobCallOutcome::UnknownRoute, 404),
                                          std::pair(JobCallOutcome::UnknownJob, 410),
                                          std::pair(JobCallOutcome::NotNow, 503),
                                          std::pair(JobCallOutcome::Undecided, 504),
                                          std::pair(JobCallOutcome::Withdrawn, 410)}) {
        handler.answer = {outcome, "why", {}, 0, outcome == JobCallOutcome::NotNow ? Millis(1000) : Millis(0)};
        const auto answered = client.Get("/a/5c0e7a21d94b36f8", callerHeaders());
        ASSERT_TRUE(answered);
        EXPECT_EQ(answered->status, status);
        EXPECT_EQ(answered->has_header("Retry-After"), outcome == JobCallOutcome::NotNow);
    }
    front.drain();
    EXPECT_EQ(client.Get("/a/5c0e7a21d94b36f8", callerHeaders())->get_header_value("Connection"), "close");
}

TEST(HeartbeatFront, TellsHeartbeatsFromLeavingAndRubbish)
{
    RecordingService service;
    HeartbeatFront front(AnyPort, ListenerOptions(), service);
    front.start();
    httplib::Client client("127.0.0.1", front.port());
    client.set_keep_alive(false);
    const std::string good = R"({"service":"s","address":"a:1","state":"ready","capacity":{"cpu":1,"mem_mb":1},"seq":1})";
    EXPECT_EQ(client.Post("/waxwingloft/instances/i-1/heartbeat", good, "application/json")->status, 200);
    EXPECT_EQ(client.Post("/waxwingloft/instances/i-2/heartbeat", "rubbish", "application/json")->status, 400);
    EXPECT_EQ(client.Post("/waxwingloft/instances/i-1/deregister", "", "application/json")->status, 200);
    EXPECT_EQ(client.Post("/waxwingloft/instances//heartbeat", good, "application/json")->status, 404);
    EXPECT_EQ(service.lives, std::vector<std::string>{"i-1"});
    EXPECT_EQ(service.left, std::vector<std::string>{"i-1"});
}

} // namespace waxwingloft::tests
