#include "suspectplacement.h"

#include <algorithm>
#include <set>

namespace waxwingloft {

namespace {

constexpr std::size_t WorkersPerTrial = 4; ///< one executor in so many may be on trial, as each may be down for seconds

} // namespace

SuspectPlacement::SuspectPlacement(const std::vector<PlannerWorker> &workers, const std::vector<RunningTasks> &running)
    : hasStarts(workers.size(), false)
    , lossAt(workers.size(), 0.0)
{
    std::size_t usable = 0;
    for (const auto &worker : workers) {
        this->isOnTrial.push_back(worker.isOnTrial);
        this->open += worker.isOnTrial && worker.acceptsWork ? 1 : 0;
        usable += worker.acceptsWork ? 1 : 0;
    }
    this->limit = std::max<std::size_t>(1, usable / WorkersPerTrial);
    for (const auto &tasks : running) {
        std::set<std::size_t> places;
        for (const auto &part : tasks.parts) {
            // The crash of one executor ends a whole gang.
            const bool isNew = places.insert(part.worker).second;
            this->lossAt[part.worker] += isNew && !tasks.isStopping ? tasks.lostWork : 0.0;
        }
    }
}

void SuspectPlacement::othersStart(const std::vector<std::size_t> &places)
{
    for (const auto worker : places) {
        this->hasStarts[worker] = true;
    }
}

/** Returns the workers that fit a task and start nothing else, least loss first. */
std::vector<std::size_t> SuspectPlacement::candidates(const Demand &demand, const std::vector<Capacity> &available) const
{
    std::vector<std::size_t> order;
    for (std::size_t worker = 0; worker < available.size(); ++worker) {
        if (!this->hasStarts[worker] && demand.fits(worker, available[worker]) > 0) {
            order.push_back(worker);
        }
    }
    std::stable_sort(order.begin(), order.end(), [this, &demand, &available](std::size_t left, std::size_t right) {
        return std::pair(this->lossAt[left], demand.fits(right, available[right])) < std::pair(this->lossAt[right], demand.fits(left, available[left]));
    });
    return order;
}

std::vector<std::size_t> SuspectPlacement::place(const Demand &demand, const std::vector<Capacity> &available)
{
    std::vector<std::size_t> places;
    std::size_t executors = 0;
    for (const auto worker : this->candidates(demand, available)) {
        const auto left = demand.left - static_cast<std::uint32_t>(places.size());
        if (left == 0 || (executors == 1 && !demand.tasks.isGang)) {
            break;
        }
        places.insert(places.end(), std::min(left, demand.fits(worker, available[worker])), worker);
        ++executors;
    }
    const bool isWhole = !demand.tasks.isGang || places.size() == demand.left;
    // A gang that needs more executors than the limit is on trial alone.
    if (!isWhole || (this->open > 0 && this->open + executors > this->limit)) {
        return {};
    }
    this->open += executors;
    for (const auto worker : places) {
        this->isOnTrial[worker] = true;
    }
    return places;
}

} // namespace waxwingloft
