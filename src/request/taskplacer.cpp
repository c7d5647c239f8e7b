#include "waxwingloft/request/taskplacer.h"

#include "waxwingloft/request/assignmentbuilder.h"
#include "waxwingloft/request/jobrows.h"

#include "opentrials.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace waxwingloft {

namespace {

/** Returns the fields of a worker, other than its runs, that a plan depends on. */
auto usabilityOf(const LiveWorker &worker)
{
    const auto &last = worker.last;
    return std::tuple(worker.isKnown,
                      worker.hasOrphans,
                      last.incarnation,
                      last.isReachable,
                      last.isDraining,
                      last.capacity,
                      last.labels,
                      worker.isLeaseWithheld,
                      worker.isZoneClosed);
}

/** Whether the machine of an agent that had reported before has changed, and with it perhaps its speed. */
bool isOtherMachine(const AgentReport &before, const AgentReport &now)
{
    return !before.node.value.empty() && (before.capacity != now.capacity || before.labels != now.labels);
}

} // namespace

TaskPlacer::TaskPlacer(Clock &clock, TaskPlacerOptions options, JobRankOptions rankOptions)
    : clock(clock)
    , options(options)
    , log(LogPart::Placer)
    , rank(rankOptions)
    , health(clock, options.health)
    , crashes(this->jobs, this->options)
    , zones(options.zoneCloseTime, options.zoneCloseMargin)
    , waits(options.preferenceWait, options.longestReadyWait)
{
}

void TaskPlacer::setMetrics(Metrics &metrics)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->crashes.setMetrics(metrics);
    this->zoneWatch.setMetrics(metrics);
    this->waits.setMetrics(metrics);
}

void TaskPlacer::followZones(const ZoneView &zones)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->zones.follow(zones);
}

void TaskPlacer::becomeLeader(Epoch epoch, std::vector<StoredJob> jobs, const Takeover &takeover)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->epoch = epoch;
    this->leaderSince = this->clock.now();
    this->jobs.clear();
    this->workers.clear();
    this->waits.clear();
    for (auto &job : jobs) {
        this->addJob(std::move(job));
    }
    this->bounds.begin(takeover.bounds);
    this->boundUnreportedRuns(takeover);
    this->log.info("Became leader under epoch " + std::to_string(epoch) + " with " + std::to_string(this->jobs.size()) + " jobs and "
                   + std::to_string(this->workers.size()) + " executors that may have active runs.");
}

/** Adds a job and every run of it that may be active. */
void TaskPlacer::addJob(StoredJob stored)
{
    const auto id = stored.submission.id;
    auto &job = this->jobs[id];
    job.submission = std::move(stored.submission);
    job.progress = std::move(stored.progress);
    job.revision = stored.progressRevision;
    job.storedParts = stored.progressParts;
    job.knownSince = this->clock.now();
    this->rank.learn(job.submission);
    for (std::uint32_t occurrence = 0; occurrence < job.progress.occurrences.size(); ++occurrence) {
        auto &steps = job.progress.occurrences[occurrence];
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
            for (std::uint32_t index = 0; index < steps[step].size(); ++index) {
                const auto &task = steps[step][index];
                if (task.state != TaskPhase::Assigned) {
                    continue;
                }
                auto &worker = this->workers[task.worker];
                worker.last.incarnation = task.incarnation;
                const TaskRun run{{id, occurrence, step, index}, task.run};
                auto live = liveRunOf(job, step, this->clock.now());
                live.isSent = true;
                worker.runs[run] = live;
            }
        }
    }
    if (stored.isCancelled && !isFinal(job.progress.state)) {
        job.progress.state = JobPhase::Cancelled;
        job.markChanged();
    }
}

void TaskPlacer::stepDown(const std::string &reason)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->clearLeadership(reason);
}

void TaskPlacer::clearLeadership(const std::string &reason)
{
    if (this->epoch == 0) {
        return;
    }
    this->log.warn("Left the office of epoch " + std::to_string(this->epoch) + ": " + reason);
    this->epoch = 0;
    this->jobs.clear();
    this->workers.clear();
    this->zoneWatch.clear();
    this->waits.clear();
}

bool TaskPlacer::isLeader() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->epoch != 0;
}

void TaskPlacer::leadershipRenewed(Instant sentAt)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->renewedAt = sentAt;
    this->grantsUntil = sentAt + this->options.grantPeriod;
}

