#include "waxwingloft/request/backfillreservations.h"

#include "waxwingloft/version/shapeplanner.h"

#include <algorithm>

namespace waxwingloft {

BackfillReservations::BackfillReservations(const FleetState &fleet, std::string region)
    : fleet(fleet)
    , region(std::move(region))
{
}

bool BackfillReservations::plan(const GangJob &job, const EndEstimator &endOf, Instant now)
{
    std::map<std::uint64_t, std::vector<WorkerIndex>> domains;
    for (WorkerIndex worker = 0; worker < this->fleet.workerCount(); ++worker) {
        const bool isInRegion = this->region.empty() || this->fleet.locationOf(worker).region == this->region;
        const bool isUp = this->fleet.conditionOf(worker) == WorkerCondition::Up;
        if (isInRegion && isUp && this->fleet.capacityOf(worker).covers(job.shape.perTask) && this->mayUse(worker, job.id, Instant::max())) {
            domains[domainOf(this->fleet, worker, job.shape.adjacency)].push_back(worker);
        }
    }
    std::optional<BackfillReservation> best;
    for (const auto &[key, workers] : domains) {
        auto reservation = this->planDomain(workers, job, endOf, now);
        if (reservation && (!best || reservation->expectedEmptyAt < best->expectedEmptyAt)) {
            best = std::move(reservation);
        }
    }
    if (!best) {
        this->reservations.erase(job.id);
        return false;
    }
    this->reservations[job.id] = std::move(*best);
    return true;
}

void BackfillReservations::drop(const JobId &job)
{
    this->reservations.erase(job);
}

void BackfillReservations::keepOnly(const std::function<bool(const JobId &)> &isStarved)
{
    std::erase_if(this->reservations, [&isStarved](const auto &entry) { return !isStarved(entry.first); });
}

bool BackfillReservations::mayUse(WorkerIndex worker, const JobId &job, Instant expectedEnd) const
{
    const auto forbids = [&](const auto &entry) {
        const auto &[owner, reservation] = entry;
        return owner != job && expectedEnd > reservation.expectedEmptyAt && std::binary_search(reservation.workers.begin(), reservation.workers.end(), worker);
    };
    return std::none_of(this->reservations.begin(), this->reservations.end(), forbids);
}

const BackfillReservation *BackfillReservations::find(const JobId &job) const
{
    const auto found = this->reservations.find(job);
    return found == this->reservations.end() ? nullptr : &found->second;
}

std::size_t BackfillReservations::size() const
{
    return this->reservations.size();
}

std::size_t BackfillReservations::workerCount() const
{
    std::size_t count = 0;
    for (const auto &[job, reservation] : this->reservations) {
        count += reservation.workers.size();
    }
    return count;
}

std::optional<BackfillReservation>
BackfillReservations::planDomain(const std::vector<WorkerIndex> &workers, const GangJob &job, const EndEstimator &endOf, Instant now) const
{
    struct WorkerEstimate {
        Instant at;
        WorkerIndex worker = 0;
        std::int64_t tasks = 0;
    };
    std::vector<WorkerEstimate> estimates;
    for (const auto worker : workers) {
        const auto reclaimable = lesser(this->fleet.capacityOf(worker), this->fleet.availableOn(worker, CapacityKind::Reclaimable));
        const auto usable = job.isReclaimable() ? this->fleet.capacityOf(worker) : reclaimable;
        const auto tasks = timesCovered(usable, job.shape.perTask, job.shape.tasks);
        if (tasks > 0) {
            estimates.push_back({this->estimateEmptyAt(worker, endOf, now), worker, tasks});
        }
    }
    std::sort(estimates.begin(), estimates.end(), [](const WorkerEstimate &left, const WorkerEstimate &right) {
        return left.at != right.at ? left.at < right.at : left.worker < right.worker;
    });
    BackfillReservation reservation{{}, now};
    auto missing = static_cast<std::int64_t>(job.shape.tasks);
    for (const auto &estimate : estimates) {
        if (missing <= 0) {
            break;
        }
        reservation.workers.push_back(estimate.worker);
        reservation.expectedEmptyAt = std::max(reservation.expectedEmptyAt, estimate.at);
        missing -= estimate.tasks;
    }
    if (missing > 0) {
        return std::nullopt;
    }
    std::sort(reservation.workers.begin(), reservation.workers.end());
    return reservation;
}

Instant BackfillReservations::estimateEmptyAt(WorkerIndex worker, const EndEstimator &endOf, Instant now) const
{
    auto latest = now;
    for (const auto &job : this->fleet.jobsOn(worker)) {
        latest = std::max(latest, endOf(job));
    }
    return latest;
}

} // namespace waxwingloft
