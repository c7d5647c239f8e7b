#include "demand.h"

#include <algorithm>

namespace waxwingloft {

namespace {

std::uint32_t timesIn(const Capacity &available, const Capacity &needs, std::uint32_t limit)
{
    auto times = static_cast<std::int64_t>(limit);
    const auto bound = [&times](std::int64_t have, std::int64_t need) {
        if (need > 0) {
            times = std::min(times, std::max<std::int64_t>(have, 0) / need);
        }
    };
    bound(available.milliCores, needs.milliCores);
    bound(available.memoryMb, needs.memoryMb);
    bound(available.accelerators, needs.accelerators);
    return static_cast<std::uint32_t>(times);
}

bool mayRunOn(const PlannerWorker &worker, const WaitingTasks &tasks)
{
    const auto &labels = worker.labels;
    return worker.acceptsWork && worker.service == tasks.service
        && (tasks.requiredLabel.empty() || std::find(labels.begin(), labels.end(), tasks.requiredLabel) != labels.end());
}

/** Whether the runs of a worker hold more than its capacity. Reservations alone may bring @p available below zero too. */
bool isOverCapacity(const PlannerWorker &worker, const Capacity &available)
{
    const auto isOver = [](std::int64_t free, std::int64_t left) { return free < 0 && left < 0; };
    return isOver(worker.free.milliCores, available.milliCores) || isOver(worker.free.memoryMb, available.memoryMb)
        || isOver(worker.free.accelerators, available.accelerators);
}

std::uint32_t limitOn(std::size_t worker, const WaitingTasks &tasks)
{
    if (tasks.maxPerWorker == 0) {
        return tasks.count;
    }
    const auto present = tasks.present.empty() ? 0 : tasks.present[worker];
    return std::min(tasks.count, tasks.maxPerWorker - std::min(tasks.maxPerWorker, present));
}

} // namespace

Demand::Demand(const WaitingTasks &tasks, const std::vector<PlannerWorker> &workers)
    : tasks(tasks)
    , workers(workers)
    , left(tasks.count)
    , limits(workers.size(), 0)
{
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        const bool isAvoided = !tasks.avoided.empty() && tasks.avoided[worker];
        this->limits[worker] = !isAvoided && mayRunOn(workers[worker], tasks) ? limitOn(worker, tasks) : 0;
    }
}

std::uint32_t Demand::fits(std::size_t worker, const Capacity &available) const
{
    const auto limit = std::min(this->left, this->limits[worker]);
    return limit == 0 || isOverCapacity(this->workers[worker], available) ? 0 : timesIn(available, this->tasks.needs, limit);
}

bool Demand::fitsInto(const Group &group, const std::vector<Capacity> &available) const
{
    std::uint64_t total = 0;
    for (const auto worker : group) {
        total += this->fits(worker, available[worker]);
        if (total >= this->left) {
            return true;
        }
    }
    return total >= this->left;
}

} // namespace waxwingloft
