#include "waxwingloft/request/executorcontroller.h"

#include <algorithm>
#include <set>

namespace waxwingloft {

namespace {

/** Returns the log line for a start that is given up for @p reason. */
std::string describe(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoRoom:
        return "An executor has no room for a run any more.";
    case RefusalReason::ZoneClosed:
        return "A zone is closed before a run has started.";
    default:
        return "An executor drains before a run has started.";
    }
}

/** Returns @p checkpoint, or none if it is too long to be passed on, so that an earlier one stays in use. */
std::string keptCheckpoint(const std::string &checkpoint)
{
    return checkpoint.size() <= LongestCheckpointBytes ? checkpoint : std::string();
}

} // namespace

ExecutorController::ExecutorController(Clock &clock, Metrics &metrics, NodeId node, std::string address, ExecutorControllerOptions options)
    : clock(clock)
    , metrics(metrics)
    , endCounters(metrics, "waxwingloft_run_ends_total", "Ends of runs by what proves them", "proof")
    , node(std::move(node))
    , address(std::move(address))
    , options(options)
    , log(LogPart::Gangs)
    , leases(options, clock.now())
    , permission(options.needsStartPermission)
{
}

void ExecutorController::setGeneration(std::uint64_t generation, Epoch epoch)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->generation = generation;
        this->isFenceDue = false;
        if (epoch > this->highestEpoch) {
            this->highestEpoch = epoch;
            this->syncSequence = 0;
        }
    }
    this->wake();
}

void ExecutorController::setWakeUp(std::function<void()> wakeUp)
{
    this->wakeUp = std::move(wakeUp);
}

void ExecutorController::wake()
{
    if (this->wakeUp) {
        this->wakeUp();
    }
}

void ExecutorController::heartbeat(const ExecutorHeartbeat &heartbeat)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const bool isInUse = this->latest && this->latest->incarnation == heartbeat.incarnation;
        const bool isRelevant = isInUse ? this->refresh(heartbeat) : this->candidate.heartbeat(heartbeat);
        if (!isRelevant) {
            return;
        }
    }
    this->wake();
}

/** Takes a heartbeat of the incarnation in use. Returns whether it changes anything worth a report. */
bool ExecutorController::refresh(const ExecutorHeartbeat &heartbeat)
{
    if (heartbeat.sequence <= this->latest->sequence) {
        return false;
    }
    const bool drains = !this->latest->isDraining && heartbeat.isDraining;
    const bool isChange = this->latest->isDraining != heartbeat.isDraining || this->latest->capacity != heartbeat.capacity
        || this->latest->zone != heartbeat.zone || (this->latest->coldTimeLeft == Millis(0)) != (heartbeat.coldTimeLeft == Millis(0));
    this->take(heartbeat);
    // A deregister that does not say which incarnation it is from may be a late one of an earlier incarnation.
    this->hasLeft = this->hasLeft && heartbeat.isDraining;
    if (drains) {
        this->log.info("Executor " + heartbeat.incarnation.id + " drains; it gets no new work.");
    }
    this->changeCount += isChange ? 1 : 0;
    return isChange;
}

std::optional<ExecutorIncarnation> ExecutorController::incarnationInUse() const
{
    return this->latest ? std::optional(this->latest->incarnation) : std::nullopt;
}

/** Replaces the incarnation in use, which is over, by the one that sent @p heartbeat. */
void ExecutorController::beginIncarnation(const ExecutorHeartbeat &heartbeat)
{
    this->log.info("Executor " + heartbeat.incarnation.id + " started at " + std::to_string(heartbeat.incarnation.startedAt) + " with "
                   + toString(heartbeat.capacity)
                   + (this->runs.empty() ? "." : "; " + std::to_string(this->runs.size()) + " runs of its previous incarnation are over."));
    // Orders to the previous incarnation that are still in flight could reach the new one under the same id; a new generation fences them off.
    const bool isSameId = this->latest && this->latest->incarnation.id == heartbeat.incarnation.id;
    this->generation = isSameId ? 0 : this->generation;
    this->runs.clear();
    this->ends.clear();
    this->hasRunLists = false;
    this->hasLeft = false;
    this->unansweredPolls = 0;
    this->acknowledgedEnds = 0;
    this->firstListedEnd = 0;
    this->leases.beginIncarnation(this->clock.now());
    this->take(heartbeat);
    ++this->changeCount;
}

