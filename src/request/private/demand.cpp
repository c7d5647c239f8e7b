#include "demand.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace waxwingloft {

namespace {

/** Returns the first worker of @p order that fits @p left tasks, or else the one that fits most. */
std::optional<std::size_t> bestForRest(const Group &order, const Demand &demand, const std::vector<Capacity> &available, std::uint32_t left)
{
    std::optional<std::size_t> most;
    std::uint32_t mostFits = 0;
    for (const auto worker : order) {
        const auto count = demand.fits(worker, available[worker]);
        if (count >= left) {
            return worker;
        }
        if (count > mostFits) {
            most = worker;
            mostFits = count;
        }
    }
    return most;
}

/** How many tasks fit into the fleet and into its roomiest rack. */
struct Room {
    std::uint64_t fleet = 0;
    std::uint64_t rack = 0;
};

/** Returns the room for @p tasks on empty workers, without those that are @p avoided; an empty list avoids none. */
Room roomFor(const std::vector<PlannerWorker> &workers, const WaitingTasks &tasks, const std::vector<bool> &avoided)
{
    std::map<std::string, std::uint64_t> racks;
    Room room;
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        if (!mayRun(workers[worker], tasks) || (!avoided.empty() && avoided[worker])) {
            continue;
        }
        const auto present = tasks.present.empty() ? 0 : tasks.present[worker];
        const auto limit = tasks.maxPerWorker == 0 ? tasks.count : tasks.maxPerWorker - std::min(tasks.maxPerWorker, present);
        const auto times = timesIn(workers[worker].capacity, tasks.needs, std::min(tasks.count, limit));
        room.fleet += times;
        room.rack = std::max(room.rack, racks[workers[worker].rack] += times);
    }
    return room;
}

} // namespace

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

Pace paceOf(const PlannerWorker &worker)
{
    return worker.isSlow ? Pace::Slow : (worker.speed < 1.0 ? Pace::Slower : Pace::Usual);
}

bool isOfKind(const PlannerWorker &worker, const WaitingTasks &tasks)
{
    const bool hasLabel = tasks.requiredLabel.empty() || std::find(worker.labels.begin(), worker.labels.end(), tasks.requiredLabel) != worker.labels.end();
    return worker.service == tasks.service && hasLabel;
}

bool mayRun(const PlannerWorker &worker, const WaitingTasks &tasks)
{
    return worker.acceptsWork && isOfKind(worker, tasks);
}

bool couldHold(const std::vector<PlannerWorker> &workers, const WaitingTasks &tasks, const std::vector<bool> &avoided)
{
    const auto room = roomFor(workers, tasks, avoided);
    if (!tasks.isGang) {
        return room.fleet > 0;
    }
    const bool needsRack = tasks.prefersOneRack && roomFor(workers, tasks, {}).rack >= tasks.count;
    return (needsRack ? room.rack : room.fleet) >= tasks.count;
}

bool isOverCapacity(const PlannerWorker &worker, const Capacity &available)
{
    const auto isOver = [](std::int64_t free, std::int64_t left) { return free < 0 && left < 0; };
    return isOver(worker.free.milliCores, available.milliCores) || isOver(worker.free.memoryMb, available.memoryMb)
        || isOver(worker.free.accelerators, available.accelerators);
}

Demand::Demand(const WaitingTasks &tasks, const std::vector<PlannerWorker> &workers, const std::vector<bool> &isEligible, std::size_t shape)
    : tasks(tasks)
    , workers(workers)
    , isEligible(isEligible)
    , shape(shape)
    , left(tasks.count)
{
}

std::uint32_t Demand::limitOn(std::size_t worker) const
{
    const bool isAvoided = !this->tasks.avoided.empty() && this->tasks.avoided[worker];
    if (!this->isEligible[worker] || isAvoided) {
        return 0;
    }
    if (this->tasks.maxPerWorker == 0) {
        return this->left;
    }
    const auto placedHere = this->placed.find(worker);
    const auto present = (this->tasks.present.empty() ? 0 : this->tasks.present[worker]) + (placedHere == this->placed.end() ? 0 : placedHere->second);
    return std::min(this->left, this->tasks.maxPerWorker - std::min(this->tasks.maxPerWorker, present));
}

std::uint32_t Demand::fits(std::size_t worker, const Capacity &available) const
{
    const auto limit = this->limitOn(worker);
    return limit == 0 || isOverCapacity(this->workers[worker], available) ? 0 : timesIn(available, this->tasks.needs, limit);
}

bool Demand::isUniform() const
{
    return this->tasks.avoided.empty() && this->tasks.maxPerWorker == 0;
}

void Demand::placedAt(std::size_t worker)
{
    --this->left;
    if (this->tasks.maxPerWorker > 0) {
        ++this->placed[worker];
    }
}

std::vector<std::size_t> fillGroup(const Group &group, const Demand &demand, const std::vector<Capacity> &available)
{
    auto order = group;
    // A gang is as fast as its slowest member, so one that needs slower workers leaves the faster ones to others.
    const auto paceRank = [&demand](std::size_t worker) {
        const auto pace = paceOf(demand.workers[worker]);
        return pace == Pace::Slow ? 2 : static_cast<int>((pace == Pace::Usual) == demand.tasks.isGang);
    };
    std::stable_sort(order.begin(), order.end(), [&paceRank, &available](std::size_t left, std::size_t right) {
        return std::tuple(paceRank(left), available[left].accelerators, available[left].milliCores)
            < std::tuple(paceRank(right), available[right].accelerators, available[right].milliCores);
    });
    // Prefers the fullest worker that fits all remaining tasks, which keeps the gang together.
    std::vector<std::size_t> places;
    while (places.size() < demand.left) {
        const auto left = demand.left - static_cast<std::uint32_t>(places.size());
        const auto best = bestForRest(order, demand, available, left);
        if (!best) {
            break;
        }
        places.insert(places.end(), std::min(left, demand.fits(*best, available[*best])), *best);
        std::erase(order, *best);
    }
    return places;
}

} // namespace waxwingloft