void TaskPlacer::submit(const JobSubmission &submission)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->epoch == 0 || this->jobs.contains(submission.id)) {
        return;
    }
    StoredJob stored{submission, false, initialProgress(submission.graph), 0};
    this->addJob(std::move(stored));
    this->log.info("A job came in.",
                   {{"job", submission.id.value},
                    {"workspace", submission.workspace.value},
                    {"route", submission.route},
                    {"priority", std::to_string(submission.priority)},
                    {"age_ms", std::to_string(this->clock.wallMillis() - submission.acceptedAt)},
                    {"estimated_core_s", std::to_string(static_cast<std::int64_t>(this->rank.workOf(submission)))}});
}

void TaskPlacer::cancel(const JobId &job)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto found = this->jobs.find(job);
    if (this->epoch == 0 || found == this->jobs.end() || isFinal(found->second.progress.state)) {
        return;
    }
    this->log.info("A job is cancelled.", {{"job", job.value}, {"state", std::string(nameOf(found->second.progress.state))}});
    found->second.progress.state = JobPhase::Cancelled;
    found->second.markChanged();
    this->stopRuns(job);
}

void TaskPlacer::setRoutes(const RoutingTable &routes)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->routes = routes;
}

void TaskPlacer::refreshState(LiveJob &job)
{
    const auto before = job.progress.state;
    if (!job.refreshState()) {
        return;
    }
    this->log.info("A job's state changed.",
                   {{"job", job.submission.id.value},
                    {"from", std::string(nameOf(before))},
                    {"to", std::string(nameOf(job.progress.state))},
                    {"after_ms", std::to_string(this->clock.wallMillis() - job.submission.acceptedAt)}});
    if (job.progress.state == JobPhase::Failed) {
        this->stopRuns(job.submission.id);
    }
}

/** Stops a run. A run that was never sent to its agent ends at once, which may also end its gang, so @p run may already have been removed. */
void TaskPlacer::stopRun(LiveWorker &worker, const TaskRun &run)
{
    const auto live = worker.runs.find(run);
    if (live == worker.runs.end()) {
        return;
    }
    if (!live->second.isSent) {
        this->endRun(worker, run, RunEnd::Stopped, {});
        return;
    }
    live->second.isStopping = true;
    worker.needsSync = true;
}

void TaskPlacer::stopRuns(const JobId &job)
{
    for (auto &[node, worker] : this->workers) {
        std::vector<TaskRun> runs;
        for (const auto &[run, live] : worker.runs) {
            if (run.task.job == job) {
                runs.push_back(run);
            }
        }
        for (const auto &run : runs) {
            this->stopRun(worker, run);
        }
    }
}

void TaskPlacer::endRun(LiveWorker &worker, const TaskRun &run, RunEnd how, const std::string &checkpoint)
{
    if (worker.runs.erase(run) == 0) {
        return;
    }
    this->hasChanges.store(true, std::memory_order_release);
    const auto found = this->jobs.find(run.task.job);
    if (found == this->jobs.end()) {
        return;
    }
    auto &job = found->second;
    auto *const task = findTask(job.progress, run.task);
    if (task == nullptr || task->state != TaskPhase::Assigned || task->run != run.run) {
        return;
    }
    this->log.info("A run ended.",
                   {{"job", run.task.job.value},
                    {"task", toString(run.task)},
                    {"run", std::to_string(run.run)},
                    {"end", std::string(nameOf(how))},
                    {"executor", task->incarnation.id},
                    {"checkpoint", checkpoint}});
    if (how == RunEnd::Done) {
        this->health.recordSuccess(task->worker, run.task.job.value);
    } else if (how == RunEnd::Failed && this->health.recordFailure(task->worker, run.task.job.value) == HealthVerdict::QuarantineWorker) {
        this->log.warn("A worker fails what others run; it is quarantined and gets no new work.",
                       {{"agent", task->worker.value}, {"executor", task->incarnation.id}});
    }
    this->applyEnd(job, run, *task, how, checkpoint);
    job.markChanged();
    this->refreshState(job);
}