/** Takes over what the incarnation in use says of itself. */
void ExecutorController::take(const ExecutorHeartbeat &heartbeat)
{
    const auto now = this->clock.now();
    this->latest = heartbeat;
    this->leavesAt = heartbeat.drainTimeLeft ? std::optional(now + *heartbeat.drainTimeLeft) : std::nullopt;
    this->coldUntil = now + heartbeat.coldTimeLeft;
    this->permission.setZone(heartbeat.zone);
}

void ExecutorController::deregister(const ExecutorIncarnation &incarnation)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const bool isInUse = this->latest && this->latest->incarnation.id == incarnation.id
            && (incarnation.startedAt == 0 || this->latest->incarnation.startedAt == incarnation.startedAt);
        if (!isInUse) {
            return;
        }
        this->log.info("Executor " + incarnation.id + " leaves with " + std::to_string(this->runs.size()) + " runs.");
        this->hasLeft = true;
        ++this->changeCount;
    }
    this->wake();
}

void ExecutorController::apply(const AssignmentSync &sync)
{
    bool hasChanges = false;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        hasChanges = this->applyAssignments(sync);
    }
    if (hasChanges) {
        this->wake();
    }
}

void ExecutorController::applyAnswer(const AssignmentSync &sync, Instant sentAt)
{
    bool hasChanges = false;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const bool isNewTerm = sync.epoch > this->highestEpoch;
        if (sync.epoch >= this->highestEpoch) {
            // A placer that only announces its term has not applied the report.
            this->leases.prolongAgentLease(sentAt + sync.agentLease);
            this->answeredEnds = sync.incarnation.isKnown() ? this->reportedEnds : this->answeredEnds;
            hasChanges = this->permission.answered(sync, sentAt) && this->isWaitingForPermission;
        }
        // The new placer waits for a report that names its term.
        this->changeCount += isNewTerm ? 1 : 0;
        hasChanges = this->applyAssignments(sync) || isNewTerm || hasChanges;
    }
    if (hasChanges) {
        this->wake();
    }
}

/** Returns whether orders may have become due. */
bool ExecutorController::applyAssignments(const AssignmentSync &sync)
{
    if (sync.epoch < this->highestEpoch || (sync.epoch == this->highestEpoch && sync.sequence <= this->syncSequence)) {
        return false;
    }
    if (sync.epoch > this->highestEpoch) {
        this->log.info("The placer of epoch " + std::to_string(sync.epoch) + " is leader; the one of epoch " + std::to_string(this->highestEpoch)
                       + " is fenced off.");
    }
    this->syncSequence = sync.epoch > this->highestEpoch ? 0 : this->syncSequence;
    this->highestEpoch = sync.epoch;
    if (!this->latest || sync.incarnation != this->latest->incarnation || !this->hasRunLists) {
        return false;
    }
    this->syncSequence = sync.sequence;
    const bool hasZoneChanged = this->permission.applied(sync);
    if (hasZoneChanged) {
        this->log.info(this->permission.isZoneClosed() ? "The zone of the executor is closed; nothing starts." : "The zone of the executor is open again.",
                       {{"executor", this->latest->incarnation.id}, {"zone", this->latest->zone}, {"sequence", std::to_string(sync.sequence)}});
        // The next report brings a permission at once.
        ++this->changeCount;
    }
    this->acknowledgedEnds = std::max(this->acknowledgedEnds, sync.acknowledgedEnds);
    const auto runsBefore = this->runs.size();
    const auto endsBefore = this->ends.size();
    bool hasStops = false;
    std::set<TaskRun> wanted;
    for (const auto &assignment : sync.assignments) {
        wanted.insert(assignment.run);
        this->addAssignment(assignment);
    }
    const bool hasChanges = this->runs.size() != runsBefore || this->ends.size() != endsBefore;
    // The executor does not list an end without a number, so it is kept until the placer has answered a report with it.
    std::erase_if(this->ends, [this, &wanted](const EndReport &end) {
        return end.number > 0 ? end.number <= this->acknowledgedEnds : !wanted.contains(end.run) && this->answeredEnds.contains(end.run);
    });
    for (auto &[run, entry] : this->runs) {
        if (!wanted.contains(run) && !entry.isStopWanted()) {
            hasStops = true;
            entry.stop(this->clock.now());
            this->log.info("A run is to stop.",
                           {{"job", run.task.job.value},
                            {"task", toString(run.task)},
                            {"run", std::to_string(run.run)},
                            {"epoch", std::to_string(sync.epoch)},
                            {"sequence", std::to_string(sync.sequence)}});
        }
    }
    return hasChanges || hasStops || hasZoneChanged;
}

