#include "waxwingloft/request/backfillreservations.h"

#include "waxwingloft/version/shapeplanner.h"

#include <algorithm>

namespace waxwingloft {

BackfillReservations::BackfillReservations(const FleetState &fleet, std::string region)
    : fleet(fleet)
    , region(std::move(region))
{
}

bool BackfillReservations::plan(const GangJob &job, const EndEstimate &endOf, Instant now)
{
    std::map<std::uint64_t, std::vector<WorkerIndex>> domains;
    for (WorkerIndex worker = 0; worker < this->fleet.workerCount(); ++worker) {
        const bool isHere = this->region.empty() || this->fleet.locationOf(worker).region == this->region;
        const bool isUp = this->fleet.conditionOf(worker) == WorkerCondition::Up;
        if (isHere && isUp && this->fleet.capacityOf(worker).covers(job.shape.perTask) && this->mayUse(worker, job.id, Instant::max())) {
            domains[domainOf(this->fleet, worker, job.shape.adjacency)].push_back(worker);
        }
    }
    std::optional<BackfillReservation> best;
    for (const auto &[key, workers] : domains) {
        auto drain = this->planDomain(workers, job, endOf, now);
        if (drain && (!best || drain->expectedAt < best->expectedAt)) {
            best = std::move(drain);
        }
    }
    if (!best) {
        this->drains.erase(job.id);
        return false;
    }
    this->drains[job.id] = std::move(*best);
    return true;
}

void BackfillReservations::drop(const JobId &job)
{
    this->drains.erase(job);
}

void BackfillReservations::keepOnly(const std::function<bool(const JobId &)> &isStarved)
{
    std::erase_if(this->drains, [&isStarved](const auto &entry) { return !isStarved(entry.first); });
}

bool BackfillReservations::mayUse(WorkerIndex worker, const JobId &job, Instant expectedEnd) const
{
    const auto forbids = [&](const auto &entry) {
        const auto &[owner, drain] = entry;
        return owner != job && expectedEnd > drain.expectedAt && std::binary_search(drain.workers.begin(), drain.workers.end(), worker);
    };
    return std::none_of(this->drains.begin(), this->drains.end(), forbids);
}

const BackfillReservation *BackfillReservations::find(const JobId &job) const
{
    const auto found = this->drains.find(job);
    return found == this->drains.end() ? nullptr : &found->second;
}

std::size_t BackfillReservations::size() const
{
    return this->drains.size();
}

std::size_t BackfillReservations::workerCount() const
{
    std::size_t count = 0;
    for (const auto &[job, drain] : this->drains) {
        count += drain.workers.size();
    }
    return count;
}

std::optional<BackfillReservation>
BackfillReservations::planDomain(const std::vector<WorkerIndex> &workers, const GangJob &job, const EndEstimate &endOf, Instant now) const
{
    struct Emptying {
        Instant at;
        WorkerIndex worker = 0;
        std::int64_t tasks = 0;
    };
    std::vector<Emptying> order;
    for (const auto worker : workers) {
        const auto room = lesser(this->fleet.capacityOf(worker), this->fleet.roomOf(worker, CapacityKind::Reclaimable));
        const auto unreserved = job.isReclaimable() ? this->fleet.capacityOf(worker) : room;
        const auto tasks = timesCovered(unreserved, job.shape.perTask, job.shape.tasks);
        if (tasks > 0) {
            order.push_back({this->emptyAt(worker, endOf, now), worker, tasks});
        }
    }
    std::sort(order.begin(), order.end(), [](const Emptying &left, const Emptying &right) {
        return left.at != right.at ? left.at < right.at : left.worker < right.worker;
    });
    BackfillReservation drain{{}, now};
    auto missing = static_cast<std::int64_t>(job.shape.tasks);
    for (const auto &emptying : order) {
        if (missing <= 0) {
            break;
        }
        drain.workers.push_back(emptying.worker);
        drain.expectedAt = std::max(drain.expectedAt, emptying.at);
        missing -= emptying.tasks;
    }
    if (missing > 0) {
        return std::nullopt;
    }
    std::sort(drain.workers.begin(), drain.workers.end());
    return drain;
}

Instant BackfillReservations::emptyAt(WorkerIndex worker, const EndEstimate &endOf, Instant now) const
{
    auto latest = now;
    for (const auto &job : this->fleet.jobsOn(worker)) {
        latest = std::max(latest, endOf(job));
    }
    return latest;
}

} // namespace waxwingloft
