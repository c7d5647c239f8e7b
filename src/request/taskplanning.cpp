#include "waxwingloft/request/taskplacer.h"

#include <algorithm>
#include <limits>

namespace waxwingloft {

namespace {

constexpr double CoresPerAccelerator = 8.0; ///< how the users count work
constexpr double WholePercent = 100.0;
constexpr std::size_t LeastPeers = 3; ///< workers with a known speed, below which a median says nothing
constexpr double RestoreSeconds = 0.1; ///< of work that is lost when a run goes on from the checkpoint of its stop; the users' bounds
constexpr std::string_view RackLabelPrefix = "r"; ///< labels such as "r1-3" name the rack of a machine

std::string rackOf(const std::vector<std::string> &labels)
{
    for (const auto &label : labels) {
        if (label.starts_with(RackLabelPrefix) && label.find('-') != std::string::npos) {
            return label;
        }
    }
    return {};
}

double coresOf(const Capacity &capacity)
{
    return static_cast<double>(capacity.milliCores) / 1000.0 + CoresPerAccelerator * static_cast<double>(capacity.accelerators);
}

} // namespace

void TaskPlacer::plan()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto now = this->clock.now();
    if (this->epoch == 0) {
        return;
    }
    this->sweepSilent(now);
    if (!this->isSettled(now)) {
        return;
    }
    this->moveStanding(now);
    const auto entitled = this->entitledJobs();
    auto fleet = this->collectFleet(now);
    this->markSlow(fleet, now);
    const auto units = this->collectUnits(fleet, entitled, now);
    if (units.empty()) {
        return;
    }
    std::vector<WaitingTasks> waiting;
    for (const auto &unit : units) {
        waiting.push_back(this->waitingOf(unit, fleet));
    }
    const auto running = this->collectRunning(fleet, entitled, now);
    const auto plan = planSteps(fleet.workers, waiting, running.tasks);
    for (const auto index : plan.stops) {
        for (const auto &[worker, run] : running.runs[index]) {
            if (worker->runs.contains(run)) {
                this->log.info("A run makes room for guaranteed work.",
                               {{"job", run.task.job.value}, {"task", toString(run.task)}, {"run", std::to_string(run.run)}});
                this->stopRun(*worker, run);
            }
        }
    }
    for (const auto &start : plan.starts) {
        this->assign(units[start.waiting], start.workers, fleet, now);
    }
}

/** Whether the agents have had time to report, or all that may run something have. */
bool TaskPlacer::isSettled(Instant now) const
{
    if (now - this->inOfficeSince >= this->terms.settleTime) {
        return true;
    }
    return !this->workers.empty() && std::all_of(this->workers.begin(), this->workers.end(), [](const auto &item) { return item.second.isKnown; })
        && now - this->inOfficeSince >= this->terms.settleTime / 2;
}

bool TaskPlacer::takesWork(const Worker &worker, Instant now) const
{
    return worker.isKnown && worker.last.isReachable && !worker.last.isDraining && !worker.hasOrphans && now >= worker.pausedUntil
        && now - worker.heardAt < this->terms.freshness && !this->health.isQuarantined(worker.last.node);
}

bool TaskPlacer::standsStill(const LiveRun &live, Instant now) const
{
    return now - live.risenAt >= this->terms.standstill;
}

/** Starts runs elsewhere that make no progress while their executor answers, before much of them is done. */
void TaskPlacer::moveStanding(Instant now)
{
    for (auto &[node, worker] : this->workers) {
        std::vector<TaskRun> standing;
        for (const auto &[run, live] : worker.runs) {
            const bool isMoved = worker.last.isReachable && !live.isStopping && live.isSent && live.percent < this->terms.movePercent;
            const auto job = this->jobs.find(run.task.job);
            if (isMoved && this->standsStill(live, now) && job != this->jobs.end() && !stepOf(job->second, run.task).isPerpetual) {
                standing.push_back(run);
            }
        }
        for (const auto &run : standing) {
            this->log.warn("A run stands still and is started elsewhere.",
                           {{"job", run.task.job.value}, {"task", toString(run.task)}, {"run", std::to_string(run.run)}, {"agent", node.value}});
            this->stopRun(worker, run);
        }
        if (!standing.empty()) {
            worker.pausedUntil = now + this->terms.standstill;
        }
    }
}

