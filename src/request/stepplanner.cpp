#include "waxwingloft/request/stepplanner.h"

#include "suspectplacement.h"
#include "trialcapacity.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

namespace waxwingloft {

namespace {

constexpr double MinRankRatio = 1.5; ///< by which urgent work must outrank what it preempts; avoids preemption over small differences

/** Returns @p free without what a worker lacks that is over its capacity, as other workers cannot make up for it. */
Capacity leftOf(const Capacity &free)
{
    return {std::max<std::int64_t>(free.milliCores, 0), std::max<std::int64_t>(free.memoryMb, 0), std::max<std::int64_t>(free.accelerators, 0)};
}

/** Computes one plan; the free capacity shrinks as tasks are placed. */
class Planning
{
public:
    Planning(const std::vector<PlannerWorker> &workers, const std::vector<RunningTasks> &running)
        : workers(workers)
        , running(running)
        , isStopped(running.size(), false)
        , suspects(workers, running)
    {
        for (const auto &worker : workers) {
            this->free.push_back(worker.free);
            this->whole.push_back(worker.capacity);
        }
        for (std::size_t index = 0; index < workers.size(); ++index) {
            this->racks[workers[index].rack].push_back(index);
            this->everyone.push_back(index);
        }
    }

    void place(std::size_t index, const WaitingTasks &tasks)
    {
        Demand demand(tasks, this->workers);
        this->suspects.exclude(demand);
        if (tasks.isSuspect) {
            this->placeSuspects(index, demand);
            return;
        }
        auto places = tasks.isGang ? this->gangPlaces(demand) : this->taskPlaces(demand);
        const bool isWhole = places.size() == tasks.count;
        if (!places.empty()) {
            this->suspects.othersStart(places);
            this->plan.starts.push_back({index, std::move(places)});
        }
        if (isWhole) {
            return;
        }
        const bool isReclaiming = tasks.maxLostWork > 0.0 && this->reclaim(demand);
        if (!isReclaiming && tasks.isGang && this->isBusy()) {
            this->reserve(demand);
        }
    }

    StepPlan plan;

private:
    void placeSuspects(std::size_t index, const Demand &demand)
    {
        auto places = this->suspects.place(demand, this->free);
        if (!places.empty()) {
            this->allocate(places, demand.tasks);
            this->plan.starts.push_back({index, std::move(places)});
        }
    }

    /** Places tasks on @p group, fullest workers first. Returns one worker per task, or fewer when not all fit. */
    std::vector<std::size_t> fill(const Group &group, const Demand &demand, const std::vector<Capacity> &available) const
    {
        auto order = group;
        std::stable_sort(order.begin(), order.end(), [this, &available](std::size_t left, std::size_t right) {
            return std::tuple(this->workers[left].isSlow, available[left].accelerators, available[left].milliCores)
                < std::tuple(this->workers[right].isSlow, available[right].accelerators, available[right].milliCores);
        });
        // Prefers the fullest worker that fits all remaining tasks, which keeps the gang together.
        std::vector<std::size_t> places;
        while (places.size() < demand.left) {
            const auto left = demand.left - static_cast<std::uint32_t>(places.size());
            const auto best = bestForRest(order, demand, available, left);
            if (!best) {
                break;
            }
            const auto taken = std::min(left, demand.fits(*best, available[*best]));
            places.insert(places.end(), taken, *best);
            std::erase(order, *best);
        }
        return places;
    }

    static std::optional<std::size_t> bestForRest(const Group &order, const Demand &demand, const std::vector<Capacity> &available, std::uint32_t left)
    {
        std::optional<std::size_t> most;
        std::uint32_t mostFits = 0;
        for (const auto worker : order) {
            const auto count = demand.fits(worker, available[worker]);
            if (count >= left) {
                return worker;
            }
            if (count > mostFits) {
                most = worker;
                mostFits = count;
            }
        }
        return most;
    }

    /** Returns the racks that could hold the gang, the rack of its data first. Adds the whole fleet when no rack could or one rack is not preferred. */
    std::vector<Group> groupsFor(const Demand &demand) const
    {
        std::vector<Group> groups;
        for (const auto &[rack, members] : this->racks) {
            std::uint64_t total = 0;
            for (const auto worker : members) {
                total += demand.fits(worker, this->workers[worker].capacity);
            }
            if (total >= demand.left) {
                groups.insert(rack == demand.tasks.dataRack ? groups.begin() : groups.end(), members);
            }
        }
        if (groups.empty() || !demand.tasks.prefersOneRack) {
            groups.push_back(this->everyone);
        }
        return groups;
    }

