#include "waxwingloft/request/taskplanner.h"

#include "blockedsteps.h"
#include "demand.h"
#include "opentrials.h"
#include "serviceuse.h"
#include "waitfinder.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace waxwingloft {

namespace {

constexpr std::size_t MinKnownSpeeds = 3; ///< with fewer known worker speeds the median is not meaningful
constexpr double WholePercent = 100.0;
constexpr int PatientPriority = 2; ///< from which on work leaves the faster executors to others, also when it may miss its objective
constexpr double SlowerMargin = 1.5; ///< of the time that a slower executor costs, which must be left; estimates are commonly off by that
constexpr double RestoreSeconds = 0.1; ///< of work lost when a run resumes from the checkpoint taken at its stop; from the users' bounds
constexpr StartWorth GuaranteedWorth = {1e6, 0.0, 5.0, 5.0, 0.0}; ///< outweighs all work for a start within 5 s, so that the cheapest is stopped at once
constexpr std::string_view RackLabelPrefix = "r"; ///< of labels such as "r1-3", which name the rack of a machine

std::string rackOf(const std::vector<std::string> &labels)
{
    for (const auto &label : labels) {
        if (label.starts_with(RackLabelPrefix) && label.find('-') != std::string::npos) {
            return label;
        }
    }
    return {};
}

double secondsOf(Instant::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

TaskPlanner::TaskPlanner(const PlannerInput &state, Instant now, std::int64_t wallNow)
    : state(state)
    , now(now)
    , wallNow(wallNow)
    , justAssigned(this->recentlyAssigned())
    , ofSilentExecutors(tasksOfSilentExecutors(state.workers, state.options.silentStartsToWait, now - state.options.silentStartWait))
{
}

TaskPlan TaskPlanner::plan(bool findsWaits) const
{
    TaskPlan decided;
    const auto guaranteed = this->guaranteedJobs();
    const OpenTrials trials(this->state.jobs, this->state.workers);
    auto fleet = this->collectFleet(trials);
    this->markSlow(fleet);
    const auto ranks = this->rankJobs(fleet);
    const auto units = this->collectUnits(guaranteed, ranks, trials);
    const auto running = this->collectRunning(fleet, guaranteed, ranks);
    auto entries = this->collectEntries(fleet, units, running);
    if (this->admitDoubtful(fleet, entries)) {
        entries = this->collectEntries(fleet, units, running);
    }
    if (entries.empty() && !findsWaits) {
        return decided;
    }
    limitOverdue(fleet, entries);
    std::stable_sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) {
        const auto precedence = [](const WaitingTasks &tasks) { return std::tuple(tasks.isGuaranteed, tasks.isOverdue, tasks.rank); };
        return precedence(left.tasks) > precedence(right.tasks);
    });
    std::vector<WaitingTasks> waiting;
    for (auto &entry : entries) {
        waiting.push_back(std::move(entry.tasks));
    }
    const auto steps = planSteps(fleet.workers, waiting, running.tasks);
    for (const auto index : steps.stops) {
        decided.stops.insert(decided.stops.end(), running.runs[index].begin(), running.runs[index].end());
    }
    for (const auto &start : steps.starts) {
        const auto &entry = entries[start.waiting];
        if (entry.unit == nullptr) {
            const auto &runs = running.runs[entry.running];
            decided.moves.insert(decided.moves.end(), runs.begin(), runs.end());
            continue;
        }
        const auto &unit = *entry.unit;
        StepStart begun{unit.job->submission.id, unit.occurrence, unit.step, unit.indices, {}, unit.indices.size(), unit.rank, unit.isGuaranteed};
        begun.indices.resize(start.workers.size());
        for (const auto worker : start.workers) {
            begun.agents.push_back(fleet.workers[worker].node);
        }
        decided.starts.push_back(std::move(begun));
    }
    Outcome outcome{entries, waiting, steps, {}};
    for (const auto &start : steps.starts) {
        outcome.started.insert(start.waiting);
    }
    decided.held = heldSteps(outcome, fleet);
    decided.closedOut = closedOutJobs(outcome, fleet);
    if (findsWaits) {
        decided.begun = this->begunJobs();
        decided.waits = this->readyWaits(outcome, fleet, trials, decided.begun);
    }
    return decided;
}

std::vector<TaskPlanner::Entry> TaskPlanner::collectEntries(const Fleet &fleet, const std::vector<Unit> &units, const RunningSet &running) const
{
    auto entries = this->collectMoves(fleet, running);
    for (const auto &unit : units) {
        entries.push_back({this->waitingOf(unit, fleet), &unit, 0});
    }
    return entries;
}

