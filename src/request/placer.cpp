#include "waxwingloft/request/placer.h"

#include <algorithm>

namespace waxwingloft {

namespace {

/** Returns @p settings without the guarantees of other regions. */
Settings guaranteesOfRegion(Settings settings, const std::string &region)
{
    for (auto &[id, workspace] : settings.workspaces) {
        std::erase_if(workspace.guarantees, [&region](const Guarantee &guarantee) { return !guarantee.region.empty() && guarantee.region != region; });
    }
    return settings;
}

} // namespace

const std::array<Placer::RowHandler, NameTable<JobState>::names.size()> Placer::rowHandlers = {&Placer::onQueued, &Placer::onPlaced, &Placer::onEnded};

Placer::LeadershipTerm::LeadershipTerm(const PlacerContext &context, const PlacerOptions &options, Epoch epoch)
    : epoch(epoch)
    , reservations(this->fleet, "", this->planner)
    , scheduler(this->fleet, this->reservations, this->learner, this->planner, "", options.scheduler)
    , health(context.clock, options.health)
{
}

Placer::Placer(const PlacerContext &context, PlacerOptions options)
    : context(context)
    , options(options)
{
}

Placer::~Placer() = default;

void Placer::step(Epoch epoch)
{
    this->rebuild(epoch);
    this->retryUnrecorded(epoch);
    std::uint64_t since = 0;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        since = this->term->jobsSince;
    }
    const auto changes = this->context.jobs.changes(since);

    const std::lock_guard<std::mutex> guard(this->mutex);
    auto &current = *this->term;
    this->syncMembers(current);
    this->syncSettings(current);
    if (succeeded(changes)) {
        current.jobsSince = since;
        for (const auto &record : valueOf(changes)) {
            if (record.region == this->context.region) {
                (this->*rowHandlers.at(static_cast<std::size_t>(record.state)))(current, record);
            }
        }
    }
    this->syncHealth(current);
    this->stopLostGangs(current);
    for (const auto &decision : current.scheduler.decide(this->context.clock.now())) {
        this->execute(current, decision);
    }
    this->context.metrics.set(Level::WaitingJobs, static_cast<double>(current.scheduler.waitingCount()));
}

void Placer::resign()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->term.reset();
}

std::string Placer::explain(const JobId &job) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->term == nullptr ? std::string() : this->term->scheduler.explain(job, this->context.clock.now());
}

PlacerStatus Placer::status() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    PlacerStatus status;
    if (this->term == nullptr) {
        return status;
    }
    status.epoch = this->term->epoch;
    status.waiting = this->term->scheduler.waitingCount();
    status.running = this->term->fleet.holdings().size();
    status.quarantined = this->term->health.quarantined();
    for (const auto &reservation : this->term->reservations.all()) {
        status.guarantees.push_back({reservation.workspace, reservation.shape, reservation.placement.has_value(), reservation.claimedBy});
    }
    return status;
}

/** Starts a term when the epoch is new. Fences older placers at the agents before the first decision. */
void Placer::rebuild(Epoch epoch)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (this->term != nullptr && this->term->epoch == epoch) {
            return;
        }
    }
    std::vector<Member> workers;
    for (auto &member : this->context.members.all()) {
        if (member.role == MemberRole::Worker && member.location.region == this->context.region && member.state != MemberState::Lost) {
            workers.push_back(std::move(member));
        }
    }
    this->context.launcher.askReports(workers, this->context.region, epoch);
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->term = std::make_unique<LeadershipTerm>(this->context, this->options, epoch);
}

void Placer::syncMembers(LeadershipTerm &term)
{
    const auto generation = this->context.members.generation();
    if (generation == term.membersGeneration) {
        return;
    }
    term.membersGeneration = generation;
    for (const auto &member : this->context.members.all()) {
        if (member.role == MemberRole::Worker && member.location.region == this->context.region) {
            this->applyMember(term, member);
        }
    }
    term.reservations.repair();
}

