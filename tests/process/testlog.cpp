#include "waxwingloft/process/logger.h"

#include <cstdlib>
#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

/** Shows the log of the tests at the level that TEST_LOG names; without it only that of fatal errors. */
class TestLog : public testing::Environment
{
public:
    void SetUp() override
    {
        const char *const level = std::getenv("TEST_LOG");
        openLog("test", level == nullptr ? "OFF" : level);
    }
};

const auto *const LogEnvironment = testing::AddGlobalTestEnvironment(new TestLog);

} // namespace

} // namespace waxwingloft::tests