void ExecutorController::addAssignment(const Assignment &assignment)
{
    const auto known = this->runs.find(assignment.run);
    if (known != this->runs.end()) {
        known->second.setNeeds(assignment.needs);
        return;
    }
    if (this->hasEnded(assignment.run) || !assignment.hasOrder) {
        return;
    }
    if (this->latest->isDraining || this->hasLeft) {
        this->end({0, assignment.run, RunEnd::Refused, {}, RefusalReason::Unhealthy}, EndProof::NeverOrdered);
        return;
    }
    this->runs.emplace(assignment.run, AgentRun(assignment, this->clock.now()));
}

bool ExecutorController::hasEnded(const TaskRun &run) const
{
    return std::any_of(this->ends.begin(), this->ends.end(), [&run](const EndReport &end) { return end.run == run; });
}

std::vector<DueOrder> ExecutorController::takeDueOrders()
{
    std::vector<DueOrder> orders;
    bool hasChanges = false;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto before = this->changeCount;
        orders = this->collectDueOrders();
        hasChanges = this->changeCount != before;
    }
    if (hasChanges) {
        this->wake();
    }
    return orders;
}

std::vector<DueOrder> ExecutorController::collectDueOrders()
{
    std::vector<DueOrder> orders;
    const auto now = this->clock.now();
    if (!this->latest || this->generation == 0 || this->hasLeft) {
        return orders;
    }
    HeldCapacity held(this->runs);
    std::map<TaskRun, RefusalReason> returned;
    this->hasStartWithoutLease = false;
    for (auto &[run, entry] : this->runs) {
        const bool isStart = entry.isStartDue(now);
        const bool isStop = entry.isStopDue(now);
        if (!isStart && !isStop) {
            continue;
        }
        const auto obstacle = isStart ? this->obstacleTo(entry, held) : RefusalReason::None;
        if (obstacle != RefusalReason::None) {
            if (this->giveUpStart(run, entry, obstacle)) {
                returned[run] = obstacle;
            }
            continue;
        }
        if (isStart && (!this->isStartPermitted(now) || this->fitOf(entry, held) != StartFit::Fits)) {
            continue;
        }
        // Without a lease a run would have no bounded end, so a start waits for an agent lease and for a responsive executor.
        const auto lease = isStart && !this->isUnresponsive() ? this->leases.takeStartLease(now, !this->mayHaveOtherRuns(run)) : std::nullopt;
        if (isStart && !lease) {
            this->hasStartWithoutLease = true;
            continue;
        }
        if (isStart) {
            held.add(entry);
        }
        entry.orderSent(isStop);
        orders.push_back({isStop,
                          this->latest->incarnation,
                          {run, entry.startSpec(), entry.latestCheckpoint(), lease ? lease->end : Millis(0), this->fencingToken()},
                          lease ? lease->endsBy : now});
    }
    for (const auto &[run, reason] : returned) {
        const auto proof = reason == RefusalReason::NoRoom ? EndProof::NoRoom : EndProof::NeverOrdered;
        this->end({0, run, RunEnd::Refused, this->runs.at(run).latestCheckpoint(), reason}, proof);
    }
    return orders;
}

/** Whether a start that is due may be sent at @p now. Logs once when it has to wait for a permission. */
bool ExecutorController::isStartPermitted(Instant now)
{
    const bool isPermitted = this->permission.isValid(now);
    if (!isPermitted && !this->isWaitingForPermission) {
        this->log.warn("Starts wait, as the leading placer has given no valid permission to start in this zone.",
                       {{"executor", this->latest->incarnation.id}, {"zone", this->latest->zone}, {"epoch", std::to_string(this->highestEpoch)}});
    }
    this->isWaitingForPermission = !isPermitted;
    return isPermitted;
}

bool ExecutorController::maySendStarts() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->permission.isValid(this->clock.now());
}

