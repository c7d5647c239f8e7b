#ifndef WAXWINGLOFT_REQUEST_VICTIMCHOOSER_H
#define WAXWINGLOFT_REQUEST_VICTIMCHOOSER_H

#include "waxwingloft/request/gangjob.h"
#include "waxwingloft/version/shapeplanner.h"

#include <functional>
#include <optional>
#include <vector>

namespace waxwingloft {

/** The jobs to preempt so that a shape fits on a placement, and the cost of stopping them. */
struct VictimPlan {
    Placement placement;
    std::vector<JobId> victims;
    double cost = 0.0; ///< lost work times its worth, in accelerator-seconds
};

/** Returns the cost of stopping a preemptible job now. */
using StopCost = std::function<double(const JobId &)>;

/**
 * Chooses the preemptible gangs to stop, at the least cost, so that a shape fits. Gangs are always stopped whole.
 *
 * Compares one placement for each worker or rack that could hold the shape, or plans a single one in the
 * region for wider adjacencies. On each worker the cheapest jobs are stopped first, so the result is a heuristic.
 */
class VictimChooser
{
public:
    VictimChooser(const FleetState &fleet, const ShapePlanner &planner, std::string region);

    /** Returns the cheapest plan found, or nothing when stopping preemptible jobs does not free enough capacity. */
    std::optional<VictimPlan> choose(const Shape &shape, const StopCost &costOf) const;

    /** Returns the jobs to stop so that tasks of @p perTask fit on exactly @p placement, or nothing when they cannot. */
    std::optional<VictimPlan> victimsOn(const Placement &placement, const Resources &perTask, const StopCost &costOf) const;

private:
    std::vector<Placement> candidatePlacements(const Shape &shape) const;

    const FleetState &fleet;
    const ShapePlanner &planner;
    const std::string region;
};

} // namespace waxwingloft

#endif
