#include "waxwingloft/process/logger.h"

#include <cstdlib>
#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

constexpr std::uint32_t AllLines = 1'000'000'000;

/** Shows the log of the tests at the level that TEST_LOG names; without it only that of fatal errors. */
class TestLog : public testing::Environment
{
public:
    void SetUp() override
    {
        const char *const level = std::getenv("TEST_LOG");
        openLog("test", level == nullptr ? "OFF" : level, AllLines);
    }

    void TearDown() override
    {
        closeLog();
    }
};

const auto *const LogEnvironment = testing::AddGlobalTestEnvironment(new TestLog);

} // namespace

} // namespace waxwingloft::tests
