#include "rawclient.h"

#include "waxwingloft/connection/healthfront.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

class FixedHealth : public HealthService
{
public:
    std::optional<std::string> whyNotReady() const override
    {
        return this->reason;
    }

    std::string metricsText() const override
    {
        return "some_metric 1\n";
    }

    std::optional<std::string> reason;
};

} // namespace

/** Guards against answers that monitors no longer understand. */
TEST(HealthFront, AnswersOperatorsAndMonitors)
{
    FixedHealth health;
    HealthFront front("127.0.0.1:0", health, std::make_shared<HttpServer>(IngressLimits()));
    front.run();
    const auto ask = [&front](const std::string &path) {
        const RawClient client(front.port());
        client.send("GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n");
        return client.readAll();
    };
    EXPECT_NE(ask("/healthz").find("200 OK"), std::string::npos);
    EXPECT_NE(ask("/readyz").find("200 OK"), std::string::npos);
    EXPECT_NE(ask("/metrics").find("some_metric 1\n"), std::string::npos);
    EXPECT_NE(ask("/v1/settings").find("404"), std::string::npos);
    health.reason = "leaving";
    const auto answer = ask("/readyz");
    EXPECT_NE(answer.find("503"), std::string::npos);
    EXPECT_NE(answer.find("leaving\n"), std::string::npos);
}

} // namespace waxwingloft::tests
