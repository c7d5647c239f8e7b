#include "waxwingloft/connection/httpfront.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

namespace waxwingloft::tests {

namespace {

/** Answers calls with their body and counts what reaches it. */
class FakeFront : public FrontService, public HealthService
{
public:
    CallAnswer call(const CallRequest &question) override
    {
        ++this->calls;
        return question.token == "good" ? CallAnswer{Outcome::Done, {}, question.payload}
                                        : CallAnswer{Outcome::NotRun, makeError(ErrorKind::Unauthenticated, "no such token"), {}};
    }

    Result<JobId> submitJob(const JobRequest &question) override
    {
        ++this->jobs;
        return JobId{"w." + question.kind.value};
    }

    Result<JobView> showJob(const std::string & /*token*/, const JobId &id) override
    {
        return makeError(ErrorKind::NotFound, "no job " + id.value);
    }

    Result<std::vector<JobView>> listJobs(const std::string & /*token*/) override
    {
        return std::vector<JobView>{};
    }

    Status cancelJob(const std::string & /*token*/, const JobId & /*id*/) override
    {
        return Done{};
    }

    Result<nlohmann::json> settingsAt(const std::string & /*operatorToken*/, const std::string & /*path*/, bool /*reveal*/) override
    {
        return nlohmann::json::object();
    }

    Result<SettingsVersion> teamVersion(const std::string & /*operatorToken*/, const std::string & /*path*/) override
    {
        return SettingsVersion(1);
    }

    Result<SettingsVersion> changeSettings(const std::string & /*operatorToken*/, const SettingsChange & /*change*/) override
    {
        ++this->changes;
        return SettingsVersion(2);
    }

    Result<StatusView> status(const std::string & /*operatorToken*/) override
    {
        return StatusView{};
    }

    Status drain(const std::string & /*operatorToken*/, const NodeId & /*node*/) override
    {
        return Done{};
    }

    Result<std::vector<Event>> timeline(const std::string & /*operatorToken*/, HybridTime /*since*/, std::vector<std::string> & /*silent*/) override
    {
        return std::vector<Event>{};
    }

    std::optional<std::string> whyNotReady() const override
    {
        return "starting";
    }

    std::string metricsText() const override
    {
        return "metric 1\n";
    }

    std::atomic<int> calls = 0;
    std::atomic<int> jobs = 0;
    std::atomic<int> changes = 0;
};

class HttpFrontTest : public testing::Test
{
protected:
    HttpFrontTest()
    {
        this->http.serveFront(this->front);
        this->http.run();
    }

    httplib::Result post(const std::string &path, const std::string &body, const std::string &token = "good")
    {
        httplib::Client client("127.0.0.1", this->http.port());
        return client.Post(path, {{"Authorization", "Bearer " + token}}, body, "application/json");
    }

    /** Sends raw bytes, closes the sending side, and returns the status line, if any. */
    std::string sendRaw(const std::string &bytes) const
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(this->http.port()));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)), 0);
        send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        EXPECT_EQ(shutdown(descriptor, SHUT_WR), 0);
        std::array<char, 64> answer{};
        const auto length = recv(descriptor, answer.data(), answer.size() - 1, 0);
        close(descriptor);
        return length > 0 ? std::string(answer.data(), static_cast<std::size_t>(length)) : std::string();
    }

    FakeFront front;
    HttpFront http{"127.0.0.1:0", this->front, HttpFrontOptions{8, 1024, Millis(500), Millis(1000), Millis(1000)}};
};

} // namespace

TEST_F(HttpFrontTest, passesABodyThroughAsItIs)
{
    const std::string body("\0\xff\r\n", 4);
    const auto answer = this->post("/v1/work/check", body);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, body);
    EXPECT_EQ(answer->get_header_value("Outcome"), "done");
    EXPECT_EQ(this->post("/v1/work/check", "x", "bad")->status, 401);
}

TEST_F(HttpFrontTest, refusesMalformedInputWithATypedErrorAndNoEffect)
{
    for (const auto *body : {"",
                             "{",
                             "[]",
                             "{\"kind\": 7}",
                             "{\"kind\": \"k\", \"acelerators\": 1}",
                             "{\"kind\": \"k\", \"tasks\": 0}",
                             "{\"kind\": \"k\", \"tasks\": 1e99, \"accelerators\": 1}",
                             "{\"kind\": \"k\", \"accelerators\": -1}"}) {
        const auto answer = this->post("/v1/jobs", body);
        ASSERT_TRUE(answer) << body;
        EXPECT_EQ(answer->status, 400) << body;
        const auto json = nlohmann::json::parse(answer->body);
        EXPECT_EQ(json["outcome"], "not-run");
        EXPECT_EQ(json["error"]["kind"], "invalid-input");
        EXPECT_NE(json["error"]["remedy"], "");
    }
    EXPECT_EQ(this->post("/v1/settings", "{\"action\": \"burn\"}")->status, 400);
    EXPECT_EQ(this->front.jobs + this->front.changes, 0);
    EXPECT_EQ(this->post("/v1/nowhere", "{}")->status, 404);
    EXPECT_EQ(this->post("/v1/jobs", "{\"kind\": \"k\", \"accelerators\": 1}")->status, 202);
}

TEST_F(HttpFrontTest, boundsTheBodyAndSurvivesHalfRequests)
{
    EXPECT_EQ(this->post("/v1/work/check", std::string(2000, 'x'))->status, 413);
    EXPECT_EQ(this->sendRaw("POST /v1/work/check HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf").find("200"), std::string::npos);
    this->sendRaw("POST /v1/wo");
    this->sendRaw("\x01\x02\x03\r\n\r\n");
    EXPECT_EQ(this->front.calls, 0);
    EXPECT_EQ(this->post("/v1/work/check", "still here")->status, 200);
}

TEST_F(HttpFrontTest, tellsMonitorsWhyItIsNotReady)
{
    httplib::Client client("127.0.0.1", this->http.port());
    EXPECT_EQ(client.Get("/healthz")->status, 200);
    EXPECT_EQ(client.Get("/readyz")->status, 503);
    EXPECT_EQ(client.Get("/readyz")->body, "starting\n");
    EXPECT_EQ(client.Get("/metrics")->body, "metric 1\n");
}

/** Whatever bytes are posted, the answer is a typed refusal or an acceptance, and the server lives. */
TEST_F(HttpFrontTest, survivesArbitraryBodies)
{
    EXPECT_TRUE(rc::check("any body is answered", [this](const std::string &body) {
        const auto answer = this->post("/v1/jobs", body);
        RC_ASSERT(static_cast<bool>(answer));
        RC_ASSERT(answer->status == 400);
    }));
}

} // namespace waxwingloft::tests