void TaskPlacer::applyEnd(LiveJob &job, const TaskRun &run, TaskProgress &task, RunEnd how, const std::string &checkpoint)
{
    const auto &step = job.stepOf(run.task);
    if (how == RunEnd::Done && !step.isPerpetual) {
        if (step.isGang) {
            job.finishGang(run);
        } else {
            task.state = TaskPhase::Done;
        }
        return;
    }
    task.state = TaskPhase::Waiting;
    if (!job.keepCheckpoint(task, checkpoint)) {
        this->log.warn("A checkpoint is too long to be stored; the task resumes from the one before.",
                       {{"job", run.task.job.value}, {"task", toString(run.task)}, {"bytes", std::to_string(checkpoint.size())}});
    }
    if (how == RunEnd::Failed && !step.isPerpetual) {
        if (job.countFailure(run, task)) {
            this->log.warn("A task failed on its last permitted attempt.", {{"job", run.task.job.value}, {"task", toString(run.task)}});
        }
    }
    if (step.isGang) {
        this->stopGangMembers(job, run, task.checkpoint);
    }
}

/** Stops the other members of a gang's run and makes all members resume from the same checkpoint. */
void TaskPlacer::stopGangMembers(LiveJob &job, const TaskRun &run, const std::string &checkpoint)
{
    auto &members = job.progress.occurrences[run.task.occurrence][run.task.step];
    for (std::uint32_t index = 0; index < members.size(); ++index) {
        auto &member = members[index];
        member.checkpoint = checkpoint;
        if (member.state != TaskPhase::Assigned || member.run != run.run) {
            continue;
        }
        const TaskRun other{{run.task.job, run.task.occurrence, run.task.step, index}, member.run};
        const auto worker = this->workers.find(member.worker);
        if (worker != this->workers.end() && worker->second.runs.contains(other) && !worker->second.runs.at(other).isStopping) {
            this->stopRun(worker->second, other);
        }
    }
}

Result<AssignmentSync> TaskPlacer::report(const AgentReport &report)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (report.epoch > this->epoch && this->epoch != 0) {
        this->clearLeadership("agent " + report.node.value + " reported the newer epoch " + std::to_string(report.epoch));
    }
    if (this->epoch == 0) {
        return makeError(ErrorKind::Stale, "this process is not the leading placer", "read the placer row again");
    }
    const auto known = this->workers.find(report.node);
    const bool isFirst = known == this->workers.end() || !known->second.isKnown;
    // A report to an earlier term may be late, and only the agent's next one, which names this term, shows what is there now.
    if (isFirst && report.epoch != this->epoch) {
        return this->announcement();
    }
    const auto now = this->clock.now();
    auto &worker = this->workers[report.node];
    const auto usability = usabilityOf(worker);
    const auto trials = jobsOnTrial(this->jobs, worker);
    const bool isOlder = worker.isKnown && std::pair(report.generation, report.sequence) < std::pair(worker.last.generation, worker.last.sequence);
    if (isOlder) {
        return makeError(ErrorKind::Stale, "a newer report of this agent was already applied", "send a new report");
    }
    if (worker.last.incarnation.isKnown() && worker.last.incarnation != report.incarnation) {
        this->rebindRuns(worker, report);
        const auto crashed = CrashLedger::isCrash(worker, report) ? this->crashes.recordCrash(worker) : std::vector<TaskKey>();
        this->loseRuns(worker, "executor " + worker.last.incarnation.id + " has been replaced by " + report.incarnation.id);
        for (const auto &job : this->crashes.giveUp(crashed)) {
            this->refreshState(this->jobs.at(job));
        }
        worker.lapsedRuns.clear();
        worker.seenEnds = 0;
        worker.acknowledgedEnds = 0;
        worker.pendingAcks.clear();
    }
    if (!worker.isKnown) {
        this->log.info(
            "An executor joined.",
            {{"executor", report.incarnation.id}, {"service", report.service}, {"agent", report.node.value}, {"capacity", toString(report.capacity)}});
    }
    // An agent that expired and reports again may have received higher sequence numbers in this epoch.
    worker.syncSequence = std::max(worker.syncSequence, report.epoch == this->epoch ? report.syncSequence : 0);
    worker.isKnown = true;
    worker.lastReportAt = now;
    this->boundRuns(worker, report, isFirst);
    if (isOtherMachine(worker.last, report)) {
        this->speeds.forget(report.node);
    }
    worker.last = report;
    this->applyZone(worker);
    worker.coldUntil = now + report.coldTimeLeft;
    worker.leavesAt = report.drainTimeLeft ? std::optional(now + *report.drainTimeLeft) : std::nullopt;
    CrashLedger::keepLapsedRuns(worker, report, now);
    this->handleEnds(worker, report);
    worker.applyProgress(report, now);
    this->speeds.learn(worker, this->jobs, now);
    this->endUnknownRuns(worker, report);
    if (usabilityOf(worker) != usability || jobsOnTrial(this->jobs, worker) != trials) {
        this->hasChanges.store(true, std::memory_order_release);
    }
    if (worker.isLeaseWithheld) {
        this->bounds.requestWrite();
        return this->announcement();
    }
    auto sync = AssignmentBuilder(this->jobs, this->epoch).makeSync(worker);
    sync.agentLease = now < this->grantsUntil ? this->options.agentLease : Millis(0);
    sync.needsStartPermission = this->zones.isActive();
    sync.startPermission = this->zones.permission(report.zone, now);
    return sync;
}

