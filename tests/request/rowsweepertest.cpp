#include "waxwingloft/request/rowsweeper.h"
#include "../process/faketable.h"
#include "../process/manualclock.h"
#include "waxwingloft/request/claimstore.h"
#include "waxwingloft/request/jobrows.h"
#include "waxwingloft/request/jobstore.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

TEST(RowSweeperTest, deletesOnlyWhatHasEndedLongAgo)
{
    ManualClock clock;
    FakeRows rows;
    FaultPlan plan;
    FakeTable table(rows, plan, "node", std::make_shared<bool>(true));
    IdSource ids(1);
    JobStore jobs(table, ids);
    ClaimStore claims(table, ids);
    JobRecord running;
    running.id.value = "w.running";
    jobs.create(running);
    JobRecord ended;
    ended.id.value = "w.ended";
    ended.state = JobState::Ended;
    ended.endedAtWallMillis = clock.wallMillis();
    jobs.create(ended);
    claims.put(WorkspaceId{"w"}, RequestId{"r"}, Claim{NodeId{"n"}, "n:1", 1, AttemptId{"a"}, clock.wallMillis(), 0});
    RowSweeper sweeper(table, clock, ids, {SweptRows::Jobs, SweptRows::Claims}, RowSweeperOptions{});
    clock.advance(Millis(23 * 3600 * 1000));
    EXPECT_EQ(sweeper.sweep(), 0U);
    clock.advance(Millis(3600 * 1000));
    EXPECT_EQ(sweeper.sweep(), 2U);
    EXPECT_TRUE(rows.rows.contains("job/w.running"));
    EXPECT_EQ(rows.rows.size(), 1U);
}

// A withdrawal must outlive every submission that may still be under way, and must not stay for good.
TEST(RowSweeperTest, keepsWithdrawalsForADay)
{
    ManualClock clock;
    FakeRows rows;
    FaultPlan plan;
    FakeTable table(rows, plan, "node", std::make_shared<bool>(true));
    IdSource ids(1);
    const WorkspaceId workspace{"w"};
    const auto withdraw = [&](const std::string &job) {
        const auto key = withdrawalKey(JobId{job}, workspace);
        table.commit({ids.next(), {{key, 0}}, {{key, encodeWithdrawal({workspace, clock.wallMillis()})}}});
    };
    withdraw("old");
    clock.advance(Millis(3600 * 1000));
    withdraw("new");
    RowSweeper sweeper(table, clock, ids, {SweptRows::Withdrawals}, RowSweeperOptions{});
    clock.advance(Millis(23 * 3600 * 1000 - 1));
    EXPECT_EQ(sweeper.sweep(), 0U);
    clock.advance(Millis(1));
    EXPECT_EQ(sweeper.sweep(), 1U);
    EXPECT_TRUE(rows.rows.contains(withdrawalKey(JobId{"new"}, workspace)));
}

} // namespace waxwingloft::tests
