#include "waxwingloft/request/startworth.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

TEST(StartWorth, FallsFromInTimeToLateToNothing)
{
    const StartWorth worth{4.0, 1.0, 2.0, 6.0, 0.0};
    EXPECT_DOUBLE_EQ(worth.after(2.0), 4.0);
    EXPECT_DOUBLE_EQ(worth.after(2.1), 1.0);
    EXPECT_DOUBLE_EQ(worth.after(6.1), 0.0);
}

TEST(StartWorth, IsGradualWhereTheEstimateMayBeWrong)
{
    const StartWorth worth{4.0, 1.0, 2.0, 6.0, 0.5};
    EXPECT_DOUBLE_EQ(worth.after(1.5), 4.0);
    EXPECT_DOUBLE_EQ(worth.after(2.0), 2.5);
    EXPECT_DOUBLE_EQ(worth.after(2.5), 1.0);
}

} // namespace waxwingloft::tests