/**
 * Lets workers take work that are left out after failures: quarantined ones without which some entry could not be held, and both kinds for a job
 * that would wait too long. Returns whether there are any.
 */
bool TaskPlanner::admitDoubtful(Fleet &fleet, const std::vector<Entry> &entries) const
{
    bool isAnyAdmitted = false;
    const auto admit = [&fleet, &isAnyAdmitted](std::vector<std::size_t> &workers, const WaitingTasks &tasks) {
        std::erase_if(workers, [&](std::size_t worker) {
            const bool isNeeded = isOfKind(fleet.workers[worker], tasks);
            fleet.workers[worker].acceptsWork = isNeeded;
            isAnyAdmitted = isAnyAdmitted || isNeeded;
            return isNeeded;
        });
    };
    for (const auto &entry : entries) {
        if (fleet.probes.empty() && fleet.stalled.empty()) {
            break;
        }
        if (entry.unit == nullptr) {
            continue;
        }
        const bool isOverdue = this->mustTryFailedWorkers(entry.unit->job->submission.id);
        if (isOverdue) {
            admit(fleet.stalled, entry.tasks);
        }
        if (isOverdue || !couldHold(fleet.workers, entry.tasks, {})) {
            admit(fleet.probes, entry.tasks);
        }
    }
    return isAnyAdmitted;
}

/** Returns the steps of which nothing starts while workers are avoided for them. */
std::vector<HeldStep> TaskPlanner::heldSteps(const Outcome &outcome, const Fleet &fleet)
{
    std::vector<HeldStep> held;
    for (std::size_t index = 0; index < outcome.entries.size(); ++index) {
        const auto &tasks = outcome.waiting[index];
        const auto *const unit = outcome.entries[index].unit;
        if (unit == nullptr || tasks.avoided.empty() || outcome.started.contains(index)) {
            continue;
        }
        HeldStep step{unit->job->submission.id, unit->step, unit->indices.size(), 0, 0};
        for (std::size_t worker = 0; worker < fleet.workers.size(); ++worker) {
            if (mayRun(fleet.workers[worker], tasks)) {
                ++(tasks.avoided[worker] ? step.avoided : step.others);
            }
        }
        held.push_back(std::move(step));
    }
    return held;
}

/** Returns the jobs that have tasks of which none starts though executors of their kind are in closed zones. */
std::vector<JobId> TaskPlanner::closedOutJobs(const Outcome &outcome, const Fleet &fleet)
{
    std::vector<JobId> jobs;
    if (fleet.closed.empty()) {
        return jobs;
    }
    for (std::size_t index = 0; index < outcome.entries.size(); ++index) {
        const auto isOfUse = [&fleet, &tasks = outcome.waiting[index]](std::size_t worker) { return isOfKind(fleet.workers[worker], tasks); };
        const bool isWaiting = outcome.entries[index].unit != nullptr && !outcome.started.contains(index);
        if (isWaiting && std::any_of(fleet.closed.begin(), fleet.closed.end(), isOfUse)) {
            jobs.push_back(outcome.entries[index].unit->job->submission.id);
        }
    }
    return jobs;
}

/** Returns why a worker gets no work now; nothing when it gets some. */
std::optional<WaitCause> TaskPlanner::obstacleAt(const LiveWorker &worker) const
{
    const std::array<std::pair<bool, WaitCause>, 8> obstacles = {{
        {!this->state.mayStart, WaitCause::ZonesUnknown},
        {worker.isZoneClosed, WaitCause::ZonesClosed},
        {!worker.isKnown || this->now - worker.lastReportAt >= this->state.options.maxReportAge, WaitCause::LateReports},
        {worker.isLeaseWithheld, WaitCause::LeasesWithheld},
        {!worker.last.isReachable, WaitCause::Unreachable},
        {worker.last.isDraining, WaitCause::Draining},
        {worker.hasOrphans, WaitCause::UnassignedRuns},
        {this->now < worker.pausedUntil, WaitCause::Paused},
    }};
    const auto found = std::find_if(obstacles.begin(), obstacles.end(), [](const auto &obstacle) { return obstacle.first; });
    return found == obstacles.end() ? std::nullopt : std::optional(found->second);
}

/** Returns why a worker that could take work is left out while others suffice; nothing when it is not. */
std::optional<WaitCause> TaskPlanner::doubtAt(const LiveWorker &worker) const
{
    if (this->now < worker.stalledUntil) {
        return WaitCause::Paused;
    }
    return this->state.health.isQuarantined(worker.last.node) ? std::optional(WaitCause::Quarantined) : std::nullopt;
}

