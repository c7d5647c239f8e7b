#include "readyjobs.h"

#include <array>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace waxwingloft::tests {

namespace {

const Capacity Whole{128'000, 262'144, 8};
const Capacity One{16'000, 32'768, 1};
constexpr auto LongestStand = Millis(3000); ///< the users' rule
constexpr auto FinishTime = Millis(14'000); ///< after the end of the traffic, from which on the users look

/** Starts one task that lasts on the first executor of each rack of three. */
void occupyEachRack(JobSite &site, ReadyJobs &ready)
{
    for (auto &agent : site.agents) {
        agent.executor->runOf = [](const StartOrder &order) {
            FakeRun run;
            run.endsAt = order.spec == "lasting" ? Millis(60'000) : Millis(2000);
            return run;
        };
    }
    for (std::size_t index = 0; index < site.agents.size(); ++index) {
        site.agents[index].executor->isDraining = index % 3 != 0;
    }
    ready.advance(Millis(2000));
    auto graph = oneStep(static_cast<std::uint32_t>(site.agents.size() / 3), One);
    graph.spec = "lasting";
    graph.steps[0].maxPerExecutor = 1;
    graph.steps[0].estimate = Millis(60'000);
    ready.expect(site.submit(graph, 2), graph);
    ready.advance(Millis(1000));
    for (auto &agent : site.agents) {
        agent.executor->isDraining = false;
    }
    ready.advance(Millis(2000));
}

} // namespace

// One small task in each rack kept gangs that prefer one rack from starting for as long as it ran, in a fleet that was nearly empty.
TEST(ReadyJobs, AGangThatPrefersOneRackStartsOnSeveralWhenNoneBecomesFreeInTime)
{
    JobSite site(9);
    ReadyJobs ready(site, LongestStand);
    occupyEachRack(site, ready);
    auto gang = oneStep(3, Whole, true);
    gang.steps[0].prefersOneRack = true;
    const auto job = site.submit(gang);
    ready.expect(job, gang);
    ready.advance(Millis(10'000));
    ready.expectNone();
    EXPECT_EQ(site.stateOf(job), JobPhase::Completed);
    expectNoViolations(site);
}

// Most agents were out of reach of the placer, and a gang kept clear for itself what the others had free, in a fleet that was mostly idle.
TEST(ReadyJobs, ASmallJobStartsBesideAGangThatWaitsForExecutorsOutOfReach)
{
    const Capacity most{80'000, 163'840, 5};
    JobSite site(9);
    ReadyJobs ready(site, LongestStand);
    makeRunsLastFor(site, Millis(60'000));
    for (std::size_t index = 3; index < site.agents.size(); ++index) {
        site.agents[index].isCut = true;
    }
    ready.advance(Millis(2500));
    const auto filling = oneStep(3, most);
    ready.expect(site.submit(filling), filling);
    ready.advance(Millis(1000));
    site.submit(oneStep(3, Whole, true), 1);
    ready.advance(Millis(500));
    auto small = oneStep(1, One);
    small.steps[0].estimate = Millis(600'000); // ranks below the gang
    const auto job = site.submit(small, 2);
    ready.expect(job, small);
    ready.advance(Millis(5000));
    ready.expectNone();
    EXPECT_EQ(site.checker.starts.count({job, 0, 0, 0}), 1U);
}

/** Jobs of all shapes on executors that are sound, with pauses in which the fleet becomes empty. */
class ReadyJobsLoads : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(ReadyJobsLoads, NoneStandsBesideRoom)
{
    std::mt19937_64 random(GetParam());
    const auto draw = [&random](std::uint64_t below) { return random() % below; };
    JobSite site(12);
    ReadyJobs ready(site, LongestStand);
    std::map<JobId, Millis> timeOf;
    for (auto &agent : site.agents) {
        agent.executor->runOf = [&timeOf](const StartOrder &order) {
            FakeRun run;
            run.endsAt = timeOf.at(order.run.task.job);
            return run;
        };
    }
    for (int round = 0; round < 60; ++round) {
        const auto isNarrow = draw(2) == 0;
        auto graph = drawStep(draw, isNarrow ? 3 : 12, {Capacity{52'000, 120'000, static_cast<std::int64_t>(1) << draw(4)}, Capacity{11'000, 20'000, 1}});
        graph.steps[0].prefersOneRack = graph.steps[0].isGang && draw(3) != 0;
        const auto estimate = Millis(1000 + static_cast<std::int64_t>(draw(10'000)));
        graph.steps[0].estimate = estimate;
        const auto job = site.submit(graph, static_cast<int>(draw(3)));
        // Estimates are off by a quarter, and now and then by far.
        timeOf[job] = draw(15) == 0 ? estimate * 4 : estimate * static_cast<std::int64_t>(75 + draw(50)) / 100;
        ready.expect(job, graph);
        ready.advance(Millis(static_cast<std::int64_t>(draw(8) == 0 ? draw(15'000) : draw(900))));
    }
    ready.advance(Millis(60'000));
    ready.expectNone();
    expectNoViolations(site);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ReadyJobsLoads, testing::Range<std::uint64_t>(1, 13));

/** Faults of every kind, alone and together, which end; jobs that are left must not stand any more once the users look. */
class ReadyJobsFaults : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(ReadyJobsFaults, NoneStandsOnceTheUsersLook)
{
    std::mt19937_64 random(GetParam());
    const auto draw = [&random](std::uint64_t below) { return random() % below; };
    JobSite site(9);
    ReadyJobs ready(site, LongestStand);
    std::map<JobId, Millis> timeOf;
    for (auto &agent : site.agents) {
        agent.executor->lateBy = Millis(500 + static_cast<std::int64_t>(draw(11'500)));
        agent.executor->runOf = [&timeOf, &draw](const StartOrder &order) {
            FakeRun run;
            run.endsAt = timeOf.at(order.run.task.job);
            run.endsAs = draw(20) == 0 ? RunEnd::Failed : RunEnd::Done;
            return run;
        };
    }
    // What is wrong now, by the time at which it ends.
    std::multimap<Instant, std::function<void()>> ends;
    const auto advance = [&site, &ends](Millis duration) {
        constexpr auto Tick = Millis(10);
        for (auto passed = Millis(0); passed < duration; passed += Tick) {
            site.advance(Tick);
            while (!ends.empty() && ends.begin()->first <= site.clock.now()) {
                ends.begin()->second();
                ends.erase(ends.begin());
            }
        }
    };
    const auto begin = [&](std::uint64_t kind) {
        auto &agent = site.agents[draw(site.agents.size())];
        const auto until = site.clock.now() + Millis(300 + static_cast<std::int64_t>(draw(6000)));
        const auto end = [&ends, until](std::function<void()> action) { ends.emplace(until, std::move(action)); };
        auto &leader = site.placers[*site.leader];
        switch (kind) {
        case 0:
            leader.reachesTable = false;
            end([&leader] { leader.reachesTable = true; });
            break;
        case 1:
            site.elect(draw(site.placers.size()));
            break;
        case 2:
            agent.isCut = true;
            end([&agent] { agent.isCut = false; });
            break;
        case 3:
            agent.executor->isUnreachable = true;
            end([&agent] { agent.executor->isUnreachable = false; });
            break;
        case 4:
            agent.executor->crash();
            break;
        case 5:
            agent.executor->fate = std::array{OrderFate::Lost, OrderFate::Delayed, OrderFate::AnswerLost, OrderFate::Unhealthy}.at(draw(4));
            end([&agent] { agent.executor->fate = OrderFate::Answered; });
            break;
        case 6:
            site.restartAgent(draw(site.agents.size()));
            break;
        case 7:
            for (auto &other : site.agents) {
                other.isCut = true;
            }
            end([&site] {
                for (auto &other : site.agents) {
                    other.isCut = false;
                }
            });
            break;
        default:
            agent.executor->isStalled = true;
            end([&agent] { agent.executor->isStalled = false; });
            break;
        }
    };
    for (int round = 0; round < 25; ++round) {
        auto graph = drawStep(draw, 6, {Capacity{52'000, 120'000, static_cast<std::int64_t>(1) << draw(4)}, Capacity{11'000, 20'000, 1}});
        graph.steps[0].prefersOneRack = graph.steps[0].isGang && draw(2) == 0;
        graph.steps[0].estimate = Millis(1000 + static_cast<std::int64_t>(draw(6000)));
        const auto job = site.submit(graph, static_cast<int>(draw(3)));
        timeOf[job] = graph.steps[0].estimate * static_cast<std::int64_t>(75 + draw(50)) / 100;
        ready.expect(job, graph);
        if (draw(2) == 0) {
            begin(draw(9));
        }
        advance(Millis(static_cast<std::int64_t>(draw(1500))));
    }
    // Faults go on until the end of the traffic, and the longest of them for 6.3 s after it.
    advance(FinishTime);
    ready.advance(Millis(60'000));
    ready.expectNone();
    expectNoViolations(site);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ReadyJobsFaults, testing::Range<std::uint64_t>(1, 25));

} // namespace waxwingloft::tests