/** Takes over whether the zone of @p worker is closed. Returns whether that has changed. */
bool TaskPlacer::applyZone(LiveWorker &worker)
{
    const bool isClosed = this->zones.isClosed(worker.last.zone);
    const bool hasChanged = worker.isZoneClosed != isClosed;
    worker.isZoneClosed = isClosed;
    return hasChanged;
}

/** Takes over which zones are closed. Takes back the runs there that were not sent, and has the agents there told at once. */
void TaskPlacer::applyZones(Instant now)
{
    const bool areKnown = this->zones.isFresh(now);
    if (areKnown != this->areZonesKnown) {
        this->areZonesKnown = areKnown;
        areKnown ? this->log.info("The closed zones are known again; tasks may start.")
                 : this->log.warn("Nothing starts, as the closed zones have not been read for too long.");
    }
    for (auto &[node, worker] : this->workers) {
        if (this->applyZone(worker)) {
            worker.needsSync = true;
        }
        if (!worker.isZoneClosed) {
            continue;
        }
        std::vector<TaskRun> unsent;
        for (const auto &[run, live] : worker.runs) {
            if (!live.isSent) {
                unsent.push_back(run);
            }
        }
        for (const auto &run : unsent) {
            this->log.info("A run that was not sent is taken back, as its zone is closed.",
                           {{"job", run.task.job.value}, {"task", toString(run.task)}, {"run", std::to_string(run.run)}, {"zone", worker.last.zone}});
            this->stopRun(worker, run);
        }
    }
}

/** Returns an answer that names the term and nothing else, after which the agent counts its report as not applied. */
AssignmentSync TaskPlacer::announcement() const
{
    AssignmentSync sync;
    sync.epoch = this->epoch;
    return sync;
}

/** Sets until when the runs of a worker may be live if this report is its last. The first report tells what earlier placers have allowed, too. */
void TaskPlacer::boundRuns(LiveWorker &worker, const AgentReport &report, bool isFirst)
{
    const auto endBy = this->clock.now() + std::max(this->runsLastAfter(this->options.agentLease), report.longestLeaseLeft + this->options.margin);
    worker.runsEndBy = isFirst ? endBy : std::max(worker.runsEndBy, endBy);
    const bool isAllowed = this->bounds.allowsLease(report.node);
    if (!isAllowed && !worker.isLeaseWithheld) {
        this->log.info("An agent gets no lease until the bounds of its runs are written.", {{"agent", report.node.value}});
    }
    worker.isLeaseWithheld = !isAllowed;
}

void TaskPlacer::handleEnds(LiveWorker &worker, const AgentReport &report)
{
    for (const auto &end : report.ends) {
        const bool isNew = end.number == 0 || end.number > worker.seenEnds;
        if (!isNew) {
            continue;
        }
        if (end.refusal == RefusalReason::NoRoom || end.refusal == RefusalReason::Unhealthy) {
            worker.pausedUntil = this->clock.now() + this->options.refusalPause;
        }
        this->endRun(worker, end.run, end.end, end.checkpoint);
        if (end.number > 0) {
            const auto job = this->jobs.find(end.run.task.job);
            worker.seenEnds = end.number;
            worker.pendingAcks.push_back({end.number, end.run.task.job, job == this->jobs.end() ? 0 : job->second.change});
        }
    }
}

/** Ends runs that the agent no longer reports after it applied assignments which omit them. */
void TaskPlacer::endUnknownRuns(LiveWorker &worker, const AgentReport &report)
{
    if (report.epoch != this->epoch) {
        return;
    }
    std::set<TaskRun> reported;
    for (const auto &run : report.runs) {
        reported.insert(run.run);
    }
    std::vector<TaskRun> gone;
    for (const auto &[run, live] : worker.runs) {
        if (live.omittedSince != 0 && report.syncSequence >= live.omittedSince && !reported.contains(run)) {
            gone.push_back(run);
        }
    }
    for (const auto &run : gone) {
        this->endRun(worker, run, RunEnd::Stopped, {});
    }
}