std::vector<PlacedRun> TaskPlanner::stalledRuns() const
{
    std::vector<PlacedRun> stalled;
    for (const auto &[node, worker] : this->state.workers) {
        for (const auto &[run, live] : worker.runs) {
            const bool isMovable = worker.last.isReachable && !live.isStopping && live.isSent && live.percent < this->state.options.movePercent;
            const auto job = this->state.jobs.find(run.task.job);
            const bool isPerpetualTask = job == this->state.jobs.end() || job->second.stepOf(run.task).isPerpetual;
            if (isMovable && !isPerpetualTask && this->now - live.lastProgressAt >= live.stallTime(this->state.options.stallTime)) {
                stalled.emplace_back(node, run);
            }
        }
    }
    return stalled;
}

void TaskPlanner::markSlow(Fleet &fleet) const
{
    for (std::size_t index = 0; index < fleet.byIndex.size(); ++index) {
        fleet.workers[index].isSlow = this->now < fleet.byIndex[index]->coldUntil;
    }
    std::vector<std::optional<double>> speeds;
    std::vector<double> known;
    for (const auto *const worker : fleet.byIndex) {
        speeds.push_back(worker->speed(this->now, this->state.options.minSpeedAge));
        if (speeds.back()) {
            known.push_back(*speeds.back());
        }
    }
    if (known.size() < MinKnownSpeeds) {
        return;
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    for (std::size_t index = 0; index < speeds.size(); ++index) {
        fleet.workers[index].isSlow |= speeds[index] && *speeds[index] < this->state.options.slowShare * *middle;
    }
}

TaskPlanner::Fleet TaskPlanner::collectFleet(const OpenTrials &trials) const
{
    Fleet fleet;
    for (const auto &[node, worker] : this->state.workers) {
        if (!worker.isKnown) {
            continue;
        }
        PlannerWorker view{node, worker.last.service, rackOf(worker.last.labels), worker.last.labels, worker.last.capacity, worker.last.capacity, false};
        view.speed = this->state.speeds.of(node);
        for (const auto &[run, live] : worker.runs) {
            view.free -= live.needs;
        }
        const bool isUsable = !this->obstacleAt(worker);
        const auto doubt = isUsable ? this->doubtAt(worker) : std::nullopt;
        view.acceptsWork = isUsable && !doubt;
        view.countsAsFleet = worker.last.isReachable && !worker.last.isDraining && !worker.isZoneClosed;
        const bool isQuarantined = this->state.health.isQuarantined(node);
        const bool isTryable = !isQuarantined || this->now - this->state.health.lastFailureOn(node).value_or(this->now) >= this->state.options.failurePause;
        if (doubt && isTryable) {
            (*doubt == WaitCause::Quarantined ? fleet.probes : fleet.stalled).push_back(fleet.workers.size());
        }
        view.isOnTrial = trials.isAt(node);
        if (view.acceptsWork) {
            fleet.total += view.capacity;
        }
        if (worker.isZoneClosed) {
            fleet.closed.push_back(fleet.workers.size());
        }
        fleet.indexOf[node] = fleet.workers.size();
        fleet.workers.push_back(std::move(view));
        fleet.byIndex.push_back(&worker);
    }
    return fleet;
}

/** Returns the jobs of priority zero that fit into their workspace's guarantee, counted in order of acceptance. */
std::set<JobId> TaskPlanner::guaranteedJobs() const
{
    std::vector<const LiveJob *> urgent;
    for (const auto &[id, job] : this->state.jobs) {
        if (job.submission.priority == 0 && !isFinal(job.progress.state)) {
            urgent.push_back(&job);
        }
    }
    std::sort(urgent.begin(), urgent.end(), [](const LiveJob *left, const LiveJob *right) {
        return std::tie(left->submission.acceptedAt, left->submission.id) < std::tie(right->submission.acceptedAt, right->submission.id);
    });
    std::map<WorkspaceId, std::int64_t> used;
    std::set<JobId> guaranteed;
    for (const auto *const job : urgent) {
        std::int64_t peak = 0;
        for (const auto &step : job->submission.graph.steps) {
            peak = std::max(peak, step.needs.accelerators * static_cast<std::int64_t>(step.count));
        }
        const auto tenant = this->state.routes.quotas.find(job->submission.workspace);
        const auto guaranteedTotal = tenant == this->state.routes.quotas.end() ? 0 : tenant->second.guaranteedAccelerators;
        auto &total = used[job->submission.workspace];
        if (total + peak <= guaranteedTotal) {
            total += peak;
            guaranteed.insert(job->submission.id);
        }
    }
    return guaranteed;
}

std::vector<TaskPlanner::Unit> TaskPlanner::collectUnits(const std::set<JobId> &guaranteed, const Ranks &ranks, const OpenTrials &trials) const
{
    std::vector<Unit> units;
    for (const auto &[id, job] : this->state.jobs) {
        if (isFinal(job.progress.state) || trials.isOf(id)) {
            continue;
        }
        Unit base;
        base.job = &job;
        base.isGuaranteed = guaranteed.contains(id);
        base.rank = ranks.at(id);
        base.isRecent = this->now - job.knownSince < this->state.options.waitForEnds;
        base.isUrgent = job.submission.priority == 0;
        const auto own = this->unitsOf(job, base);
        units.insert(units.end(), own.begin(), own.end());
    }
    return units;
}

/** Returns the units of a job that may start now, suspects first. */
std::vector<TaskPlanner::Unit> TaskPlanner::unitsOf(const LiveJob &job, const Unit &base) const
{
    std::vector<Unit> units;
    for (std::uint32_t occurrence = 0; occurrence < job.progress.occurrences.size(); ++occurrence) {
        if (this->isDue(job, occurrence)) {
            this->addUnits(job, occurrence, base, units);
        }
    }
    std::stable_partition(units.begin(), units.end(), [](const Unit &unit) { return unit.isSuspect; });
    // What was just assigned ends the wait, unless its start fails.
    if (this->state.waits.isOverdue(job.submission.id, WaitCause::Reserved) && !this->justAssigned.contains(job.submission.id)) {
        splitOffOverdue(units);
    }
    return units;
}

/** Marks one task of each step as overdue, or the gangs where there is nothing else. The other tasks of the job follow by rank. */
void TaskPlanner::splitOffOverdue(std::vector<Unit> &units)
{
    const auto stepOf = [](const Unit &unit) -> const auto &
    {
        return unit.job->submission.graph.steps[unit.step];
    };
    const bool isOnlyGangs = std::all_of(units.begin(), units.end(), [&](const Unit &unit) { return unit.isSuspect || stepOf(unit).isGang; });
    std::vector<Unit> split;
    for (auto &unit : units) {
        if (unit.isSuspect || stepOf(unit).isGang != isOnlyGangs) {
            split.push_back(std::move(unit));
            continue;
        }
        auto first = unit;
        first.isOverdue = true;
        if (!isOnlyGangs) {
            first.indices.resize(1);
        }
        unit.indices.erase(unit.indices.begin(), unit.indices.begin() + static_cast<std::ptrdiff_t>(first.indices.size()));
        // A limit per executor counts the tasks of one entry only, so that the others wait for the next plan.
        const bool hasOthers = !unit.indices.empty() && stepOf(unit).maxPerExecutor == 0;
        split.push_back(std::move(first));
        if (hasOthers) {
            split.push_back(std::move(unit));
        }
    }
    units = std::move(split);
}

/** Whether a task of @p tasks, or all of a gang, fits into the room that is free before the plan. */
bool TaskPlanner::fitsNow(const Fleet &fleet, const WaitingTasks &tasks)
{
    const std::uint32_t wanted = tasks.isGang ? tasks.count : 1;
    std::uint32_t found = 0;
    for (std::size_t worker = 0; worker < fleet.workers.size() && found < wanted; ++worker) {
        const bool isAvoided = !tasks.avoided.empty() && tasks.avoided[worker];
        if (!isAvoided && mayRun(fleet.workers[worker], tasks)) {
            found += timesIn(fleet.workers[worker].free, tasks.needs, wanted - found);
        }
    }
    return found >= wanted;
}

/** Lets overdue entries go first, the highest ranks before others, only as long as less than half of their service is in use. */
void TaskPlanner::limitOverdue(const Fleet &fleet, std::vector<Entry> &entries)
{
    std::vector<WaitingTasks *> overdue;
    for (auto &entry : entries) {
        if (entry.tasks.isOverdue) {
            overdue.push_back(&entry.tasks);
        }
    }
    std::stable_sort(overdue.begin(), overdue.end(), [](const auto *left, const auto *right) { return left->rank > right->rank; });
    ServiceUse use(fleet.workers);
    for (auto *const tasks : overdue) {
        tasks->isOverdue = !use.isBusy(tasks->service) && fitsNow(fleet, *tasks);
        if (tasks->isOverdue) {
            use.take(tasks->service, tasks->needs, tasks->count);
        }
    }
}

bool TaskPlanner::isDue(const LiveJob &job, std::uint32_t occurrence) const
{
    const auto &graph = job.submission.graph;
    const auto dueAt = graph.firstRunAt + static_cast<std::int64_t>(occurrence) * graph.interval.count();
    return graph.firstRunAt == 0 || dueAt + this->state.options.dueMargin.count() <= this->wallNow;
}

void TaskPlanner::addUnits(const LiveJob &job, std::uint32_t occurrence, const Unit &base, std::vector<Unit> &units) const
{
    const auto &graph = job.submission.graph;
    const auto &steps = job.progress.occurrences[occurrence];
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        if (!isReady(graph, steps, step)) {
            continue;
        }
        Unit unit = base;
        unit.occurrence = occurrence;
        unit.step = step;
        Unit suspects = unit;
        suspects.isSuspect = true;
        for (std::uint32_t index = 0; index < steps[step].size(); ++index) {
            const TaskKey key{job.submission.id, occurrence, step, index};
            if (steps[step][index].state == TaskPhase::Waiting && !this->obstacleTo(key)) {
                (job.isSuspect(key) ? suspects : unit).indices.push_back(index);
            }
        }
        // The members of a gang start together, so every run of the previous attempt must have ended.
        for (auto *const part : {&suspects, &unit}) {
            const bool isWhole = !graph.steps[step].isGang || part->indices.size() == steps[step].size();
            if (!part->indices.empty() && isWhole) {
                units.push_back(std::move(*part));
            }
        }
    }
}

