#ifndef WAXWINGLOFT_REQUEST_RECLAIMPLANNER_H
#define WAXWINGLOFT_REQUEST_RECLAIMPLANNER_H

#include "plannerfleet.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace waxwingloft {

/** Runs to stop and to wait for so that waiting tasks can start. */
struct Reclaim {
    std::vector<std::size_t> places; ///< one worker per task
    std::vector<std::size_t> stops; ///< running entries
    std::vector<std::size_t> awaited; ///< running entries that end without a stop
    double cost = 0.0; ///< worth that the stops lose
    double delay = 0.0; ///< seconds until the tasks can start
};

/**
 * Chooses between stopping runs and waiting for their ends, for tasks that do not fit.
 *
 * Answers bursts of urgent gangs in a fleet full of patient work: both ways are weighed in worth, what the waiting job
 * earns by when it starts against what the stopped jobs lose.
 */
class ReclaimPlanner
{
public:
    /** Both arguments must outlive this object. */
    ReclaimPlanner(PlannerFleet &fleet, const std::vector<RunningTasks> &running);

    /**
     * Returns the way with the highest expected worth; nothing when leaving the tasks to wait is better than any stop.
     *
     * @p racks are those that could hold @p demand. @p otherwise is the worth of what is done instead when that is not to
     * leave the tasks to wait; then a way must be worth more.
     */
    std::optional<Reclaim> plan(const Demand &demand, const std::vector<std::size_t> &racks, std::optional<double> otherwise = std::nullopt);

    /** Keeps the runs of @p reclaim from being counted on again, and its places from other tasks. */
    void take(const Reclaim &reclaim, const WaitingTasks &tasks);

private:
    static constexpr std::array<double, 5> Horizons = {0.0, 0.5, 1.0, 2.0, 4.0}; ///< seconds that runs may be waited for

    /** A running entry on one worker. */
    struct Share {
        std::size_t entry = 0;
        std::uint32_t count = 0; ///< tasks of the entry on the worker
    };

    /** What is known of a reclaim in a rack without its runs and places. */
    struct Estimate {
        bool isPossible = false;
        bool hasStops = false;
        double cost = 0.0;
        double delay = 0.0;
    };

    /** Estimates for one kind of demand in a rack, by horizon, as of a version of the rack. */
    struct RackEstimates {
        std::uint64_t version = 0;
        std::array<std::optional<Estimate>, Horizons.size()> byHorizon;
    };

    /** Demands with the same key have the same estimates: their shape, tasks, priority, guarantee, and how many entries rank low enough. */
    using DemandKey = std::tuple<std::size_t, std::uint32_t, int, bool, std::size_t>;

    class Attempt;

    DemandKey keyOf(const Demand &demand) const;
    static Estimate estimateOf(const std::optional<Reclaim> &found);
    Estimate estimateIn(std::size_t rack, const Demand &demand, std::size_t horizon, std::vector<RackEstimates> *known);
    std::optional<Reclaim> reclaimIn(const Group &group, const Demand &demand, double horizon);
    bool isAwaited(std::size_t entry, double horizon) const;
    bool canStop(std::size_t entry, const WaitingTasks &tasks) const;
    bool hasNewEnds(std::size_t rack, std::size_t horizon) const;
    void findNewEnds();

    PlannerFleet &fleet;
    const std::vector<RunningTasks> &running;
    std::vector<bool> isTaken; ///< by running entry
    std::vector<bool> isDelayed; ///< by job: a stop of this plan delays it already
    std::vector<std::vector<Share>> sharesAt; ///< by worker, cheapest stop first
    std::vector<std::array<bool, Horizons.size()>> newEnds; ///< by rack and horizon: a run ends within it that does not within the one before
    std::vector<double> ranks; ///< of the running entries, ascending
    std::map<std::size_t, std::vector<std::size_t>> entriesOfJob;
    std::map<DemandKey, std::vector<RackEstimates>> estimates;

    /** The place of a worker in an attempt. */
    struct SiteOfAttempt {
        std::uint64_t attempt = 0;
        std::size_t site = 0;
    };

    // Working memory of the attempts, kept between them as each uses only a part of it.
    std::uint64_t attempts = 0;
    std::vector<Capacity> available; ///< by worker
    std::vector<SiteOfAttempt> siteAt; ///< by worker
    std::vector<std::uint64_t> chosenIn; ///< by running entry: the attempt that stops it
};

} // namespace waxwingloft

#endif
