#ifndef WAXWINGLOFT_VERSION_SHAPEPLANNER_H
#define WAXWINGLOFT_VERSION_SHAPEPLANNER_H

#include "waxwingloft/process/fleetstate.h"
#include "waxwingloft/version/shape.h"

#include <functional>
#include <optional>

namespace waxwingloft {

/** Which workers and which of their room a plan may use. */
struct PlanScope {
    CapacityKind capacityKind = CapacityKind::Free;
    std::string region; ///< empty for any
    const std::function<bool(WorkerIndex)> *allows = nullptr; ///< null for every worker
    std::optional<std::uint32_t> rack; ///< only the workers of this rack
};

/** Returns a key that workers within one domain of @p adjacency share: the worker itself, its rack, data centre or region. */
std::uint64_t domainOf(const FleetState &fleet, WorkerIndex worker, Adjacency adjacency);

/** Chooses the workers for the tasks of one shape. */
class ShapePlanner
{
public:
    virtual ~ShapePlanner() = default;

    /** Returns a placement of the whole shape, or nothing when none was found. */
    virtual std::optional<Placement> plan(const FleetState &fleet, const Shape &shape, const PlanScope &scope) const = 0;
};

/**
 * Keeps whole workers and racks whole: takes the domain, then the workers, with the least left over.
 *
 * Source: best fit by level, from the narrowest domain that the adjacency allows outwards.
 */
class BestFitPlanner : public ShapePlanner
{
public:
    std::optional<Placement> plan(const FleetState &fleet, const Shape &shape, const PlanScope &scope) const override;
};

/** Takes the first workers, in order of their index, that have room. The naive baseline. */
class FirstFitPlanner : public ShapePlanner
{
public:
    std::optional<Placement> plan(const FleetState &fleet, const Shape &shape, const PlanScope &scope) const override;
};

/** Returns how many tasks of @p shape fit into the domain that fits the most, for explanations. */
std::uint32_t mostTasksThatFit(const FleetState &fleet, const Shape &shape, const PlanScope &scope);

/** Whether @p shape would fit into the empty fleet, all lost workers left out. */
bool couldEverFit(const FleetState &fleet, const Shape &shape, const std::string &region);

/** Returns the refusal of a shape that never fits, with the largest number of its tasks that would. */
Error describeMisfit(const FleetState &fleet, const Shape &shape, const std::string &region);

} // namespace waxwingloft

#endif
