#include "trialcapacity.h"

#include <algorithm>

namespace waxwingloft {

TrialCapacity::TrialCapacity(const Demand &demand, const Group &group, std::vector<Capacity> available)
    : demand(demand)
    , available(std::move(available))
    , isMember(this->available.size(), false)
{
    for (const auto worker : group) {
        this->isMember[worker] = true;
        this->total += this->fitsOn(worker);
    }
}

bool TrialCapacity::overlaps(const RunningTasks &running) const
{
    return std::any_of(running.parts.begin(), running.parts.end(), [this](const RunningTasks::Part &part) { return this->isMember[part.worker]; });
}

bool TrialCapacity::fitsAll() const
{
    return this->total >= this->demand.left;
}

void TrialCapacity::change(const RunningTasks &running, std::int64_t sign)
{
    for (const auto &part : running.parts) {
        const auto before = this->fitsOn(part.worker);
        const auto times = sign * static_cast<std::int64_t>(part.count);
        this->available[part.worker] += {running.needs.milliCores * times, running.needs.memoryMb * times, running.needs.accelerators * times};
        this->total = this->total - before + this->fitsOn(part.worker);
    }
}

const std::vector<Capacity> &TrialCapacity::byWorker() const
{
    return this->available;
}

std::uint64_t TrialCapacity::fitsOn(std::size_t worker) const
{
    return this->isMember[worker] ? this->demand.fits(worker, this->available[worker]) : 0;
}

} // namespace waxwingloft
