#ifndef WAXWINGLOFT_REQUEST_DEMAND_H
#define WAXWINGLOFT_REQUEST_DEMAND_H

#include "waxwingloft/request/stepplanner.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace waxwingloft {

/** A set of workers that a gang may be spread over. */
using Group = std::vector<std::size_t>;

/** What is still to be placed of one waiting entry, and where it may go. */
struct Demand {
    Demand(const WaitingTasks &tasks, const std::vector<PlannerWorker> &workers);

    /** Returns how many of the tasks fit into @p available on @p worker. */
    std::uint32_t fits(std::size_t worker, const Capacity &available) const;

    /** Whether @p group has available for all; it has when its workers have so one by one. */
    bool fitsInto(const Group &group, const std::vector<Capacity> &available) const;

    const WaitingTasks &tasks;
    std::uint32_t left = 0; ///< tasks without a place
    std::vector<std::uint32_t> limits; ///< tasks that a worker may still get, were its available endless
};

} // namespace waxwingloft

#endif