/**
 * Binds runs that the agent lists to the new incarnation of its executor.
 *
 * When both incarnations share an id, a delayed start order for the old one may have started its run in the new one.
 */
void TaskPlacer::rebindRuns(LiveWorker &worker, const AgentReport &report)
{
    std::vector<TaskRun> listed;
    for (const auto &run : report.runs) {
        listed.push_back(run.run);
    }
    for (const auto &end : report.ends) {
        listed.push_back(end.run);
    }
    for (const auto &run : listed) {
        const auto job = this->jobs.find(run.task.job);
        auto *const task = job == this->jobs.end() || !worker.runs.contains(run) ? nullptr : findTask(job->second.progress, run.task);
        if (task != nullptr && task->state == TaskPhase::Assigned && task->run == run.run) {
            task->incarnation = report.incarnation;
            job->second.markChanged();
        }
    }
}

/** Ends the runs that are assigned to an incarnation of an executor that is known to have ended. */
void TaskPlacer::loseRuns(LiveWorker &worker, const std::string &reason)
{
    std::map<TaskRun, std::string> checkpoints;
    for (const auto &run : worker.last.runs) {
        checkpoints[run.run] = run.checkpoint;
    }
    std::vector<TaskRun> lost;
    for (const auto &[run, live] : worker.runs) {
        const auto job = this->jobs.find(run.task.job);
        const auto *const task = job == this->jobs.end() ? nullptr : findTask(job->second.progress, run.task);
        if (task == nullptr || task->run != run.run || task->incarnation == worker.last.incarnation) {
            lost.push_back(run);
        }
    }
    if (!lost.empty()) {
        this->log.warn("Lost " + std::to_string(lost.size()) + " runs: " + reason + ".");
    }
    for (const auto &run : lost) {
        this->endRun(worker, run, RunEnd::Lapsed, checkpoints[run]);
    }
}

/**
 * Returns how long after a report the runs of an agent that then falls silent may be live, if the answer granted @p agentLease.
 *
 * The agent asks for leases only within its agent lease. Each names its end on the executor's clock, so that a call which is carried out late keeps
 * nothing alive beyond that end, and begins nothing after it.
 */
Millis TaskPlacer::runsLastAfter(Millis agentLease) const
{
    return agentLease + this->options.longestLease + this->options.margin;
}

/**
 * Bounds the runs that are known from rows only, whose agents have not reported to this leader.
 *
 * Such an agent may hold a lease from the previous leader, which could grant them until the end of its grant period, unless that one had
 * listed it as silent.
 */
void TaskPlacer::boundUnreportedRuns(const Takeover &takeover)
{
    const auto &stored = takeover.bounds.bounds;
    const auto lastGrant = this->leaderSince + std::max(Millis(0), this->options.grantPeriod - takeover.sinceRenewal);
    for (auto &[node, worker] : this->workers) {
        const auto silent = stored.silent.find(node);
        worker.runsEndBy =
            silent != stored.silent.end() ? this->leaderSince + silent->second : lastGrant + this->runsLastAfter(this->options.longestAgentLease);
        this->log.info("Runs known from rows count as over if their agent does not report.",
                       {{"agent", node.value},
                        {"runs", std::to_string(worker.runs.size())},
                        {"after_ms", std::to_string(std::chrono::duration_cast<Millis>(worker.runsEndBy - this->leaderSince).count())},
                        {"silent_before", silent == stored.silent.end() ? "no" : "yes"}});
    }
}

/** Returns the bounds that a successor should find. An agent is listed as silent from the age at which it gets no new work either. */
AgentBounds TaskPlacer::wantedBounds(Instant now) const
{
    AgentBounds wanted;
    for (const auto &[node, worker] : this->workers) {
        const auto lastHeardAt = worker.isKnown ? worker.lastReportAt : this->leaderSince;
        if (!worker.runs.empty() && now - lastHeardAt >= this->options.maxReportAge) {
            wanted.silent[node] = std::max(Millis(0), std::chrono::ceil<Millis>(worker.runsEndBy - now));
        }
    }
    return wanted;
}

