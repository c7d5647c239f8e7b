#include "waxwingloft/request/gangscheduler.h"

#include <algorithm>

namespace waxwingloft {

namespace {

constexpr double EndQuantile = 0.9; ///< quantile of learned run times used for backfill reservations
constexpr double CheckpointOverheadSeconds = 10.0; ///< work lost per accelerator by a clean checkpoint and restart
constexpr double ProcessorsPerAccelerator = 16.0; ///< processors that weigh as much as one accelerator in costs and shares
constexpr double MillisPerSecond = 1000.0;

double sizeOf(const Resources &amount)
{
    return static_cast<double>(amount.accelerators) + static_cast<double>(amount.processors) / ProcessorsPerAccelerator;
}

bool comesBefore(const GangJob &left, const GangJob &right)
{
    return left.urgency != right.urgency ? left.urgency < right.urgency : left.submittedAt < right.submittedAt;
}

std::string minutesText(Millis duration)
{
    return std::to_string(std::max<std::int64_t>(1, duration.count() / 60000)) + " min";
}

} // namespace

GangScheduler::GangScheduler(FleetState &fleet,
                             ReservationTable &reservations,
                             RuntimeLearner &learner,
                             const ShapePlanner &planner,
                             const std::string &region,
                             GangSchedulerOptions options)
    : fleet(fleet)
    , reservations(reservations)
    , learner(learner)
    , planner(planner)
    , region(region)
    , options(options)
    , chooser(fleet, planner, region)
    , backfill(fleet, region)
{
}

Status GangScheduler::submit(const GangJob &job)
{
    auto checked = checkShape(job.shape);
    if (!succeeded(checked)) {
        return checked;
    }
    if (!fitsEmptyFleet(this->fleet, job.shape, this->region)) {
        return describeMisfit(this->fleet, job.shape, this->region);
    }
    this->restore(job);
    return Done{};
}

void GangScheduler::ended(const JobId &job, Instant now)
{
    const auto found = this->running.find(job);
    if (found == this->running.end()) {
        return;
    }
    this->learner.observe(found->second.job.workspace, found->second.job.kind, now - found->second.startedAt);
    this->removeRunning(job);
}

void GangScheduler::stopped(const JobId &job, Instant now)
{
    const auto found = this->running.find(job);
    if (found == this->running.end()) {
        return;
    }
    auto stoppedJob = found->second.job;
    stoppedJob.waitingSince = now;
    this->removeRunning(job);
    this->enqueue(stoppedJob);
}

void GangScheduler::withdraw(const JobId &job)
{
    this->abandonReclaim(job);
    for (auto &[workspace, jobs] : this->waiting) {
        std::erase_if(jobs, [&job](const GangJob &candidate) { return candidate.id == job; });
    }
    this->backfill.drop(job);
    this->unplaceableSince.erase(job);
}

std::vector<GangDecision> GangScheduler::decide(Instant now)
{
    Decisions decisions;
    this->failedShapes.clear();
    if (this->reservations.describeUnplaced()) {
        this->reservations.repair();
    }
    this->endUnplaceable(now, decisions);
    this->startReclaimed(now, decisions);
    this->startWaiting(now, decisions);
    this->updateBackfill(now, decisions);
    this->consolidate(now, decisions);
    return decisions;
}

void GangScheduler::restore(const GangJob &job)
{
    auto waitingJob = job;
    waitingJob.waitingSince = job.submittedAt;
    this->enqueue(waitingJob);
}

void GangScheduler::adopt(const GangJob &job, const Placement &placement, PreemptionClass preemptionClass, Instant startedAt)
{
    this->fleet.hold({job.id, job.workspace, preemptionClass, job.shape.perTask, placement});
    this->running.emplace(job.id, Running{job, startedAt, startedAt, false});
}

void GangScheduler::setSettings(const Settings &settings)
{
    this->weights.clear();
    this->reclaimGraces.clear();
    for (const auto &[id, workspace] : settings.workspaces) {
        this->weights[id] = workspace.weight;
        this->reclaimGraces[id] = workspace.reclaimGrace;
    }
    for (const auto &job : this->reservations.setGuarantees(settings)) {
        if (this->abandonReclaim(job)) {
            continue;
        }
        auto holding = *this->fleet.holdingOf(job);
        holding.preemptionClass = this->running.at(job).job.isReclaimable() ? PreemptionClass::Preemptible : PreemptionClass::NonPreemptible;
        this->fleet.hold(holding);
    }
    this->reservations.repair();
}

void GangScheduler::checkpointed(const JobId &job, Instant now)
{
    const auto found = this->running.find(job);
    if (found != this->running.end()) {
        found->second.checkpointedAt = now;
    }
}

std::string GangScheduler::explain(const JobId &job, Instant now) const
{
    const auto reclaim = this->reclaims.find(job);
    if (reclaim != this->reclaims.end()) {
        return "waits for " + std::to_string(reclaim->second.victims.size()) + " preemptible jobs to stop on its guaranteed workers";
    }
    for (const auto &[workspace, jobs] : this->waiting) {
        const auto found = std::find_if(jobs.begin(), jobs.end(), [&job](const GangJob &candidate) { return candidate.id == job; });
        if (found == jobs.end()) {
            continue;
        }
        const auto capacity = found->isReclaimable() ? CapacityKind::Free : CapacityKind::Unreserved;
        const auto fitting = maxFittingTasks(this->fleet, found->shape, PlanScope{capacity, this->region, nullptr, std::nullopt});
        auto text = "waits with capacity for " + std::to_string(fitting) + " of its " + std::to_string(found->shape.tasks) + " tasks in one "
            + std::string(nameOf(found->shape.adjacency));
        const auto *const reservation = this->backfill.find(job);
        if (reservation != nullptr) {
            text += "; " + std::to_string(reservation->workers.size()) + " workers are reserved for it, the last is empty in about "
                + minutesText(reservation->expectedEmptyAt - now);
        }
        return text;
    }
    return {};
}

bool GangScheduler::isRunning(const JobId &job) const
{
    return this->running.contains(job);
}

std::size_t GangScheduler::waitingCount() const
{
    std::size_t count = this->reclaims.size();
    for (const auto &[workspace, jobs] : this->waiting) {
        count += jobs.size();
    }
    return count;
}

void GangScheduler::enqueue(const GangJob &job)
{
    auto &jobs = this->waiting[job.workspace];
    jobs.insert(std::upper_bound(jobs.begin(), jobs.end(), job, &comesBefore), job);
}

void GangScheduler::endUnplaceable(Instant now, Decisions &decisions)
{
    std::map<std::string, bool> fits;
    std::vector<std::pair<JobId, Shape>> unplaceable;
    for (const auto &[workspace, jobs] : this->waiting) {
        for (const auto &job : jobs) {
            const auto [known, isNew] = fits.emplace(toString(job.shape), false);
            if (isNew) {
                known->second = fitsEmptyFleet(this->fleet, job.shape, this->region);
            }
            if (known->second) {
                this->unplaceableSince.erase(job.id);
            } else if (now - this->unplaceableSince.emplace(job.id, now).first->second >= this->options.unplaceableTimeout) {
                unplaceable.emplace_back(job.id, job.shape);
            }
        }
    }
    for (const auto &[job, shape] : unplaceable) {
        this->withdraw(job);
        decisions.push_back(EndGangDecision{job, describeMisfit(this->fleet, shape, this->region)});
    }
}

void GangScheduler::startReclaimed(Instant now, Decisions &decisions)
{
    std::vector<JobId> ready;
    for (auto &[owner, reclaim] : this->reclaims) {
        std::erase_if(reclaim.victims, [this](const JobId &victim) { return !this->running.contains(victim); });
        if (reclaim.victims.empty()) {
            ready.push_back(owner);
        }
    }
    for (const auto &owner : ready) {
        const auto reclaim = this->reclaims.at(owner);
        const auto isUp = [this](const PlacementPart &part) { return this->fleet.conditionOf(part.worker) == WorkerCondition::Up; };
        if (!std::all_of(reclaim.placement.begin(), reclaim.placement.end(), isUp)) {
            this->abandonReclaim(owner);
            continue;
        }
        this->reclaims.erase(owner);
        this->fleet.expect(reclaim.placement, reclaim.job.shape.perTask, -1);
        this->start(reclaim.job, reclaim.placement, PreemptionClass::Guaranteed, now, decisions);
    }
}

/** Queues a job again whose reclaim has not finished. Returns false when there is no reclaim for it. */
bool GangScheduler::abandonReclaim(const JobId &job)
{
    const auto found = this->reclaims.find(job);
    if (found == this->reclaims.end()) {
        return false;
    }
    const auto reclaim = found->second;
    this->reclaims.erase(found);
    this->fleet.expect(reclaim.placement, reclaim.job.shape.perTask, -1);
    this->reservations.unclaim(job);
    this->enqueue(reclaim.job);
    return true;
}

/** Starts jobs of the workspace with the smallest weighted share first, until no job of any workspace can start. */
void GangScheduler::startWaiting(Instant now, Decisions &decisions)
{
    auto shares = this->usedShares();
    std::set<WorkspaceId> open;
    for (const auto &[workspace, jobs] : this->waiting) {
        if (!jobs.empty()) {
            open.insert(workspace);
        }
    }
    while (!open.empty()) {
        const auto next = *std::min_element(open.begin(), open.end(), [&shares](const auto &left, const auto &right) { return shares[left] < shares[right]; });
        auto &jobs = this->waiting[next];
        const auto started = std::find_if(jobs.begin(), jobs.end(), [&](const GangJob &job) { return this->tryStart(job, now, decisions); });
        if (started == jobs.end()) {
            open.erase(next);
            continue;
        }
        shares[next] += sizeOf(started->shape.total()) / std::max(this->weights[next], 0.01);
        this->backfill.drop(started->id);
        jobs.erase(started);
    }
}

bool GangScheduler::tryStart(const GangJob &job, Instant now, Decisions &decisions)
{
    return this->tryGuaranteed(job, now, decisions) || this->tryOverGuarantee(job, now, decisions);
}

bool GangScheduler::tryGuaranteed(const GangJob &job, Instant now, Decisions &decisions)
{
    const auto index = this->reservations.findFor(job.workspace, job.shape);
    if (!index) {
        return false;
    }
    const auto isFree = [this, &job](const Placement &placement) {
        return std::all_of(placement.begin(), placement.end(), [this, &job](const PlacementPart &part) {
            return this->fleet.availableOn(part.worker, CapacityKind::Free).covers(job.shape.perTask * part.tasks);
        });
    };
    auto inside = this->reservations.placeInside(*index, job.shape);
    if (!isFree(inside)) {
        this->reservations.moveToFree(*index);
        inside = this->reservations.placeInside(*index, job.shape);
    }
    if (!isFree(inside)) {
        return this->reclaimFor(job, *index, now, decisions);
    }
    this->reservations.claim(*index, job.id);
    this->start(job, inside, PreemptionClass::Guaranteed, now, decisions);
    return true;
}

/** Moves the reservation to where preemptible jobs cost least to stop, and stops those on its placement. */
bool GangScheduler::reclaimFor(const GangJob &job, ReservationIndex index, Instant now, Decisions &decisions)
{
    const auto &reservation = this->reservations.all()[index];
    const auto costOf = [this, now](const JobId &victim) { return this->stopCost(victim, now); };
    const auto previous = *reservation.placement;
    this->reservations.removePlacement(index);
    auto plan = this->chooser.choose(reservation.shape, costOf);
    this->reservations.moveTo(index, plan ? plan->placement : previous);
    const auto inside = this->reservations.placeInside(index, job.shape);
    const auto needed = this->chooser.victimsOn(inside, job.shape.perTask, costOf);
    if (!needed) {
        return false;
    }
    this->reservations.claim(index, job.id);
    this->fleet.expect(inside, job.shape.perTask, 1);
    Reclaim reclaim{job, inside, {}};
    for (const auto &victim : needed->victims) {
        this->stop(victim, job.id, this->graceFor(job), decisions);
        reclaim.victims.insert(victim);
    }
    this->reclaims.emplace(job.id, std::move(reclaim));
    return true;
}

bool GangScheduler::tryOverGuarantee(const GangJob &job, Instant now, Decisions &decisions)
{
    const auto preemptionClass = job.isReclaimable() ? PreemptionClass::Preemptible : PreemptionClass::NonPreemptible;
    const std::pair<Shape, PreemptionClass> key{job.shape, preemptionClass};
    const bool hasBackfillReservation = this->backfill.find(job.id) != nullptr;
    if (!hasBackfillReservation && std::find(this->failedShapes.begin(), this->failedShapes.end(), key) != this->failedShapes.end()) {
        return false;
    }
    const auto end = now + this->learner.estimate(job.workspace, job.kind, job.declaredRunTime, EndQuantile);
    const std::function<bool(WorkerIndex)> allows = [this, &job, end](WorkerIndex worker) {
        return job.checkpointable || this->backfill.mayUse(worker, job.id, end);
    };
    const auto capacity = job.isReclaimable() ? CapacityKind::Free : CapacityKind::Unreserved;
    const auto placement =
        this->planner.plan(this->fleet, job.shape, PlanScope{capacity, this->region, this->backfill.size() == 0 ? nullptr : &allows, std::nullopt});
    if (!placement) {
        this->failedShapes.push_back(key);
        return false;
    }
    this->start(job, *placement, preemptionClass, now, decisions);
    return true;
}

void GangScheduler::start(const GangJob &job, const Placement &placement, PreemptionClass preemptionClass, Instant now, Decisions &decisions)
{
    this->fleet.hold({job.id, job.workspace, preemptionClass, job.shape.perTask, placement});
    this->running.emplace(job.id, Running{job, now, now, false});
    decisions.push_back(StartGangDecision{job.id, placement, preemptionClass});
}

void GangScheduler::stop(const JobId &victim, const JobId &owner, Millis grace, Decisions &decisions)
{
    auto &entry = this->running.at(victim);
    if (!entry.isStopping) {
        entry.isStopping = true;
        decisions.push_back(StopGangDecision{victim, owner, grace});
    }
}

/** Makes backfill reservations for starved jobs: the largest first, then the earliest submitted. */
void GangScheduler::updateBackfill(Instant now, Decisions &decisions)
{
    std::vector<const GangJob *> starved;
    for (const auto &[workspace, jobs] : this->waiting) {
        for (const auto &job : jobs) {
            if (now - job.waitingSince >= this->options.starvationAge) {
                starved.push_back(&job);
            }
        }
    }
    std::sort(starved.begin(), starved.end(), [](const GangJob *left, const GangJob *right) {
        const auto leftSize = sizeOf(left->shape.total());
        const auto rightSize = sizeOf(right->shape.total());
        return leftSize != rightSize ? leftSize > rightSize : left->submittedAt < right->submittedAt;
    });
    const auto maxWorkers = static_cast<std::size_t>(this->options.maxBackfillShare * static_cast<double>(this->fleet.workerCount()));
    starved.resize(std::min(starved.size(), std::max<std::size_t>(1, maxWorkers)));
    const auto isStarved = [&starved](const JobId &job) {
        return std::any_of(starved.begin(), starved.end(), [&job](const GangJob *candidate) { return candidate->id == job; });
    };
    this->backfill.keepOnly(isStarved);
    const EndEstimator endOf = [this, now](const JobId &job) { return this->expectedEnd(job, now); };
    for (const auto *job : starved) {
        if (this->backfill.find(job->id) == nullptr && this->backfill.size() > 0 && this->backfill.workerCount() >= maxWorkers) {
            continue;
        }
        const auto *const current = this->backfill.find(job->id);
        const bool isOverdue = current != nullptr && now > current->expectedEmptyAt + this->options.starvationAge;
        if ((current != nullptr && !isOverdue) || this->backfill.plan(*job, endOf, now)) {
            this->migrateOut(*job, *this->backfill.find(job->id), now, decisions);
        }
    }
}

/** Moves checkpointable preemptible jobs off reserved workers when only such jobs are left there and the move costs less than the wait. */
void GangScheduler::migrateOut(const GangJob &job, const BackfillReservation &reservation, Instant now, Decisions &decisions)
{
    std::set<JobId> holders;
    for (const auto worker : reservation.workers) {
        holders.insert(this->fleet.jobsOn(worker).begin(), this->fleet.jobsOn(worker).end());
    }
    double cost = 0.0;
    for (const auto &holder : holders) {
        const auto found = this->running.find(holder);
        if (found == this->running.end() || !this->mayMoveFor(job, found->second, now)) {
            return;
        }
        cost += CheckpointOverheadSeconds * sizeOf(found->second.job.shape.total()) * found->second.job.worth;
    }
    const double waited = static_cast<double>((now - job.waitingSince).count()) / MillisPerSecond;
    if (cost > waited * sizeOf(job.shape.total()) * job.worth) {
        return;
    }
    for (const auto &holder : holders) {
        this->stop(holder, job.id, this->graceFor(job), decisions);
    }
}

/**
 * Empties the least used worker when its preemptible jobs fit on other partly used workers, so that
 * free capacity gathers on whole workers. One worker at a time, at most once per consolidationInterval.
 */
void GangScheduler::consolidate(Instant now, Decisions &decisions)
{
    if (now - this->consolidatedAt < this->options.consolidationInterval) {
        return;
    }
    const auto least = this->findLeastUsedMovable(now);
    if (!least) {
        return;
    }
    FleetState trial = this->fleet;
    const std::function<bool(WorkerIndex)> isPartlyUsed = [this, &least](WorkerIndex worker) {
        return worker != *least && this->fleet.heldOf(worker).accelerators > 0;
    };
    const auto movers = this->fleet.jobsOn(*least);
    for (const auto &mover : movers) {
        const auto holding = *this->fleet.holdingOf(mover);
        const auto &shape = this->running.at(mover).job.shape;
        const auto placement = this->planner.plan(trial, shape, PlanScope{CapacityKind::Free, this->region, &isPartlyUsed, std::nullopt});
        if (!placement) {
            return;
        }
        trial.hold({mover, holding.workspace, holding.preemptionClass, holding.perTask, *placement});
    }
    this->consolidatedAt = now;
    for (const auto &mover : movers) {
        this->stop(mover, mover, this->options.urgentGrace, decisions);
    }
}

/** Returns the worker with the fewest accelerators in use, all of them by preemptible jobs that may be moved. */
std::optional<WorkerIndex> GangScheduler::findLeastUsedMovable(Instant now) const
{
    std::optional<WorkerIndex> least;
    for (WorkerIndex worker = 0; worker < this->fleet.workerCount(); ++worker) {
        const auto used = this->fleet.heldOf(worker).accelerators;
        const bool isLess = !least || used < this->fleet.heldOf(*least).accelerators;
        if (used == 0 || 2 * used > this->fleet.capacityOf(worker).accelerators || !isLess) {
            continue;
        }
        const auto &jobs = this->fleet.jobsOn(worker);
        const auto isMovable = [this, now](const JobId &job) {
            const auto found = this->running.find(job);
            return found != this->running.end() && !found->second.isStopping && found->second.job.checkpointable
                && this->fleet.holdingOf(job)->preemptionClass == PreemptionClass::Preemptible && this->fleet.holdingOf(job)->placement.size() == 1
                && now - found->second.startedAt >= this->options.minRunTimeBeforeMove;
        };
        if (std::all_of(jobs.begin(), jobs.end(), isMovable)) {
            least = worker;
        }
    }
    return least;
}

/** Only smaller, checkpointable, preemptible jobs that have run for half of minRunTimeBeforeMove may move, so that moves cannot repeat without end. */
bool GangScheduler::mayMoveFor(const GangJob &job, const Running &holder, Instant now) const
{
    const auto *const holding = this->fleet.holdingOf(holder.job.id);
    const bool isSmaller = sizeOf(holder.job.shape.total()) < sizeOf(job.shape.total());
    return holder.job.checkpointable && holding->preemptionClass == PreemptionClass::Preemptible && isSmaller
        && now - holder.startedAt >= this->options.minRunTimeBeforeMove / 2;
}

Instant GangScheduler::expectedEnd(const JobId &job, Instant now) const
{
    const auto found = this->running.find(job);
    if (found == this->running.end()) {
        return now;
    }
    const auto &entry = found->second;
    const auto estimate = this->learner.estimate(entry.job.workspace, entry.job.kind, entry.job.declaredRunTime, EndQuantile);
    const auto end = entry.startedAt + estimate;
    return end > now ? end : now + (now - entry.startedAt) / 2;
}

double GangScheduler::stopCost(const JobId &job, Instant now) const
{
    const auto &entry = this->running.at(job);
    const auto size = sizeOf(entry.job.shape.total()) * entry.job.worth;
    if (entry.isStopping) {
        return 0.0;
    }
    const auto lostSeconds = static_cast<double>((now - entry.checkpointedAt).count()) / MillisPerSecond;
    return size * (entry.job.checkpointable ? std::min(lostSeconds, CheckpointOverheadSeconds) : lostSeconds);
}

Millis GangScheduler::graceFor(const GangJob &owner) const
{
    if (owner.urgency == Urgency::Urgent) {
        return this->options.urgentGrace;
    }
    const auto found = this->reclaimGraces.find(owner.workspace);
    return found == this->reclaimGraces.end() ? this->options.urgentGrace : found->second;
}

std::map<WorkspaceId, double> GangScheduler::usedShares() const
{
    std::map<WorkspaceId, double> shares;
    for (const auto &[job, holding] : this->fleet.holdings()) {
        for (const auto &part : holding.placement) {
            shares[holding.workspace] += sizeOf(holding.perTask * part.tasks);
        }
    }
    for (auto &[workspace, share] : shares) {
        const auto weight = this->weights.find(workspace);
        share /= weight == this->weights.end() ? 1.0 : weight->second;
    }
    return shares;
}

void GangScheduler::removeRunning(const JobId &job)
{
    this->fleet.release(job);
    this->reservations.unclaim(job);
    this->running.erase(job);
}

} // namespace waxwingloft
