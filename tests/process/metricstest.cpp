#include "waxwingloft/process/metrics.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace waxwingloft::tests {

namespace {

bool hasLine(const Metrics &metrics, const std::string &line)
{
    return metrics.text().find("\n" + line + "\n") != std::string::npos;
}

CountersBy<Outcome> someCounters(Metrics &metrics)
{
    return {metrics, "some_total", "Some by their outcome", "outcome"};
}

} // namespace

// A counter that appears only with its first event cannot be watched for its rise.
TEST(Metrics, EveryNameOfATableIsShownFromTheStart)
{
    Metrics metrics;
    const auto counters = someCounters(metrics);
    for (const auto name : NameTable<Outcome>::names) {
        EXPECT_TRUE(hasLine(metrics, "some_total{outcome=\"" + std::string(name) + "\"} 0")) << name;
    }
    counters.add(Outcome::Failed);
    EXPECT_TRUE(hasLine(metrics, "some_total{outcome=\"failed\"} 1"));
    EXPECT_TRUE(hasLine(metrics, "some_total{outcome=\"done\"} 0"));
}

// A second owner of the same counters would otherwise hide what the first one counted.
TEST(Metrics, TwoOwnersOfACounterAddToTheSameOne)
{
    Metrics metrics;
    const auto first = someCounters(metrics);
    const auto second = someCounters(metrics);
    first.add(Outcome::Done);
    second.add(Outcome::Done);
    EXPECT_TRUE(hasLine(metrics, "some_total{outcome=\"done\"} 2"));
}

// Additions of several threads must not be lost.
TEST(Metrics, AdditionsOfSeveralThreadsAllCount)
{
    Metrics metrics;
    const auto counters = someCounters(metrics);
    std::vector<std::thread> threads;
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&counters, &metrics] {
            for (int round = 0; round < 1000; ++round) {
                counters.add(Outcome::Done);
                metrics.addOutcome(Outcome::Unknown);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    EXPECT_TRUE(hasLine(metrics, "some_total{outcome=\"done\"} 4000"));
    EXPECT_TRUE(hasLine(metrics, "waxwingloft_outcomes_total{outcome=\"unknown\"} 4000"));
}

} // namespace waxwingloft::tests
