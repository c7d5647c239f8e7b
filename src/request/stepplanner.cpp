#include "waxwingloft/request/stepplanner.h"

#include "plannerfleet.h"
#include "reclaimplanner.h"
#include "suspectplacement.h"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <tuple>

namespace waxwingloft {

namespace {

/** Computes one plan; the free capacity shrinks as tasks are placed. */
class Planning
{
public:
    Planning(const std::vector<PlannerWorker> &workers, const std::vector<RunningTasks> &running)
        : fleet(workers)
        , reclaims(this->fleet, running)
        , suspects(workers, running)
    {
    }

    void place(std::size_t index, const WaitingTasks &tasks)
    {
        auto demand = this->fleet.demandOf(tasks);
        if (tasks.isSuspect) {
            this->placeSuspects(index, demand);
            return;
        }
        if (tasks.isGang && this->fleet.slowerSpeed() && this->placeByPace(index, demand)) {
            return;
        }
        auto racks = tasks.isGang ? this->fleet.racksFor(demand) : Group();
        auto places = tasks.isGang ? this->gangPlaces(demand, racks) : this->taskPlaces(demand);
        const bool isWhole = places.size() == tasks.count;
        if (!places.empty()) {
            this->suspects.othersStart(places);
            this->plan.starts.push_back({index, std::move(places)});
        }
        if (isWhole || tasks.isMove) {
            return;
        }
        const bool isReclaiming = tasks.mayPreempt && this->reclaim(demand, tasks.isGang ? racks : this->fleet.racksFor(demand));
        if (!isReclaiming && tasks.isGang && this->fleet.isBusy(tasks.service)) {
            this->reserve(demand, racks);
        }
    }

    StepPlan plan;

private:
    void placeSuspects(std::size_t index, const Demand &demand)
    {
        auto places = this->suspects.place(demand, this->fleet.free());
        if (!places.empty()) {
            this->allocate(places, demand.tasks);
            for (const auto worker : places) {
                this->fleet.close(worker);
            }
            this->plan.starts.push_back({index, std::move(places)});
        }
    }

    /**
     * Places a gang on workers of like speed, or lets it wait for faster ones.
     *
     * Returns whether it starts or waits; otherwise only workers of different speed can take it. One that prefers one rack is not
     * spread over racks for the sake of speed.
     */
    bool placeByPace(std::size_t index, const Demand &demand)
    {
        const auto &tasks = demand.tasks;
        const bool mustShareRack = !PlannerFleet::maySpread(demand, this->fleet.racksFor(demand));
        const std::array<Pace, 2> order = tasks.prefersSlower ? std::array{Pace::Slower, Pace::Usual} : std::array{Pace::Usual, Pace::Slower};
        for (const auto pace : order) {
            const auto alike = this->fleet.demandOf(tasks, pace);
            const auto racks = this->fleet.racksFor(alike);
            if (racks.empty() && mustShareRack) {
                continue;
            }
            auto places = this->gangPlaces(alike, racks);
            if (!places.empty()) {
                this->suspects.othersStart(places);
                this->plan.starts.push_back({index, std::move(places)});
                return true;
            }
            const bool mayWait = tasks.mayPreempt && !tasks.isMove && !tasks.isOverdue;
            if (pace == Pace::Usual && mayWait && this->reclaim(alike, racks, this->worthOnSlower(demand))) {
                return true;
            }
        }
        return false;
    }

    /** Returns what the job of a gang earns when it starts now on workers that include slower ones; nothing when it does not fit now. */
    std::optional<double> worthOnSlower(const Demand &demand)
    {
        bool fits = this->fleet.fitsIntoFleet(demand);
        if (demand.tasks.prefersOneRack) {
            const auto whole = this->fleet.racksFor(demand);
            fits = whole.empty() ? fits : std::any_of(whole.begin(), whole.end(), [&](std::size_t rack) { return this->fleet.fitsInto(rack, demand); });
        }
        const auto more = demand.tasks.runTime * (1.0 / this->fleet.slowerSpeed().value_or(1.0) - 1.0);
        return fits ? std::optional(demand.tasks.worth.after(more)) : std::nullopt;
    }

