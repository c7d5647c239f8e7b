#include "heartbeatfront.h"
#include "jobfront.h"
#include "operatorroutes.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace waxwingloft::tests {

namespace {

const std::string Heartbeat = R"({"service":"tune","address":"10.0.0.9:8080","zone":"vejle-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)"
                              R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":2},"labels":["a","r1-3"],"clock_ms":4,"seq":4,"born":77})";

const std::string Routes =
    R"({"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1200,)"
    R"("priority":1,"service":"tune","max_attempts":4,"stretch":3.0,"public":false}],"services":[{"name":"tune","enforces_capacity":false,"spare":false}],)"
    R"("limits":{"max_body_bytes":1000},"tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"guaranteed":{"gpu":24}}]})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST(ParseHeartbeat, ReadsAllThatAnExecutorSays)
{
    const auto heartbeat = parseHeartbeat("i-7", Heartbeat);
    ASSERT_TRUE(succeeded(heartbeat));
    EXPECT_EQ(valueOf(heartbeat).incarnation, (ExecutorIncarnation{"i-7", 77}));
    EXPECT_EQ(valueOf(heartbeat).capacity, (Capacity{16'000, 32'768, 2}));
    EXPECT_EQ(valueOf(heartbeat).labels, (std::vector<std::string>{"a", "r1-3"}));
    EXPECT_FALSE(valueOf(heartbeat).isDraining);
    EXPECT_TRUE(valueOf(parseHeartbeat("i-7", replaced(Heartbeat, "\"ready\"", "\"draining\""))).isDraining);
    EXPECT_EQ(valueOf(parseHeartbeat("i-7", replaced(Heartbeat, "\"ready\"", "\"draining\",\"remaining_ms\":6500"))).drainTimeLeft, Millis(6500));
    const auto unreadable = parseHeartbeat("i-7", replaced(Heartbeat, "\"ready\"", "\"draining\",\"remaining_ms\":\"soon\""));
    ASSERT_TRUE(succeeded(unreadable)) << "that it drains matters more than for how long";
    EXPECT_EQ(valueOf(unreadable).drainTimeLeft, std::nullopt);
    EXPECT_EQ(valueOf(parseHeartbeat("i-7", replaced(Heartbeat, "\"cold_remaining_ms\":0", "\"cold_remaining_ms\":1200"))).coldTimeLeft, Millis(1200));
    EXPECT_EQ(valueOf(parseHeartbeat("i-7", replaced(Heartbeat, "\"cold_remaining_ms\":0", "\"cold_remaining_ms\":1e300"))).coldTimeLeft, Millis(600'000));
    EXPECT_EQ(valueOf(parseHeartbeat("i-7", replaced(Heartbeat, "\"cold_remaining_ms\":0", "\"cold_remaining_ms\":\"soon\""))).coldTimeLeft, Millis(0));
}

TEST(ParseHeartbeat, RefusesThoseOfAnotherWriter)
{
    for (const auto &[from, to] : {std::pair("\"ready\"", "\"resting\""),
                                   std::pair("\"ready\"", "7"),
                                   std::pair("\"seq\":4", "\"seq\":\"four\""),
                                   std::pair("\"seq\":4", "\"sequel\":4"),
                                   std::pair("{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":2}", "[]"),
                                   std::pair("\"service\":\"tune\"", "\"service\":null"),
                                   std::pair("[\"a\",\"r1-3\"]", "[1]"),
                                   std::pair("{\"service\"", "\xff{\"service\"")}) {
        EXPECT_FALSE(succeeded(parseHeartbeat("i-7", replaced(Heartbeat, from, to)))) << to;
    }
}

// An id that is no UTF-8 kept the leader from encoding a job's progress, and a long one is stored with each run.
TEST(ParseHeartbeat, RefusesAnIdThatCannotBeStored)
{
    EXPECT_TRUE(succeeded(parseHeartbeat(std::string(200, 'i'), Heartbeat)));
    for (const auto &id : {std::string(201, 'i'), std::string("i-\xff"), std::string("i 7"), std::string("i\n7")}) {
        EXPECT_FALSE(succeeded(parseHeartbeat(id, Heartbeat))) << id;
    }
}

// A deregister that named an earlier incarnation under the same id was taken for one of the live incarnation.
TEST(ParseDeregistration, ReadsTheIncarnation)
{
    EXPECT_EQ(parseDeregistration("i-7", R"({"born":77})"), (ExecutorIncarnation{"i-7", 77}));
    EXPECT_EQ(parseDeregistration("i-7", ""), (ExecutorIncarnation{"i-7", 0}));
    EXPECT_EQ(parseDeregistration("i-7", R"({"born":"77"})"), (ExecutorIncarnation{"i-7", 0}));
}

TEST(ParseRoutes, ReadsRoutesKeysAndGuarantees)
{
    const auto routes = parseRoutes(Routes);
    ASSERT_TRUE(succeeded(routes));
    const auto &book = valueOf(routes);
    EXPECT_EQ(book.version, 7U);
    const auto *const route = book.find("h.example", "/a/5c0e7a21d94b36f8");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->latencySlack, Millis(1200));
    EXPECT_EQ(route->maxAttempts, 4U);
    EXPECT_EQ(book.quotaByKey.at("k2").workspace, WorkspaceId{"t"});
    EXPECT_EQ(book.quotas.at(WorkspaceId{"t"}).guaranteedAccelerators, 24);
    EXPECT_EQ(book.limits.bodyBytes, 1000U);
}

TEST(ParseRoutes, TheLongestPrefixOfTheHostDecides)
{
    RoutingTable book;
    for (const auto &[name, host, prefix] : {std::tuple("short", "h", "/a/"), std::tuple("long", "h", "/a/b/"), std::tuple("other", "g", "/a/b/c/")}) {
        Route route;
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        book.routes.push_back(route);
    }
    EXPECT_EQ(book.find("h", "/a/b/c/1")->name, "long");
    EXPECT_EQ(book.find("h", "/a/c/1")->name, "short");
    EXPECT_EQ(book.find("h", "/b/"), nullptr);
    EXPECT_EQ(book.find("x", "/a/"), nullptr);
}

TEST(OperatorRoutes, KeepsTheNewestVersionAndIgnoresWhatItCannotRead)
{
    class SystemEvents
    {
    public:
        SystemClock clock;
        EventLog log{this->clock, "test", 100};
    };
    SystemEvents events;
    Published<RoutingTable> published{RoutingTable()};
    int told = 0;
    OperatorRoutes routes(published, events.log, [&told](const RoutingTable &) { ++told; });
    routes.reset({{{"op/config", Routes, 3, ""}}, 3});
    routes.apply({{{{"op/config", replaced(Routes, "\"version\":7", "\"version\":5"), 4, ""}, false}}, 4});
    routes.apply({{{{"op/config", "rubbish", 5, ""}, false}, {{"op/wave/1", "{}", 5, ""}, false}}, 5});
    EXPECT_EQ(published.copy().version, 7U);
    routes.apply({{{{"op/config", replaced(Routes, "\"version\":7", "\"version\":9"), 6, ""}, false}}, 6});
    EXPECT_EQ(published.copy().version, 9U);
    EXPECT_EQ(told, 2);
}

TEST(ParseGraph, ReadsSteps)
{
    const auto graph =
        parseGraph(R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"data_rack":"r1-3"},)"
                   R"({"count":20,"cpu":2000,"mem_mb":1024,"gpu":1,"estimate_ms":7000,"after":[0],"checkpointing":true,"gang":true,"same_rack":true}]})");
    ASSERT_TRUE(succeeded(graph));
    const auto &steps = valueOf(graph).steps;
    ASSERT_EQ(steps.size(), 2U);
    EXPECT_EQ(steps[0].dataRack, "r1-3");
    EXPECT_EQ(steps[1].after, std::vector<std::uint32_t>{0});
    EXPECT_TRUE(steps[1].isGang && steps[1].prefersOneRack && steps[1].isCheckpointing);
    EXPECT_EQ(steps[1].needs, (Capacity{2000, 1024, 1}));
    EXPECT_EQ(criticalPath(valueOf(graph)), Millis(7900));
    EXPECT_TRUE(succeeded(checkGraph(valueOf(graph), JobBounds())));
}