std::optional<BoundsWrite> TaskPlacer::takeBoundsWrite()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto now = this->clock.now();
    return this->epoch == 0 ? std::nullopt : this->bounds.takeWrite(this->epoch, this->wantedBounds(now), now);
}

void TaskPlacer::boundsWritten(const BoundsWrite &write, std::uint64_t revision)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (write.epoch == this->epoch) {
        this->bounds.written(write, revision);
    }
}

void TaskPlacer::boundsNotWritten(const BoundsWrite &write)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (write.epoch == this->epoch) {
        this->bounds.notWritten(write);
    }
}

void TaskPlacer::boundsInDoubt(const BoundsWrite &write, const std::optional<StoredBounds> &stored)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (write.epoch == this->epoch) {
        this->bounds.inDoubt(write, stored);
    }
}

bool TaskPlacer::isBoundsWriteUrgent() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->epoch != 0 && this->bounds.isWriteRequested();
}

/** Ends the runs of unresponsive agents when they are certain to be over, and removes agents without any. */
void TaskPlacer::expireUnresponsive(Instant now)
{
    for (auto item = this->workers.begin(); item != this->workers.end();) {
        auto &worker = item->second;
        if (now < worker.runsEndBy) {
            ++item;
            continue;
        }
        this->loseRuns(worker, "agent " + item->first.value + " has not reported within its agent lease and executor lease");
        // A row that was not written since a replacement names an earlier incarnation, which is over as well.
        while (!worker.runs.empty()) {
            const auto run = worker.runs.begin()->first;
            this->endRun(worker, run, RunEnd::Lapsed, {});
        }
        this->log.warn("Removed agent " + item->first.value + ".");
        item = this->workers.erase(item);
    }
}

bool TaskPlacer::isPlanDue() const
{
    return this->hasChanges.load(std::memory_order_acquire);
}

void TaskPlacer::plan()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->hasChanges.store(false, std::memory_order_release);
    const auto now = this->clock.now();
    if (this->epoch == 0) {
        return;
    }
    this->expireUnresponsive(now);
    this->applyZones(now);
    if (!this->isSettled(now)) {
        return;
    }
    if (this->zones.isActive()) {
        this->zoneWatch.update(this->zones.closures(), this->workers, now);
    }
    this->refreshSpeeds(now);
    const PlannerInput state{this->jobs, this->workers, this->routes, this->health, this->rank, this->speeds, this->options, this->waits, this->areZonesKnown};
    const TaskPlanner planner(state, now, this->clock.wallMillis());
    this->moveStalledRuns(planner.stalledRuns(), now);
    const bool findsWaits = now >= this->nextWaitWatchAt;
    const auto plan = planner.plan(findsWaits);
    if (findsWaits) {
        this->nextWaitWatchAt = now + this->options.waitWatchInterval;
        this->waits.update(plan.waits, plan.begun, now);
    }
    for (const auto &[node, run] : plan.stops) {
        auto &worker = this->workers.at(node);
        // Stopping one member of a gang may already have ended the others.
        if (worker.runs.contains(run)) {
            this->log.info("A run is stopped to free capacity for more urgent work.",
                           {{"job", run.task.job.value}, {"task", toString(run.task)}, {"run", std::to_string(run.run)}});
            this->stopRun(worker, run);
        }
    }
    for (const auto &[node, run] : plan.moves) {
        auto &worker = this->workers.at(node);
        if (worker.runs.contains(run)) {
            this->log.info("A run is moved, as an executor leaves before it can end.",
                           {{"job", run.task.job.value}, {"task", toString(run.task)}, {"run", std::to_string(run.run)}, {"agent", node.value}});
            this->stopRun(worker, run);
        }
    }
    for (const auto &start : plan.starts) {
        this->assign(start, now);
    }
    this->logHeld(plan.held);
    this->logClosedOut(plan.closedOut);
}

/** Logs once for each wait of a job that executors that could run its tasks are in closed zones. */
void TaskPlacer::logClosedOut(const std::vector<JobId> &jobs)
{
    for (const auto &id : jobs) {
        auto &job = this->jobs.at(id);
        if (!job.isClosedOut) {
            job.isClosedOut = true;
            this->log.info("Tasks wait, as executors that could run them are in closed zones.", {{"job", id.value}});
        }
    }
}

