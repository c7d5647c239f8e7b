#include "waxwingloft/request/executorspeeds.h"

#include <array>
#include <cmath>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace waxwingloft::tests {

namespace {

constexpr std::size_t Nodes = 20;

/** Executors that do steps of uneven tasks, as a fleet with patient work would report them. */
class Fleet
{
public:
    explicit Fleet(std::uint32_t seed)
        : random(seed)
    {
        this->speedOf.fill(1.0);
    }

    /** Reports @p steps steps of one task on each executor whose lengths differ by about 0.3, one in 33 being seven times as long. */
    void work(int steps)
    {
        for (int step = 0; step < steps; ++step, ++this->nextStep) {
            const TaskKey key{JobId{std::to_string(this->nextStep)}, 0, 0, 0};
            const double rate = std::exp(this->draw() * 2.0 - 1.0);
            std::array<double, Nodes> rates{};
            for (std::size_t node = 0; node < Nodes; ++node) {
                const double uneven = std::exp(0.7 * (this->draw() + this->draw() - 1.0)) * (this->draw() < 1.0 / 33.0 ? 7.0 : 1.0);
                rates.at(node) = rate * this->speedOf.at(node) / uneven;
            }
            // Each run shows its pace twice before it ends.
            for (std::uint32_t report = 0; report < 2 * Nodes; ++report) {
                const auto node = static_cast<std::uint32_t>(report % Nodes);
                this->speeds.observe(nodeOf(node), key, {{key.job, 0, 0, node}, 1}, rates.at(node), false, this->now);
            }
            this->now += Millis(1000);
            this->speeds.refresh(this->now, Nodes);
        }
    }

    static NodeId nodeOf(std::size_t index)
    {
        return NodeId{"n" + std::to_string(index)};
    }

    std::array<double, Nodes> speedOf{};
    ExecutorSpeeds speeds;
    Instant now{Millis(1000)};

private:
    double draw()
    {
        return static_cast<double>(this->random() >> 11U) / 9007199254740992.0;
    }

    std::mt19937_64 random;
    int nextStep = 0;
};

} // namespace

// A fleet of even speed whose tasks differ in length would be packed by chance instead of by capacity.
RC_GTEST_PROP(ExecutorSpeeds, AnEvenFleetHasOneClassOfSpeed, (std::uint32_t seed))
{
    Fleet fleet(seed);
    for (int round = 0; round < 40; ++round) {
        fleet.work(1);
        RC_ASSERT(!fleet.speeds.slowerSpeed().has_value());
    }
}

RC_GTEST_PROP(ExecutorSpeeds, FindsTheSlowQuarterWhateverTheTasks, (std::uint32_t seed))
{
    Fleet fleet(seed);
    for (std::size_t node = 0; node < Nodes; node += 4) {
        fleet.speedOf.at(node) = 0.55 / 1.2;
    }
    fleet.work(20);
    std::size_t misjudged = 0;
    for (std::size_t node = 0; node < Nodes; ++node) {
        misjudged += (fleet.speeds.of(Fleet::nodeOf(node)) < 1.0) == (node % 4 == 0) ? 0 : 1;
    }
    RC_ASSERT(misjudged <= 1); // one in twenty, as tasks differ by chance
    RC_ASSERT(std::abs(*fleet.speeds.slowerSpeed() - 0.55 / 1.2) < 0.15);
}

// A speed that was a mean over what runs was lost whenever an executor was idle.
TEST(ExecutorSpeeds, KeepsTheSpeedOfAnIdleExecutorUntilItsMachineChanges)
{
    Fleet fleet(1);
    fleet.speedOf[3] = fleet.speedOf[5] = 0.45;
    fleet.work(12);
    fleet.speeds.refresh(fleet.now + Millis(600'000), Nodes);
    EXPECT_LT(fleet.speeds.of(Fleet::nodeOf(3)), 1.0);
    EXPECT_EQ(fleet.speeds.slowerCount(), 2U);
    fleet.speeds.forget(Fleet::nodeOf(3));
    EXPECT_EQ(fleet.speeds.slowerCount(), 1U);
    EXPECT_LT(fleet.speeds.of(Fleet::nodeOf(5)), 1.0);
}

TEST(ExecutorSpeeds, FollowsAnExecutorThatBecomesSlowOrHealthy)
{
    Fleet fleet(2);
    fleet.speedOf[3] = fleet.speedOf[5] = 0.3;
    fleet.work(12);
    fleet.speedOf[3] = 1.0;
    fleet.speedOf[7] = 0.3;
    fleet.work(6);
    EXPECT_EQ(fleet.speeds.of(Fleet::nodeOf(3)), 1.0);
    EXPECT_LT(fleet.speeds.of(Fleet::nodeOf(7)), 1.0);
}

// The members of a gang wait for each other, so a fast one that shows the pace of a slow one says nothing about its executor.
TEST(ExecutorSpeeds, LearnsNothingFromGangsThatMoveInStep)
{
    ExecutorSpeeds speeds;
    Instant now{Millis(1000)};
    for (int step = 0; step < 20; ++step, now += Millis(1000)) {
        const TaskKey key{JobId{std::to_string(step)}, 0, 0, 0};
        for (std::uint32_t node = 0; node < Nodes; ++node) {
            speeds.observe(Fleet::nodeOf(node), key, {{key.job, 0, 0, node}, 1}, 0.4, true, now);
        }
        speeds.refresh(now, Nodes);
    }
    EXPECT_FALSE(speeds.slowerSpeed().has_value());
}

} // namespace waxwingloft::tests