/**
 * Returns the workers that the job keeps away from, as it has failed there; empty for none.
 *
 * A failure says little about the worker once the avoid time has passed. When no other worker could run the tasks, the job pauses before it
 * tries again, so that not all its attempts fall into one failure period of the worker; it keeps away from all of them meanwhile. When others
 * could but have no room for too long, it returns after the same pause.
 */
std::vector<bool> TaskPlanner::avoidedBy(const JobId &job, const WaitingTasks &waiting, const Fleet &fleet) const
{
    const auto &options = this->state.options;
    const auto avoidTime = this->mustTryFailedWorkers(job) ? options.failurePause : options.avoidTime;
    auto avoided = this->failedSince(job, fleet, this->now - avoidTime);
    if (avoided.empty() || couldHold(fleet.workers, waiting, avoided)) {
        return avoided;
    }
    const bool isPausing = !this->failedSince(job, fleet, this->now - options.failurePause).empty();
    return isPausing ? std::vector<bool>(fleet.workers.size(), true) : std::vector<bool>();
}

/** Returns the workers on which the job has failed after @p since; empty for none. */
std::vector<bool> TaskPlanner::failedSince(const JobId &job, const Fleet &fleet, Instant since) const
{
    std::vector<bool> failed;
    for (const auto &[node, failedAt] : this->state.health.evidenceAgainst(job.value)) {
        const auto worker = fleet.indexOf.find(node);
        if (worker != fleet.indexOf.end() && failedAt > since) {
            failed.resize(fleet.workers.size(), false);
            failed[worker->second] = true;
        }
    }
    return failed;
}