    std::int64_t freeAcceleratorsIn(const Group &group, const std::vector<Capacity> &available) const
    {
        std::int64_t total = 0;
        for (const auto worker : group) {
            total += std::max<std::int64_t>(available[worker].accelerators, 0);
        }
        return total;
    }

    std::vector<std::size_t> gangPlaces(Demand &demand)
    {
        const Group *best = nullptr;
        auto leastFree = std::numeric_limits<std::int64_t>::max();
        const auto groups = this->groupsFor(demand);
        for (const auto &group : groups) {
            const auto left = this->freeAcceleratorsIn(group, this->free);
            if (left < leastFree && demand.fitsInto(group, this->free)) {
                best = &group;
                leastFree = left;
            }
        }
        if (best == nullptr) {
            return {};
        }
        auto places = this->fill(*best, demand, this->free);
        this->allocate(places, demand.tasks);
        return places;
    }

    std::vector<std::size_t> taskPlaces(Demand &demand)
    {
        std::vector<std::size_t> places;
        while (demand.left > 0) {
            const auto worker = this->tightest(demand);
            if (!worker) {
                break;
            }
            this->free[*worker] -= demand.tasks.needs;
            --demand.limits[*worker];
            --demand.left;
            places.push_back(*worker);
        }
        return places;
    }

    /** Returns the worker with the fewest free accelerators that fits one task. Workers that are slow or outside the rack of its data come last. */
    std::optional<std::size_t> tightest(const Demand &demand) const
    {
        const auto &dataRack = demand.tasks.dataRack;
        std::optional<std::size_t> best;
        auto bestRank = std::tuple(true, std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::max());
        for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
            if (demand.fits(worker, this->free[worker]) == 0) {
                continue;
            }
            const bool isFar = !dataRack.empty() && this->workers[worker].rack != dataRack;
            const auto rank = std::tuple(isFar || this->workers[worker].isSlow, this->free[worker].accelerators, this->free[worker].milliCores);
            if (!best || rank < bestRank) {
                best = worker;
                bestRank = rank;
            }
        }
        return best;
    }

    void allocate(const std::vector<std::size_t> &places, const WaitingTasks &tasks)
    {
        for (const auto worker : places) {
            this->free[worker] -= tasks.needs;
        }
    }

    struct Reclaim {
        std::vector<std::size_t> places;
        std::vector<std::size_t> victims;
        double lostWork = 0.0;
    };

    /** Stops the runs that lose the least work to fit @p demand and reserves their capacity for it. Returns false when no set within the limit is enough. */
    bool reclaim(const Demand &demand)
    {
        const auto victims = this->victimsFor(demand.tasks);
        std::optional<Reclaim> best;
        for (const auto &group : this->groupsFor(demand)) {
            auto found = this->reclaimIn(group, demand, victims);
            if (found && found->lostWork <= demand.tasks.maxLostWork && (!best || found->lostWork < best->lostWork)) {
                best = std::move(found);
            }
        }
        if (!best) {
            return false;
        }
        for (const auto victim : best->victims) {
            this->isStopped[victim] = true;
            if (!this->freesWithoutStop(victim, demand.tasks)) {
                this->plan.stops.push_back(victim);
            }
        }
        this->allocate(best->places, demand.tasks);
        return true;
    }

    /** Returns the running entries that may be preempted for @p tasks, least lost work first. */
    std::vector<std::size_t> victimsFor(const WaitingTasks &tasks) const
    {
        std::vector<std::size_t> victims;
        for (std::size_t index = 0; index < this->running.size(); ++index) {
            if (!this->isStopped[index] && this->canPreempt(index, tasks)) {
                victims.push_back(index);
            }
        }
        std::stable_sort(victims.begin(), victims.end(), [this, &tasks](std::size_t left, std::size_t right) {
            return this->costOf(left, tasks) < this->costOf(right, tasks);
        });
        return victims;
    }

    std::optional<Reclaim> reclaimIn(const Group &group, const Demand &demand, const std::vector<std::size_t> &victims) const
    {
        TrialCapacity trial(demand, group, this->free);
        Reclaim found;
        for (const auto victim : victims) {
            if (trial.fitsAll()) {
                break;
            }
            if (trial.overlaps(this->running[victim])) {
                trial.change(this->running[victim], 1);
                found.victims.push_back(victim);
            }
        }
        if (!trial.fitsAll()) {
            return std::nullopt;
        }
        this->dropNeedlessVictims(trial, found);
        for (const auto victim : found.victims) {
            found.lostWork += this->costOf(victim, demand.tasks);
        }
        found.places = this->fill(group, demand, trial.byWorker());
        return found;
    }

