#include "waxwingloft/request/agentcalls.h"

namespace waxwingloft {

namespace {

constexpr auto MaxDispatchAge = Millis(300000); ///< below the retention of tombstones by more than the clock skew, so that a late dispatch meets its tombstone

/** Maps an error of the backend server to the outcome of the attempt. */
Outcome outcomeOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Unreachable:
        return Outcome::NotRun;
    case ErrorKind::Internal:
        return Outcome::Failed;
    default:
        return Outcome::Unknown;
    }
}

} // namespace

const std::array<AgentCalls::Check, 4> AgentCalls::checks = {
    &AgentCalls::checkIncarnation, &AgentCalls::checkVersion, &AgentCalls::checkAge, &AgentCalls::checkDrain};

AgentCalls::AgentCalls(const AgentCallsContext &context, AttemptLedgerOptions options)
    : context(context)
    , ledger(context.clock, options)
{
}

AttemptReply AgentCalls::dispatch(const Header &header, const Dispatch &dispatch)
{
    for (const auto check : checks) {
        auto error = (this->*check)(header, dispatch);
        if (error) {
            return this->refuse(dispatch.attempt, std::move(*error));
        }
    }
    switch (this->ledger.begin(dispatch.attempt)) {
    case AttemptAdmission::Tombstoned:
        return this->refuse(dispatch.attempt, makeError(ErrorKind::Stale, "the attempt was queried before it arrived, so it never starts"));
    case AttemptAdmission::Full:
        return this->refuse(dispatch.attempt, makeError(ErrorKind::NoCapacity, "the agent's ledger of attempts is full"));
    case AttemptAdmission::Duplicate:
        return this->ledger.query(dispatch.attempt, Millis(0), dispatch.timeLeft);
    case AttemptAdmission::Start:
        break;
    }
    auto reply = this->run(dispatch);
    reply.load = this->load();
    this->ledger.end(reply);
    return reply;
}

AttemptReply AgentCalls::query(const QueryAttempt &query)
{
    if (query.incarnation != this->context.incarnation) {
        return {query.attempt,
                AttemptState::Ended,
                Outcome::Unknown,
                makeError(ErrorKind::Ambiguous, "the agent has restarted since the attempt"),
                {},
                this->load()};
    }
    auto reply = this->ledger.query(query.attempt, query.age, query.wait);
    if (reply.state == AttemptState::Ended && reply.outcome == Outcome::NotRun) {
        this->context.events.record(EventKind::Tombstoned, query.attempt.value);
    }
    reply.load = this->load();
    return reply;
}

void AgentCalls::drain()
{
    this->draining.store(true, std::memory_order_release);
}

bool AgentCalls::isDraining() const
{
    return this->draining.load(std::memory_order_acquire);
}

bool AgentCalls::waitUntilIdle(Millis limit)
{
    return this->ledger.waitUntilIdle(limit);
}

Load AgentCalls::load() const
{
    return {this->inUse.load(std::memory_order_relaxed), this->context.slots};
}

std::optional<Error> AgentCalls::checkIncarnation(const Header & /*header*/, const Dispatch &dispatch) const
{
    if (dispatch.incarnation == this->context.incarnation) {
        return std::nullopt;
    }
    return makeError(ErrorKind::Stale, "the dispatch is for another incarnation of this agent");
}

std::optional<Error> AgentCalls::checkVersion(const Header & /*header*/, const Dispatch &dispatch) const
{
    const ReadSection section;
    if (dispatch.teamVersion >= this->context.settings.read(section).teamVersion(dispatch.team)) {
        return std::nullopt;
    }
    return makeError(ErrorKind::Stale, "the dispatch was decided under older settings of team \"" + dispatch.team.value + "\"");
}

std::optional<Error> AgentCalls::checkAge(const Header &header, const Dispatch & /*dispatch*/) const
{
    const auto age = this->context.clock.wallMillis() - header.time.millis;
    if (age < MaxDispatchAge.count()) {
        return std::nullopt;
    }
    return makeError(ErrorKind::Stale, "the dispatch was sent too long ago", "check that the clocks of the hosts agree, then retry");
}

std::optional<Error> AgentCalls::checkDrain(const Header & /*header*/, const Dispatch & /*dispatch*/) const
{
    if (!this->isDraining()) {
        return std::nullopt;
    }
    return makeError(ErrorKind::Draining, "the backend server is draining");
}

bool AgentCalls::tryTakeSlot()
{
    auto taken = this->inUse.load(std::memory_order_relaxed);
    while (taken < this->context.slots) {
        if (this->inUse.compare_exchange_weak(taken, taken + 1, std::memory_order_acq_rel)) {
            return true;
        }
    }
    return false;
}

AttemptReply AgentCalls::run(const Dispatch &dispatch)
{
    if (!this->tryTakeSlot()) {
        return this->refuse(dispatch.attempt, makeError(ErrorKind::NoCapacity, "every slot of the backend server is in use"));
    }
    this->context.events.record(EventKind::Admitted, dispatch.request.value, dispatch.workspace.value, dispatch.attempt.value);
    auto answer = this->context.backend.run({dispatch.attempt, dispatch.kind, dispatch.payload}, dispatch.timeLeft);
    this->inUse.fetch_sub(1, std::memory_order_acq_rel);

    AttemptReply reply{dispatch.attempt, AttemptState::Ended, Outcome::Done, {}, {}, {}};
    if (succeeded(answer)) {
        reply.payload = std::move(valueOf(answer));
    } else {
        reply.outcome = outcomeOf(errorOf(answer).kind);
        reply.error = errorOf(answer);
    }
    this->context.events.record(EventKind::Ran, dispatch.request.value, dispatch.workspace.value, std::string(nameOf(reply.outcome)));
    return reply;
}

AttemptReply AgentCalls::refuse(const AttemptId &attempt, Error error) const
{
    return {attempt, AttemptState::Ended, Outcome::NotRun, std::move(error), {}, this->load()};
}

} // namespace waxwingloft