/** Whether an executor reports a run of the task that is not assigned to it. */
bool TaskPlanner::isOrphaned(const TaskKey &task) const
{
    return std::any_of(this->state.workers.begin(), this->state.workers.end(), [&task](const auto &item) {
        const auto &runs = item.second.last.runs;
        return item.second.hasOrphans && std::any_of(runs.begin(), runs.end(), [&task](const RunReport &run) { return run.run.task == task; });
    });
}

/**
 * Whether a job has waited too long beside room for workers other than those on which work has failed or stood still.
 *
 * All causes of this kind count for each of them, as a job that is let off one of them may meet the next on the same worker.
 */
bool TaskPlanner::mustTryFailedWorkers(const JobId &job) const
{
    constexpr std::array Causes = {WaitCause::Avoided, WaitCause::Quarantined, WaitCause::Paused};
    return std::any_of(Causes.begin(), Causes.end(), [this, &job](WaitCause cause) { return this->state.waits.isOverdue(job, cause); });
}

/** Returns what keeps a task that is not assigned from being planned at all; nothing when it may be planned. */
std::optional<WaitCause> TaskPlanner::obstacleTo(const TaskKey &task) const
{
    if (this->isOrphaned(task)) {
        return WaitCause::RunUnassigned;
    }
    return this->ofSilentExecutors.contains(task) ? std::optional(WaitCause::SilentStarts) : std::nullopt;
}