/** Returns whether the start of @p entry that is due fits; needs that stay unknown count as too much. */
StartFit ExecutorController::fitOf(const AgentRun &entry, const HeldCapacity &held) const
{
    const auto fit = held.fitOf(entry, this->latest->capacity);
    const bool isOverdue = this->clock.now() - entry.dueSince() >= this->options.unknownNeedsWait;
    return fit == StartFit::Unknown && isOverdue ? StartFit::Exceeds : fit;
}

/** Returns why the executor must not get the start of @p entry any more; None when nothing is against it. */
RefusalReason ExecutorController::obstacleTo(const AgentRun &entry, const HeldCapacity &held) const
{
    if (this->permission.isZoneClosed()) {
        return RefusalReason::ZoneClosed;
    }
    if (this->latest->isDraining) {
        return RefusalReason::Unhealthy;
    }
    return this->fitOf(entry, held) == StartFit::Exceeds ? RefusalReason::NoRoom : RefusalReason::None;
}

/** Gives up a start that is due. Returns whether its run is over. */
bool ExecutorController::giveUpStart(const TaskRun &run, AgentRun &entry, RefusalReason reason)
{
    const bool isOver = entry.withdrawStart(reason, this->clock.now());
    ++this->changeCount;
    this->log.warn(describe(reason),
                   {{"job", run.task.job.value},
                    {"task", toString(run.task)},
                    {"run", std::to_string(run.run)},
                    {"executor", this->latest->incarnation.id},
                    {"capacity", toString(this->latest->capacity)},
                    {"over", isOver ? "yes" : "no"}});
    return isOver;
}

/** Whether another run than @p run may have begun on the executor. */
bool ExecutorController::mayHaveOtherRuns(const TaskRun &run) const
{
    return std::any_of(
        this->runs.begin(), this->runs.end(), [&run](const auto &item) { return item.first != run && item.second.startEffect() != StartEffect::NotStarted; });
}

void ExecutorController::startAnswered(const DueOrder &order, const Result<StartAnswer> &answer)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (!this->latest || this->latest->incarnation != order.incarnation) {
            return;
        }
        this->leases.callEnded(order.leaseEndsBy, answer);
        const auto found = this->runs.find(order.start.run);
        if (found == this->runs.end()) {
            return;
        }
        const auto &run = order.start.run;
        const auto retryAt = this->clock.now() + this->options.resendAfter;
        if (!succeeded(answer)) {
            if (found->second.orderFailed(false, errorOf(answer), retryAt)) {
                this->metrics.add(Count::StartsUnanswered);
                this->log.warn(
                    "A start was not answered; it is repeated until an answer arrives.",
                    {{"job", run.task.job.value}, {"task", toString(run.task)}, {"run", std::to_string(run.run)}, {"reason", errorOf(answer).message}});
            }
            return;
        }
        this->leases.readClock(valueOf(answer).stamp, this->clock.now());
        const auto refusal = valueOf(answer).refusal;
        if (refusal == RefusalReason::TooLate) {
            found->second.startWasTooLate(retryAt);
            return;
        }
        if (refusal != RefusalReason::None) {
            this->applyRefusal(found->second, order, refusal);
        } else {
            found->second.startAccepted(this->pollSerial + 1);
            found->second.seenAt(valueOf(answer).stamp.clock, this->options.startPeriod);
            this->log.info("A run started.",
                           {{"job", run.task.job.value},
                            {"task", toString(run.task)},
                            {"run", std::to_string(run.run)},
                            {"executor", order.incarnation.id},
                            {"checkpoint", order.start.checkpoint}});
        }
        ++this->changeCount;
    }
    this->wake();
}

void ExecutorController::applyRefusal(AgentRun &entry, const DueOrder &order, RefusalReason refusal)
{
    const auto &run = order.start.run;
    const bool isOver = entry.startRefused(refusal, this->pollSerial + 1, this->clock.now());
    this->log.warn("An executor refused a run.",
                   {{"job", run.task.job.value},
                    {"task", toString(run.task)},
                    {"run", std::to_string(run.run)},
                    {"reason", std::string(nameOf(refusal))},
                    {"over", isOver ? "yes" : "no"}});
    if (isOver) {
        this->end({0, run, RunEnd::Refused, order.start.checkpoint, refusal}, EndProof::Refused);
    }
}

