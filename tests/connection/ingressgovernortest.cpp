#include "waxwingloft/connection/ingressgovernor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace waxwingloft::tests {

namespace {

constexpr std::size_t Connections = 4;
constexpr IngressListener Front{1, Connections, false};
constexpr IngressListener WideFront{1, 1000, false};
constexpr IngressListener Ready{2, Connections, true};

IngressLimits smallLimits()
{
    IngressLimits limits;
    limits.memoryBytes = 1000;
    return limits;
}

Instant at(std::int64_t millis)
{
    return Instant(Millis(millis));
}

/** Begins a request whose body holds @p bytes at @p now. */
std::vector<IngressDrop> beginBody(IngressGovernor &governor, ConnectionKey connection, std::size_t bytes, Instant now)
{
    governor.open(connection, WideFront, now);
    governor.enter(connection, IngressPhase::Headers, now);
    governor.enter(connection, IngressPhase::Body, now);
    return governor.hold(connection, bytes, now);
}

} // namespace

/** Guards against bodies that stop just short of their end and together take the memory of the process. */
TEST(IngressGovernor, DropsTheHeaviestUnfinishedRequestWhenMemoryIsShort)
{
    IngressGovernor governor(smallLimits());
    EXPECT_TRUE(beginBody(governor, 1, 500, at(0)).empty());
    EXPECT_TRUE(beginBody(governor, 2, 400, at(0)).empty());
    EXPECT_EQ(beginBody(governor, 3, 300, at(1000)), (std::vector<IngressDrop>{{1, IngressRefusal::NoMemory}}));
    EXPECT_EQ(governor.heldBytes(), 700U);
}

/** Guards against a refusal of a request that may be running already. */
TEST(IngressGovernor, KeepsWholeRequestsAndDropsTheNewOneInstead)
{
    IngressGovernor governor(smallLimits());
    beginBody(governor, 1, 900, at(0));
    governor.enter(1, IngressPhase::Running, at(1));
    EXPECT_EQ(beginBody(governor, 2, 200, at(2)), (std::vector<IngressDrop>{{2, IngressRefusal::NoMemory}}));
    EXPECT_EQ(governor.heldBytes(), 900U);
    governor.enter(1, IngressPhase::Answering, at(3));
    EXPECT_EQ(governor.heldBytes(), 0U);
}

/** Guards against readiness that is refused while requests to other listeners hold all memory. */
TEST(IngressGovernor, NeverDropsRequestsToAReservedListenerForMemory)
{
    IngressGovernor governor(smallLimits());
    beginBody(governor, 1, 1000, at(0));
    governor.enter(1, IngressPhase::Running, at(1));
    governor.open(2, Ready, at(2));
    governor.enter(2, IngressPhase::Headers, at(2));
    EXPECT_TRUE(governor.hold(2, 500, at(2)).empty());
    EXPECT_EQ(governor.heldBytes(), 1000U);
}

/** Guards against idle connections of some clients that keep others out, and against clients of one listener that keep out those of another. */
TEST(IngressGovernor, GivesANewConnectionThePlaceOfTheStalestOfItsListener)
{
    IngressGovernor governor(smallLimits());
    EXPECT_FALSE(governor.open(1, Ready, at(0)));
    for (ConnectionKey key = 2; key <= 5; ++key) {
        EXPECT_FALSE(governor.open(key, Front, at(static_cast<std::int64_t>(key))));
    }
    governor.enter(2, IngressPhase::Running, at(10));
    EXPECT_EQ(governor.open(6, Front, at(20)), (IngressDrop{3, IngressRefusal::NoConnections}));
}

/** Guards against a balancer that loses its connection to clients that only connect. */
TEST(IngressGovernor, KeepsConnectionsThatHadAnAnswerBeforeOthers)
{
    IngressGovernor governor(smallLimits());
    for (ConnectionKey key = 1; key <= 4; ++key) {
        governor.open(key, Front, at(static_cast<std::int64_t>(key)));
    }
    governor.enter(1, IngressPhase::Answering, at(10));
    governor.enter(1, IngressPhase::Idle, at(11));
    governor.hold(2, 1, at(20));
    EXPECT_EQ(governor.open(5, Front, at(30)), (IngressDrop{3, IngressRefusal::NoConnections}));
    governor.close(3);
    EXPECT_EQ(governor.open(6, Front, at(40)), (IngressDrop{4, IngressRefusal::NoConnections}));
}

