#ifndef WAXWINGLOFT_VERSION_SHAPEPLANNER_H
#define WAXWINGLOFT_VERSION_SHAPEPLANNER_H

#include "waxwingloft/process/fleetstate.h"
#include "waxwingloft/version/shape.h"

#include <functional>
#include <optional>

namespace waxwingloft {

/** Which workers, and which part of their capacity, a plan may use. */
struct PlanScope {
    CapacityKind capacityKind = CapacityKind::Free;
    std::string region; ///< empty for any region
    const std::function<bool(WorkerIndex)> *allows = nullptr; ///< null for every worker
    std::optional<std::uint32_t> rack; ///< limits the plan to this rack
};

/** Returns the key of the domain of @p adjacency that @p worker belongs to: the worker itself, its rack, data centre or region. */
std::uint64_t domainOf(const FleetState &fleet, WorkerIndex worker, Adjacency adjacency);

/** Chooses the workers for the tasks of one shape. */
class ShapePlanner
{
public:
    virtual ~ShapePlanner() = default;

    /** Returns a placement of all tasks of the shape, or nothing when none was found. */
    virtual std::optional<Placement> plan(const FleetState &fleet, const Shape &shape, const PlanScope &scope) const = 0;
};

/**
 * Best fit by topology level, to limit fragmentation: uses the narrowest level that holds the whole shape, in it the
 * domain with the least free capacity, and in that the workers with the least free capacity first.
 */
class BestFitPlanner : public ShapePlanner
{
public:
    std::optional<Placement> plan(const FleetState &fleet, const Shape &shape, const PlanScope &scope) const override;
};

/** First fit in order of the worker index. A baseline to compare BestFitPlanner with. */
class FirstFitPlanner : public ShapePlanner
{
public:
    std::optional<Placement> plan(const FleetState &fleet, const Shape &shape, const PlanScope &scope) const override;
};

/** Returns how many tasks of @p shape fit into the best single domain, for use in messages. */
std::uint32_t maxFittingTasks(const FleetState &fleet, const Shape &shape, const PlanScope &scope);

/** Whether @p shape would fit if nothing ran on the fleet. Lost workers do not count. */
bool fitsEmptyFleet(const FleetState &fleet, const Shape &shape, const std::string &region);

/** Returns the error for a shape that can never fit, with the largest number of its tasks that would. */
Error describeMisfit(const FleetState &fleet, const Shape &shape, const std::string &region);

} // namespace waxwingloft

#endif
