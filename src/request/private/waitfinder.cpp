#include "waitfinder.h"

#include "demand.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>

namespace waxwingloft {

WaitFinder::WaitFinder(const std::vector<PlannerWorker> &workers, const WorkerObstacle &obstacleAt)
    : workers(workers)
    , use(workers)
{
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        this->free.push_back(workers[worker].free);
        this->obstacles.push_back(obstacleAt(worker));
    }
}

void WaitFinder::take(std::size_t worker, const Capacity &needs)
{
    this->free[worker] -= needs;
    this->use.take(this->workers[worker].service, needs);
}

std::uint64_t WaitFinder::slots(const WaitingTasks &tasks, std::uint64_t limit, const std::function<bool(std::size_t)> &isUsed) const
{
    std::uint64_t total = 0;
    for (std::size_t worker = 0; worker < this->workers.size() && total < limit; ++worker) {
        if (!isOfKind(this->workers[worker], tasks) || !isUsed(worker) || isOverCapacity(this->workers[worker], this->free[worker])) {
            continue;
        }
        const auto present = tasks.present.empty() ? 0 : tasks.present[worker];
        const auto most = tasks.maxPerWorker == 0 ? limit : tasks.maxPerWorker - std::min(tasks.maxPerWorker, present);
        total += timesIn(this->free[worker], tasks.needs, static_cast<std::uint32_t>(std::min<std::uint64_t>(most, limit)));
    }
    return std::min(total, limit);
}

bool WaitFinder::hasRoom(const WaitingTasks &tasks) const
{
    const std::uint64_t wanted = std::max<std::uint64_t>(2, tasks.isGang ? tasks.count : 0);
    return !this->use.isBusy(tasks.service) && this->slots(tasks, wanted, [this](std::size_t worker) { return this->workers[worker].countsAsFleet; }) >= wanted;
}

/** Returns the obstacle that most of the executors have that would have room for @p tasks. */
WaitCause WaitFinder::mostCommonObstacle(const WaitingTasks &tasks) const
{
    std::map<WaitCause, std::size_t> counts;
    for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
        if (this->obstacles[worker] && isOfKind(this->workers[worker], tasks) && timesIn(this->free[worker], tasks.needs, 1) > 0) {
            ++counts[*this->obstacles[worker]];
        }
    }
    const auto most = std::max_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == counts.end() ? WaitCause::NoRoom : most->first;
}

WaitCause WaitFinder::causeOf(const WaitingTasks &tasks) const
{
    const auto isKnown = [this, &tasks](std::size_t worker) { return isOfKind(this->workers[worker], tasks); };
    const std::uint64_t wanted = tasks.isGang ? tasks.count : 1;
    const auto isUsable = [this](std::size_t worker) { return !this->obstacles[worker].has_value(); };
    const auto isAllowed = [&](std::size_t worker) { return isUsable(worker) && (tasks.avoided.empty() || !tasks.avoided[worker]); };
    bool isAnyKnown = false;
    std::set<std::string> racks;
    for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
        isAnyKnown = isAnyKnown || isKnown(worker);
        racks.insert(this->workers[worker].rack);
    }
    if (!isAnyKnown) {
        return WaitCause::NoExecutor;
    }
    if (this->slots(tasks, wanted, isAllowed) >= wanted) {
        const auto fitsInto = [&](const std::string &rack) {
            return this->slots(tasks, wanted, [&](std::size_t worker) { return isAllowed(worker) && this->workers[worker].rack == rack; }) >= wanted;
        };
        const bool isBoundToRack = tasks.isGang && tasks.prefersOneRack && std::none_of(racks.begin(), racks.end(), fitsInto);
        return tasks.isSuspect ? WaitCause::Trial : isBoundToRack ? WaitCause::OneRack : WaitCause::Reserved;
    }
    if (this->slots(tasks, wanted, isUsable) >= wanted) {
        return WaitCause::Avoided;
    }
    return this->slots(tasks, wanted, [](std::size_t) { return true; }) >= wanted ? this->mostCommonObstacle(tasks) : WaitCause::NoRoom;
}

} // namespace waxwingloft