    /** Drops victims that are not needed for the tasks to fit, most lost work first. */
    void dropNeedlessVictims(TrialCapacity &trial, Reclaim &found) const
    {
        for (std::size_t index = found.victims.size(); index-- > 0;) {
            const auto &victim = this->running[found.victims[index]];
            trial.change(victim, -1);
            if (trial.fitsAll()) {
                found.victims.erase(found.victims.begin() + static_cast<std::ptrdiff_t>(index));
            } else {
                trial.change(victim, 1);
            }
        }
    }

    /** Whether the capacity of @p victim becomes free without another stop. */
    bool freesWithoutStop(std::size_t victim, const WaitingTasks &tasks) const
    {
        return this->running[victim].isStopping || (this->running[victim].endsSoon && tasks.canWait);
    }

    /**
     * Guaranteed work may preempt any work that is not guaranteed. Urgent work may preempt only what is less urgent and ranks
     * lower by MinRankRatio, because work of a higher rank would be placed ahead of it again.
     */
    bool canPreempt(std::size_t victim, const WaitingTasks &tasks) const
    {
        const auto &candidate = this->running[victim];
        const bool isLesser = candidate.priority > tasks.priority && candidate.rank * MinRankRatio < tasks.rank;
        return this->freesWithoutStop(victim, tasks) || (!candidate.isGuaranteed && (tasks.isGuaranteed || isLesser));
    }

    double costOf(std::size_t victim, const WaitingTasks &tasks) const
    {
        return this->freesWithoutStop(victim, tasks) ? 0.0 : this->running[victim].lostWork;
    }

    /** Reserves capacity for a gang in the group with the most free accelerators, so that smaller tasks do not starve it. */
    void reserve(const Demand &demand)
    {
        const Group *best = nullptr;
        std::int64_t most = -1;
        const auto groups = this->groupsFor(demand);
        for (const auto &group : groups) {
            const auto available = this->freeAcceleratorsIn(group, this->free);
            if (available > most && demand.fitsInto(group, this->whole)) {
                best = &group;
                most = available;
            }
        }
        if (best != nullptr) {
            this->allocate(this->emptiest(*best, demand), demand.tasks);
        }
    }

    /** Returns one worker per task, emptiest workers first, because they can become free soonest. */
    std::vector<std::size_t> emptiest(const Group &group, const Demand &demand) const
    {
        auto order = group;
        std::stable_sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
            return std::tuple(this->free[left].accelerators, this->free[left].milliCores)
                > std::tuple(this->free[right].accelerators, this->free[right].milliCores);
        });
        std::vector<std::size_t> places;
        for (const auto worker : order) {
            const auto left = demand.left - static_cast<std::uint32_t>(places.size());
            places.insert(places.end(), std::min(left, demand.fits(worker, this->whole[worker])), worker);
        }
        return places;
    }

    /** Whether at least half of a resource of the fleet is in use. Below that, a reservation would idle capacity without need. */
    bool isBusy() const
    {
        Capacity total;
        Capacity free;
        for (const auto &worker : this->workers) {
            total += worker.acceptsWork ? worker.capacity : Capacity();
            free += worker.acceptsWork ? leftOf(worker.free) : Capacity();
        }
        const auto isHalfUsed = [](std::int64_t whole, std::int64_t left) { return whole > 0 && left * 2 <= whole; };
        return isHalfUsed(total.milliCores, free.milliCores) || isHalfUsed(total.memoryMb, free.memoryMb) || isHalfUsed(total.accelerators, free.accelerators);
    }

    const std::vector<PlannerWorker> &workers;
    const std::vector<RunningTasks> &running;
    std::vector<bool> isStopped;
    SuspectPlacement suspects;
    std::vector<Capacity> free;
    std::vector<Capacity> whole; ///< capacity of each worker when empty
    std::map<std::string, Group> racks;
    Group everyone;
};

} // namespace

StepPlan planSteps(const std::vector<PlannerWorker> &workers, const std::vector<WaitingTasks> &waiting, const std::vector<RunningTasks> &running)
{
    Planning planning(workers, running);
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        planning.place(index, waiting[index]);
    }
    return std::move(planning.plan);
}

} // namespace waxwingloft