void Placer::applyMember(LeadershipTerm &term, const Member &member)
{
    const auto worker = term.fleet.putWorker(member.node, member.location, member.resources);
    const bool isNewIncarnation = term.incarnations.contains(member.node) && term.incarnations[member.node] != member.incarnation;
    term.incarnations[member.node] = member.incarnation;
    if (member.state == MemberState::Leaving) {
        term.fleet.setCondition(worker, WorkerCondition::Draining);
    }
    if (member.state == MemberState::Lost) {
        term.fleet.setCondition(worker, WorkerCondition::Lost);
    }
    if (member.state != MemberState::Lost && !isNewIncarnation) {
        return;
    }
    for (const auto &job : term.fleet.jobsOn(worker)) {
        const auto tracked = term.jobs.find(job);
        if (tracked != term.jobs.end() && tracked->second.phase == Phase::Running) {
            tracked->second.lostSince = tracked->second.lostSince.value_or(this->context.clock.now());
            tracked->second.coordinatorIsLost = tracked->second.coordinatorIsLost || tracked->second.record.members.front().node == member.node;
        }
    }
}

void Placer::syncSettings(LeadershipTerm &term)
{
    const auto version = this->context.settings.version();
    if (version == term.settingsVersion) {
        return;
    }
    term.settingsVersion = version;
    Settings settings;
    {
        const ReadSection section;
        settings = this->context.settings.read(section);
    }
    term.scheduler.setSettings(guaranteesOfRegion(std::move(settings), this->context.region));
}

void Placer::syncHealth(LeadershipTerm &term)
{
    for (WorkerIndex worker = 0; worker < term.fleet.workerCount(); ++worker) {
        const bool isBad = term.health.isQuarantined(term.fleet.nodeOf(worker));
        const auto condition = term.fleet.conditionOf(worker);
        if (isBad && condition == WorkerCondition::Up) {
            term.fleet.setCondition(worker, WorkerCondition::Quarantined);
        } else if (!isBad && condition == WorkerCondition::Quarantined) {
            term.fleet.setCondition(worker, WorkerCondition::Up);
        }
    }
}

void Placer::onQueued(LeadershipTerm &term, const JobRecord &record)
{
    const auto found = term.jobs.find(record.id);
    if (found != term.jobs.end() && record.revision <= found->second.record.revision) {
        return;
    }
    if (found != term.jobs.end() && found->second.phase != Phase::Waiting) {
        this->recordFailures(term, found->second, record);
        term.scheduler.stopped(record.id, this->context.clock.now());
    }
    if (found == term.jobs.end()) {
        term.scheduler.restore(this->gangJobOf(record));
    }
    term.jobs[record.id] = Tracked{record, Phase::Waiting, std::nullopt, false};
    if (record.cancelRequested) {
        term.scheduler.withdraw(record.id);
        this->endWaiting(term, record, Outcome::Cancelled, "cancelled while it waited");
    }
}

void Placer::onPlaced(LeadershipTerm &term, const JobRecord &record)
{
    const auto found = term.jobs.find(record.id);
    if (found == term.jobs.end() || found->second.record.attempt != record.attempt) {
        if (found == term.jobs.end() || found->second.phase != Phase::Launching) {
            this->adopt(term, record);
        }
        return;
    }
    auto &tracked = found->second;
    if (record.revision <= tracked.record.revision) {
        return;
    }
    if (record.checkpoint != tracked.record.checkpoint) {
        term.scheduler.checkpointed(record.id, this->context.clock.now());
    }
    tracked.record = record;
    if (record.cancelRequested && tracked.phase == Phase::Running) {
        this->stop(term, record.id, Millis(0), "cancelled");
    }
}

void Placer::onEnded(LeadershipTerm &term, const JobRecord &record)
{
    const auto found = term.jobs.find(record.id);
    if (found == term.jobs.end()) {
        return;
    }
    if (found->second.phase == Phase::Waiting) {
        term.scheduler.withdraw(record.id);
    } else {
        if (record.outcome == Outcome::Failed) {
            this->recordFailures(term, found->second, record);
        }
        term.scheduler.ended(record.id, this->context.clock.now());
    }
    if (record.outcome == Outcome::Done) {
        for (const auto &member : record.members) {
            term.health.recordSuccess(member.node, record.id.value);
        }
    }
    term.health.forgetJob(record.id.value);
    term.jobs.erase(found);
}

void Placer::recordFailures(LeadershipTerm &term, const Tracked &tracked, const JobRecord &record)
{
    for (auto index = tracked.record.failedOn.size(); index < record.failedOn.size(); ++index) {
        const auto &node = record.failedOn[index];
        if (term.health.recordFailure(node, record.id.value) == HealthVerdict::QuarantineWorker) {
            this->context.events.record(EventKind::Degraded, node.value, {}, "quarantined: jobs that fail on it run on other workers");
        }
    }
}

