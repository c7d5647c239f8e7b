#include "../process/faketable.h"
#include "waxwingloft/version/settingspublisher.h"
#include "waxwingloft/version/settingsstore.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace waxwingloft::tests {

namespace {

SettingsChange set(const std::string &path, const nlohmann::json &value, SettingsVersion expected = 0)
{
    return {SettingsAction::Set, path, value, expected, "tester"};
}

Status acceptAll(const SettingsTree & /*tree*/)
{
    return Done{};
}

/** A settings store with its own connection to the table, as in one operator's process. */
struct Operator {
    explicit Operator(FakeRows &rows)
        : view(rows, this->plan, "operator", std::make_shared<bool>(true))
        , store(this->view, this->ids)
    {
    }

    FaultPlan plan;
    FakeTable view;
    IdSource ids{7};
    SettingsStore store;
};

} // namespace

TEST(SettingsTreeTest, aRaceOfOperatorsEndsInOneWinnerAndANamedConflict)
{
    FakeRows rows;
    Operator first(rows);
    Operator second(rows);
    ASSERT_TRUE(succeeded(first.store.commit(set("/teams/a/note", "1"), &acceptAll)));
    ASSERT_TRUE(succeeded(second.store.load()));
    EXPECT_TRUE(succeeded(first.store.commit(set("/teams/a/note", "2", 1), &acceptAll)));
    const auto lost = second.store.commit(set("/teams/a/note", "3", 1), &acceptAll);
    ASSERT_FALSE(succeeded(lost));
    EXPECT_EQ(errorOf(lost).kind, ErrorKind::Conflict);
    EXPECT_NE(errorOf(lost).message.find("changed to version 2 by tester"), std::string::npos);
    EXPECT_TRUE(succeeded(second.store.commit(set("/teams/b/note", "4"), &acceptAll))) << "a change of another team does not conflict";
}

TEST(SettingsTreeTest, neverRevertsAndHealsAGap)
{
    SystemClock clock;
    EventLog events(clock, "n", 10);
    SettingsPublisher publisher(events);
    EXPECT_TRUE(publisher.offer({0, 2, {{TeamId{"a"}, 2, {{"note", "new"}}, "t"}}}));
    EXPECT_FALSE(publisher.offer({0, 1, {{TeamId{"a"}, 1, {{"note", "old"}}, "t"}}}));
    EXPECT_FALSE(publisher.offer({4, 5, {{TeamId{"a"}, 5, {{"note", "gap"}}, "t"}}})) << "the delta does not contain the changes of versions 3 and 4";
    EXPECT_EQ(publisher.version(), 2U);
    EXPECT_TRUE(publisher.offer({2, 5, {{TeamId{"a"}, 5, {{"note", "whole"}}, "t"}}}));
    EXPECT_FALSE(publisher.offer({5, 6, {{TeamId{"a"}, 6, {{"kinds", 1}}, "t"}}})) << "an invalid version is rejected and the last valid one stays";
    EXPECT_EQ(publisher.version(), 5U);
}

TEST(SettingsTreeTest, movesATeamWholeAndHidesItsTokens)
{
    FakeRows rows;
    Operator op(rows);
    const auto workspaces = nlohmann::json{{"w", {{"tokens", {"a-long-token"}}}}};
    ASSERT_TRUE(succeeded(op.store.commit(set("/teams/a", {{"workspaces", workspaces}}), &acceptAll)));
    ASSERT_TRUE(succeeded(op.store.commit({SettingsAction::Move, "/teams/a", "b", 0, "tester"}, &acceptAll)));
    SettingsTree tree;
    tree.apply(op.store.deltaSince(0));
    EXPECT_FALSE(succeeded(tree.valueAt("/teams/a")));
    const auto moved = tree.valueAt("/teams/b/workspaces");
    ASSERT_TRUE(succeeded(moved));
    EXPECT_EQ(valueOf(moved), workspaces);
    EXPECT_EQ(hideTokens(valueOf(moved)).dump().find("a-long-token"), std::string::npos);
}

TEST(SettingsParserTest, reportsEveryMistakeAndKeepsUnknownKeys)
{
    SettingsTree tree;
    tree.version = 1;
    const auto value = nlohmann::json::parse(R"({"kinds": {"k": {"urgency": "urgnt", "deadline_ms": -1, "colour": 1}},
        "workspaces": {"w": {"tokens": ["short"], "guarantees": [{"accelerators": 0}]}}})");
    tree.teams[TeamId{"t"}] = {TeamId{"t"}, 1, value, ""};
    const auto parsed = parseSettings(tree);
    EXPECT_FALSE(parsed.isUsable());
    const auto has = [&parsed](const std::string &path) {
        return std::any_of(parsed.mistakes.begin(), parsed.mistakes.end(), [&path](const Mistake &mistake) { return mistake.path.starts_with(path); });
    };
    for (const auto *path : {"/teams/t/kinds/k/urgency",
                             "/teams/t/kinds/k/deadline_ms",
                             "/teams/t/kinds/k/colour",
                             "/teams/t/workspaces/w/tokens",
                             "/teams/t/workspaces/w/guarantees/0"}) {
        EXPECT_TRUE(has(path)) << path;
    }
}

/** Parsing arbitrary JSON neither throws nor crashes. */
TEST(SettingsParserTest, survivesArbitraryTrees)
{
    const auto anyValue = [](int depth, auto &self) -> nlohmann::json {
        const auto keys = std::vector<std::string>{"kinds", "workspaces", "guarantees", "tokens", "k", "tasks", "urgency", "accelerators", "\xff\x01"};
        switch (*rc::gen::inRange(0, depth > 3 ? 4 : 6)) {
        case 0:
            return *rc::gen::arbitrary<std::int64_t>();
        case 1:
            return *rc::gen::arbitrary<std::string>();
        case 2:
            return *rc::gen::arbitrary<bool>();
        case 3:
            return *rc::gen::arbitrary<double>();
        case 4: {
            auto list = nlohmann::json::array();
            for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
                list.push_back(self(depth + 1, self));
            }
            return list;
        }
        default: {
            auto object = nlohmann::json::object();
            for (int count = *rc::gen::inRange(0, 5); count > 0; --count) {
                object[*rc::gen::elementOf(keys)] = self(depth + 1, self);
            }
            return object;
        }
        }
    };
    EXPECT_TRUE(rc::check("parsing any tree ends", [&anyValue] {
        SettingsTree tree;
        tree.version = 1;
        tree.teams[TeamId{"t"}] = {TeamId{"t"}, 1, anyValue(0, anyValue), ""};
        const auto parsed = parseSettings(tree);
        RC_ASSERT(parsed.settings.teams.size() <= 1);
    }));
}

} // namespace waxwingloft::tests