/** Returns how fast the runs of a worker progress against their estimates; nothing when none tells. */
std::optional<double> TaskPlacer::speedOf(const Worker &worker, Instant now) const
{
    double total = 0.0;
    int count = 0;
    for (const auto &[run, live] : worker.runs) {
        const auto age = now - live.assignedAt;
        if (age >= this->terms.tellingTime && live.estimate.count() > 0) {
            total += static_cast<double>(live.percent) / WholePercent * static_cast<double>(live.estimate.count()) / static_cast<double>(age.count());
            ++count;
        }
    }
    return count == 0 ? std::nullopt : std::optional<double>(total / count);
}

void TaskPlacer::markSlow(Fleet &fleet, Instant now) const
{
    std::vector<std::optional<double>> speeds;
    std::vector<double> known;
    for (const auto *const worker : fleet.byIndex) {
        speeds.push_back(this->speedOf(*worker, now));
        if (speeds.back()) {
            known.push_back(*speeds.back());
        }
    }
    if (known.size() < LeastPeers) {
        return;
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    for (std::size_t index = 0; index < speeds.size(); ++index) {
        fleet.workers[index].isSlow = speeds[index] && *speeds[index] < this->terms.slowShare * *middle;
    }
}

TaskPlacer::Fleet TaskPlacer::collectFleet(Instant now)
{
    Fleet fleet;
    for (auto &[node, worker] : this->workers) {
        if (!worker.isKnown) {
            continue;
        }
        PlannerWorker view{node, worker.last.service, rackOf(worker.last.labels), worker.last.labels, worker.last.capacity, worker.last.capacity, false};
        for (const auto &[run, live] : worker.runs) {
            view.free -= live.needs;
        }
        view.acceptsWork = this->takesWork(worker, now);
        if (view.acceptsWork) {
            fleet.total += view.capacity;
        }
        fleet.indexOf[node] = fleet.workers.size();
        fleet.workers.push_back(std::move(view));
        fleet.byIndex.push_back(&worker);
    }
    return fleet;
}

/** Jobs of priority zero that fit into their workspace's guarantee, earliest first. */
std::set<JobId> TaskPlacer::entitledJobs() const
{
    std::vector<const LiveJob *> urgent;
    for (const auto &[id, job] : this->jobs) {
        if (job.submission.priority == 0 && !isFinal(job.progress.state)) {
            urgent.push_back(&job);
        }
    }
    std::sort(urgent.begin(), urgent.end(), [](const LiveJob *left, const LiveJob *right) {
        return std::tie(left->submission.acceptedAt, left->submission.id) < std::tie(right->submission.acceptedAt, right->submission.id);
    });
    std::map<WorkspaceId, std::int64_t> used;
    std::set<JobId> entitled;
    for (const auto *const job : urgent) {
        std::int64_t peak = 0;
        for (const auto &step : job->submission.graph.steps) {
            peak = std::max(peak, step.needs.accelerators * static_cast<std::int64_t>(step.count));
        }
        const auto tenant = this->routes.tenants.find(job->submission.workspace);
        const auto guaranteed = tenant == this->routes.tenants.end() ? 0 : tenant->second.guaranteedAccelerators;
        auto &total = used[job->submission.workspace];
        if (total + peak <= guaranteed) {
            total += peak;
            entitled.insert(job->submission.id);
        }
    }
    return entitled;
}

std::vector<TaskPlacer::Unit> TaskPlacer::collectUnits(const Fleet &fleet, const std::set<JobId> &entitled, Instant now)
{
    std::vector<Unit> units;
    const auto wallNow = this->clock.wallMillis();
    for (auto &[id, job] : this->jobs) {
        if (isFinal(job.progress.state)) {
            continue;
        }
        Unit base;
        base.job = &job;
        base.isEntitled = entitled.contains(id);
        base.rank = this->rank.of(job.submission, job.progress, fleet.total, wallNow);
        base.hasWaitedLong = now - job.knownSince >= this->terms.reserveAfter;
        base.isYoung = now - job.knownSince < this->terms.waitForEnds;
        base.isUrgent = job.submission.priority == 0 && this->rank.isInTime(job.submission, job.progress, wallNow);
        for (std::uint32_t occurrence = 0; occurrence < job.progress.occurrences.size(); ++occurrence) {
            const auto &graph = job.submission.graph;
            const bool isDue = graph.firstRunAt + static_cast<std::int64_t>(occurrence) * graph.interval.count() <= wallNow;
            if (isDue) {
                this->addUnits(job, occurrence, base, units);
            }
        }
    }
    std::stable_sort(units.begin(), units.end(), [](const Unit &left, const Unit &right) {
        return std::pair(left.isEntitled, left.rank) > std::pair(right.isEntitled, right.rank);
    });
    return units;
}

void TaskPlacer::addUnits(LiveJob &job, std::uint32_t occurrence, const Unit &base, std::vector<Unit> &units)
{
    const auto &graph = job.submission.graph;
    auto &steps = job.progress.occurrences[occurrence];
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        if (!isReady(graph, steps, step)) {
            continue;
        }
        Unit unit = base;
        unit.occurrence = occurrence;
        unit.step = step;
        for (std::uint32_t index = 0; index < steps[step].size(); ++index) {
            const TaskKey key{job.submission.id, occurrence, step, index};
            if (steps[step][index].state == TaskPhase::Waiting && !this->isOrphaned(key)) {
                unit.indices.push_back(index);
            }
        }
        // The members of a gang start together, so all runs of the last try must be over.
        const bool isWhole = !graph.steps[step].isGang || unit.indices.size() == steps[step].size();
        if (!unit.indices.empty() && isWhole) {
            units.push_back(std::move(unit));
        }
    }
}

