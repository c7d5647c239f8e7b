#include "readyjobs.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

const Capacity Whole{128'000, 262'144, 8};
const Capacity One{16'000, 32'768, 1};
constexpr auto LongestStand = Millis(3000); ///< the users' rule

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

} // namespace waxwingloft::tests