WaitingTasks TaskPlanner::waitingOf(const Unit &unit, const Fleet &fleet) const
{
    const auto &step = unit.job->submission.graph.steps[unit.step];
    WaitingTasks waiting;
    waiting.count = static_cast<std::uint32_t>(unit.indices.size());
    waiting.needs = step.needs;
    waiting.needs.milliCores = step.isBestEffort ? 0 : step.needs.milliCores;
    waiting.service = unit.job->submission.service;
    waiting.requiredLabel = step.requiredLabel;
    waiting.dataRack = step.dataRack;
    waiting.isGang = step.isGang;
    waiting.prefersOneRack = step.prefersOneRack && !this->state.waits.isOverdue(unit.job->submission.id, WaitCause::OneRack);
    waiting.isSuspect = unit.isSuspect;
    waiting.priority = unit.job->submission.priority;
    waiting.rank = unit.rank;
    waiting.isGuaranteed = unit.isGuaranteed;
    waiting.mayPreempt = unit.isGuaranteed || unit.isUrgent;
    if (unit.isGuaranteed) {
        waiting.worth = GuaranteedWorth;
        waiting.longestWait = unit.isRecent ? secondsOf(this->state.options.endsSoonTime) : 0.0;
    } else if (unit.isUrgent) {
        waiting.worth = this->state.rank.worthByStart(unit.job->submission, unit.job->progress, this->wallNow);
        waiting.longestWait = secondsOf(this->state.options.longestWait);
    }
    waiting.runTime = secondsOf(step.estimate);
    waiting.prefersSlower = !waiting.mayPreempt && this->keepsObjectiveOnSlower(unit);
    waiting.isOverdue = unit.isOverdue;
    waiting.maxPerWorker = step.maxPerExecutor;
    if (step.maxPerExecutor > 0) {
        waiting.present.assign(fleet.workers.size(), 0);
        for (const auto &task : unit.job->progress.occurrences[unit.occurrence][unit.step]) {
            const auto worker = fleet.indexOf.find(task.worker);
            if (task.state == TaskPhase::Assigned && worker != fleet.indexOf.end()) {
                ++waiting.present[worker->second];
            }
        }
    }
    waiting.avoided = this->avoidedBy(unit.job->submission.id, waiting, fleet);
    return waiting;
}

/** Whether executors differ in speed and the job of @p unit is patient or is expected to keep its objective on slower ones. */
bool TaskPlanner::keepsObjectiveOnSlower(const Unit &unit) const
{
    const auto speed = this->state.speeds.slowerSpeed();
    if (!speed) {
        return false;
    }
    const auto &submission = unit.job->submission;
    const auto more = secondsOf(submission.graph.steps[unit.step].estimate) * (1.0 / *speed - 1.0);
    return submission.priority >= PatientPriority
        || this->state.rank.worthByStart(submission, unit.job->progress, this->wallNow).inTimeFor >= more * SlowerMargin;
}

/** Collects the runs as units that can be stopped: a gang as a whole, every other task by itself. */
TaskPlanner::RunningSet TaskPlanner::collectRunning(const Fleet &fleet, const std::set<JobId> &guaranteed, const Ranks &ranks) const
{
    RunningSet running;
    std::map<TaskKey, std::size_t> entries;
    std::map<JobId, std::size_t> jobs;
    for (std::size_t index = 0; index < fleet.byIndex.size(); ++index) {
        for (const auto &[run, live] : fleet.byIndex[index]->runs) {
            const auto job = this->state.jobs.find(run.task.job);
            if (job == this->state.jobs.end()) {
                continue;
            }
            const auto &step = job->second.stepOf(run.task);
            const TaskKey unit{run.task.job, run.task.occurrence, run.task.step, step.isGang ? 0 : run.task.index};
            const auto [entry, isNew] = entries.emplace(unit, running.tasks.size());
            if (isNew) {
                const auto [place, isNewJob] = jobs.emplace(run.task.job, running.jobs.size());
                if (isNewJob) {
                    running.jobs.push_back(&job->second);
                }
                RunningTasks fresh;
                fresh.needs = live.needs;
                fresh.job = place->second;
                fresh.priority = job->second.submission.priority;
                const auto rank = ranks.find(run.task.job);
                fresh.rank = rank == ranks.end() ? 0.0 : rank->second;
                // A perpetual task serves its users continuously, so it is never preempted.
                fresh.isGuaranteed = guaranteed.contains(run.task.job) || step.isPerpetual;
                fresh.endsIn = 0.0;
                fresh.isStopping = true;
                running.tasks.push_back(std::move(fresh));
                running.runs.emplace_back();
                running.keys.push_back(unit);
                running.savedShares.push_back(step.isCheckpointing ? 1.0 : 0.0);
            }
            this->addRun(running, entry->second, job->second, run, live);
            running.tasks[entry->second].parts.push_back({index, 1});
            running.runs[entry->second].emplace_back(fleet.workers[index].node, run);
        }
    }
    this->weighDelays(running);
    return running;
}