/** Adds a job that was placed by another placer or by a write whose reply was lost; stops all its members unless every one runs. */
void Placer::adopt(LeadershipTerm &term, const JobRecord &record)
{
    const auto found = term.jobs.find(record.id);
    if (found != term.jobs.end()) {
        term.scheduler.withdraw(record.id);
    }
    const auto placement = this->placementOf(term, record);
    const auto now = this->context.clock.now();
    term.jobs[record.id] = Tracked{record, Phase::Running, std::nullopt, false};
    auto preemptionClass = record.preemptionClass;
    if (preemptionClass == PreemptionClass::Guaranteed && placement && !term.reservations.restoreClaim(record.id, record.workspace, record.shape, *placement)) {
        preemptionClass = record.kind.idempotent || record.kind.checkpointable ? PreemptionClass::Preemptible : PreemptionClass::NonPreemptible;
    }
    term.scheduler.adopt(this->gangJobOf(record), placement.value_or(Placement{}), preemptionClass, now);
    term.reservations.repair();

    const auto epoch = term.epoch;
    this->context.runLater([this, record, epoch] {
        std::vector<Member> members;
        for (const auto &member : record.members) {
            members.push_back(Member{member.node, member.incarnation, MemberRole::Worker, MemberState::Up, {}, member.address, {}, 0, {}});
        }
        const auto reports = this->context.launcher.askReports(members, record.region, epoch);
        const auto runs = [&record](const std::optional<NodeReport> &report) {
            return report && std::any_of(report->gangs.begin(), report->gangs.end(), [&record](const GangReport &gang) {
                       return gang.attempt == record.attempt && (gang.state == GangState::Running || gang.state == GangState::Finished);
                   });
        };
        if (!std::all_of(reports.begin(), reports.end(), runs)) {
            this->recordResult(epoch, record, this->context.launcher.stop(record, epoch, Millis(0), "its placer stopped before all of its members ran"));
        }
    });
}

void Placer::stopLostGangs(LeadershipTerm &term)
{
    const auto now = this->context.clock.now();
    std::vector<JobId> overdue;
    for (const auto &[id, tracked] : term.jobs) {
        const auto wait = tracked.coordinatorIsLost ? this->options.coordinatorLossTimeout : this->options.memberLossTimeout;
        if (tracked.phase == Phase::Running && tracked.lostSince && now - *tracked.lostSince >= wait) {
            overdue.push_back(id);
        }
    }
    for (const auto &id : overdue) {
        this->stop(term, id, Millis(0), "a worker of the gang was lost");
    }
}

void Placer::execute(LeadershipTerm &term, const GangDecision &decision)
{
    if (const auto *const start = std::get_if<StartGangDecision>(&decision)) {
        this->launch(term, *start);
    } else if (const auto *const stop = std::get_if<StopGangDecision>(&decision)) {
        this->context.events.record(EventKind::Reclaimed, stop->job.value, {}, "for " + stop->owner.value);
        this->stop(term, stop->job, stop->grace, "its workers were reclaimed for " + stop->owner.value);
    } else {
        const auto &end = std::get<EndGangDecision>(decision);
        const auto record = term.jobs.at(end.job).record;
        this->endWaiting(term, record, record.hasStarted ? Outcome::Failed : Outcome::NotRun, toString(end.reason));
    }
}

void Placer::launch(LeadershipTerm &term, const StartGangDecision &decision)
{
    auto &tracked = term.jobs.at(decision.job);
    tracked.phase = Phase::Launching;
    tracked.lostSince.reset();
    tracked.coordinatorIsLost = false;
    auto record = tracked.record;
    record.state = JobState::Placed;
    record.attempt = AttemptId{this->context.ids.next()};
    record.epoch = term.epoch;
    record.preemptionClass = decision.preemptionClass;
    record.detail.clear();
    record.members.clear();
    for (const auto &part : decision.placement) {
        const auto &node = term.fleet.nodeOf(part.worker);
        const auto member = this->context.members.find(node).value_or(Member{});
        record.members.push_back({node, member.rpcAddress, member.incarnation, part.tasks});
    }
    const auto version = this->teamVersion(record.team);
    const auto epoch = term.epoch;
    this->context.runLater([this, record, version, epoch]() mutable {
        const auto written = this->context.jobs.update(record);
        if (!succeeded(written)) {
            this->launchFailed(epoch, record.id);
            return;
        }
        record.revision = valueOf(written);
        this->context.events.record(EventKind::JobPlaced, record.id.value, record.workspace.value, std::to_string(record.members.size()) + " workers");
        const auto result = this->context.launcher.launch(record, version);
        if (result) {
            this->recordResult(epoch, record, *result);
            return;
        }
        this->context.metrics.add(Count::GangsStarted);
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (this->term == nullptr || this->term->epoch != epoch) {
            return;
        }
        auto found = this->term->jobs.find(record.id);
        if (found != this->term->jobs.end() && found->second.phase == Phase::Launching) {
            found->second.record = record;
            found->second.phase = Phase::Running;
        }
    });
}

