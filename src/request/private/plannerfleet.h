#ifndef WAXWINGLOFT_REQUEST_PLANNERFLEET_H
#define WAXWINGLOFT_REQUEST_PLANNERFLEET_H

#include "demand.h"
#include "serviceuse.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace waxwingloft {

/**
 * The workers of one plan by rack and by free capacity.
 *
 * Free capacity only shrinks while a plan is made, so what does not fit once never fits later.
 */
class PlannerFleet
{
public:
    struct Rack {
        Group members;
        std::int64_t freeAccelerators = 0;
        std::uint64_t version = 1; ///< rises with each change that concerns its members
    };

    /** @p workers must outlive this object. */
    explicit PlannerFleet(const std::vector<PlannerWorker> &workers);

    /** Returns the demand of @p tasks, which must outlive it; on workers of @p pace only, if that is given. */
    Demand demandOf(const WaitingTasks &tasks, std::optional<Pace> pace = std::nullopt);

    /** Returns the speed of the slower workers; nothing where the workers do not differ. */
    std::optional<double> slowerSpeed() const;

    const std::vector<Rack> &racks() const;
    const Group &everyone() const;

    /** Returns the free capacity by worker; below zero where more is reserved than is free. */
    const std::vector<Capacity> &free() const;

    /** Returns the capacity of each worker when empty. */
    const std::vector<Capacity> &whole() const;

    /** Returns the racks that could hold @p demand if they were empty, the rack of its data first. */
    std::vector<std::size_t> racksFor(const Demand &demand);

    /** Whether @p rack holds the data of @p demand. */
    bool isOfData(std::size_t rack, const Demand &demand) const;

    /** Whether @p demand may be spread over several of the racks that racksFor() returned. */
    static bool maySpread(const Demand &demand, const std::vector<std::size_t> &racks);

    bool fitsInto(std::size_t rack, const Demand &demand);
    bool fitsIntoFleet(const Demand &demand);
    bool couldFitIntoFleet(const Demand &demand);
    std::int64_t freeAccelerators() const;

    /** Returns the worker with the fewest free accelerators that fits one task. Workers that are slow, outside the rack of its data or not of the speed that it
     * prefers come last. */
    std::optional<std::size_t> tightest(const Demand &demand);

    void take(std::size_t worker, const Capacity &needs);

    /** Keeps all tasks off @p worker from now on. */
    void close(std::size_t worker);

    /** Marks the rack of @p worker as changed. */
    void touch(std::size_t worker);

    /** Whether at least half of a resource of a service was in use when the plan began. Below that, a reservation would idle capacity without need. */
    bool isBusy(const std::string &service) const;

private:
    /** How often a task of a shape fits into a rack, as of a version of the rack. */
    struct RackSlots {
        std::uint64_t version = 0;
        std::uint64_t free = 0;
        std::uint64_t whole = 0;
    };

    /** Tasks with the same needs that may run on the same workers. */
    struct Shape {
        std::vector<bool> isEligible; ///< by worker
        std::vector<RackSlots> slots; ///< by rack
        bool fitsNowhere = false;
    };

    using ShapeKey = std::tuple<std::string, std::string, std::int64_t, std::int64_t, std::int64_t, std::optional<Pace>>; ///< service, label, needs, pace
    using Order = std::set<std::tuple<std::int64_t, std::int64_t, std::size_t>>; ///< free accelerators and cores, and the worker

    std::size_t shapeOf(const WaitingTasks &tasks, std::optional<Pace> pace);
    const RackSlots &slotsOf(std::size_t rack, const Demand &demand);
    std::uint64_t slotsIn(std::size_t rack, const Demand &demand, bool isWhole);
    std::uint64_t slotsInFleet(const Demand &demand, bool isWhole);
    std::optional<std::size_t> firstFit(Pace pace, const Demand &demand) const;
    std::optional<std::size_t> firstFitByPace(const Demand &demand) const;
    std::optional<std::size_t> tightestIn(const Group &group, const Demand &demand) const;
    std::tuple<std::int64_t, std::int64_t, std::size_t> placeOf(std::size_t worker) const;
    Order &orderOf(std::size_t worker);

    const std::vector<PlannerWorker> &workers;
    std::vector<Capacity> freeByWorker;
    std::vector<Capacity> wholeByWorker;
    std::vector<bool> isClosed;
    std::vector<Rack> rackList; ///< in the order of their names
    std::vector<std::size_t> rackByWorker;
    std::map<std::string, std::size_t> rackByName;
    Group all;
    std::array<Order, NameTable<Pace>::names.size()> orders; ///< by pace
    std::optional<double> slowest; ///< speed below 1.0
    std::map<ShapeKey, std::size_t> shapeByKey;
    std::deque<Shape> shapes; ///< demands refer to them
    const ServiceUse use; ///< before the plan
};

} // namespace waxwingloft

#endif
