#include "plannerfleet.h"

#include <algorithm>
#include <limits>

namespace waxwingloft {

namespace {

constexpr std::uint32_t MaxSlots = 1U << 20U; ///< counted on one worker, for tasks without any needs

} // namespace

PlannerFleet::PlannerFleet(const std::vector<PlannerWorker> &workers)
    : workers(workers)
    , isClosed(workers.size(), false)
    , rackByWorker(workers.size(), 0)
    , use(workers)
{
    for (const auto &worker : workers) {
        this->rackByName.emplace(worker.rack, 0);
    }
    for (auto &[name, rack] : this->rackByName) {
        rack = this->rackList.size();
        this->rackList.emplace_back();
    }
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const auto &worker = workers[index];
        this->freeByWorker.push_back(worker.free);
        this->wholeByWorker.push_back(worker.capacity);
        this->isClosed[index] = !worker.acceptsWork || worker.isOnTrial;
        this->rackByWorker[index] = this->rackByName.at(worker.rack);
        auto &rack = this->rackList[this->rackByWorker[index]];
        rack.members.push_back(index);
        rack.freeAccelerators += std::max<std::int64_t>(worker.free.accelerators, 0);
        this->all.push_back(index);
        if (worker.speed < 1.0) {
            this->slowest = std::min(this->slowest.value_or(worker.speed), worker.speed);
        }
        if (!this->isClosed[index]) {
            this->orderOf(index).insert(this->placeOf(index));
        }
    }
}

Demand PlannerFleet::demandOf(const WaitingTasks &tasks, std::optional<Pace> pace)
{
    const auto shape = this->shapeOf(tasks, pace);
    return Demand(tasks, this->workers, this->shapes[shape].isEligible, shape);
}

std::optional<double> PlannerFleet::slowerSpeed() const
{
    return this->slowest;
}

std::size_t PlannerFleet::shapeOf(const WaitingTasks &tasks, std::optional<Pace> pace)
{
    const auto [item, isNew] = this->shapeByKey.try_emplace(
        {tasks.service, tasks.requiredLabel, tasks.needs.milliCores, tasks.needs.memoryMb, tasks.needs.accelerators, pace}, this->shapes.size());
    if (isNew) {
        auto &shape = this->shapes.emplace_back();
        shape.slots.resize(this->rackList.size());
        for (std::size_t index = 0; index < this->workers.size(); ++index) {
            const auto &worker = this->workers[index];
            shape.isEligible.push_back(!this->isClosed[index] && mayRun(worker, tasks) && (!pace || paceOf(worker) == *pace));
        }
    }
    return item->second;
}

const std::vector<PlannerFleet::Rack> &PlannerFleet::racks() const
{
    return this->rackList;
}

const Group &PlannerFleet::everyone() const
{
    return this->all;
}

const std::vector<Capacity> &PlannerFleet::free() const
{
    return this->freeByWorker;
}

const std::vector<Capacity> &PlannerFleet::whole() const
{
    return this->wholeByWorker;
}

std::vector<std::size_t> PlannerFleet::racksFor(const Demand &demand)
{
    std::vector<std::size_t> found;
    for (std::size_t rack = 0; rack < this->rackList.size(); ++rack) {
        if (this->slotsIn(rack, demand, true) >= demand.left) {
            found.push_back(rack);
        }
    }
    if (!demand.tasks.dataRack.empty()) {
        std::stable_partition(found.begin(), found.end(), [this, &demand](std::size_t rack) { return this->isOfData(rack, demand); });
    }
    return found;
}

bool PlannerFleet::isOfData(std::size_t rack, const Demand &demand) const
{
    return !demand.tasks.dataRack.empty() && this->workers[this->rackList[rack].members.front()].rack == demand.tasks.dataRack;
}

bool PlannerFleet::maySpread(const Demand &demand, const std::vector<std::size_t> &racks)
{
    return racks.empty() || !demand.tasks.prefersOneRack;
}

bool PlannerFleet::fitsInto(std::size_t rack, const Demand &demand)
{
    return this->slotsIn(rack, demand, false) >= demand.left;
}

bool PlannerFleet::fitsIntoFleet(const Demand &demand)
{
    return this->slotsInFleet(demand, false) >= demand.left;
}

bool PlannerFleet::couldFitIntoFleet(const Demand &demand)
{
    return this->slotsInFleet(demand, true) >= demand.left;
}

std::int64_t PlannerFleet::freeAccelerators() const
{
    std::int64_t total = 0;
    for (const auto &rack : this->rackList) {
        total += rack.freeAccelerators;
    }
    return total;
}

std::uint64_t PlannerFleet::slotsInFleet(const Demand &demand, bool isWhole)
{
    std::uint64_t total = 0;
    for (std::size_t rack = 0; rack < this->rackList.size() && total < demand.left; ++rack) {
        total += this->slotsIn(rack, demand, isWhole);
    }
    return total;
}

std::uint64_t PlannerFleet::slotsIn(std::size_t rack, const Demand &demand, bool isWhole)
{
    if (demand.isUniform()) {
        const auto &slots = this->slotsOf(rack, demand);
        return isWhole ? slots.whole : slots.free;
    }
    std::uint64_t total = 0;
    for (const auto worker : this->rackList[rack].members) {
        total += demand.fits(worker, isWhole ? this->wholeByWorker[worker] : this->freeByWorker[worker]);
    }
    return total;
}

