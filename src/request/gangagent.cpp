#include "waxwingloft/request/gangagent.h"

#include "waxwingloft/process/logger.h"
#include "waxwingloft/request/checkpointframe.h"

#include <algorithm>

namespace waxwingloft {

namespace {

constexpr auto CoordinatorTimeout = Millis(800);

bool isActive(GangState state)
{
    return state == GangState::Prepared || state == GangState::Running;
}

GangReply refused(const JobId &job, const AttemptId &attempt, Error error)
{
    GangReply reply{job, attempt, GangState::None, false, {}, std::move(error), true};
    return reply;
}

GangState stateOf(TaskState state)
{
    switch (state) {
    case TaskState::Finished:
        return GangState::Finished;
    case TaskState::Failed:
        return GangState::Failed;
    case TaskState::Running:
        return GangState::Running;
    default:
        return GangState::Stopped;
    }
}

} // namespace

GangAgent::GangAgent(const GangAgentContext &context, GangAgentOptions options)
    : context(context)
    , options(options)
{
}

GangReply GangAgent::prepare(const PrepareGang &prepare)
{
    const auto bytes = prepare.checkpoint.empty() ? Result<std::string>(std::string()) : this->fetchCheckpoint(prepare.checkpoint);
    if (!succeeded(bytes)) {
        return refused(prepare.job, prepare.attempt, errorOf(bytes));
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->parts.contains(prepare.attempt)) {
        return this->replyLocked(prepare.job, prepare.attempt);
    }
    auto error = this->refusalOf(prepare);
    if (error) {
        return refused(prepare.job, prepare.attempt, std::move(*error));
    }
    const auto now = this->context.clock.now();
    this->epochs[prepare.region] = prepare.epoch;
    Part part;
    part.order = prepare;
    part.leaseUntil = now + prepare.reserveFor;
    part.resumeBytes = valueOf(bytes);
    const auto own =
        std::find_if(prepare.members.begin(), prepare.members.end(), [this](const GangMember &member) { return member.node == this->context.self; });
    part.tasks = own->tasks;
    if (this->isCoordinator(prepare)) {
        this->coordinators.insert_or_assign(prepare.attempt, GangCoordinator(prepare, now));
    }
    this->parts.emplace(prepare.attempt, std::move(part));
    this->context.events.record(EventKind::Prepared, prepare.job.value, prepare.workspace.value, prepare.attempt.value);
    return this->replyLocked(prepare.job, prepare.attempt);
}

GangReply GangAgent::start(const StartGang &start)
{
    const std::lock_guard<std::mutex> ordered(this->workerCalls);
    TaskOrder order;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto now = this->context.clock.now();
        auto error = this->refusalOf(start, now);
        if (error) {
            return refused(start.job, start.attempt, std::move(*error));
        }
        auto &part = this->parts.at(start.attempt);
        if (part.state != GangState::Prepared) {
            return this->replyLocked(start.job, start.attempt);
        }
        part.state = GangState::Running;
        part.leaseUntil = now + part.order.taskLease - this->options.safety;
        part.wasStarted = true;
        part.renewedAt = now;
        if (this->isCoordinator(part.order)) {
            this->coordinators.insert_or_assign(start.attempt, GangCoordinator(part.order, now));
        }
        part.checkpointedAt = now - this->options.checkpointInterval;
        order = {start.attempt.value, part.order.kind, part.tasks, part.order.perTask, part.leaseUntil - now, std::move(part.resumeBytes), part.order.payload};
    }
    const auto started = this->context.worker.start(order);
    if (!succeeded(started)) {
        if (errorOf(started).kind != ErrorKind::Unreachable) {
            this->stopOnWorker(start.attempt, this->beginStop(start.attempt));
        }
        this->endPart(start.attempt, GangState::Failed);
        return refused(start.job, start.attempt, errorOf(started));
    }
    this->context.events.record(EventKind::GangStarted, start.job.value, {}, start.attempt.value);
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->replyLocked(start.job, start.attempt);
}

GangReply GangAgent::stop(const StopGang &stop)
{
    bool isRunning = false;
    bool wantsCheckpoint = false;
    bool wasNeverStarted = false;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->fenced.emplace(stop.attempt, this->context.clock.now());
        const auto found = this->parts.find(stop.attempt);
        if (found != this->parts.end()) {
            isRunning = found->second.state == GangState::Running;
            wasNeverStarted = !found->second.wasStarted;
            wantsCheckpoint = isRunning && stop.grace > Millis(0) && this->isCoordinator(found->second.order);
            if (found->second.state == GangState::Prepared) {
                found->second.state = GangState::Stopped;
                found->second.endedAt = this->context.clock.now();
                found->second.endIsAcknowledged = true;
            }
        }
    }
    if (wantsCheckpoint) {
        this->writeCheckpoint(stop.attempt);
    }
    if (isRunning) {
        this->stopTasks(stop.attempt, GangState::Stopped);
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->coordinators.erase(stop.attempt);
    auto reply = this->replyLocked(stop.job, stop.attempt);
    if (wasNeverStarted) {
        reply.state = GangState::Prepared;
    }
    if (stop.incarnation != this->context.incarnation) {
        return refused(stop.job, stop.attempt, makeError(ErrorKind::Stale, "the agent has restarted since the gang was placed"));
    }
    return reply;
}

