#include "waxwingloft/process/tokenbucket.h"

#include <gtest/gtest.h>

namespace waxwingloft {

TEST(TokenBucketTest, refillsWithTime)
{
    const Instant start;
    TokenBucket bucket(10.0, 2.0, start);
    EXPECT_TRUE(bucket.tryTake(2.0, start));
    EXPECT_FALSE(bucket.tryTake(1.0, start));
    EXPECT_EQ(bucket.timeUntil(1.0, start), Millis(100));
    EXPECT_TRUE(bucket.tryTake(1.0, start + Millis(100)));
}

TEST(TokenBucketTest, neverHoldsMoreThanItsBurst)
{
    const Instant start;
    TokenBucket bucket(10.0, 2.0, start);
    EXPECT_FALSE(bucket.tryTake(3.0, start + Millis(100000)));
    EXPECT_TRUE(bucket.tryTake(2.0, start + Millis(100000)));
}

} // namespace waxwingloft
