#include "waxwingloft/process/nodeconfig.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

const std::string Entry = R"(role = "job-entry"
node = "front-1"
rpc_address = "127.0.0.1:1"
http_address = "127.0.0.1:2"
[place]
region = "r"
data_centre = "d"
[jobs]
store = "127.0.0.1:3"
front = "127.0.0.1:4"
ready = "127.0.0.1:5"
)";

} // namespace

/** Guards against deployments that change when they do not ask for it, and against settings that would end all service. */
TEST(IngressConfig, HasDefaultsAndRejectsUnusableValues)
{
    const auto plain = parseNodeConfig(Entry);
    EXPECT_TRUE(plain.mistakes.empty());
    EXPECT_EQ(plain.config.ingress.memoryMb, 160U);
    const auto lowered = parseNodeConfig(Entry + "[ingress]\nconnections = 64\nheader_ms = 500\n");
    EXPECT_TRUE(lowered.mistakes.empty());
    EXPECT_EQ(lowered.config.ingress.connections, 64U);
    EXPECT_EQ(lowered.config.ingress.headerTime, Millis(500));
    EXPECT_EQ(lowered.config.ingress.bodyTime, plain.config.ingress.bodyTime);
    EXPECT_EQ(parseNodeConfig(Entry + "[ingress]\nconnections = 0\n").mistakes.size(), 1U);
    EXPECT_EQ(parseNodeConfig(Entry + "[ingress]\nconnection = 64\n").mistakes.size(), 1U);
}

} // namespace waxwingloft::tests
