#include "platformstore.h"
#include "fakestore.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

constexpr auto Timeout = Millis(2000);

class PlatformStoreTest : public testing::Test
{
protected:
    FakeStore fake;
    Metrics metrics;
    PlatformStore store{this->fake.address(), Timeout, this->metrics};
};

} // namespace

TEST_F(PlatformStoreTest, ReadsBackWhatItWroteWithTheOperation)
{
    const auto committed = this->store.commit({"op-1", {{"jobs/7", 0}}, {{"jobs/7", "two\nlines \x01"}}});
    ASSERT_TRUE(succeeded(committed));
    const auto row = this->store.get("jobs/7");
    ASSERT_TRUE(succeeded(row) && valueOf(row));
    EXPECT_EQ(valueOf(row)->value, "two\nlines \x01");
    EXPECT_EQ(valueOf(row)->operation, "op-1");
    EXPECT_EQ(valueOf(row)->revision, valueOf(committed).revision);
}

TEST_F(PlatformStoreTest, AnAbsentRowIsNoError)
{
    ASSERT_TRUE(succeeded(this->store.commit({"op", {}, {{"jobs/7/cancel", "{}"}}})));
    const auto row = this->store.get("jobs/7");
    ASSERT_TRUE(succeeded(row));
    EXPECT_FALSE(valueOf(row));
}

TEST_F(PlatformStoreTest, AConditionThatDoesNotHoldIsAConflictWithoutEffect)
{
    ASSERT_TRUE(succeeded(this->store.commit({"op-1", {{"jobs/7", 0}}, {{"jobs/7", "a"}}})));
    const auto second = this->store.commit({"op-2", {{"jobs/7", 0}}, {{"jobs/7", "b"}}});
    ASSERT_FALSE(succeeded(second));
    EXPECT_EQ(errorOf(second).kind, ErrorKind::Conflict);
    EXPECT_EQ(valueOf(this->store.get("jobs/7"))->value, "a");
}

TEST_F(PlatformStoreTest, RemovesRows)
{
    ASSERT_TRUE(succeeded(this->store.commit({"op-1", {}, {{"jobs/7", "a"}}})));
    ASSERT_TRUE(succeeded(this->store.commit({"op-2", {}, {{"jobs/7", std::nullopt}}})));
    EXPECT_FALSE(valueOf(this->store.get("jobs/7")));
}

TEST_F(PlatformStoreTest, RowsOfOtherWritersHaveTheirValueAsItIs)
{
    this->fake.put("op", "config", "eyJ2ZXJzaW9uIjo3fQ==");
    const auto rows = this->store.list("op/", 0);
    ASSERT_TRUE(succeeded(rows));
    ASSERT_EQ(valueOf(rows).rows.size(), 1U);
    EXPECT_EQ(valueOf(rows).rows[0].key, "op/config");
    EXPECT_EQ(valueOf(rows).rows[0].value, R"({"version":7})");
}

TEST_F(PlatformStoreTest, ListsMoreRowsThanAPageHolds)
{
    this->fake.pageRows = 3;
    for (int index = 0; index < 10; ++index) {
        ASSERT_TRUE(succeeded(this->store.commit({"op", {}, {{"jobs/" + std::to_string(index), "x"}}})));
    }
    const auto rows = this->store.list("jobs/", 0);
    ASSERT_TRUE(succeeded(rows));
    EXPECT_EQ(valueOf(rows).rows.size(), 10U);
}

TEST_F(PlatformStoreTest, ABusyStoreHadNoEffect)
{
    this->fake.mood = StoreMood::Busy;
    const auto committed = this->store.commit({"op-1", {}, {{"jobs/7", "a"}}});
    ASSERT_FALSE(succeeded(committed));
    EXPECT_EQ(errorOf(committed).kind, ErrorKind::PlatformDown);
    EXPECT_EQ(errorOf(this->store.get("jobs/7")).kind, ErrorKind::PlatformDown);
}

// A row that was too large was written again and again, as each refusal counted as one of a store that is away.
TEST_F(PlatformStoreTest, TellsRefusalsForGoodFromThoseOfAStoreThatIsAway)
{
    this->fake.mood = StoreMood::Refusing;
    for (const auto &[status, kind] : {std::pair(400, ErrorKind::Rejected),
                                       std::pair(403, ErrorKind::Rejected),
                                       std::pair(413, ErrorKind::Rejected),
                                       std::pair(408, ErrorKind::PlatformDown),
                                       std::pair(429, ErrorKind::PlatformDown),
                                       std::pair(503, ErrorKind::PlatformDown),
                                       std::pair(500, ErrorKind::Ambiguous)}) {
        this->fake.refusal = status;
        EXPECT_EQ(errorOf(this->store.commit({"op-1", {}, {{"jobs/7", "a"}}})).kind, kind) << status;
    }
}

TEST_F(PlatformStoreTest, ACommitWithoutAReadableAnswerIsAmbiguous)
{
    this->fake.mood = StoreMood::LosesAnswers;
    const auto committed = this->store.commit({"op-1", {}, {{"jobs/7", "a"}}});
    ASSERT_FALSE(succeeded(committed));
    EXPECT_EQ(errorOf(committed).kind, ErrorKind::Ambiguous);
}

TEST_F(PlatformStoreTest, AnAbsentStoreHadNoEffect)
{
    PlatformStore nowhere("127.0.0.1:1", Timeout, this->metrics);
    EXPECT_EQ(errorOf(nowhere.commit({"op-1", {}, {{"jobs/7", "a"}}})).kind, ErrorKind::PlatformDown);
}

TEST_F(PlatformStoreTest, TheFeedTellsChangesAndLostHistory)
{
    const auto first = valueOf(this->store.commit({"op-1", {}, {{"jobs/7", "a"}}}));
    ASSERT_TRUE(succeeded(this->store.commit({"op-2", {}, {{"jobs/8", "b"}}})));
    const auto batch = this->store.changes("jobs", first.revision, Millis(10));
    ASSERT_TRUE(succeeded(batch));
    ASSERT_EQ(valueOf(batch).changes.size(), 1U);
    EXPECT_EQ(valueOf(batch).changes[0].row.key, "jobs/8");
    this->fake.mood = StoreMood::ForgotHistory;
    EXPECT_EQ(errorOf(this->store.changes("jobs", 1, Millis(10))).kind, ErrorKind::Stale);
}

} // namespace waxwingloft::tests
