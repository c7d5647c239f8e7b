#include "waxwingloft/process/shardbook.h"
#include "manualclock.h"
#include "waxwingloft/process/memberdirectory.h"
#include "waxwingloft/process/nodeconfig.h"
#include "waxwingloft/process/workerhealth.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace waxwingloft::tests {

namespace {

Member memberOf(const std::string &node, const std::string &rack, Incarnation incarnation = 1)
{
    Member member;
    member.node.value = node;
    member.incarnation = incarnation;
    member.location = {"r", "d", rack};
    return member;
}

std::size_t lossesIn(const EventLog &events)
{
    const auto all = events.since({}, 1000);
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const Event &event) { return event.kind == EventKind::MemberLost; }));
}

} // namespace

TEST(ShardBookTest, reportsALostRackAsOneEvent)
{
    ManualClock clock;
    EventLog events(clock, "n", 100);
    ShardBook book(clock, events, "s", 1, FailureDetectionOptions{});
    for (const auto *node : {"a1", "a2", "a3"}) {
        book.heartbeat(memberOf(node, "rack-a"));
    }
    book.heartbeat(memberOf("b1", "rack-b"));
    book.heartbeat(memberOf("b2", "rack-b"));
    clock.advance(Millis(2000));
    book.heartbeat(memberOf("b1", "rack-b"));
    clock.advance(Millis(1500));
    EXPECT_EQ(book.sweep(), 4U);
    EXPECT_EQ(lossesIn(events), 2U) << "rack-a as one, b2 alone";
}

TEST(ShardBookTest, passesOnlyChangesToAReaderThatFollows)
{
    ManualClock clock;
    EventLog events(clock, "n", 100);
    ShardBook book(clock, events, "s", 7, FailureDetectionOptions{});
    MemberDirectory directory;
    book.heartbeat(memberOf("a", "k"));
    auto position = directory.apply(book.changesSince(0, 0));
    EXPECT_TRUE(book.changesSince(position.book, position.revision).changed.empty());
    book.heartbeat(memberOf("a", "k"));
    EXPECT_TRUE(book.changesSince(position.book, position.revision).changed.empty()) << "nothing new";
    book.heartbeat(memberOf("a", "k", 2));
    position = directory.apply(book.changesSince(position.book, position.revision));
    EXPECT_EQ(directory.find(NodeId{"a"})->incarnation, 2U);
    book.heartbeat(memberOf("a", "k", 1));
    EXPECT_EQ(book.changesSince(0, 0).changed.front().incarnation, 2U) << "an older life does not come back";
    const auto stale = MembersDelta{"s", 7, position.revision + 3, position.revision + 4, {}, 1};
    EXPECT_EQ(directory.apply(stale).revision, position.revision) << "a gap is refused, so the leader starts over from here";
}

TEST(WorkerHealthTest, quarantinesTheWorkerThatFailsWhatOthersRun)
{
    ManualClock clock;
    WorkerHealth health(clock, WorkerHealthOptions{});
    EXPECT_EQ(health.recordFailure(NodeId{"bad"}, "j1"), HealthVerdict::None);
    health.recordSuccess(NodeId{"good"}, "j1");
    EXPECT_EQ(health.recordFailure(NodeId{"bad"}, "j2"), HealthVerdict::None);
    EXPECT_EQ(health.recordFailure(NodeId{"bad"}, "j3"), HealthVerdict::QuarantineWorker);
    EXPECT_TRUE(health.isQuarantined(NodeId{"bad"}));
    clock.advance(Millis(60000));
    EXPECT_FALSE(health.isQuarantined(NodeId{"bad"})) << "its probe is due";
    EXPECT_EQ(health.recordFailure(NodeId{"bad"}, "j4"), HealthVerdict::QuarantineWorker);
    clock.advance(Millis(60000));
    EXPECT_TRUE(health.isQuarantined(NodeId{"bad"})) << "longer after a failed probe";
    health.recordSuccess(NodeId{"bad"}, "j5");
    EXPECT_FALSE(health.isQuarantined(NodeId{"bad"}));
}