void TaskPlanner::addRun(RunningSet &running, std::size_t entry, const LiveJob &job, const TaskRun &run, const LiveRun &live) const
{
    auto &tasks = running.tasks[entry];
    const auto &step = job.stepOf(run.task);
    auto lost = secondsOf(this->now - live.assignedAt);
    lost = step.isCheckpointing ? std::min(lost, RestoreSeconds) : lost;
    tasks.lostWork += lost * this->state.rank.coresOf(live.needs);
    tasks.stopCost = tasks.lostWork * this->state.options.worthPerCoreSecond;
    tasks.endsIn = step.isPerpetual ? std::numeric_limits<double>::infinity() : std::max(tasks.endsIn, live.endsIn(this->now, this->state.options.overdueTime));
    tasks.isStopping = tasks.isStopping && (live.isStopping || isFinal(job.progress.state));
    running.savedShares[entry] = std::min(running.savedShares[entry], static_cast<double>(live.percent) / WholePercent);
}

/** Sets for each entry what its job would lose if it were stopped and ran again later. */
void TaskPlanner::weighDelays(RunningSet &running) const
{
    std::vector<std::vector<Millis>> chains;
    std::vector<double> ends; // of the jobs as things stand, in seconds from now
    for (const auto *const job : running.jobs) {
        chains.push_back(chainsAfter(job->submission.graph));
        ends.push_back(this->endOfWaiting(*job, chains.back()));
    }
    const auto lengthOf = [&running](std::size_t entry) { return secondsOf(running.jobs[running.tasks[entry].job]->stepOf(running.keys[entry]).estimate); };
    const auto chainAfter = [&](std::size_t entry) { return secondsOf(chains[running.tasks[entry].job][running.keys[entry].step]); };
    for (std::size_t entry = 0; entry < running.tasks.size(); ++entry) {
        const auto &tasks = running.tasks[entry];
        const auto left = std::isfinite(tasks.endsIn) ? tasks.endsIn : lengthOf(entry);
        ends[tasks.job] = std::max(ends[tasks.job], left + chainAfter(entry));
    }
    for (std::size_t entry = 0; entry < running.tasks.size(); ++entry) {
        auto &tasks = running.tasks[entry];
        const auto &job = *running.jobs[tasks.job];
        if (isFinal(job.progress.state)) {
            continue;
        }
        const auto age = static_cast<double>(this->wallNow - job.submission.acceptedAt) / 1000.0;
        const auto again = secondsOf(this->state.options.restartWait) + lengthOf(entry) * (1.0 - running.savedShares[entry]) + chainAfter(entry);
        const auto worth = this->state.rank.worthByEnd(job.submission);
        tasks.delayLoss = worth.after(age + ends[tasks.job]) - worth.after(age + std::max(ends[tasks.job], again));
    }
}

/** Returns in how many seconds a job ends by what is waiting in it; zero when nothing waits. */
double TaskPlanner::endOfWaiting(const LiveJob &job, const std::vector<Millis> &chains) const
{
    double end = 0.0;
    for (const auto &steps : job.progress.occurrences) {
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
            const bool isWaiting = isReady(job.submission.graph, steps, step)
                && std::any_of(steps[step].begin(), steps[step].end(), [](const TaskProgress &task) { return task.state == TaskPhase::Waiting; });
            if (isWaiting) {
                end = std::max(end, secondsOf(this->state.options.restartWait + job.submission.graph.steps[step].estimate + chains[step]));
            }
        }
    }
    return end;
}

/** Whether executors of @p tasks leave before they are expected to end. */
bool TaskPlanner::isCutShort(const Fleet &fleet, const RunningTasks &tasks) const
{
    return std::any_of(tasks.parts.begin(), tasks.parts.end(), [this, &fleet, &tasks](const RunningTasks::Part &part) {
        const auto &leavesAt = fleet.byIndex[part.worker]->leavesAt;
        return leavesAt && tasks.endsIn > secondsOf(*leavesAt - this->state.options.leaveMargin - this->now);
    });
}

/** Returns entries for the runs whose executors leave too soon; where one fits elsewhere now, starting again there loses less than the leave. */
std::vector<TaskPlanner::Entry> TaskPlanner::collectMoves(const Fleet &fleet, const RunningSet &running) const
{
    std::vector<Entry> moves;
    for (std::size_t entry = 0; entry < running.tasks.size(); ++entry) {
        const auto &tasks = running.tasks[entry];
        if (tasks.isStopping || !this->isCutShort(fleet, tasks)) {
            continue;
        }
        Unit unit;
        unit.job = running.jobs[tasks.job];
        unit.occurrence = running.keys[entry].occurrence;
        unit.step = running.keys[entry].step;
        unit.rank = tasks.rank;
        // Members of a gang on executors that stay free their own capacity.
        for (const auto &part : tasks.parts) {
            if (fleet.byIndex[part.worker]->last.isDraining) {
                unit.indices.push_back(running.keys[entry].index);
            }
        }
        auto waiting = this->waitingOf(unit, fleet);
        waiting.isMove = true;
        waiting.prefersOneRack = false;
        moves.push_back({std::move(waiting), nullptr, entry});
    }
    return moves;
}