/** Learns which executors are slower than others, and logs when that changes. */
void TaskPlacer::refreshSpeeds(Instant now)
{
    const auto before = this->speeds.slowerSpeed();
    this->speeds.refresh(now, this->workers.size());
    const auto after = this->speeds.slowerSpeed();
    if (before.has_value() == after.has_value()) {
        return;
    }
    this->log.info(after ? "Executors fall into two classes of speed; urgent work prefers the faster one." : "Executors no longer differ clearly in speed.",
                   {{"slower_share_of_speed", std::to_string(after.value_or(1.0))}, {"slower_executors", std::to_string(this->speeds.slowerCount())}});
}

/** Logs once for each wait of a job that its tasks do not start where it has failed. */
void TaskPlacer::logHeld(const std::vector<HeldStep> &held)
{
    for (const auto &step : held) {
        auto &job = this->jobs.at(step.job);
        if (job.isHeldBack) {
            continue;
        }
        job.isHeldBack = true;
        this->log.info("Tasks of a step wait, as their job has failed on workers that could run them.",
                       {{"job", step.job.value},
                        {"step", std::to_string(step.step)},
                        {"tasks", std::to_string(step.tasks)},
                        {"avoided", std::to_string(step.avoided)},
                        {"others", std::to_string(step.others)}});
    }
}

/** Whether the settle time has passed since becoming leader, or half of it and all known agents have reported. */
bool TaskPlacer::isSettled(Instant now) const
{
    if (now - this->leaderSince >= this->options.settleTime) {
        return true;
    }
    return !this->workers.empty() && std::all_of(this->workers.begin(), this->workers.end(), [](const auto &item) { return item.second.isKnown; })
        && now - this->leaderSince >= this->options.settleTime / 2;
}

/** Stops stalled runs so that they start elsewhere, and pauses their workers for the stall time. */
void TaskPlacer::moveStalledRuns(const std::vector<PlacedRun> &stalled, Instant now)
{
    for (const auto &[node, run] : stalled) {
        auto &worker = this->workers.at(node);
        worker.stalledUntil = now + this->options.stallTime;
        if (worker.runs.contains(run)) {
            this->log.warn("A run stands still and is started elsewhere.",
                           {{"job", run.task.job.value}, {"task", toString(run.task)}, {"run", std::to_string(run.run)}, {"agent", node.value}});
            this->stopRun(worker, run);
        }
    }
}

void TaskPlacer::assign(const StepStart &start, Instant now)
{
    auto &job = this->jobs.at(start.job);
    auto &step = job.progress.occurrences[start.occurrence][start.step];
    const bool isGang = job.submission.graph.steps[start.step].isGang;
    std::uint32_t gangRun = 0;
    for (const auto &task : step) {
        gangRun = std::max(gangRun, task.run);
    }
    job.markChanged();
    job.isHeldBack = false;
    job.isClosedOut = false;
    for (std::size_t place = 0; place < start.indices.size(); ++place) {
        const auto index = start.indices[place];
        auto &worker = this->workers.at(start.agents[place]);
        auto &task = step[index];
        task.state = TaskPhase::Assigned;
        task.run = (isGang ? gangRun : task.run) + 1;
        task.worker = worker.last.node;
        task.incarnation = worker.last.incarnation;
        worker.runs[{{start.job, start.occurrence, start.step, index}, task.run}] = liveRunOf(job, start.step, now);
    }
    this->refreshState(job);
    this->log.info("Tasks of a step were assigned.",
                   {{"job", start.job.value},
                    {"step", std::to_string(start.step)},
                    {"tasks", std::to_string(start.indices.size())},
                    {"first_at", start.agents.front().value},
                    {"waiting", std::to_string(start.waiting)},
                    {"rank", std::to_string(start.rank)},
                    {"guaranteed", start.isGuaranteed ? "yes" : "no"}});
}

/** Returns the write of the present progress of @p job. */
ProgressWrite TaskPlacer::writeOf(const JobId &id, const LiveJob &job) const
{
    return {this->epoch, id, job.revision, job.change, encodeProgressRows(job.progress, this->options.rowBytes), job.storedParts};
}

