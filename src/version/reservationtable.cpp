#include "waxwingloft/version/reservationtable.h"

#include <algorithm>
#include <numeric>

namespace waxwingloft {

namespace {

std::int64_t acceleratorsOf(const Shape &shape)
{
    return shape.total().accelerators;
}

/** Sorts large tasks and narrow adjacency first: the fewest workers fit them. */
bool isHarderToPlace(const Reservation &left, const Reservation &right)
{
    if (left.shape.perTask.accelerators != right.shape.perTask.accelerators) {
        return left.shape.perTask.accelerators > right.shape.perTask.accelerators;
    }
    if (left.shape.adjacency != right.shape.adjacency) {
        return left.shape.adjacency < right.shape.adjacency;
    }
    return acceleratorsOf(left.shape) > acceleratorsOf(right.shape);
}

std::vector<Reservation> expandGuarantees(const Settings &settings)
{
    std::vector<Reservation> wanted;
    for (const auto &[id, workspace] : settings.workspaces) {
        for (const auto &guarantee : workspace.guarantees) {
            wanted.insert(wanted.end(), guarantee.count, Reservation{id, guarantee.shape, std::nullopt, std::nullopt});
        }
    }
    std::stable_sort(wanted.begin(), wanted.end(), &isHarderToPlace);
    return wanted;
}

} // namespace

ReservationTable::ReservationTable(FleetState &fleet, std::string region, const ShapePlanner &planner)
    : fleet(fleet)
    , region(std::move(region))
    , planner(planner)
{
}

ReservationTable::~ReservationTable()
{
    for (auto &reservation : this->reservations) {
        this->unplace(reservation);
    }
}

std::vector<JobId> ReservationTable::setGuarantees(const Settings &settings)
{
    auto wanted = expandGuarantees(settings);
    std::stable_partition(this->reservations.begin(), this->reservations.end(), [](const Reservation &old) { return old.isClaimed(); });
    for (auto &reservation : wanted) {
        const auto isSame = [&reservation](const Reservation &old) {
            return old.placement && old.workspace == reservation.workspace && old.shape == reservation.shape;
        };
        auto kept = std::find_if(this->reservations.begin(), this->reservations.end(), isSame);
        if (kept != this->reservations.end()) {
            reservation = std::move(*kept);
            kept->placement.reset();
        }
    }
    std::vector<JobId> unclaimed;
    for (auto &dropped : this->reservations) {
        if (dropped.placement && dropped.isClaimed()) {
            unclaimed.push_back(*dropped.claimedBy);
        }
        this->unplace(dropped);
    }
    this->reservations = std::move(wanted);
    return unclaimed;
}

std::size_t ReservationTable::repair()
{
    std::size_t unplaced = 0;
    for (auto &reservation : this->reservations) {
        if (reservation.placement && this->mustMove(reservation)) {
            this->unplace(reservation);
        }
    }
    for (auto &reservation : this->reservations) {
        const bool isPlaced = reservation.placement || this->place(reservation) || this->replanForPlacement(reservation);
        unplaced += isPlaced ? 0 : 1;
    }
    return unplaced;
}

const std::vector<Reservation> &ReservationTable::all() const
{
    return this->reservations;
}

std::optional<ReservationIndex> ReservationTable::findFor(const WorkspaceId &workspace, const Shape &shape) const
{
    std::optional<ReservationIndex> best;
    for (ReservationIndex index = 0; index < this->reservations.size(); ++index) {
        const auto &reservation = this->reservations[index];
        const bool isUsable = reservation.workspace == workspace && reservation.placement && !reservation.isClaimed() && fitsInside(shape, reservation.shape);
        if (isUsable && (!best || acceleratorsOf(reservation.shape) < acceleratorsOf(this->reservations[*best].shape))) {
            best = index;
        }
    }
    return best;
}

bool ReservationTable::moveToFree(ReservationIndex index)
{
    auto &reservation = this->reservations.at(index);
    const auto old = *reservation.placement;
    this->unplace(reservation);
    const auto free = this->planner.plan(this->fleet, reservation.shape, PlanScope{CapacityKind::Unreserved, this->region, nullptr, std::nullopt});
    this->moveTo(index, free.value_or(old));
    return free.has_value();
}

void ReservationTable::moveTo(ReservationIndex index, const Placement &placement)
{
    auto &reservation = this->reservations.at(index);
    this->unplace(reservation);
    reservation.placement = placement;
    this->fleet.reserve(placement, reservation.shape.perTask, 1);
}

void ReservationTable::removePlacement(ReservationIndex index)
{
    this->unplace(this->reservations.at(index));
}

void ReservationTable::claim(ReservationIndex index, const JobId &job)
{
    this->reservations.at(index).claimedBy = job;
}

void ReservationTable::unclaim(const JobId &job)
{
    for (auto &reservation : this->reservations) {
        if (reservation.claimedBy == job) {
            reservation.claimedBy.reset();
        }
    }
}

bool ReservationTable::restoreClaim(const JobId &job, const WorkspaceId &workspace, const Shape &shape, const Placement &placement)
{
    const auto index = this->findFor(workspace, shape);
    if (!index) {
        return false;
    }
    const auto &reservation = this->reservations[*index];
    const auto jobTasksPerReservedTask = static_cast<std::uint32_t>(timesCovered(reservation.shape.perTask, shape.perTask, MaxGangTasks));
    Placement cover;
    std::uint32_t covered = 0;
    for (const auto &part : placement) {
        const auto tasks = (part.tasks + jobTasksPerReservedTask - 1) / jobTasksPerReservedTask;
        cover.push_back({part.worker, tasks});
        covered += tasks;
    }
    if (covered != reservation.shape.tasks) {
        return false;
    }
    this->moveTo(*index, cover);
    this->claim(*index, job);
    return true;
}

Placement ReservationTable::placeInside(ReservationIndex index, const Shape &shape) const
{
    const auto &reservation = this->reservations.at(index);
    const auto jobTasksPerReservedTask = timesCovered(reservation.shape.perTask, shape.perTask, MaxGangTasks);
    auto left = shape.tasks;
    Placement placement;
    for (const auto &part : *reservation.placement) {
        const auto taken = static_cast<std::uint32_t>(std::min<std::int64_t>(left, jobTasksPerReservedTask * part.tasks));
        if (taken > 0) {
            placement.push_back({part.worker, taken});
        }
        left -= taken;
    }
    return placement;
}

std::optional<std::string> ReservationTable::describeUnplaced() const
{
    for (const auto &reservation : this->reservations) {
        if (!reservation.placement) {
            return "workspace " + reservation.workspace.value + ": " + toString(reservation.shape);
        }
    }
    return std::nullopt;
}

bool ReservationTable::place(Reservation &reservation)
{
    const auto place = [this, &reservation](CapacityKind capacityKind) {
        return this->planner.plan(this->fleet, reservation.shape, PlanScope{capacityKind, this->region, nullptr, std::nullopt});
    };
    auto found = place(CapacityKind::Unreserved);
    if (!found) {
        found = place(CapacityKind::Reclaimable);
    }
    if (!found) {
        return false;
    }
    this->fleet.reserve(*found, reservation.shape.perTask, 1);
    reservation.placement = std::move(found);
    return true;
}

void ReservationTable::unplace(Reservation &reservation)
{
    if (reservation.placement) {
        this->fleet.reserve(*reservation.placement, reservation.shape.perTask, -1);
        reservation.placement.reset();
    }
}

/** Whether a worker of the reservation is lost or, for an unclaimed one, no longer up or reserved beyond its capacity. */
bool ReservationTable::mustMove(const Reservation &reservation) const
{
    const auto mustLeave = [this, &reservation](const PlacementPart &part) {
        const auto condition = this->fleet.conditionOf(part.worker);
        if (reservation.isClaimed()) {
            return condition == WorkerCondition::Lost;
        }
        return condition != WorkerCondition::Up || !this->fleet.availableOn(part.worker, CapacityKind::Reclaimable).covers(Resources{});
    };
    return std::any_of(reservation.placement->begin(), reservation.placement->end(), mustLeave);
}

/**
 * Replans all unclaimed reservations to make @p reservation fit: first the hardest ones first, then @p reservation
 * before all others. Restores the old placements when neither order fits.
 */
bool ReservationTable::replanForPlacement(Reservation &reservation)
{
    std::vector<std::optional<Placement>> old;
    std::vector<Reservation *> movable;
    for (auto &other : this->reservations) {
        const bool isMovable = &other == &reservation || (!other.isClaimed() && other.placement);
        old.push_back(other.placement);
        if (isMovable) {
            movable.push_back(&other);
        }
    }
    std::stable_sort(movable.begin(), movable.end(), [](const Reservation *left, const Reservation *right) { return isHarderToPlace(*left, *right); });
    if (this->placeAllInOrder(movable)) {
        return true;
    }
    std::stable_partition(movable.begin(), movable.end(), [&reservation](const Reservation *other) { return other == &reservation; });
    if (this->placeAllInOrder(movable)) {
        return true;
    }
    for (auto *other : movable) {
        this->unplace(*other);
    }
    for (std::size_t index = 0; index < this->reservations.size(); ++index) {
        auto &other = this->reservations[index];
        if (!other.placement && old[index]) {
            this->fleet.reserve(*old[index], other.shape.perTask, 1);
            other.placement = old[index];
        }
    }
    return false;
}

bool ReservationTable::placeAllInOrder(const std::vector<Reservation *> &order)
{
    for (auto *reservation : order) {
        this->unplace(*reservation);
    }
    return std::all_of(order.begin(), order.end(), [this](Reservation *reservation) { return this->place(*reservation); });
}

Status checkGuaranteesEmbed(const Settings &settings, const FleetState &fleet)
{
    FleetState empty;
    for (WorkerIndex worker = 0; worker < fleet.workerCount(); ++worker) {
        if (fleet.conditionOf(worker) != WorkerCondition::Lost) {
            empty.putWorker(fleet.nodeOf(worker), fleet.locationOf(worker), fleet.capacityOf(worker));
        }
    }
    const BestFitPlanner planner;
    ReservationTable table(empty, "", planner);
    table.setGuarantees(settings);
    table.repair();
    for (const auto &reservation : table.all()) {
        if (reservation.placement) {
            continue;
        }
        const auto fitting = maxFittingTasks(empty, reservation.shape, PlanScope{CapacityKind::Unreserved, "", nullptr, std::nullopt});
        return makeError(ErrorKind::InvalidInput,
                         "the guarantees do not fit the fleet together: workspace \"" + reservation.workspace.value + "\" asks for "
                             + toString(reservation.shape) + " and there is room for " + std::to_string(fitting) + " of its "
                             + std::to_string(reservation.shape.tasks) + " tasks",
                         "lower a guarantee, or add workers first");
    }
    return Done{};
}

} // namespace waxwingloft
