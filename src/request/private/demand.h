#ifndef WAXWINGLOFT_REQUEST_DEMAND_H
#define WAXWINGLOFT_REQUEST_DEMAND_H

#include "waxwingloft/process/nametable.h"
#include "waxwingloft/request/stepplanner.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace waxwingloft {

/** Indices of workers that a gang may be spread over. */
using Group = std::vector<std::size_t>;

/** Returns how often @p needs fits into @p available, at most @p limit times. */
std::uint32_t timesIn(const Capacity &available, const Capacity &needs, std::uint32_t limit);

/** How soon a worker is chosen by its speed. */
enum class Pace {
    Usual,
    Slower, ///< in the slower class of a fleet whose executors differ in speed
    Slow, ///< nearly stands still; last for all work
};

template<>
struct NameTable<Pace> {
    static constexpr std::array<std::string_view, 3> names = {"usual", "slower", "slow"};
};

Pace paceOf(const PlannerWorker &worker);

/** Whether @p worker has the service and the label that @p tasks require. */
bool isOfKind(const PlannerWorker &worker, const WaitingTasks &tasks);

/** Whether @p worker also takes work now. */
bool mayRun(const PlannerWorker &worker, const WaitingTasks &tasks);

/**
 * Whether the workers that are not @p avoided could hold @p tasks if they were empty: a gang as a whole, of other tasks at least one.
 *
 * A gang that prefers one rack needs a rack of its own where any rack could hold it.
 */
bool couldHold(const std::vector<PlannerWorker> &workers, const WaitingTasks &tasks, const std::vector<bool> &avoided);

/** Whether the runs of a worker hold more than its capacity. Reservations alone may bring @p available below zero too. */
bool isOverCapacity(const PlannerWorker &worker, const Capacity &available);

/** The unplaced tasks of one waiting entry and the workers that may run them. */
struct Demand {
    /** @p isEligible says by worker whether it takes work of this service and label. The arguments must outlive this object. */
    Demand(const WaitingTasks &tasks, const std::vector<PlannerWorker> &workers, const std::vector<bool> &isEligible, std::size_t shape);

    /** Returns how many of the unplaced tasks @p worker may get, regardless of its capacity. */
    std::uint32_t limitOn(std::size_t worker) const;

    /** Returns how many of the unplaced tasks @p worker can run with @p available capacity; none while its runs hold more of any resource than it has. */
    std::uint32_t fits(std::size_t worker, const Capacity &available) const;

    /** Whether all eligible workers may get any number of the tasks. */
    bool isUniform() const;

    /** Records that @p worker gets one of the unplaced tasks. */
    void placedAt(std::size_t worker);

    const WaitingTasks &tasks;
    const std::vector<PlannerWorker> &workers;
    const std::vector<bool> &isEligible;
    const std::size_t shape; ///< demands with the same number have the same needs and eligible workers
    std::uint32_t left = 0; ///< tasks not placed yet

private:
    std::map<std::size_t, std::uint32_t> placed; ///< by worker, for tasks with a limit per worker
};

/** Places the tasks of @p demand on @p group, fullest workers first. Returns one worker per task, or fewer when not all fit. */
std::vector<std::size_t> fillGroup(const Group &group, const Demand &demand, const std::vector<Capacity> &available);

} // namespace waxwingloft

#endif