/** Ranks the jobs that are not in a final state. */
TaskPlanner::Ranks TaskPlanner::rankJobs(const Fleet &fleet) const
{
    Ranks ranks;
    for (const auto &[id, job] : this->state.jobs) {
        if (!isFinal(job.progress.state)) {
            ranks[id] = this->state.rank.of(job.submission, job.progress, fleet.total, this->wallNow);
        }
    }
    return ranks;
}

/** Returns the jobs of which a run was assigned within the preference wait. */
std::set<JobId> TaskPlanner::recentlyAssigned() const
{
    std::set<JobId> jobs;
    for (const auto &[node, worker] : this->state.workers) {
        for (const auto &[run, live] : worker.runs) {
            if (this->now - live.assignedAt < this->state.options.preferenceWait) {
                jobs.insert(run.task.job);
            }
        }
    }
    return jobs;
}

/** Returns the jobs with a run that has begun and goes on. A start that is refused or not answered leaves nothing running. */
std::set<JobId> TaskPlanner::begunJobs() const
{
    std::set<JobId> begun;
    for (const auto &[node, worker] : this->state.workers) {
        for (const auto &[run, live] : worker.runs) {
            if (live.hasBegun && !live.isStopping && worker.last.isReachable) {
                begun.insert(run.task.job);
            }
        }
    }
    return begun;
}

/** Returns the jobs not in @p active, among them those that the plan starts, while there is room for a task of theirs twice over. */
std::vector<ReadyWait> TaskPlanner::readyWaits(const Outcome &outcome, const Fleet &fleet, const OpenTrials &trials, std::set<JobId> active) const
{
    WaitFinder finder(fleet.workers, [this, &fleet](std::size_t worker) -> std::optional<WaitCause> {
        const auto &view = fleet.workers[worker];
        if (const auto obstacle = this->obstacleAt(*fleet.byIndex[worker])) {
            return obstacle;
        }
        if (view.isOnTrial) {
            return WaitCause::OnTrial;
        }
        return view.acceptsWork ? std::nullopt : this->doubtAt(*fleet.byIndex[worker]);
    });
    for (const auto &start : outcome.steps.starts) {
        for (const auto worker : start.workers) {
            finder.take(worker, outcome.waiting[start.waiting].needs);
        }
    }
    std::vector<ReadyWait> found;
    for (std::size_t index = 0; index < outcome.entries.size(); ++index) {
        const auto *const unit = outcome.entries[index].unit;
        const auto &tasks = outcome.waiting[index];
        if (unit == nullptr || active.contains(unit->job->submission.id) || !finder.hasRoom(tasks)) {
            continue;
        }
        const auto unplaced = this->state.mayStart ? finder.causeOf(tasks) : WaitCause::ZonesUnknown;
        const TaskKey first{unit->job->submission.id, unit->occurrence, unit->step, unit->indices.front()};
        found.push_back({first, tasks.count, outcome.started.contains(index) ? WaitCause::WriteOpen : unplaced, {}});
        active.insert(first.job);
    }
    const BlockedSteps blocked(this->state, this->now, [this](const TaskKey &task) { return this->obstacleTo(task); });
    for (const auto &[id, job] : this->state.jobs) {
        const auto &occurrences = job.progress.occurrences;
        if (isFinal(job.progress.state) || active.contains(id)) {
            continue;
        }
        bool isFound = false;
        for (std::uint32_t occurrence = 0; !isFound && occurrence < occurrences.size() && this->isDue(job, occurrence); ++occurrence) {
            for (std::uint32_t step = 0; !isFound && step < occurrences[occurrence].size(); ++step) {
                const auto wait = blocked.find(job, occurrence, step, trials.isOf(id));
                if (!wait) {
                    continue;
                }
                Unit unit;
                unit.job = &job;
                unit.occurrence = occurrence;
                unit.step = step;
                unit.indices.assign(wait->tasks, wait->task.index);
                isFound = finder.hasRoom(this->waitingOf(unit, fleet));
                if (isFound) {
                    found.push_back(*wait);
                }
            }
        }
    }
    return found;
}

} // namespace waxwingloft
