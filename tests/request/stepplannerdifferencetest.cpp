#include "naivestepplanner.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace waxwingloft::tests {

namespace {

/** Random fleets and queues: several services, racks, labels, gangs over workers, slow workers, workers on trial and over their capacity. */
class RandomLoad
{
public:
    explicit RandomLoad(std::uint64_t seed)
        : random(seed)
    {
        const auto count = 4 + this->draw(30);
        for (std::size_t index = 0; index < count; ++index) {
            const auto rack = "r1-" + std::to_string(index / 5);
            PlannerWorker worker;
            worker.node = NodeId{"w" + std::to_string(index)};
            worker.service = this->draw(8) == 0 ? "other" : "tune";
            worker.rack = rack;
            worker.labels = {this->draw(2) == 0 ? "a" : "b", rack};
            worker.capacity = {128'000, 524'288, 8};
            worker.free = worker.capacity;
            worker.acceptsWork = this->draw(12) != 0;
            worker.countsAsFleet = worker.acceptsWork || this->draw(2) == 0;
            worker.isSlow = this->draw(10) == 0;
            worker.isOnTrial = this->draw(15) == 0;
            this->workers.push_back(std::move(worker));
        }
        const auto runs = count * 4;
        for (std::size_t entry = 0; entry < runs; ++entry) {
            this->addRun();
        }
        const auto queue = 1 + this->draw(20);
        for (std::size_t entry = 0; entry < queue; ++entry) {
            this->addWaiting();
        }
        std::stable_sort(this->waiting.begin(), this->waiting.end(), [](const WaitingTasks &left, const WaitingTasks &right) {
            return std::pair(left.isGuaranteed, left.rank) > std::pair(right.isGuaranteed, right.rank);
        });
    }

    std::vector<PlannerWorker> workers;
    std::vector<WaitingTasks> waiting;
    std::vector<RunningTasks> running;

private:
    std::uint64_t draw(std::uint64_t below)
    {
        return this->random() % below;
    }

    Capacity drawNeeds()
    {
        const Capacity kinds[] = {{11'000, 59'000, 1}, {15'000, 61'000, 2}, {15'000, 61'000, 8}, {52'000, 270'000, 4}, {10'000, 10'000, 0}};
        return kinds[this->draw(5)];
    }

    void addRun()
    {
        RunningTasks entry;
        entry.needs = this->drawNeeds();
        const auto parts = this->draw(4) == 0 ? 1 + this->draw(4) : 1;
        for (std::uint64_t part = 0; part < parts; ++part) {
            const auto worker = this->draw(this->workers.size());
            auto &free = this->workers[worker].free;
            // Now and then a worker is over its capacity.
            if (free.covers(entry.needs) || this->draw(60) == 0) {
                free -= entry.needs;
                entry.parts.push_back({worker, 1});
            }
        }
        if (entry.parts.empty()) {
            return;
        }
        entry.lostWork = static_cast<double>(this->draw(1000));
        entry.stopCost = entry.lostWork / 1000.0;
        entry.delayLoss = this->draw(2) == 0 ? 0.0 : static_cast<double>(this->draw(30)) / 10.0;
        entry.job = this->draw(1 + this->running.size());
        entry.priority = static_cast<int>(this->draw(3));
        entry.rank = static_cast<double>(this->draw(8));
        entry.isGuaranteed = this->draw(10) == 0;
        entry.endsIn = this->draw(3) == 0 ? entry.endsIn : static_cast<double>(this->draw(80)) / 10.0;
        entry.isStopping = this->draw(15) == 0;
        this->running.push_back(std::move(entry));
    }

    void addWaiting()
    {
        WaitingTasks tasks;
        tasks.count = 1 + static_cast<std::uint32_t>(this->draw(8));
        tasks.needs = this->drawNeeds();
        tasks.service = "tune";
        tasks.requiredLabel = this->draw(4) == 0 ? "a" : "";
        tasks.dataRack = this->draw(5) == 0 ? "r1-" + std::to_string(this->draw(4)) : "";
        tasks.isGang = this->draw(2) == 0;
        tasks.prefersOneRack = tasks.isGang && this->draw(3) != 0;
        tasks.priority = static_cast<int>(this->draw(3));
        tasks.rank = static_cast<double>(this->draw(16));
        tasks.isGuaranteed = this->draw(10) == 0;
        tasks.mayPreempt = tasks.isGuaranteed || tasks.priority == 0;
        tasks.isMove = !tasks.mayPreempt && this->draw(6) == 0;
        const auto value = static_cast<double>(this->draw(100)) / 10.0;
        tasks.worth = {value, value * 0.3, static_cast<double>(this->draw(30)) / 10.0, 5.0, static_cast<double>(this->draw(2)) / 2.0};
        tasks.longestWait = static_cast<double>(this->draw(9)) / 2.0;
        if (this->draw(6) == 0) {
            tasks.maxPerWorker = 1 + static_cast<std::uint32_t>(this->draw(2));
            for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
                tasks.present.push_back(static_cast<std::uint32_t>(this->draw(2)));
            }
        }
        if (this->draw(6) == 0) {
            for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
                tasks.avoided.push_back(this->draw(8) == 0);
            }
        }
        this->waiting.push_back(std::move(tasks));
    }

    std::mt19937_64 random;
};

} // namespace

/** The planner with its indexes decides as the naive one does. */
class PlanStepsDifference : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(PlanStepsDifference, DecidesAsWithoutIndexes)
{
    constexpr std::uint64_t LoadsPerSeed = 50;
    for (std::uint64_t round = 0; round < LoadsPerSeed; ++round) {
        const RandomLoad load(GetParam() * LoadsPerSeed + round);
        const auto plan = planSteps(load.workers, load.waiting, load.running);
        const auto naive = planNaively(load.workers, load.waiting, load.running);
        ASSERT_EQ(plan.stops, naive.stops) << "load " << GetParam() * LoadsPerSeed + round;
        ASSERT_EQ(plan.starts.size(), naive.starts.size()) << "load " << GetParam() * LoadsPerSeed + round;
        for (std::size_t start = 0; start < plan.starts.size(); ++start) {
            ASSERT_EQ(plan.starts[start].waiting, naive.starts[start].waiting);
            ASSERT_EQ(plan.starts[start].workers, naive.starts[start].workers);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, PlanStepsDifference, testing::Range<std::uint64_t>(1, 21));

} // namespace waxwingloft::tests