TEST(ParseGraph, RefusesWhatIsNoJob)
{
    for (const auto *body : {"", "[]", "{}", R"({"spec":7,"steps":[]})", R"({"spec":"s","steps":[7]})", R"({"spec":"s","steps":[{"count":"x"}]})"}) {
        EXPECT_FALSE(succeeded(parseGraph(body))) << body;
    }
}

TEST(CheckGraph, RefusesCyclesAndBadCounts)
{
    for (const auto *body : {R"({"spec":"s","steps":[]})",
                             R"({"spec":"s","steps":[{"count":0}]})",
                             R"({"spec":"s","steps":[{"count":1000000}]})",
                             R"({"spec":"s","steps":[{"count":1,"after":[0]}]})",
                             R"({"spec":"s","steps":[{"count":1,"after":[1]},{"count":1,"after":[0]}]})",
                             R"({"spec":"s","steps":[{"count":1,"cpu":-5}]})",
                             R"({"spec":"s","times":100000,"steps":[{"count":1}]})"}) {
        const auto graph = parseGraph(body);
        ASSERT_TRUE(succeeded(graph)) << body;
        const auto checked = checkGraph(valueOf(graph), JobBounds());
        ASSERT_FALSE(succeeded(checked)) << body;
        EXPECT_FALSE(errorOf(checked).remedy.empty()) << body;
    }
}

TEST(PlatformParsers, BearArbitraryBytes)
{
    const bool holds = rc::check("no parser throws", [](const std::string &bytes) {
        (void)parseGraph(bytes);
        (void)parseHeartbeat("i", bytes);
        (void)parseRoutes(bytes);
    });
    EXPECT_TRUE(holds);
}

// A count above the largest number of its type was taken for a small one, so that a job of one task was accepted in its place.
TEST(ParseGraph, ACountThatIsTooLargeStaysTooLarge)
{
    for (const std::string body : {R"({"spec":"","steps":[{"count":4294967297}]})",
                                   R"({"spec":"","steps":[{"count":1}],"times":4294967297})",
                                   R"({"spec":"","steps":[{"count":18446744073709551615}]})",
                                   R"({"spec":"","steps":[{"count":-1}]})"}) {
        const auto graph = parseGraph(body);
        ASSERT_TRUE(succeeded(graph)) << body;
        EXPECT_FALSE(succeeded(checkGraph(valueOf(graph), JobBounds()))) << body;
    }
}

} // namespace waxwingloft::tests
