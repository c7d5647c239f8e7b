#include "waxwingloft/version/shapeplanner.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

namespace waxwingloft {

namespace {

/** A worker with capacity for at least one task. */
struct Candidate {
    WorkerIndex worker = 0;
    std::uint32_t tasks = 0; ///< tasks that fit, at most those of the shape
    Resources availableCapacity;
};

using DomainOf = std::uint64_t (*)(const FleetState &, WorkerIndex);

constexpr std::array<DomainOf, NameTable<Adjacency>::names.size()> DomainKeys = {
    [](const FleetState &, WorkerIndex worker) -> std::uint64_t { return worker; },
    [](const FleetState &fleet, WorkerIndex worker) -> std::uint64_t { return fleet.rackOf(worker); },
    [](const FleetState &fleet, WorkerIndex worker) -> std::uint64_t { return fleet.racks()[fleet.rackOf(worker)].dataCentre; },
    [](const FleetState &fleet, WorkerIndex worker) -> std::uint64_t { return fleet.racks()[fleet.rackOf(worker)].region; },
};

bool isInScope(const FleetState &fleet, WorkerIndex worker, const PlanScope &scope)
{
    return (scope.region.empty() || fleet.locationOf(worker).region == scope.region) && (scope.allows == nullptr || (*scope.allows)(worker));
}

std::vector<Candidate> findCandidates(const FleetState &fleet, const Shape &shape, const PlanScope &scope)
{
    std::vector<Candidate> candidates;
    const auto consider = [&](WorkerIndex worker) {
        const auto availableCapacity = fleet.availableOn(worker, scope.capacityKind);
        if (availableCapacity.covers(shape.perTask) && isInScope(fleet, worker, scope)) {
            const auto tasks = static_cast<std::uint32_t>(timesCovered(availableCapacity, shape.perTask, shape.tasks));
            candidates.push_back({worker, tasks, availableCapacity});
        }
    };
    if (scope.rack) {
        const auto &workers = fleet.racks().at(*scope.rack).workers;
        std::for_each(workers.begin(), workers.end(), consider);
        return candidates;
    }
    const auto count = static_cast<WorkerIndex>(fleet.workerCount());
    for (WorkerIndex worker = 0; worker < count; ++worker) {
        consider(worker);
    }
    return candidates;
}

/** Orders workers by available capacity, the smallest first. */
bool isTighterFit(const Candidate &left, const Candidate &right)
{
    return std::tie(left.availableCapacity.accelerators, left.availableCapacity.processors, left.worker)
        < std::tie(right.availableCapacity.accelerators, right.availableCapacity.processors, right.worker);
}

/** Packs tasks onto the workers of one domain, those with the least available capacity first. */
Placement packTasks(std::vector<Candidate> candidates, std::uint32_t tasks)
{
    std::sort(candidates.begin(), candidates.end(), isTighterFit);
    Placement placement;
    for (const auto &candidate : candidates) {
        const auto taken = std::min(candidate.tasks, tasks);
        placement.push_back({candidate.worker, taken});
        tasks -= taken;
        if (tasks == 0) {
            break;
        }
    }
    return placement;
}

/** Returns the worker with the least available capacity that holds all tasks; an exact fit ends the search. */
std::optional<Placement> planOnOneWorker(const FleetState &fleet, const Shape &shape, const PlanScope &scope)
{
    const auto needed = shape.total();
    std::optional<Candidate> best;
    const auto consider = [&](WorkerIndex worker) {
        const auto availableCapacity = fleet.availableOn(worker, scope.capacityKind);
        const Candidate candidate{worker, shape.tasks, availableCapacity};
        if (availableCapacity.covers(needed) && (!best || isTighterFit(candidate, *best)) && isInScope(fleet, worker, scope)) {
            best = candidate;
        }
        return best && best->availableCapacity == needed;
    };
    if (scope.rack) {
        const auto &workers = fleet.racks().at(*scope.rack).workers;
        (void)std::any_of(workers.begin(), workers.end(), consider);
    } else {
        const auto count = static_cast<WorkerIndex>(fleet.workerCount());
        for (WorkerIndex worker = 0; worker < count && !consider(worker); ++worker) { }
    }
    return best ? std::optional<Placement>(Placement{{best->worker, shape.tasks}}) : std::nullopt;
}

struct DomainCapacity {
    std::uint64_t tasks = 0;
    std::int64_t accelerators = 0;
    std::int64_t processors = 0;
};

/** Returns a placement in the domain of @p level with the least available capacity that holds the whole shape. */
std::optional<Placement> planInDomain(const FleetState &fleet, const std::vector<Candidate> &candidates, const Shape &shape, Adjacency level)
{
    std::map<std::uint64_t, DomainCapacity> domains;
    for (const auto &candidate : candidates) {
        auto &domain = domains[domainOf(fleet, candidate.worker, level)];
        domain.tasks += candidate.tasks;
        domain.accelerators += candidate.availableCapacity.accelerators;
        domain.processors += candidate.availableCapacity.processors;
    }
    const std::pair<const std::uint64_t, DomainCapacity> *best = nullptr;
    for (const auto &entry : domains) {
        const auto isTighter = [&entry](const DomainCapacity &other) {
            return std::tie(entry.second.accelerators, entry.second.processors) < std::tie(other.accelerators, other.processors);
        };
        if (entry.second.tasks >= shape.tasks && (best == nullptr || isTighter(best->second))) {
            best = &entry;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    std::vector<Candidate> inside;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(inside), [&](const Candidate &candidate) {
        return domainOf(fleet, candidate.worker, level) == best->first;
    });
    return packTasks(std::move(inside), shape.tasks);
}

} // namespace

std::uint64_t domainOf(const FleetState &fleet, WorkerIndex worker, Adjacency adjacency)
{
    return DomainKeys.at(static_cast<std::size_t>(adjacency))(fleet, worker);
}

std::optional<Placement> BestFitPlanner::plan(const FleetState &fleet, const Shape &shape, const PlanScope &scope) const
{
    if (shape.tasks == 1 || shape.adjacency == Adjacency::Worker) {
        return planOnOneWorker(fleet, shape, scope);
    }
    const auto candidates = findCandidates(fleet, shape, scope);
    for (auto level = static_cast<std::size_t>(Adjacency::Rack); level <= static_cast<std::size_t>(shape.adjacency); ++level) {
        auto placement = planInDomain(fleet, candidates, shape, static_cast<Adjacency>(level));
        if (placement) {
            return placement;
        }
    }
    return std::nullopt;
}

std::optional<Placement> FirstFitPlanner::plan(const FleetState &fleet, const Shape &shape, const PlanScope &scope) const
{
    std::map<std::uint64_t, std::pair<Placement, std::uint32_t>> partial;
    for (const auto &candidate : findCandidates(fleet, shape, scope)) {
        auto &[placement, placed] = partial[domainOf(fleet, candidate.worker, shape.adjacency)];
        const auto taken = std::min(candidate.tasks, shape.tasks - placed);
        placement.push_back({candidate.worker, taken});
        placed += taken;
        if (placed == shape.tasks) {
            return placement;
        }
    }
    return std::nullopt;
}

std::uint32_t maxFittingTasks(const FleetState &fleet, const Shape &shape, const PlanScope &scope)
{
    std::map<std::uint64_t, std::uint64_t> fitting;
    std::uint64_t most = 0;
    for (const auto &candidate : findCandidates(fleet, shape, scope)) {
        auto &tasks = fitting[domainOf(fleet, candidate.worker, shape.adjacency)];
        tasks += candidate.tasks;
        most = std::max(most, tasks);
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(most, shape.tasks));
}

bool fitsEmptyFleet(const FleetState &fleet, const Shape &shape, const std::string &region)
{
    return maxFittingTasks(fleet, shape, PlanScope{CapacityKind::Total, region, nullptr, std::nullopt}) == shape.tasks;
}

Error describeMisfit(const FleetState &fleet, const Shape &shape, const std::string &region)
{
    const auto fitting = maxFittingTasks(fleet, shape, PlanScope{CapacityKind::Total, region, nullptr, std::nullopt});
    const auto place = region.empty() ? std::string("the fleet") : "region " + region;
    return makeError(ErrorKind::InvalidInput,
                     toString(shape) + " never fits into " + place,
                     fitting == 0 ? "ask for fewer resources for each task; no worker is that large"
                                  : "ask for at most " + std::to_string(fitting) + " such tasks, or for a wider adjacency");
}

} // namespace waxwingloft