const PlannerFleet::RackSlots &PlannerFleet::slotsOf(std::size_t rack, const Demand &demand)
{
    auto &shape = this->shapes[demand.shape];
    auto &slots = shape.slots[rack];
    if (slots.version == this->rackList[rack].version) {
        return slots;
    }
    slots = {this->rackList[rack].version, 0, 0};
    for (const auto worker : this->rackList[rack].members) {
        if (shape.isEligible[worker]) {
            const auto &free = this->freeByWorker[worker];
            slots.free += isOverCapacity(this->workers[worker], free) ? 0 : timesIn(free, demand.tasks.needs, MaxSlots);
            slots.whole += timesIn(this->wholeByWorker[worker], demand.tasks.needs, MaxSlots);
        }
    }
    return slots;
}

std::optional<std::size_t> PlannerFleet::tightest(const Demand &demand)
{
    auto &shape = this->shapes[demand.shape];
    if (demand.isUniform() && shape.fitsNowhere) {
        return std::nullopt;
    }
    const auto ofData = this->rackByName.find(demand.tasks.dataRack);
    std::optional<std::size_t> found;
    if (demand.tasks.dataRack.empty()) {
        found = this->firstFitByPace(demand);
        found = found ? found : this->firstFit(Pace::Slow, demand);
    } else {
        found = ofData == this->rackByName.end() ? std::nullopt : this->tightestIn(this->rackList[ofData->second].members, demand);
        if (!found) {
            const auto far = this->firstFitByPace(demand);
            const auto slow = this->firstFit(Pace::Slow, demand);
            found = !slow || (far && this->placeOf(*far) < this->placeOf(*slow)) ? far : slow;
        }
    }
    shape.fitsNowhere = demand.isUniform() && !found;
    return found;
}

/** Returns the tightest worker of @p group that is not slow and fits one task. */
std::optional<std::size_t> PlannerFleet::tightestIn(const Group &group, const Demand &demand) const
{
    std::optional<std::size_t> best;
    for (const auto worker : group) {
        const bool fits = !this->workers[worker].isSlow && demand.fits(worker, this->freeByWorker[worker]) > 0;
        if (fits && (!best || this->placeOf(worker) < this->placeOf(*best))) {
            best = worker;
        }
    }
    return best;
}

/** Returns the tightest worker that is not slow and fits one task, of the speed that the tasks prefer if there is one. */
std::optional<std::size_t> PlannerFleet::firstFitByPace(const Demand &demand) const
{
    const bool isSlowerFirst = this->slowest && demand.tasks.prefersSlower;
    const auto found = this->firstFit(isSlowerFirst ? Pace::Slower : Pace::Usual, demand);
    return found || !this->slowest ? found : this->firstFit(isSlowerFirst ? Pace::Usual : Pace::Slower, demand);
}

std::optional<std::size_t> PlannerFleet::firstFit(Pace pace, const Demand &demand) const
{
    const auto &order = this->orders.at(static_cast<std::size_t>(pace));
    const auto needed = demand.tasks.needs.accelerators;
    // Reservations may bring free accelerators below zero, which matters only to tasks that need some.
    for (auto item = needed > 0 ? order.lower_bound({needed, std::numeric_limits<std::int64_t>::min(), 0}) : order.begin(); item != order.end(); ++item) {
        const auto worker = std::get<std::size_t>(*item);
        if (demand.fits(worker, this->freeByWorker[worker]) > 0) {
            return worker;
        }
    }
    return std::nullopt;
}

std::tuple<std::int64_t, std::int64_t, std::size_t> PlannerFleet::placeOf(std::size_t worker) const
{
    return {this->freeByWorker[worker].accelerators, this->freeByWorker[worker].milliCores, worker};
}

PlannerFleet::Order &PlannerFleet::orderOf(std::size_t worker)
{
    return this->orders.at(static_cast<std::size_t>(paceOf(this->workers[worker])));
}

void PlannerFleet::take(std::size_t worker, const Capacity &needs)
{
    auto &order = this->orderOf(worker);
    order.erase(this->placeOf(worker));
    auto &rack = this->rackList[this->rackByWorker[worker]];
    rack.freeAccelerators -= std::max<std::int64_t>(this->freeByWorker[worker].accelerators, 0);
    this->freeByWorker[worker] -= needs;
    rack.freeAccelerators += std::max<std::int64_t>(this->freeByWorker[worker].accelerators, 0);
    ++rack.version;
    if (!this->isClosed[worker]) {
        order.insert(this->placeOf(worker));
    }
}

void PlannerFleet::close(std::size_t worker)
{
    this->isClosed[worker] = true;
    this->orderOf(worker).erase(this->placeOf(worker));
    for (auto &shape : this->shapes) {
        shape.isEligible[worker] = false;
    }
    this->touch(worker);
}

void PlannerFleet::touch(std::size_t worker)
{
    ++this->rackList[this->rackByWorker[worker]].version;
}

bool PlannerFleet::isBusy(const std::string &service) const
{
    return this->use.isBusy(service);
}

} // namespace waxwingloft