void ExecutorController::stopAnswered(const DueOrder &order, const Result<ExecutorStamp> &answer)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto found = this->runs.find(order.start.run);
        if (found == this->runs.end() || !this->latest || this->latest->incarnation != order.incarnation) {
            return;
        }
        if (succeeded(answer)) {
            this->leases.readClock(valueOf(answer), this->clock.now());
            found->second.stopAnswered(this->pollSerial + 1);
        } else {
            found->second.orderFailed(true, errorOf(answer), this->clock.now() + this->options.resendAfter);
        }
    }
    this->wake();
}

std::optional<DueRunListQuery> ExecutorController::nextRunListQuery()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->generation == 0) {
        return std::nullopt;
    }
    DueRunListQuery poll;
    poll.question.fencingToken = this->fencingToken();
    const auto inUse = this->incarnationInUse();
    const bool isInUsePolled = inUse && !(this->hasLeft && this->runs.empty());
    const auto candidate = this->candidate.poll(isInUsePolled ? inUse : std::nullopt, this->pollSerial + 1);
    if (candidate) {
        // It is only asked whether it is live: a late heartbeat may have named it, and its numbers of ends and its clock are its own.
        poll.incarnation = *candidate;
        poll.serial = ++this->pollSerial;
        poll.isOfCandidate = true;
        return poll;
    }
    if (!isInUsePolled) {
        return std::nullopt;
    }
    poll.incarnation = *inUse;
    poll.isOfLeaver = this->hasLeft;
    poll.serial = ++this->pollSerial;
    // Another incarnation under the same id may answer, whose ends have numbers of their own, so only ends that were just listed are acknowledged.
    poll.question.acknowledgedEnds = this->firstListedEnd != 0 && this->firstListedEnd <= this->acknowledgedEnds ? this->acknowledgedEnds : 0;
    if (const auto renewal = this->takeRenewal()) {
        poll.question.leaseEnd = renewal->end;
        poll.leaseEndsBy = renewal->endsBy;
    }
    const bool isStopOpen = std::any_of(this->runs.begin(), this->runs.end(), [](const auto &item) { return item.second.isStopWanted(); });
    // A renewal that is held back goes out with the first poll after the placer has answered.
    const bool isRenewalHeldBack = !poll.question.leaseEnd && !this->runs.empty() && this->leases.isRenewalDue(this->clock.now());
    const auto longestWait = isStopOpen || this->hasLeft || isRenewalHeldBack ? this->options.stopWait : this->options.pollWait;
    // A renewal is answered at once, so that one is rarely open when its executor fails; after an unanswered poll renewals wait for an answer.
    const bool isUrgent = !this->hasRunLists || poll.question.leaseEnd || this->unansweredPolls > 0;
    poll.question.wait = isUrgent ? Millis(0) : longestWait;
    return poll;
}

/**
 * Returns the lease to request with the next poll; none for an executor that leaves.
 *
 * None follows an unanswered poll either, so that the lease of an executor that may have crashed runs out.
 */
std::optional<DueLease> ExecutorController::takeRenewal()
{
    return this->hasLeft || this->unansweredPolls > 0 ? std::nullopt : this->leases.takeRenewal(this->clock.now());
}

bool ExecutorController::runListAnswered(const DueRunListQuery &poll, const Result<RunListAnswer> &answer)
{
    bool hasChanges = false;
    bool isApplied = false;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto before = this->changeCount;
        if (poll.isOfCandidate) {
            isApplied = this->candidateAnswered(poll, answer);
        } else if (this->latest && this->latest->incarnation == poll.incarnation) {
            if (poll.question.leaseEnd) {
                this->leases.callEnded(poll.leaseEndsBy, answer);
            }
            const auto startedAt = succeeded(answer) ? valueOf(answer).stamp.startedAt : std::nullopt;
            const bool isOfAnother = startedAt && *startedAt != poll.incarnation.startedAt;
            if (isOfAnother) {
                this->log.warn("Another incarnation of the executor answered; waiting for its heartbeat.", {{"executor", poll.incarnation.id}});
                // Until it knows a higher token it carries out late orders to the previous incarnation, and its heartbeat may be long in coming.
                const bool isNew = this->unknownStart != startedAt;
                this->unknownStart = startedAt;
                this->isFenceDue = this->isFenceDue || isNew;
                this->changeCount += isNew ? 1 : 0;
            }
            isApplied = succeeded(answer) && !isOfAnother;
            if (isApplied) {
                this->applyRunLists(poll, valueOf(answer));
            } else {
                this->recordUnansweredPoll();
            }
        }
        // Without an answer the executor may have started again since its lists were read.
        this->firstListedEnd = isApplied ? this->firstListedEnd : 0;
        hasChanges = this->changeCount != before || (poll.question.leaseEnd && this->hasStartWithoutLease);
    }
    if (hasChanges) {
        this->wake();
    }
    return isApplied;
}

