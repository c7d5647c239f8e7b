#include "waxwingloft/process/logger.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace waxwingloft::tests {

TEST(LogBudget, LeavesOutWhatIsOverTheBoundAndCountsIt)
{
    LogBudget budget(3);
    int written = 0;
    for (int line = 0; line < 10; ++line) {
        written += budget.tryTake(7) ? 1 : 0;
    }
    EXPECT_EQ(written, 3);
    EXPECT_EQ(budget.takeLeftOut(), 7U);
    EXPECT_EQ(budget.takeLeftOut(), 0U);
    EXPECT_TRUE(budget.tryTake(8));
}

// A value with a zero byte took the rest of its line and the end of the line from the log.
TEST(LogLine, KeepsAllBytesOfAValueInOneLine)
{
    using namespace std::string_literals;
    const auto value = "a\0b\r\n\t\"\\\x1f\x7f\u00e9"s;
    const auto line = logLine("A run ended.", {{"checkpoint", value}});
    EXPECT_TRUE(std::all_of(line.begin(), line.end(), [](char character) { return static_cast<unsigned char>(character) >= ' '; })) << line;
    const std::string begin = "what=\"A run ended.\" checkpoint=";
    ASSERT_EQ(line.substr(0, begin.size()), begin);
    EXPECT_EQ(nlohmann::json::parse(line.substr(begin.size())).get<std::string>(), value);
}

} // namespace waxwingloft::tests