GangReply GangAgent::renew(const RenewGang &renew)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    GangReply reply{renew.job, renew.attempt, GangState::None, true, {}, {}, false};
    const auto found = this->coordinators.find(renew.attempt);
    if (found != this->coordinators.end()) {
        reply.mustStop = !found->second.renew(renew.member, renew.state, this->context.clock.now());
        reply.state = GangState::Running;
    }
    return reply;
}

NodeReport GangAgent::report(const AskReport &ask)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto &epoch = this->epochs[ask.region];
    epoch = std::max(epoch, ask.epoch);
    NodeReport report{this->context.incarnation, {}};
    for (const auto &[attempt, part] : this->parts) {
        report.gangs.push_back({part.order.job, attempt, part.order.workspace, part.state, part.tasks, part.order.perTask});
    }
    return report;
}

void GangAgent::tick()
{
    for (const auto &attempt : this->attemptsToTick()) {
        this->tickPart(attempt);
    }
    this->recordResults();
    this->removeExpired();
}

void GangAgent::drain()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->isDraining = true;
}

std::size_t GangAgent::activeCount() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return static_cast<std::size_t>(std::count_if(this->parts.begin(), this->parts.end(), [](const auto &entry) { return isActive(entry.second.state); }));
}

bool GangAgent::isCoordinator(const PrepareGang &order) const
{
    return !order.members.empty() && order.members.front().node == this->context.self;
}

/** Returns why a reservation must be refused, if at all. Call with the mutex locked. */
std::optional<Error> GangAgent::refusalOf(const PrepareGang &prepare) const
{
    const auto isSelf = [this](const GangMember &member) { return member.node == this->context.self; };
    const auto own = std::find_if(prepare.members.begin(), prepare.members.end(), isSelf);
    if (own == prepare.members.end() || own->incarnation != this->context.incarnation) {
        return makeError(ErrorKind::Stale, "the gang was placed on another incarnation of this agent");
    }
    if (this->isDraining) {
        return makeError(ErrorKind::Draining, "the worker is draining");
    }
    if (this->fenced.contains(prepare.attempt)) {
        return makeError(ErrorKind::Stale, "the attempt was stopped before it was prepared");
    }
    const auto epoch = this->epochs.find(prepare.region);
    if (epoch != this->epochs.end() && prepare.epoch < epoch->second) {
        return makeError(ErrorKind::Stale, "a newer placer has taken over the region");
    }
    const ReadSection section;
    if (prepare.teamVersion < this->context.settings.read(section).teamVersion(prepare.team)) {
        return makeError(ErrorKind::Stale, "the placement was decided under older settings of team \"" + prepare.team.value + "\"");
    }
    const auto free = this->context.capacity - this->reservedLocked();
    if (!free.covers(prepare.perTask * own->tasks)) {
        return makeError(ErrorKind::NoCapacity, "the worker has only " + toString(free) + " free");
    }
    return std::nullopt;
}

std::optional<Error> GangAgent::refusalOf(const StartGang &start, Instant now) const
{
    if (this->fenced.contains(start.attempt)) {
        return makeError(ErrorKind::Stale, "the attempt was stopped before it started");
    }
    const auto found = this->parts.find(start.attempt);
    if (found == this->parts.end()) {
        return makeError(ErrorKind::NotFound, "the gang is not prepared here");
    }
    const auto &part = found->second;
    if (part.state == GangState::Prepared && now >= part.leaseUntil) {
        return makeError(ErrorKind::Stale, "the reservation has expired");
    }
    const auto epoch = this->epochs.find(part.order.region);
    if (epoch != this->epochs.end() && start.epoch < epoch->second) {
        return makeError(ErrorKind::Stale, "a newer placer has taken over the region");
    }
    return std::nullopt;
}

Resources GangAgent::reservedLocked() const
{
    Resources reserved;
    for (const auto &[attempt, part] : this->parts) {
        if (isActive(part.state)) {
            reserved += part.order.perTask * part.tasks;
        }
    }
    return reserved;
}