void ExecutorController::leaverIsAbsent(const DueRunListQuery &poll)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (!this->latest || this->latest->incarnation != poll.incarnation || !this->hasLeft) {
            return;
        }
        this->endAll(EndProof::ExecutorLeft);
        ++this->changeCount;
    }
    this->wake();
}

/** Returns whether the candidate is in use now. */
bool ExecutorController::candidateAnswered(const DueRunListQuery &poll, const Result<RunListAnswer> &answer)
{
    // An answer that a later poll has overtaken says nothing on which incarnation is live now.
    if (poll.serial != this->pollSerial || !this->candidate.isPoll(poll.serial)) {
        return false;
    }
    const auto heartbeat = this->candidate.latestHeartbeat();
    const auto verdict = this->candidate.judge(this->incarnationInUse(), answer);
    switch (verdict) {
    case IncarnationVerdict::Live:
        this->beginIncarnation(heartbeat);
        if (this->generation != 0) {
            this->applyRunLists(poll, valueOf(answer));
        }
        break;
    case IncarnationVerdict::Unknown:
        break;
    case IncarnationVerdict::Another:
        this->log.warn("A heartbeat of executor " + heartbeat.incarnation.id + " is ignored: another incarnation answered.",
                       {{"started_at", std::to_string(heartbeat.incarnation.startedAt)}});
        break;
    }
    return verdict == IncarnationVerdict::Live;
}

bool ExecutorController::isUnresponsive() const
{
    return this->unansweredPolls >= this->options.unansweredPollsToUnreachable;
}

void ExecutorController::recordUnansweredPoll()
{
    ++this->unansweredPolls;
    if (this->unansweredPolls == this->options.unansweredPollsToUnreachable) {
        this->log.warn("Executor " + this->latest->incarnation.id + " does not answer; it gets no new work.");
        ++this->changeCount;
    }
    this->endLapsedRuns();
}

/** Ends the runs that are known to have lapsed, as the executor does not answer. */
void ExecutorController::endLapsedRuns()
{
    if (this->runs.empty() || !this->leases.expiry().hasExpired(this->clock.now())) {
        return;
    }
    this->log.warn("The lease of executor " + this->latest->incarnation.id + " has expired; " + std::to_string(this->runs.size()) + " runs count as ended.");
    this->endAll(EndProof::LeaseExpired);
    ++this->changeCount;
}

void ExecutorController::applyRunLists(const DueRunListQuery &poll, const RunListAnswer &answer)
{
    this->leases.readClock(answer.stamp, this->clock.now());
    if (this->isUnresponsive() || !this->hasRunLists) {
        ++this->changeCount;
    }
    this->unansweredPolls = 0;
    this->firstListedEnd = answer.ended.empty() ? 0 : answer.ended.front().number;
    const bool isFirstRead = !this->hasRunLists;
    this->hasRunLists = true;
    if (isFirstRead) {
        this->leases.assumeLongestLease(this->clock.now());
    }
    if (poll.question.leaseEnd) {
        this->leases.renewed(this->clock.now());
    }
    for (const auto &listed : answer.running) {
        const auto [found, isNew] = this->runs.try_emplace(listed.run);
        if (isNew && !isFirstRead) {
            this->metrics.add(Count::RunsListedUnexpectedly);
            this->log.warn("An executor lists a run that was not ordered or that counted as over.",
                           {{"job", listed.run.task.job.value},
                            {"task", toString(listed.run.task)},
                            {"run", std::to_string(listed.run.run)},
                            {"executor", poll.incarnation.id},
                            {"counted_as_over", this->hasEnded(listed.run) ? "yes" : "no"}});
        }
        const bool hasStarted = found->second.listed(keptCheckpoint(listed.checkpoint), listed.percent, poll.serial);
        const bool hasOutlivedStart = found->second.seenAt(answer.stamp.clock, this->options.startPeriod);
        this->changeCount += hasStarted || hasOutlivedStart ? 1 : 0;
    }
    for (const auto &ended : answer.ended) {
        if (ended.number <= this->acknowledgedEnds || this->hasEnded(ended.run)) {
            continue;
        }
        auto kept = ended;
        kept.checkpoint = keptCheckpoint(ended.checkpoint);
        this->end(kept, EndProof::Listed);
        ++this->changeCount;
    }
    // The end of a run that is not listed may be among those that did not fit; they follow once the listed ones are acknowledged.
    if (!answer.hasMoreEnds) {
        this->endUnlistedRuns(poll, answer);
    }
}