TEST(WorkerHealthTest, blamesAJobThatFailsEverywhere)
{
    ManualClock clock;
    WorkerHealth health(clock, WorkerHealthOptions{});
    EXPECT_EQ(health.recordFailure(NodeId{"w1"}, "bad"), HealthVerdict::None);
    EXPECT_EQ(health.recordFailure(NodeId{"w2"}, "bad"), HealthVerdict::None);
    EXPECT_EQ(health.recordFailure(NodeId{"w3"}, "bad"), HealthVerdict::EndJob);
    EXPECT_EQ(health.evidenceAgainst("bad").size(), 3U);
    EXPECT_FALSE(health.isQuarantined(NodeId{"w1"}));
}

TEST(NodeConfigTest, reportsEveryMistakeWithItsPlace)
{
    const auto parsed = parseNodeConfig("role = \"agnt\"\nnode = 7\nrpc_address = \"nowhere\"\nhttp_adress = \"127.0.0.1:1\"\n[place]\nregion = "
                                        "\"r\"\n[platform]\ntable_url = \"t\"\nobjects_url = \"o\"\n");
    std::string all;
    for (const auto &mistake : parsed.mistakes) {
        all += toString(mistake, "f") + "\n";
    }
    for (const auto *text : {"f:1:8: role: \"agnt\" is not one of entry, agent",
                             "f:2:8: node: expected a string",
                             "f:3:15: rpc_address: expected IP:PORT",
                             "did you mean \"http_address\"",
                             "place.data_centre: is missing"}) {
        EXPECT_NE(all.find(text), std::string::npos) << text << " in\n" << all;
    }
}

TEST(NodeConfigTest, anEntrysCallsOnTheStoreFollowTheRateOfTheStore)
{
    const std::string head = "role = \"job-entry\"\nnode = \"n\"\nrpc_address = \"127.0.0.1:1\"\nhttp_address = \"127.0.0.1:2\"\n[place]\nregion = \"r\"\n"
                             "data_centre = \"d\"\n[jobs]\nstore = \"127.0.0.1:3\"\nfront = \"127.0.0.1:4\"\nready = \"127.0.0.1:5\"\n";
    for (const auto *const rate : {"800", "800.0"}) {
        const auto parsed = parseNodeConfig(head + "store_writes_per_s = " + rate + "\n");
        EXPECT_TRUE(parsed.mistakes.empty());
        EXPECT_DOUBLE_EQ(parsed.config.jobs.entryCallsPerSecond(), 320.0);
    }
    EXPECT_EQ(parseNodeConfig(head + "store_writes_per_s = 0\n").mistakes.size(), 1U);
    EXPECT_EQ(parseNodeConfig(head).config.jobs.zoneCloseTime, std::nullopt);
    EXPECT_EQ(parseNodeConfig(head + "\nzone_close_ms = 5000\n\n").config.jobs.zoneCloseTime, Millis(5000));
    EXPECT_EQ(parseNodeConfig(head + "zone_close_ms = 0\n").mistakes.size(), 1U);
    auto config = parseNodeConfig(head).config;
    EXPECT_TRUE(setZoneCloseTime(config, "")) << "the platform has no such bound";
    EXPECT_EQ(config.jobs.zoneCloseTime, std::nullopt);
    EXPECT_TRUE(setZoneCloseTime(config, "5000"));
    EXPECT_EQ(config.jobs.zoneCloseTime, Millis(5000));
    for (const auto *const text : {"0", "1999", "5s", "-1", "600001", "99999999999999999999"}) {
        EXPECT_FALSE(setZoneCloseTime(config, text)) << text;
    }
}

TEST(NodeConfigTest, holdsNoLongerLeaseThanWantedOrGranted)
{
    JobNodeConfig jobs;
    jobs.wantedLease = Millis(6000);
    jobs.longestLease = Millis(10'000);
    EXPECT_EQ(jobs.lease(), Millis(6000));
    jobs.longestLease = Millis(4000);
    EXPECT_EQ(jobs.lease(), Millis(4000));
}

TEST(NodeConfigTest, survivesArbitraryText)
{
    EXPECT_TRUE(rc::check("parsing any text ends", [](const std::string &text) { RC_ASSERT(!parseNodeConfig(text).mistakes.empty()); }));
}

} // namespace waxwingloft::tests
