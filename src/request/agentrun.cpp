#include "waxwingloft/request/agentrun.h"

namespace waxwingloft {

AgentRun::AgentRun(const Assignment &assignment, Instant now)
    : spec(assignment.spec)
    , checkpoint(assignment.checkpoint)
    , knownNeeds(assignment.needs)
    , dueAt(now)
{
}

bool AgentRun::isStartDue(Instant now) const
{
    return this->phase == RunPhase::Ordered && this->closedFrom == 0 && !this->stopWanted && !this->isInFlight && now >= this->dueAt;
}

bool AgentRun::isStopDue(Instant now) const
{
    return this->stopWanted && !this->stopWasAnswered && !this->isInFlight && now >= this->dueAt;
}

bool AgentRun::isStopWanted() const
{
    return this->stopWanted;
}

Instant AgentRun::dueSince() const
{
    return this->dueAt;
}

void AgentRun::setNeeds(const Capacity &needs)
{
    this->knownNeeds = needs;
}

const std::optional<Capacity> &AgentRun::needs() const
{
    return this->knownNeeds;
}

bool AgentRun::mayHaveStarted() const
{
    return this->openStart || this->closedFrom != 0 || this->isInFlight;
}

void AgentRun::stop(Instant now)
{
    this->stopWanted = true;
    this->dueAt = now;
}

void AgentRun::orderSent(bool isStop)
{
    this->isInFlight = true;
    this->phase = isStop ? RunPhase::Stopping : this->phase;
}

bool AgentRun::orderFailed(bool isStop, const Error &error, Instant dueAt)
{
    this->isInFlight = false;
    this->dueAt = dueAt;
    const bool opensStart = !isStop && !this->openStart && mayTakeEffect(error.kind);
    this->openStart = this->openStart || opensStart;
    return opensStart;
}

void AgentRun::startAccepted(std::uint64_t nextPoll)
{
    this->isInFlight = false;
    this->phase = this->stopWanted ? RunPhase::Stopping : RunPhase::Running;
    this->close(nextPoll);
}

void AgentRun::startWasTooLate(Instant dueAt)
{
    this->isInFlight = false;
    this->dueAt = dueAt;
}

bool AgentRun::startRefused(RefusalReason reason, std::uint64_t nextPoll, Instant now)
{
    this->isInFlight = false;
    // It was listed while this start was under way, so an earlier start of it was carried out and the lists tell its end.
    if (this->closedFrom != 0) {
        return false;
    }
    const bool isKnownToExecutor = reason == RefusalReason::OldRun;
    if (!this->openStart && !isKnownToExecutor) {
        return true;
    }
    if (isKnownToExecutor) {
        this->close(nextPoll);
    }
    this->refusal = reason;
    this->stop(now);
    return false;
}

bool AgentRun::withdrawStart(RefusalReason reason, Instant now)
{
    if (!this->openStart) {
        return true;
    }
    this->refusal = reason;
    this->stop(now);
    return false;
}

void AgentRun::stopAnswered(std::uint64_t nextPoll)
{
    this->isInFlight = false;
    this->stopWasAnswered = true;
    this->close(nextPoll);
}

void AgentRun::close(std::uint64_t nextPoll)
{
    this->openStart = false;
    this->closedFrom = nextPoll;
}

bool AgentRun::listed(const std::string &checkpoint, std::uint32_t percent, std::uint64_t serial)
{
    const bool hasStarted = this->phase == RunPhase::Ordered && !this->stopWanted;
    this->phase = this->stopWanted ? RunPhase::Stopping : RunPhase::Running;
    if (this->closedFrom == 0) {
        this->close(serial);
    }
    this->checkpoint = checkpoint.empty() ? this->checkpoint : checkpoint;
    this->percent = percent;
    return hasStarted;
}

bool AgentRun::seenAt(Millis executorClock, Millis startPeriod)
{
    if (executorClock.count() == 0 || this->hasOutlivedStart) {
        return false;
    }
    this->firstSeenAt = this->firstSeenAt.value_or(executorClock);
    this->hasOutlivedStart = executorClock - *this->firstSeenAt >= startPeriod;
    return this->hasOutlivedStart;
}

StartEffect AgentRun::startEffect() const
{
    if (this->hasOutlivedStart) {
        return StartEffect::Outlived;
    }
    if (this->closedFrom != 0) {
        return StartEffect::Unproven;
    }
    return this->mayHaveStarted() ? StartEffect::Unanswered : StartEffect::NotStarted;
}

bool AgentRun::isOverIfUnlisted(std::uint64_t serial) const
{
    return this->closedFrom != 0 && serial >= this->closedFrom && !this->isInFlight;
}

EndReport AgentRun::inferredEnd(const TaskRun &run, RunEnd end) const
{
    return {0, run, end, this->checkpoint, this->refusal};
}

EndReport AgentRun::unlistedEnd(const TaskRun &run) const
{
    return this->inferredEnd(run, this->refusal == RefusalReason::None ? RunEnd::Stopped : RunEnd::Refused);
}

RunReport AgentRun::report(const TaskRun &run) const
{
    return {run, this->phase, this->checkpoint, this->percent, this->startEffect()};
}

const std::string &AgentRun::startSpec() const
{
    return this->spec;
}

const std::string &AgentRun::latestCheckpoint() const
{
    return this->checkpoint;
}

} // namespace waxwingloft