std::vector<ProgressWrite> TaskPlacer::takeWrites()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto now = this->clock.now();
    std::vector<std::pair<const JobId, LiveJob> *> pending;
    for (auto &item : this->jobs) {
        if (item.second.change > item.second.stored && !item.second.isBeingWritten && now >= item.second.writeAfter) {
            pending.push_back(&item);
        }
    }
    // Without turns, jobs that change all the time would keep the rows of others from being written while the table is slow.
    std::stable_sort(
        pending.begin(), pending.end(), [](const auto *left, const auto *right) { return left->second.writesMissed > right->second.writesMissed; });
    std::vector<ProgressWrite> writes;
    std::size_t rows = 0;
    std::size_t bytes = 0;
    bool isFull = false;
    for (auto *const item : pending) {
        auto &job = item->second;
        auto write = isFull ? ProgressWrite() : this->writeOf(item->first, job);
        rows += write.rowCount();
        bytes += write.byteCount();
        isFull = isFull || (!writes.empty() && (rows > this->options.batchRows || bytes > this->options.batchBytes || job.isWrittenAlone));
        if (isFull) {
            ++job.writesMissed;
            continue;
        }
        isFull = job.isWrittenAlone;
        job.isBeingWritten = true;
        job.writesMissed = 0;
        writes.push_back(std::move(write));
    }
    return writes;
}

bool TaskPlacer::areOfThisTerm(const std::vector<ProgressWrite> &writes) const
{
    return this->epoch != 0 && std::all_of(writes.begin(), writes.end(), [this](const ProgressWrite &write) { return write.epoch == this->epoch; });
}

bool TaskPlacer::isCurrent(const std::vector<ProgressWrite> &writes) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->areOfThisTerm(writes);
}

void TaskPlacer::notWritten(const std::vector<ProgressWrite> &writes, const std::string &reason)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->areOfThisTerm(writes)) {
        this->clearLeadership(reason);
    }
}

void TaskPlacer::refused(const std::vector<ProgressWrite> &writes, const std::string &reason)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (!this->areOfThisTerm(writes)) {
        return;
    }
    for (const auto &write : writes) {
        const auto found = this->jobs.find(write.job);
        if (found == this->jobs.end()) {
            continue;
        }
        found->second.isBeingWritten = false;
        found->second.isWrittenAlone = true;
        if (writes.size() == 1) {
            this->setAside(write.job, found->second, reason);
        }
    }
}

/** Leaves a job alone for a moment whose rows the table refuses, and ends it once they have been refused too often. */
void TaskPlacer::setAside(const JobId &id, LiveJob &job, const std::string &reason)
{
    const auto now = this->clock.now();
    job.refusals += this->renewedAt > job.refusedAt ? 1 : 0;
    job.refusedAt = now;
    job.writeAfter = now + this->options.refusedWritePause;
    this->log.error("The table refuses the progress of a job; nothing of it starts.",
                    {{"job", id.value}, {"refusals", std::to_string(job.refusals)}, {"reason", reason}});
    if (job.refusals < this->options.refusalsToEnd || isFinal(job.progress.state)) {
        return;
    }
    this->log.error("A job ends as failed, as the table refuses its progress.", {{"job", id.value}});
    job.progress.state = JobPhase::Failed;
    job.markChanged();
    this->stopRuns(id);
}

void TaskPlacer::written(const std::vector<ProgressWrite> &writes, std::uint64_t revision)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (!this->areOfThisTerm(writes)) {
        return;
    }
    for (const auto &write : writes) {
        const auto found = this->jobs.find(write.job);
        if (found == this->jobs.end()) {
            continue;
        }
        found->second.stored = write.change;
        found->second.revision = revision;
        found->second.storedParts = write.rows.parts.size();
        found->second.isBeingWritten = false;
        found->second.isWrittenAlone = false;
        found->second.refusals = 0;
        for (auto &[node, worker] : this->workers) {
            const auto isUnsent = [&write](const auto &item) { return item.first.task.job == write.job && !item.second.isSent; };
            worker.needsSync = worker.needsSync || std::any_of(worker.runs.begin(), worker.runs.end(), isUnsent);
        }
    }
}

std::vector<OutgoingSync> TaskPlacer::takeSyncs()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<OutgoingSync> syncs;
    for (auto &[node, worker] : this->workers) {
        if (worker.needsSync && worker.isKnown) {
            syncs.push_back({worker.last.address, AssignmentBuilder(this->jobs, this->epoch).makeSync(worker)});
            syncs.back().sync.needsStartPermission = this->zones.isActive();
        }
    }
    return syncs;
}

TaskPlacerStatus TaskPlacer::view() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    TaskPlacerStatus view{this->epoch, this->jobs.size(), this->workers.size(), 0};
    for (const auto &[node, worker] : this->workers) {
        view.assigned += worker.runs.size();
    }
    return view;
}

} // namespace waxwingloft