/** Guards against a byte at a time: progress alone is no reason to keep an unfinished request. */
TEST(IngressGovernor, CountsTheAgeOfAnUnfinishedRequestFromItsBegin)
{
    IngressGovernor governor(smallLimits());
    governor.open(1, Front, at(0));
    governor.enter(1, IngressPhase::Headers, at(0));
    governor.hold(1, 10, at(2999));
    EXPECT_TRUE(governor.collectExpired(at(3000)).empty());
    EXPECT_EQ(governor.collectExpired(at(3001)), (std::vector<IngressDrop>{{1, IngressRefusal::HeadersTooSlow}}));
}

/** Guards against time limits that cut off a body that comes at the lowest allowed rate. */
TEST(IngressGovernor, GivesABodyTimeByItsSizeButNoLongPause)
{
    auto limits = smallLimits();
    limits.memoryBytes = 1'000'000;
    IngressGovernor governor(limits);
    beginBody(governor, 1, 100, at(0));
    for (std::int64_t second = 1; second <= 10; ++second) {
        governor.hold(1, static_cast<std::size_t>(second) * 16'384, at(second * 1000));
        EXPECT_TRUE(governor.collectExpired(at(second * 1000)).empty());
    }
    EXPECT_TRUE(governor.collectExpired(at(13'000)).empty());
    EXPECT_EQ(governor.collectExpired(at(13'001)), (std::vector<IngressDrop>{{1, IngressRefusal::BodyTooSlow}}));
}

TEST(IngressGovernor, EndsAnswersThatAreNotReadAndIdleConnections)
{
    IngressGovernor governor(smallLimits());
    governor.open(1, Front, at(0));
    governor.open(2, Front, at(0));
    governor.enter(2, IngressPhase::Answering, at(0));
    EXPECT_EQ(governor.collectExpired(at(5001)), (std::vector<IngressDrop>{{2, IngressRefusal::AnswerNotRead}}));
    governor.close(2);
    EXPECT_EQ(governor.collectExpired(at(15'001)), (std::vector<IngressDrop>{{1, std::nullopt}}));
}

/** Guards against accounts that drift: whatever clients do, bounds hold, whole requests stay, and nothing is left when all have gone. */
RC_GTEST_PROP(IngressGovernorProperty, KeepsItsBoundsWhateverClientsDo, ())
{
    const auto limits = smallLimits();
    IngressGovernor governor(limits);
    std::set<ConnectionKey> open;
    std::map<ConnectionKey, std::size_t> running;
    ConnectionKey next = 0;
    std::int64_t now = 0;
    const auto drop = [&](const IngressDrop &victim) {
        RC_ASSERT(!running.contains(victim.connection));
        governor.close(victim.connection);
        open.erase(victim.connection);
    };
    const auto steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        now += *rc::gen::inRange(0, 2000);
        const auto action = *rc::gen::inRange(0, 5);
        if (action == 0 || open.empty()) {
            open.insert(++next);
            const auto victim = governor.open(next, Front, at(now));
            if (victim) {
                drop(*victim);
            }
            RC_ASSERT(open.size() <= Connections);
            continue;
        }
        const auto connection = *rc::gen::elementOf(std::vector<ConnectionKey>(open.begin(), open.end()));
        if (action == 1 && !running.contains(connection)) {
            governor.enter(connection, IngressPhase::Headers, at(now));
            governor.enter(connection, IngressPhase::Body, at(now));
            for (const auto &victim : governor.hold(connection, *rc::gen::inRange<std::size_t>(0, 1200), at(now))) {
                drop(victim);
            }
            if (open.contains(connection) && *rc::gen::arbitrary<bool>()) {
                governor.enter(connection, IngressPhase::Running, at(now));
                running[connection] = 1;
            }
        } else if (action == 2 && running.contains(connection)) {
            running.erase(connection);
            governor.enter(connection, IngressPhase::Answering, at(now));
        } else if (action == 3 && !running.contains(connection)) {
            drop({connection, std::nullopt});
        } else if (action == 4) {
            for (const auto &victim : governor.collectExpired(at(now))) {
                drop(victim);
            }
        }
        RC_ASSERT(governor.heldBytes() <= limits.memoryBytes);
        RC_ASSERT(governor.openConnections() == open.size());
    }
    for (const auto connection : std::set<ConnectionKey>(open)) {
        governor.close(connection);
    }
    RC_ASSERT(governor.heldBytes() == 0U);
    RC_ASSERT(governor.openConnections() == 0U);
}

} // namespace waxwingloft::tests
