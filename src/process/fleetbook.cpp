#include "waxwingloft/process/fleetbook.h"

#include <algorithm>

namespace waxwingloft {

WorkerIndex FleetBook::putWorker(const NodeId &node, const Location &location, const Resources &capacity)
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

void FleetBook::setCondition(WorkerIndex worker, WorkerCondition condition)
{
    this->conditions.at(worker) = condition;
}

std::optional<WorkerIndex> FleetBook::find(const NodeId &node) const
{
    const auto found = this->byNode.find(node);
    return found == this->byNode.end() ? std::nullopt : std::optional<WorkerIndex>(found->second);
}

std::size_t FleetBook::workerCount() const
{
    return this->workers.size();
}

const NodeId &FleetBook::nodeOf(WorkerIndex worker) const
{
    return this->workers.at(worker).node;
}

const Location &FleetBook::locationOf(WorkerIndex worker) const
{
    return this->workers.at(worker).location;
}

std::uint32_t FleetBook::rackOf(WorkerIndex worker) const
{
    return this->rackIndices[worker];
}

WorkerCondition FleetBook::conditionOf(WorkerIndex worker) const
{
    return this->conditions.at(worker);
}

const Resources &FleetBook::capacityOf(WorkerIndex worker) const
{
    return this->capacity.at(worker);
}

const Resources &FleetBook::heldOf(WorkerIndex worker) const
{
    return this->held.at(worker);
}

const std::vector<Rack> &FleetBook::racks() const
{
    return this->rackList;
}

Resources FleetBook::roomOf(WorkerIndex worker, RoomKind kind) const
{
    const auto condition = this->conditions[worker];
    if (kind == RoomKind::Whole) {
        return condition == WorkerCondition::Lost ? Resources{} : this->capacity[worker];
    }
    if (condition != WorkerCondition::Up) {
        return {};
    }
    const auto free = this->capacity[worker] - this->held[worker] - this->pending[worker];
    if (kind == RoomKind::Free) {
        return free;
    }
    const auto unreserved = this->capacity[worker] - this->firm[worker] - this->reserved[worker];
    return kind == RoomKind::Firm ? lesser(free, unreserved) : unreserved;
}

void FleetBook::hold(const Holding &holding)
{
    this->release(holding.job);
    this->account(holding, 1);
    for (const auto &part : holding.placement) {
        this->workers[part.worker].jobs.push_back(holding.job);
    }
    this->holdingByJob.emplace(holding.job, holding);
}

void FleetBook::release(const JobId &job)
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

const Holding *FleetBook::holdingOf(const JobId &job) const
{
    const auto found = this->holdingByJob.find(job);
    return found == this->holdingByJob.end() ? nullptr : &found->second;
}

const std::unordered_map<JobId, Holding> &FleetBook::holdings() const
{
    return this->holdingByJob;
}

const std::vector<JobId> &FleetBook::jobsOn(WorkerIndex worker) const
{
    return this->workers.at(worker).jobs;
}

void FleetBook::reserve(const Placement &placement, const Resources &perTask, int sign)
{
    for (const auto &part : placement) {
        this->reserved[part.worker] += perTask * (sign * static_cast<std::int64_t>(part.tasks));
    }
}

void FleetBook::expect(const Placement &placement, const Resources &perTask, int sign)
{
    for (const auto &part : placement) {
        this->pending[part.worker] += perTask * (sign * static_cast<std::int64_t>(part.tasks));
    }
}

std::optional<std::string> FleetBook::findViolation() const
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

std::uint32_t FleetBook::rackIndex(const Location &location)
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

void FleetBook::account(const Holding &holding, int sign)
{
    for (const auto &part : holding.placement) {
        const auto amount = holding.perTask * (sign * static_cast<std::int64_t>(part.tasks));
        this->held[part.worker] += amount;
        if (holding.holdingClass == HoldingClass::Firm) {
            this->firm[part.worker] += amount;
        }
        if (holding.holdingClass == HoldingClass::Guaranteed) {
            this->guaranteed[part.worker] += amount;
        }
    }
}

} // namespace waxwingloft