/** The workers that a job has failed on, as long as they are few: a job that fails everywhere is itself to blame. */
std::vector<bool> TaskPlacer::avoidedBy(const Unit &unit, const Fleet &fleet) const
{
    const auto evidence = this->health.evidenceAgainst(unit.job->submission.id.value);
    if (evidence.empty() || evidence.size() * 2 >= fleet.workers.size()) {
        return {};
    }
    std::vector<bool> avoided(fleet.workers.size(), false);
    for (const auto &node : evidence) {
        const auto worker = fleet.indexOf.find(node);
        if (worker != fleet.indexOf.end()) {
            avoided[worker->second] = true;
        }
    }
    return avoided;
}

WaitingTasks TaskPlacer::waitingOf(const Unit &unit, const Fleet &fleet) const
{
    const auto &step = unit.job->submission.graph.steps[unit.step];
    WaitingTasks waiting;
    waiting.count = static_cast<std::uint32_t>(unit.indices.size());
    waiting.needs = step.needs;
    waiting.needs.milliCores = step.isFilling ? 0 : step.needs.milliCores;
    waiting.service = unit.job->submission.service;
    waiting.requiredLabel = step.requiredLabel;
    waiting.dataRack = step.dataRack;
    waiting.isGang = step.isGang;
    waiting.prefersOneRack = step.prefersOneRack;
    waiting.priority = unit.job->submission.priority;
    waiting.rank = unit.rank;
    waiting.isEntitled = unit.isEntitled;
    waiting.avoided = this->avoidedBy(unit, fleet);
    waiting.mayLoseWork = unit.isEntitled ? std::numeric_limits<double>::infinity() : (unit.isUrgent ? this->terms.urgentMayLose : 0.0);
    waiting.canWait = unit.isYoung;
    waiting.mayReserve = unit.hasWaitedLong && step.isGang;
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
    return waiting;
}