void Placer::stop(LeadershipTerm &term, const JobId &job, Millis grace, const std::string &reason)
{
    const auto found = term.jobs.find(job);
    if (found == term.jobs.end() || found->second.phase != Phase::Running) {
        return;
    }
    found->second.phase = Phase::Stopping;
    const auto record = found->second.record;
    const auto epoch = term.epoch;
    this->context.runLater([this, record, epoch, grace, reason] {
        const auto result = this->context.launcher.stop(record, epoch, grace, reason);
        this->context.metrics.add(Count::GangsStopped);
        this->recordResult(epoch, record, result);
    });
}

void Placer::endWaiting(LeadershipTerm &term, const JobRecord &record, Outcome outcome, const std::string &detail)
{
    auto ended = record;
    endJob(ended, outcome, detail, this->context.clock.wallMillis());
    term.jobs.erase(record.id);
    this->context.events.record(EventKind::JobEnded, record.id.value, record.workspace.value, std::string(nameOf(outcome)) + " " + detail);
    this->context.runLater([this, ended] { this->context.jobs.update(ended); });
}

/** Retries the results of attempts that could not be written to the table. */
void Placer::retryUnrecorded(Epoch epoch)
{
    std::vector<std::pair<JobRecord, GangResult>> unrecorded;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        unrecorded.swap(this->term->unrecorded);
    }
    for (auto &[record, result] : unrecorded) {
        this->recordResult(epoch, std::move(record), result);
    }
}

/** Applies the end of an attempt to the current row of its job. */
void Placer::recordResult(Epoch epoch, JobRecord record, const GangResult &result)
{
    const auto current = this->context.jobs.find(record.id);
    if (succeeded(current)) {
        const auto &row = valueOf(current);
        if (!row || row->state != JobState::Placed || row->attempt != record.attempt) {
            return;
        }
        const auto written = this->context.jobs.update(applyAttemptResult(*row, result, this->context.clock.wallMillis()));
        if (succeeded(written)) {
            return;
        }
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->term != nullptr && this->term->epoch == epoch) {
        this->term->unrecorded.emplace_back(std::move(record), result);
    }
}

/** Queues a job again whose placement could not be written; nothing was sent to any agent. */
void Placer::launchFailed(Epoch epoch, const JobId &job)
{
    const auto current = this->context.jobs.find(job);
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->term == nullptr || this->term->epoch != epoch) {
        return;
    }
    const auto found = this->term->jobs.find(job);
    if (found == this->term->jobs.end() || found->second.phase != Phase::Launching) {
        return;
    }
    this->term->scheduler.stopped(job, this->context.clock.now());
    found->second.phase = Phase::Waiting;
    if (succeeded(current) && valueOf(current)) {
        const auto &row = *valueOf(current);
        if (row.state == JobState::Queued) {
            found->second.record = row;
        } else {
            (this->*rowHandlers.at(static_cast<std::size_t>(row.state)))(*this->term, row);
        }
    }
}

std::optional<Placement> Placer::placementOf(const LeadershipTerm &term, const JobRecord &record) const
{
    Placement placement;
    for (const auto &member : record.members) {
        const auto worker = term.fleet.find(member.node);
        if (!worker) {
            return std::nullopt;
        }
        placement.push_back({*worker, member.tasks});
    }
    return placement;
}

GangJob Placer::gangJobOf(const JobRecord &record) const
{
    const auto age = Millis(std::max<std::int64_t>(0, this->context.clock.wallMillis() - record.submittedAtWallMillis));
    return {record.id,
            record.workspace,
            record.kind.id,
            record.kind.urgency,
            record.kind.worth,
            record.kind.idempotent,
            record.kind.checkpointable,
            record.shape,
            record.declaredRunTime,
            this->context.clock.now() - age,
            {}};
}

SettingsVersion Placer::teamVersion(const TeamId &team) const
{
    const ReadSection section;
    return this->context.settings.read(section).teamVersion(team);
}

} // namespace waxwingloft
