#include "waxwingloft/process/fleetstate.h"

#include <algorithm>

namespace waxwingloft {

WorkerIndex FleetState::putWorker(const NodeId &node, const Location &location, const Resources &capacity)
{
    const auto known = this->byNode.find(node);
    if (known != this->byNode.end()) {
        this->capacity[known->second] = capacity;
        this->conditions[known->second] = WorkerCondition::Up;
        return known->second;
    }
    const auto index = static_cast<WorkerIndex>(this->workers.size());
    const auto rack = this->rackIndex(location);
    this->workers.push_back(Worker{node, location, {}});
    this->conditions.push_back(WorkerCondition::Up);
    this->rackIndices.push_back(rack);
    this->capacity.push_back(capacity);
    this->held.emplace_back();
    this->firm.emplace_back();
    this->guaranteed.emplace_back();
    this->reserved.emplace_back();
    this->pending.emplace_back();
    this->rackList[rack].workers.push_back(index);
    this->byNode.emplace(node, index);
    return index;
}

void FleetState::setCondition(WorkerIndex worker, WorkerCondition condition)
{
    this->conditions.at(worker) = condition;
}

std::optional<WorkerIndex> FleetState::find(const NodeId &node) const
{
    const auto found = this->byNode.find(node);
    return found == this->byNode.end() ? std::nullopt : std::optional<WorkerIndex>(found->second);
}

std::size_t FleetState::workerCount() const
{
    return this->workers.size();
}

const NodeId &FleetState::nodeOf(WorkerIndex worker) const
{
    return this->workers.at(worker).node;
}

const Location &FleetState::locationOf(WorkerIndex worker) const
{
    return this->workers.at(worker).location;
}

std::uint32_t FleetState::rackOf(WorkerIndex worker) const
{
    return this->rackIndices[worker];
}

WorkerCondition FleetState::conditionOf(WorkerIndex worker) const
{
    return this->conditions.at(worker);
}

const Resources &FleetState::capacityOf(WorkerIndex worker) const
{
    return this->capacity.at(worker);
}

const Resources &FleetState::heldOf(WorkerIndex worker) const
{
    return this->held.at(worker);
}

const std::vector<Rack> &FleetState::racks() const
{
    return this->rackList;
}

Resources FleetState::availableOn(WorkerIndex worker, CapacityKind kind) const
{
    const auto condition = this->conditions[worker];
    if (kind == CapacityKind::Total) {
        return condition == WorkerCondition::Lost ? Resources{} : this->capacity[worker];
    }
    if (condition != WorkerCondition::Up) {
        return {};
    }
    const auto free = this->capacity[worker] - this->held[worker] - this->pending[worker];
    if (kind == CapacityKind::Free) {
        return free;
    }
    const auto unreserved = this->capacity[worker] - this->firm[worker] - this->reserved[worker];
    return kind == CapacityKind::Unreserved ? lesser(free, unreserved) : unreserved;
}

void FleetState::hold(const Holding &holding)
{
    this->release(holding.job);
    this->account(holding, 1);
    for (const auto &part : holding.placement) {
        this->workers[part.worker].jobs.push_back(holding.job);
    }
    this->holdingByJob.emplace(holding.job, holding);
}

void FleetState::release(const JobId &job)
{
    const auto found = this->holdingByJob.find(job);
    if (found == this->holdingByJob.end()) {
        return;
    }
    this->account(found->second, -1);
    for (const auto &part : found->second.placement) {
        std::erase(this->workers[part.worker].jobs, job);
    }
    this->holdingByJob.erase(found);
}

const Holding *FleetState::holdingOf(const JobId &job) const
{
    const auto found = this->holdingByJob.find(job);
    return found == this->holdingByJob.end() ? nullptr : &found->second;
}

const std::unordered_map<JobId, Holding> &FleetState::holdings() const
{
    return this->holdingByJob;
}

const std::vector<JobId> &FleetState::jobsOn(WorkerIndex worker) const
{
    return this->workers.at(worker).jobs;
}

void FleetState::reserve(const Placement &placement, const Resources &perTask, int sign)
{
    for (const auto &part : placement) {
        this->reserved[part.worker] += perTask * (sign * static_cast<std::int64_t>(part.tasks));
    }
}

void FleetState::expect(const Placement &placement, const Resources &perTask, int sign)
{
    for (const auto &part : placement) {
        this->pending[part.worker] += perTask * (sign * static_cast<std::int64_t>(part.tasks));
    }
}

std::optional<std::string> FleetState::findViolation() const
{
    for (WorkerIndex worker = 0; worker < this->workers.size(); ++worker) {
        if (this->conditions[worker] != WorkerCondition::Up) {
            continue;
        }
        if (!this->capacity[worker].covers(this->held[worker])) {
            return "worker " + this->workers[worker].node.value + " holds " + toString(this->held[worker]) + " of " + toString(this->capacity[worker]);
        }
        if (!this->capacity[worker].covers(this->firm[worker] + this->reserved[worker])) {
            return "worker " + this->workers[worker].node.value + " has firm and reserved " + toString(this->firm[worker] + this->reserved[worker]) + " of "
                + toString(this->capacity[worker]);
        }
        if (!this->reserved[worker].covers(this->guaranteed[worker])) {
            return "worker " + this->workers[worker].node.value + " runs guaranteed work outside reservations";
        }
    }
    return std::nullopt;
}

std::uint32_t FleetState::rackIndex(const Location &location)
{
    const auto name = location.region + '\n' + location.dataCentre + '\n' + location.rack;
    const auto [found, isNew] = this->rackByName.emplace(name, static_cast<std::uint32_t>(this->rackList.size()));
    if (isNew) {
        const auto dataCentreName = location.region + '\n' + location.dataCentre;
        const auto dataCentre = this->dataCentres.emplace(dataCentreName, static_cast<std::uint32_t>(this->dataCentres.size())).first->second;
        const auto region = this->regions.emplace(location.region, static_cast<std::uint32_t>(this->regions.size())).first->second;
        this->rackList.push_back(Rack{location, dataCentre, region, {}});
    }
    return found->second;
}

void FleetState::account(const Holding &holding, int sign)
{
    for (const auto &part : holding.placement) {
        const auto amount = holding.perTask * (sign * static_cast<std::int64_t>(part.tasks));
        this->held[part.worker] += amount;
        if (holding.preemptionClass == PreemptionClass::NonPreemptible) {
            this->firm[part.worker] += amount;
        }
        if (holding.preemptionClass == PreemptionClass::Guaranteed) {
            this->guaranteed[part.worker] += amount;
        }
    }
}

} // namespace waxwingloft