/** Ends the runs whose absence from the lists proves that they are over. */
void ExecutorController::endUnlistedRuns(const DueRunListQuery &poll, const RunListAnswer &answer)
{
    std::set<TaskRun> listed;
    for (const auto &run : answer.running) {
        listed.insert(run.run);
    }
    std::vector<TaskRun> unlisted;
    for (const auto &[run, entry] : this->runs) {
        if (!listed.contains(run) && entry.isOverIfUnlisted(poll.serial)) {
            unlisted.push_back(run);
        }
    }
    for (const auto &run : unlisted) {
        this->end(this->runs.at(run).unlistedEnd(run), EndProof::Unlisted);
        ++this->changeCount;
    }
}

void ExecutorController::endAll(EndProof proof)
{
    while (!this->runs.empty()) {
        const auto &[run, entry] = *this->runs.begin();
        this->end(entry.inferredEnd(run, RunEnd::Lapsed), proof);
    }
}

void ExecutorController::end(const EndReport &end, EndProof proof)
{
    this->endCounters.add(proof);
    this->ends.push_back(end);
    this->runs.erase(this->ends.back().run);
    this->log.info("A run is over.",
                   {{"job", end.run.task.job.value},
                    {"task", toString(end.run.task)},
                    {"run", std::to_string(end.run.run)},
                    {"end", std::string(nameOf(end.end))},
                    {"proof", std::string(nameOf(proof))},
                    {"executor", this->latest->incarnation.id}});
}

std::optional<AgentReport> ExecutorController::report()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    // A late order may have started runs in this incarnation, which only its lists show.
    if (!this->latest || this->generation == 0 || !this->hasRunLists) {
        return std::nullopt;
    }
    AgentReport report;
    report.node = this->node;
    report.address = this->address;
    report.generation = this->generation;
    report.sequence = ++this->reportSequence;
    report.epoch = this->highestEpoch;
    report.incarnation = this->latest->incarnation;
    report.service = this->latest->service;
    report.zone = this->latest->zone;
    report.isDraining = this->latest->isDraining || this->hasLeft;
    if (report.isDraining && this->leavesAt) {
        report.drainTimeLeft = std::max(Millis(0), *this->leavesAt - this->clock.now());
    }
    report.coldTimeLeft = std::max(Millis(0), this->coldUntil - this->clock.now());
    report.isReachable = !this->isUnresponsive();
    report.capacity = this->latest->capacity;
    report.labels = this->latest->labels;
    report.syncSequence = this->syncSequence;
    for (const auto &[run, entry] : this->runs) {
        report.runs.push_back(entry.report(run));
    }
    report.ends = this->ends;
    report.longestLeaseLeft = this->leases.longestLeft(this->clock.now());
    this->permission.reported();
    this->reportedEnds.clear();
    for (const auto &end : this->ends) {
        this->reportedEnds.insert(end.run);
    }
    return report;
}

bool ExecutorController::hasUnconfirmedEnds() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const bool isGone = this->hasLeft || this->isUnresponsive();
    return this->latest && isGone && !(this->runs.empty() && this->ends.empty());
}

bool ExecutorController::needsGeneration() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->generation == 0 || this->isFenceDue;
}

std::uint64_t ExecutorController::changes() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->changeCount;
}

/** Increases with every new leader and every new generation, because both come from the one revision counter of the table store. */
std::uint64_t ExecutorController::fencingToken() const
{
    return std::max(this->highestEpoch, this->generation);
}

} // namespace waxwingloft
