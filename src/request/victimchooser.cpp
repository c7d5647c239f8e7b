#include "waxwingloft/request/victimchooser.h"

#include <algorithm>

namespace waxwingloft {

namespace {

/** Returns the capacity that a job holds on one worker. */
Resources heldCapacity(const Holding &holding, WorkerIndex worker)
{
    Resources amount;
    for (const auto &part : holding.placement) {
        if (part.worker == worker) {
            amount += holding.perTask * part.tasks;
        }
    }
    return amount;
}

bool contains(const std::vector<JobId> &jobs, const JobId &job)
{
    return std::find(jobs.begin(), jobs.end(), job) != jobs.end();
}

} // namespace

VictimChooser::VictimChooser(const FleetState &fleet, const ShapePlanner &planner, std::string region)
    : fleet(fleet)
    , planner(planner)
    , region(std::move(region))
{
}

std::optional<VictimPlan> VictimChooser::choose(const Shape &shape, const StopCost &costOf) const
{
    std::optional<VictimPlan> best;
    for (const auto &placement : this->candidatePlacements(shape)) {
        auto plan = this->victimsOn(placement, shape.perTask, costOf);
        if (plan && (!best || plan->cost < best->cost)) {
            best = std::move(plan);
        }
    }
    return best;
}

std::optional<VictimPlan> VictimChooser::victimsOn(const Placement &placement, const Resources &perTask, const StopCost &costOf) const
{
    VictimPlan plan{placement, {}, 0.0};
    for (const auto &part : placement) {
        const auto needed = perTask * part.tasks;
        auto available = this->fleet.availableOn(part.worker, CapacityKind::Free);
        std::vector<std::pair<double, const Holding *>> preemptible;
        for (const auto &job : this->fleet.jobsOn(part.worker)) {
            const auto *const holding = this->fleet.holdingOf(job);
            if (holding->preemptionClass != PreemptionClass::Preemptible) {
                continue;
            }
            if (contains(plan.victims, job)) {
                available += heldCapacity(*holding, part.worker);
            } else {
                preemptible.emplace_back(costOf(job), holding);
            }
        }
        std::sort(preemptible.begin(), preemptible.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
        for (const auto &[cost, holding] : preemptible) {
            if (available.covers(needed)) {
                break;
            }
            plan.victims.push_back(holding->job);
            plan.cost += cost;
            available += heldCapacity(*holding, part.worker);
        }
        if (!available.covers(needed)) {
            return std::nullopt;
        }
    }
    return plan;
}

std::vector<Placement> VictimChooser::candidatePlacements(const Shape &shape) const
{
    std::vector<Placement> placements;
    const auto add = [this, &shape, &placements](std::optional<std::uint32_t> rack) {
        auto placement = this->planner.plan(this->fleet, shape, PlanScope{CapacityKind::Reclaimable, this->region, nullptr, rack});
        if (placement) {
            placements.push_back(std::move(*placement));
        }
    };
    if (shape.tasks == 1 || shape.adjacency == Adjacency::Worker) {
        const auto needed = shape.total();
        for (WorkerIndex worker = 0; worker < this->fleet.workerCount(); ++worker) {
            const bool isInRegion = this->region.empty() || this->fleet.locationOf(worker).region == this->region;
            if (isInRegion && this->fleet.availableOn(worker, CapacityKind::Reclaimable).covers(needed)) {
                placements.push_back({{worker, shape.tasks}});
            }
        }
        return placements;
    }
    if (shape.adjacency == Adjacency::Rack) {
        for (std::uint32_t rack = 0; rack < this->fleet.racks().size(); ++rack) {
            add(rack);
        }
        return placements;
    }
    add(std::nullopt);
    return placements;
}

} // namespace waxwingloft
