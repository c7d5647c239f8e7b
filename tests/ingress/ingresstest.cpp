#include "ingresssite.h"
#include "misbehaviour.h"

#include <array>
#include <gtest/gtest.h>
#include <tuple>

namespace waxwingloft::tests {

namespace {

constexpr auto StartPatience = Millis(20'000);
constexpr auto Patience = Millis(15'000); ///< far above what a request takes, so that a busy machine changes no verdict
constexpr auto SendingTime = Millis(6000); ///< longest time for a crowd to send, before others are looked at
constexpr auto WorkTime = Millis(3000);
constexpr auto FirstJob = "0000000000000001";
constexpr auto NextJob = "0000000000000002";

// The machines of the platform.
[[maybe_unused]] constexpr std::size_t EntryMemoryKib = std::size_t(160) * 1024;
[[maybe_unused]] constexpr std::size_t AgentMemoryKib = std::size_t(128) * 1024;
constexpr std::size_t EntryDescriptors = 4100;
constexpr std::size_t AgentDescriptors = 4096;

constexpr std::array<Target, 4> MixedTargets = {Target::Route, Target::NoRoute, Target::Readiness, Target::Heartbeats};

std::string addressOf(const IngressSite &site, Target target)
{
    switch (target) {
    case Target::Readiness:
        return site.readyAddress();
    case Target::Heartbeats:
        return site.heartbeatAddress();
    case Target::Operator:
        return site.operatorAddress();
    default:
        return site.frontAddress();
    }
}

void expectInBounds(IngressSite &site)
{
    ASSERT_TRUE(site.entry->isAlive());
    ASSERT_TRUE(site.agent->isAlive());
#ifndef WAXWINGLOFT_SANITIZED
    EXPECT_LE(site.entry->peakResidentKib(), EntryMemoryKib);
    EXPECT_LE(site.agent->peakResidentKib(), AgentMemoryKib);
#endif
    EXPECT_LE(site.entry->descriptors(), EntryDescriptors);
    EXPECT_LE(site.agent->descriptors(), AgentDescriptors);
}

/** What holds after each crowd, while its connections are still open. */
void expectServed(IngressSite &site, const std::string &job)
{
    expectInBounds(site);
    EXPECT_TRUE(site.isReady(Patience)) << "readiness is not answered";
    EXPECT_TRUE(site.answersOperator(Patience)) << "an operator is not answered";
    ASSERT_TRUE(site.takesHeartbeat(Patience)) << "a heartbeat is not accepted";
    ASSERT_TRUE(site.submit(job, Patience)) << "an ordinary submission is not accepted";
    ASSERT_TRUE(site.waitUntilDone(FirstJob, Patience + WorkTime)) << "a job that was accepted before does not end";
    expectInBounds(site);
}

/** A site with a job in hand. */
void prepare(IngressSite &site)
{
    ASSERT_TRUE(site.waitUntilReady(StartPatience));
    ASSERT_TRUE(site.submit(FirstJob, StartPatience));
}

} // namespace

using HostileCase = std::tuple<Misbehaviour, Target>;

class HostileClients : public ::testing::TestWithParam<HostileCase>
{
};

std::string nameOfCase(const ::testing::TestParamInfo<HostileCase> &parameter)
{
    const auto [kind, target] = parameter.param;
    return std::string(nameOf(kind)) + "At" + std::string(nameOf(target));
}

/** Guards against clients that take a process's memory, descriptors or threads from all others. */
TEST_P(HostileClients, LeaveAProcessInItsBoundsAndServing)
{
    const auto [kind, target] = GetParam();
    IngressSite site(WorkTime);
    ASSERT_NO_FATAL_FAILURE(prepare(site));
    Crowd crowd(addressOf(site, target), crowdOf(kind, target), scriptOf(kind, target));
    crowd.waitUntilQuiet(SendingTime);
    expectServed(site, NextJob);
}

INSTANTIATE_TEST_SUITE_P(Each,
                         HostileClients,
                         ::testing::Combine(::testing::Values(Misbehaviour::BodyInOnePiece,
                                                              Misbehaviour::BodyInSmallPieces,
                                                              Misbehaviour::BodyInChunks,
                                                              Misbehaviour::OversizedBody,
                                                              Misbehaviour::OversizedChunks,
                                                              Misbehaviour::HeaderFields,
                                                              Misbehaviour::JsonFields,
                                                              Misbehaviour::DeepNesting,
                                                              Misbehaviour::PipelinedRequests,
                                                              Misbehaviour::SlowSender,
                                                              Misbehaviour::SlowReader,
                                                              Misbehaviour::HalfClosed,
                                                              Misbehaviour::IdleConnections),
                                            ::testing::Values(Target::Route, Target::NoRoute, Target::Readiness, Target::Heartbeats, Target::Operator)),
                         nameOfCase);

/** Guards against kinds that each pass alone and together do not: 50 clients of each, at each address, at the same time. */
TEST(HostileMixture, LeavesAProcessInItsBoundsAndServing)
{
    constexpr std::size_t ClientsOfEach = 50;
    IngressSite site(WorkTime);
    ASSERT_NO_FATAL_FAILURE(prepare(site));
    std::vector<std::unique_ptr<Crowd>> crowds;
    for (std::size_t kind = 0; kind < NameTable<Misbehaviour>::names.size(); ++kind) {
        for (const auto target : MixedTargets) {
            crowds.push_back(std::make_unique<Crowd>(addressOf(site, target), ClientsOfEach, scriptOf(static_cast<Misbehaviour>(kind), target)));
        }
    }
    for (const auto &crowd : crowds) {
        crowd->waitUntilQuiet(Millis(200));
    }
    expectServed(site, NextJob);
}

/** Guards against what a crowd leaves behind when it has gone: one kind after the other at one process. */
TEST(HostileSequence, LeavesAProcessInItsBoundsAndServing)
{
    constexpr std::size_t ClientsOfEach = 100;
    IngressSite site(WorkTime);
    ASSERT_NO_FATAL_FAILURE(prepare(site));
    for (std::size_t kind = 0; kind < NameTable<Misbehaviour>::names.size(); ++kind) {
        for (const auto target : MixedTargets) {
            Crowd crowd(addressOf(site, target), ClientsOfEach, scriptOf(static_cast<Misbehaviour>(kind), target));
            crowd.waitUntilQuiet(Millis(500));
            ASSERT_NO_FATAL_FAILURE(expectInBounds(site));
        }
    }
    expectServed(site, NextJob);
}

} // namespace waxwingloft::tests
