#include "operatorzones.h"

#include "process/manualclock.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

Row closing(const std::string &zone, std::uint64_t revision, const std::string &value = "{}")
{
    return {"op/evacuate/" + zone, value, revision, ""};
}

class OperatorZonesTest : public testing::Test
{
protected:
    ManualClock clock;
    ZoneView view;
    int changes = 0;
    OperatorZones zones{this->view, this->clock, [this] { ++this->changes; }};
};

} // namespace

TEST_F(OperatorZonesTest, FollowsTheRowsThatCloseZones)
{
    this->zones.reset({{{"op/config", "{}", 1, ""}, closing("a", 2)}, 2});
    EXPECT_TRUE(this->view.isClosed("a"));
    EXPECT_FALSE(this->view.isClosed("b"));
    this->zones.apply({{{closing("b", 3), false}, {closing("a", 4), true}}, 4});
    EXPECT_FALSE(this->view.isClosed("a"));
    EXPECT_TRUE(this->view.isClosed("b"));
    this->zones.apply({{}, 4});
    EXPECT_EQ(this->changes, 2) << "an empty batch changes nothing";
    this->zones.reset({{}, 9});
    EXPECT_FALSE(this->view.isClosed("b")) << "the list replaces all that was known";
}

/** A value that cannot be read must not leave a zone open that the operator has closed. */
TEST_F(OperatorZonesTest, ARowThatCannotBeReadClosesItsZone)
{
    this->zones.reset({{closing("a", 2, "{\"at\":"), closing("b", 3, std::string("\xff\x00", 2)), closing("c", 4, ""), {"op/evacuate/", "{}", 5, ""}}, 5});
    EXPECT_EQ(this->view.closures().zones.size(), 3U);
    EXPECT_FALSE(this->view.isClosed("")) << "a row that names no zone closes none";
}

TEST_F(OperatorZonesTest, TellsAZoneThatWasOpenedAndClosedAgainFromOneThatStayedClosed)
{
    this->zones.reset({{closing("a", 2)}, 2});
    const auto first = this->view.closures().zones.at("a");
    this->clock.advance(Millis(700));
    this->zones.reset({{closing("a", 2)}, 3});
    EXPECT_EQ(this->view.closures().zones.at("a"), first);
    this->zones.apply({{{closing("a", 4), true}, {closing("a", 5), false}}, 5});
    EXPECT_EQ(this->view.closures().zones.at("a").revision, 5U);
    EXPECT_EQ(this->view.closures().zones.at("a").firstSeenAt, this->clock.now());
    EXPECT_EQ(this->changes, 2);
}

/** A list in pages may hold rows that are newer than its revision, after which the feed repeats what came before them. */
TEST_F(OperatorZonesTest, ARemovalThatAListHasOvertakenOpensNothing)
{
    this->zones.reset({{closing("a", 6)}, 3});
    this->zones.apply({{{closing("a", 5), true}}, 5});
    EXPECT_TRUE(this->view.isClosed("a"));
    this->zones.apply({{{closing("a", 7), true}}, 7});
    EXPECT_FALSE(this->view.isClosed("a"));
}

TEST_F(OperatorZonesTest, KnowsTheRowsOnlyOnceTheyWereSeen)
{
    EXPECT_EQ(this->view.knownAsOf(), std::nullopt);
    this->zones.reset({{}, 1});
    this->zones.seenAt(this->clock.now());
    EXPECT_EQ(this->view.knownAsOf(), this->clock.now());
}

} // namespace waxwingloft::tests
