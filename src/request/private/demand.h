#ifndef WAXWINGLOFT_REQUEST_DEMAND_H
#define WAXWINGLOFT_REQUEST_DEMAND_H

#include "waxwingloft/request/stepplanner.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace waxwingloft {

/** Indices of workers that a gang may be spread over. */
using Group = std::vector<std::size_t>;

/** The unplaced tasks of one waiting entry and the workers that may run them. */
struct Demand {
    Demand(const WaitingTasks &tasks, const std::vector<PlannerWorker> &workers);

    /** Returns how many of the unplaced tasks @p worker can run with @p available capacity; none while its runs hold more of any resource than it has. */
    std::uint32_t fits(std::size_t worker, const Capacity &available) const;

    /** Whether all unplaced tasks fit on @p group, each task on a single worker. */
    bool fitsInto(const Group &group, const std::vector<Capacity> &available) const;

    const WaitingTasks &tasks;
    const std::vector<PlannerWorker> &workers;
    std::uint32_t left = 0; ///< tasks not placed yet
    std::vector<std::uint32_t> limits; ///< tasks that each worker may still get, regardless of its capacity
};

} // namespace waxwingloft

#endif
