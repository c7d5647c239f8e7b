#ifndef WAXWINGLOFT_REQUEST_VICTIMCHOOSER_H
#define WAXWINGLOFT_REQUEST_VICTIMCHOOSER_H

#include "waxwingloft/request/gangjob.h"
#include "waxwingloft/version/shapeplanner.h"

#include <functional>
#include <optional>
#include <vector>

namespace waxwingloft {

/** Preemptible jobs to stop so that a shape fits a placement, and what that costs. */
struct VictimPlan {
    Placement placement;
    std::vector<JobId> victims;
    double cost = 0.0; ///< work lost times worth, in accelerator-seconds
};

/** Returns the cost of stopping one lent job now. */
using StopCost = std::function<double(const JobId &)>;

/**
 * Finds the cheapest set of whole lent gangs whose stop makes room for a shape.
 *
 * Looks at one placement for each worker or rack that could hold the shape, or one in the whole
 * region for wider shapes; on each worker the cheapest lent jobs go first.
 */
class VictimChooser
{
public:
    VictimChooser(const FleetState &fleet, const ShapePlanner &planner, std::string region);

    /** Returns the cheapest plan, or nothing when stopping lent work does not make room. */
    std::optional<VictimPlan> choose(const Shape &shape, const StopCost &costOf) const;

    /** Returns the victims that make room for @p shape on exactly @p placement. */
    std::optional<VictimPlan> victimsOn(const Placement &placement, const Resources &perTask, const StopCost &costOf) const;

private:
    std::vector<Placement> candidatePlacements(const Shape &shape) const;

    const FleetState &fleet;
    const ShapePlanner &planner;
    const std::string region;
};

} // namespace waxwingloft

#endif
