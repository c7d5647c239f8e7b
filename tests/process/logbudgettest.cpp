#include "waxwingloft/process/logger.h"

#include <gtest/gtest.h>

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

} // namespace waxwingloft::tests
