#include "waxwingloft/request/placerdirectory.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

const std::string PlacerRow(PlacerKey);

RowChange changeOf(const std::string &key, const PlacerRecord &record, std::uint64_t revision)
{
    return {{key, encodePlacer(record), revision, "op"}, false};
}

} // namespace

// Rows of entries are written without a condition, so a late write can bring an old one back; nothing is decided by them.
TEST(PlacerDirectory, ALateRowOfAnEntryChangesNoLeadingPlacer)
{
    PlacerDirectory directory(NodeId{"agent"});
    const NodeId entry{"entry-1"};
    directory.apply({{changeOf(PlacerRow, {entry, "b:2"}, 10), changeOf(entryKey(entry), {entry, "b:2"}, 11)}, 11});
    directory.apply({{changeOf(entryKey(entry), {entry, "b:1"}, 12)}, 12});
    EXPECT_EQ(directory.placerAddress(), "b:2");
    EXPECT_EQ(directory.peers(), std::vector<std::string>{"b:1"}) << "peers relay calls on the table, which are conditional themselves";
    directory.apply({{{{entryKey(entry), "", 13, "op"}, true}}, 13});
    EXPECT_EQ(directory.placerAddress(), "b:2");
}

TEST(PlacerDirectory, AnEarlierPlacerRowChangesNothing)
{
    PlacerDirectory directory(NodeId{"agent"});
    directory.apply({{changeOf(PlacerRow, {NodeId{"entry-2"}, "c:1"}, 10)}, 10});
    directory.apply({{changeOf(PlacerRow, {NodeId{"entry-1"}, "b:1"}, 9)}, 10});
    EXPECT_EQ(directory.placerAddress(), "c:1");
}

} // namespace waxwingloft::tests
