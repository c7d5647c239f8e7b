#include "serviceuse.h"

#include <algorithm>

namespace waxwingloft {

namespace {

/** Returns what is left of @p free; an executor whose capacity shrank can be over it. */
Capacity leftOf(const Capacity &free)
{
    return {std::max<std::int64_t>(free.milliCores, 0), std::max<std::int64_t>(free.memoryMb, 0), std::max<std::int64_t>(free.accelerators, 0)};
}

} // namespace

ServiceUse::ServiceUse(const std::vector<PlannerWorker> &workers)
{
    for (const auto &worker : workers) {
        if (worker.countsAsFleet) {
            auto &room = this->services[worker.service];
            room.whole += worker.capacity;
            room.free += leftOf(worker.free);
        }
    }
}

void ServiceUse::take(const std::string &service, const Capacity &needs, std::uint32_t count)
{
    auto &room = this->services[service];
    for (std::uint32_t task = 0; task < count; ++task) {
        room.free -= needs;
    }
}

bool ServiceUse::isBusy(const std::string &service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return false;
    }
    const auto &[whole, free] = found->second;
    const auto isHalfUsed = [](std::int64_t total, std::int64_t left) { return total > 0 && left * 2 <= total; };
    return isHalfUsed(whole.milliCores, free.milliCores) || isHalfUsed(whole.memoryMb, free.memoryMb) || isHalfUsed(whole.accelerators, free.accelerators);
}

} // namespace waxwingloft
