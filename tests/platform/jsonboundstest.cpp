#include "jsonbounds.h"
#include "jobfront.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

TEST(JsonBounds, TellsTextsWithinTheBoundsFromOthers)
{
    const JsonBounds bounds{2, 5};
    EXPECT_TRUE(succeeded(checkJson(R"({"a":[1,2]})", bounds)));
    EXPECT_EQ(errorOf(checkJson("[1,2,3,4,5]", bounds)).kind, ErrorKind::TooLarge);
    EXPECT_EQ(errorOf(checkJson("[[[]]]", bounds)).kind, ErrorKind::TooLarge);
    EXPECT_EQ(errorOf(checkJson("[1,2", bounds)).kind, ErrorKind::InvalidInput);
    EXPECT_EQ(errorOf(checkJson("", bounds)).kind, ErrorKind::InvalidInput);
}

/** Guards against a submission of legal size that takes a hundred times its bytes as a tree. */
TEST(JsonBounds, KeepSubmissionsOfVeryManyShortElementsFromBeingBuilt)
{
    std::string body = R"({"spec":"s","steps":[{})";
    while (body.size() < 262'000) {
        body += ",{}";
    }
    const auto graph = parseGraph(body + "]}");
    ASSERT_FALSE(succeeded(graph));
    EXPECT_EQ(errorOf(graph).kind, ErrorKind::TooLarge);
}

} // namespace waxwingloft::tests