GangReply GangAgent::replyLocked(const JobId &job, const AttemptId &attempt) const
{
    GangReply reply{job, attempt, GangState::None, false, {}, {}, false};
    const auto found = this->parts.find(attempt);
    if (found != this->parts.end()) {
        reply.state = found->second.state;
        reply.checkpoint = found->second.checkpoint;
    }
    return reply;
}

Result<std::string> GangAgent::fetchCheckpoint(const std::string &key)
{
    const auto sealed = this->context.objects.fetch(key);
    if (succeeded(sealed)) {
        return decodeCheckpointFrame(valueOf(sealed));
    }
    return errorOf(sealed).kind == ErrorKind::NotFound ? makeError(ErrorKind::Damaged, "the checkpoint no longer exists in the object store") : errorOf(sealed);
}

void GangAgent::tickPart(const AttemptId &attempt)
{
    PrepareGang order;
    bool checkpointIsDue = false;
    bool hasEnded = false;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        auto &part = this->parts.at(attempt);
        const auto now = this->context.clock.now();
        hasEnded = !isActive(part.state);
        if (part.state == GangState::Prepared) {
            if (now >= part.leaseUntil) {
                part.state = GangState::Stopped;
                part.endedAt = now;
                part.endIsAcknowledged = true;
                this->fenced.emplace(attempt, now);
                this->coordinators.erase(attempt);
            }
            return;
        }
        if (!hasEnded && part.isStopping) {
            return;
        }
        order = part.order;
        checkpointIsDue = this->isCoordinator(order) && now - part.checkpointedAt >= this->options.checkpointInterval;
    }
    if (hasEnded) {
        this->reportEnd(attempt);
        return;
    }
    this->renewRunning(attempt, order);
    if (checkpointIsDue) {
        this->writeCheckpoint(attempt);
    }
}

/** Renews the lease with the coordinator after a third of it, then renews the tasks on the worker for the time that is left. */
void GangAgent::renewRunning(const AttemptId &attempt, const PrepareGang &order)
{
    if (!this->renewLease(attempt, order)) {
        this->stopAndReport(attempt, GangState::Stopped);
        return;
    }
    Millis left{0};
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        left = this->parts.at(attempt).leaseUntil - this->context.clock.now();
    }
    if (left <= Millis(0)) {
        this->stopAndReport(attempt, GangState::Stopped);
        return;
    }
    const auto usage = this->context.worker.renew(attempt.value, left);
    if (!succeeded(usage)) {
        return;
    }
    const auto state = stateOf(valueOf(usage).state);
    if (state != GangState::Running) {
        this->endPart(attempt, state);
        this->reportEnd(attempt);
    } else if (this->overruns(attempt, valueOf(usage))) {
        this->stopAndReport(attempt, GangState::Failed);
    }
}

/** Returns false when the coordinator orders the gang to stop. */
bool GangAgent::renewLease(const AttemptId &attempt, const PrepareGang &order)
{
    const auto sentAt = this->context.clock.now();
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (sentAt - this->parts.at(attempt).renewedAt < order.taskLease / 3) {
            return true;
        }
    }
    const auto granted = this->callCoordinator(order, GangState::Running);
    if (!succeeded(granted)) {
        return true;
    }
    if (valueOf(granted).mustStop) {
        return false;
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto &part = this->parts.at(attempt);
    part.renewedAt = sentAt;
    part.leaseUntil = std::max(part.leaseUntil, sentAt + order.taskLease - this->options.safety);
    return true;
}

/** Reports the end of this part to the coordinator; repeated at every tick until it is acknowledged. */
void GangAgent::reportEnd(const AttemptId &attempt)
{
    PrepareGang order;
    GangState state = GangState::None;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        order = this->parts.at(attempt).order;
        state = this->parts.at(attempt).state;
    }
    const auto heard = this->callCoordinator(order, state);
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->parts.at(attempt).endIsAcknowledged = succeeded(heard);
}

std::vector<AttemptId> GangAgent::attemptsToTick() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<AttemptId> attempts;
    for (const auto &[attempt, part] : this->parts) {
        const bool wasStarted = part.state == GangState::Finished || part.state == GangState::Failed || part.state == GangState::Stopped;
        if (isActive(part.state) || (wasStarted && !part.endIsAcknowledged)) {
            attempts.push_back(attempt);
        }
    }
    return attempts;
}

Result<GangReply> GangAgent::callCoordinator(const PrepareGang &order, GangState state)
{
    const RenewGang question{order.job, order.attempt, this->context.self, state};
    if (this->isCoordinator(order)) {
        return this->renew(question);
    }
    return expectReply<GangReply>(this->context.peers.call(order.members.front().address, question, CoordinatorTimeout));
}