/** What may be stopped for entitled jobs: the members of a gang together, other tasks each on its own. */
TaskPlacer::RunningSet TaskPlacer::collectRunning(const Fleet &fleet, const std::set<JobId> &entitled, Instant now)
{
    RunningSet running;
    std::map<TaskKey, std::size_t> gangs;
    std::map<JobId, double> ranks;
    for (const auto &[id, job] : this->jobs) {
        if (!isFinal(job.progress.state)) {
            ranks[id] = this->rank.of(job.submission, job.progress, fleet.total, this->clock.wallMillis());
        }
    }
    for (std::size_t index = 0; index < fleet.byIndex.size(); ++index) {
        auto &worker = *fleet.byIndex[index];
        for (const auto &[run, live] : worker.runs) {
            const auto job = this->jobs.find(run.task.job);
            if (job == this->jobs.end()) {
                continue;
            }
            const auto &step = stepOf(job->second, run.task);
            const TaskKey unit{run.task.job, run.task.occurrence, run.task.step, step.isGang ? 0 : run.task.index};
            const auto [entry, isNew] = gangs.emplace(unit, running.tasks.size());
            if (isNew) {
                RunningTasks fresh;
                fresh.needs = live.needs;
                fresh.isStopping = true;
                running.tasks.push_back(std::move(fresh));
                running.runs.emplace_back();
            }
            auto &tasks = running.tasks[entry->second];
            const bool isEnding = live.isStopping || isFinal(job->second.progress.state);
            auto lost = std::chrono::duration<double>(now - live.assignedAt).count();
            lost = step.isCheckpointing ? std::min(lost, RestoreSeconds) : lost;
            tasks.priority = job->second.submission.priority;
            tasks.rank = ranks[run.task.job];
            tasks.isEntitled = entitled.contains(run.task.job);
            tasks.endsSoon = live.expectedEnd && *live.expectedEnd - now < this->terms.soon;
            tasks.isStopping = tasks.isStopping && isEnding;
            tasks.lostWork += lost * coresOf(live.needs);
            tasks.parts.push_back({index, 1});
            running.runs[entry->second].emplace_back(&worker, run);
        }
    }
    return running;
}

void TaskPlacer::assign(const Unit &unit, const std::vector<std::size_t> &places, const Fleet &fleet, Instant now)
{
    auto &job = *unit.job;
    auto &step = job.progress.occurrences[unit.occurrence][unit.step];
    const auto &shape = job.submission.graph.steps[unit.step];
    const bool isGang = shape.isGang;
    std::uint32_t gangRun = 0;
    for (const auto &task : step) {
        gangRun = std::max(gangRun, task.run);
    }
    this->change(job);
    for (std::size_t place = 0; place < places.size(); ++place) {
        const auto index = unit.indices[place];
        auto &worker = *fleet.byIndex[places[place]];
        auto &task = step[index];
        task.state = TaskPhase::Assigned;
        task.run = (isGang ? gangRun : task.run) + 1;
        task.worker = worker.last.node;
        task.life = worker.last.life;
        const TaskRun run{{job.submission.id, unit.occurrence, unit.step, index}, task.run};
        worker.runs[run] = liveRun(job, unit.step, job.change, now);
    }
    this->refreshState(job);
    this->log.info("Tasks of a step were assigned.",
                   {{"job", job.submission.id.value},
                    {"step", std::to_string(unit.step)},
                    {"tasks", std::to_string(places.size())},
                    {"first_at", fleet.workers[places.front()].node.value},
                    {"waiting", std::to_string(unit.indices.size())},
                    {"rank", std::to_string(unit.rank)},
                    {"guaranteed", unit.isEntitled ? "yes" : "no"}});
}

} // namespace waxwingloft
