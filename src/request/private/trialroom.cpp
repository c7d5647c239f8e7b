#include "trialroom.h"

#include <algorithm>

namespace waxwingloft {

TrialRoom::TrialRoom(const Demand &demand, const Group &group, std::vector<Capacity> room)
    : demand(demand)
    , room(std::move(room))
    , isMember(this->room.size(), false)
{
    for (const auto worker : group) {
        this->isMember[worker] = true;
        this->total += this->fitsOn(worker);
    }
}

bool TrialRoom::touches(const RunningTasks &running) const
{
    return std::any_of(running.parts.begin(), running.parts.end(), [this](const RunningTasks::Part &part) { return this->isMember[part.worker]; });
}

bool TrialRoom::holdsAll() const
{
    return this->total >= this->demand.left;
}

void TrialRoom::change(const RunningTasks &running, std::int64_t sign)
{
    for (const auto &part : running.parts) {
        const auto before = this->fitsOn(part.worker);
        const auto times = sign * static_cast<std::int64_t>(part.count);
        this->room[part.worker] += {running.needs.milliCores * times, running.needs.memoryMb * times, running.needs.accelerators * times};
        this->total = this->total - before + this->fitsOn(part.worker);
    }
}

const std::vector<Capacity> &TrialRoom::byWorker() const
{
    return this->room;
}

std::uint64_t TrialRoom::fitsOn(std::size_t worker) const
{
    return this->isMember[worker] ? this->demand.fits(worker, this->room[worker]) : 0;
}

} // namespace waxwingloft