/** Throttles tasks that use more than they declared; returns true when they still do after overrunTicks. */
bool GangAgent::overruns(const AttemptId &attempt, const TaskUsage &usage)
{
    bool mustThrottle = false;
    bool mustStop = false;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        auto &part = this->parts.at(attempt);
        if ((part.order.perTask * part.tasks).covers(usage.used)) {
            part.overrunTicks = 0;
            return false;
        }
        mustThrottle = !part.isThrottled;
        part.isThrottled = true;
        mustStop = ++part.overrunTicks > this->options.overrunTicks;
    }
    if (mustThrottle) {
        this->context.worker.throttle(attempt.value);
    }
    return mustStop;
}

void GangAgent::endPart(const AttemptId &attempt, GangState state)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto &part = this->parts.at(attempt);
    if (isActive(part.state)) {
        part.state = state;
        part.endedAt = this->context.clock.now();
    }
    const auto coordinator = this->coordinators.find(attempt);
    if (coordinator != this->coordinators.end()) {
        coordinator->second.renew(this->context.self, state, part.endedAt);
    }
}

/** Renews the worker's lease no more. Returns the time after which that lease has expired. */
Millis GangAgent::beginStop(const AttemptId &attempt)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto &part = this->parts.at(attempt);
    part.isStopping = true;
    return part.order.taskLease;
}

/** Stops the tasks; if the worker does not answer, waits until its lease on them has expired. Call with workerCalls locked. */
void GangAgent::stopOnWorker(const AttemptId &attempt, Millis taskLease)
{
    const auto stopped = this->context.worker.stop(attempt.value);
    if (!succeeded(stopped)) {
        this->context.clock.sleepFor(taskLease);
    }
}

void GangAgent::stopTasks(const AttemptId &attempt, GangState state)
{
    const auto taskLease = this->beginStop(attempt);
    const std::lock_guard<std::mutex> ordered(this->workerCalls);
    this->stopOnWorker(attempt, taskLease);
    this->endPart(attempt, state);
    this->context.events.record(EventKind::GangStopped, attempt.value);
}

void GangAgent::stopAndReport(const AttemptId &attempt, GangState state)
{
    this->stopTasks(attempt, state);
    this->reportEnd(attempt);
}

void GangAgent::writeCheckpoint(const AttemptId &attempt)
{
    const auto startedAt = this->context.clock.now();
    const auto bytes = this->context.worker.checkpoint(attempt.value);
    if (!succeeded(bytes)) {
        Logger(LogPart::Gangs)
            .warn("A checkpoint is not kept; the one before stays in use.", {{"attempt", attempt.value}, {"reason", toString(errorOf(bytes))}});
        return;
    }
    JobId job;
    std::string key;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        auto &part = this->parts.at(attempt);
        job = part.order.job;
        part.checkpointedAt = startedAt;
        key = "checkpoint/" + job.value + "/" + attempt.value + "/" + std::to_string(++part.checkpointsWritten);
    }
    if (!succeeded(this->context.objects.put(key, encodeCheckpointFrame(valueOf(bytes))))) {
        return;
    }
    this->context.recorder.recordCheckpoint(job, attempt, key);
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->parts.at(attempt).checkpoint = key;
}

/** Writes the results of gangs to the table; failed writes are retried at the next tick. */
void GangAgent::recordResults()
{
    std::vector<std::pair<PrepareGang, GangResult>> results;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto now = this->context.clock.now();
        for (auto &[attempt, coordinator] : this->coordinators) {
            const auto &part = this->parts.at(attempt);
            auto result = part.state == GangState::Prepared ? std::nullopt : coordinator.result(now);
            if (result) {
                results.emplace_back(part.order, std::move(*result));
            }
        }
    }
    for (const auto &[order, result] : results) {
        if (this->context.recorder.recordEnd(order.job, order.attempt, result)) {
            this->context.events.record(EventKind::JobEnded, order.job.value, order.workspace.value, std::string(nameOf(result.outcome)) + " " + result.reason);
            const std::lock_guard<std::mutex> guard(this->mutex);
            this->coordinators.erase(order.attempt);
        }
    }
}

void GangAgent::removeExpired()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto now = this->context.clock.now();
    const auto isOld = [this, now](Instant since) { return now - since >= this->options.attemptRetention; };
    std::erase_if(this->parts, [this, &isOld](const auto &entry) {
        return !isActive(entry.second.state) && isOld(entry.second.endedAt) && !this->coordinators.contains(entry.first);
    });
    std::erase_if(this->fenced, [&isOld](const auto &entry) { return isOld(entry.second); });
}

} // namespace waxwingloft