    /** Places a gang on the rack of its data or else on the fullest rack that fits it now; spreads it only if no rack does. */
    std::vector<std::size_t> gangPlaces(const Demand &demand, const std::vector<std::size_t> &racks)
    {
        const Group *best = nullptr;
        auto leastFree = std::numeric_limits<std::int64_t>::max();
        for (const auto rack : racks) {
            const auto &candidate = this->fleet.racks()[rack];
            if (candidate.freeAccelerators >= leastFree || !this->fleet.fitsInto(rack, demand)) {
                continue;
            }
            best = &candidate.members;
            leastFree = candidate.freeAccelerators;
            if (this->fleet.isOfData(rack, demand)) {
                break;
            }
        }
        if (best == nullptr && PlannerFleet::maySpread(demand, racks) && this->fleet.fitsIntoFleet(demand)) {
            best = &this->fleet.everyone();
        }
        if (best == nullptr) {
            return {};
        }
        auto places = fillGroup(*best, demand, this->fleet.free());
        this->allocate(places, demand.tasks);
        return places;
    }

    std::vector<std::size_t> taskPlaces(Demand &demand)
    {
        std::vector<std::size_t> places;
        while (demand.left > 0) {
            const auto worker = this->fleet.tightest(demand);
            if (!worker) {
                break;
            }
            this->fleet.take(*worker, demand.tasks.needs);
            demand.placedAt(*worker);
            places.push_back(*worker);
        }
        return places;
    }

    void allocate(const std::vector<std::size_t> &places, const WaitingTasks &tasks)
    {
        for (const auto worker : places) {
            this->fleet.take(worker, tasks.needs);
        }
    }

    /** Makes room for @p demand by stops and ends, and reserves it. Returns false when it is better left to wait. */
    bool reclaim(const Demand &demand, const std::vector<std::size_t> &racks, std::optional<double> otherwise = std::nullopt)
    {
        const auto chosen = this->reclaims.plan(demand, racks, otherwise);
        if (!chosen) {
            return false;
        }
        this->plan.stops.insert(this->plan.stops.end(), chosen->stops.begin(), chosen->stops.end());
        this->reclaims.take(*chosen, demand.tasks);
        return true;
    }

    /** Reserves capacity for a gang in the group with the most free accelerators, so that smaller tasks do not starve it. */
    void reserve(const Demand &demand, const std::vector<std::size_t> &racks)
    {
        const Group *best = nullptr;
        std::int64_t most = -1;
        for (const auto rack : racks) {
            const auto &candidate = this->fleet.racks()[rack];
            if (candidate.freeAccelerators > most) {
                best = &candidate.members;
                most = candidate.freeAccelerators;
            }
        }
        if (PlannerFleet::maySpread(demand, racks) && this->fleet.freeAccelerators() > most && this->fleet.couldFitIntoFleet(demand)) {
            best = &this->fleet.everyone();
        }
        if (best != nullptr) {
            this->allocate(this->emptiest(*best, demand), demand.tasks);
        }
    }

    /** Returns one worker per task, emptiest workers first, because they can become free soonest. */
    std::vector<std::size_t> emptiest(const Group &group, const Demand &demand) const
    {
        const auto &free = this->fleet.free();
        auto order = group;
        std::stable_sort(order.begin(), order.end(), [&free](std::size_t left, std::size_t right) {
            return std::tuple(free[left].accelerators, free[left].milliCores) > std::tuple(free[right].accelerators, free[right].milliCores);
        });
        std::vector<std::size_t> places;
        for (const auto worker : order) {
            const auto left = demand.left - static_cast<std::uint32_t>(places.size());
            places.insert(places.end(), std::min(left, demand.fits(worker, this->fleet.whole()[worker])), worker);
        }
        return places;
    }

    PlannerFleet fleet;
    ReclaimPlanner reclaims;
    SuspectPlacement suspects;
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
