#include "waxwingloft/request/calldispatcher.h"

#include <algorithm>

namespace waxwingloft {

namespace {

constexpr auto RefusalPause = Millis(5); ///< after a refusal, so that a full fleet is not polled in a busy loop

CallAnswer notRun(Error error)
{
    return {Outcome::NotRun, std::move(error), {}};
}

} // namespace

CallDispatcher::CallDispatcher(const DispatcherContext &context, CallDispatcherOptions options)
    : context(context)
    , options(options)
    , retries(0.0, options.retryBurst, context.clock.now())
    , health(context.clock, options.health)
{
}

CallAnswer CallDispatcher::run(const AdmittedCall &call)
{
    auto answer = call.kind.idempotent ? this->runIdempotent(call) : this->runAtMostOnce(call);
    this->context.metrics.addOutcome(answer.outcome);
    this->context.events.record(
        EventKind::Answered, call.request.value, call.workspace.value, std::string(nameOf(answer.outcome)) + " " + answer.error.message);
    return answer;
}

CallAnswer CallDispatcher::runIdempotent(const AdmittedCall &call)
{
    CallAnswer last = notRun(makeError(ErrorKind::NoCapacity, "no backend server took the request"));
    bool mayHaveRun = false;
    for (int tried = 0; tried < this->options.maxAttempts; ++tried) {
        const auto grant = this->context.callScheduler.acquire(call);
        if (!succeeded(grant)) {
            return mayHaveRun ? last : notRun(errorOf(grant));
        }
        const auto result = this->attempt(call, valueOf(grant), AttemptId{this->context.ids.next()});
        this->updateServer(call, valueOf(grant), result);
        this->context.callScheduler.release(valueOf(grant));
        const auto &reply = result.reply;
        if (reply.outcome == Outcome::Done) {
            this->earnRetry();
            return answerOf(reply);
        }
        mayHaveRun = mayHaveRun || reply.outcome != Outcome::NotRun;
        if (!mayHaveRun || reply.outcome != Outcome::NotRun) {
            last = answerOf(reply);
        }
        const bool isRefusal = reply.outcome == Outcome::NotRun;
        if (this->timeLeft(call) <= Millis(0) || (!isRefusal && !this->takeRetry())) {
            return last;
        }
        this->context.metrics.add(Count::Retries);
        this->context.clock.sleepFor(isRefusal ? RefusalPause : Millis(0));
    }
    return last;
}

CallAnswer CallDispatcher::runAtMostOnce(const AdmittedCall &call)
{
    const auto existing = this->context.claims.find(call.workspace, call.request);
    if (!succeeded(existing)) {
        return this->confirmNotRun(call, AttemptId{}, notRun(errorOf(existing)));
    }
    std::uint64_t revision = 0;
    if (valueOf(existing)) {
        auto joined = this->awaitClaimedAttempt(call, *valueOf(existing));
        if (joined.outcome != Outcome::NotRun) {
            return joined;
        }
        revision = valueOf(existing)->revision;
    }
    auto claimed = valueOf(existing) ? valueOf(existing)->attempt : AttemptId{};
    auto answer = this->runClaimed(call, revision, claimed);
    return answer.outcome == Outcome::NotRun ? this->confirmNotRun(call, claimed, std::move(answer)) : answer;
}

/** Claims and sends the call until an attempt runs. Sets @p claimed to the last claimed attempt. */
CallAnswer CallDispatcher::runClaimed(const AdmittedCall &call, std::uint64_t revision, AttemptId &claimed)
{
    auto last = notRun(makeError(ErrorKind::NoCapacity, "no backend server took the request"));
    for (int tried = 0; tried < this->options.maxAttempts; ++tried) {
        const auto grant = this->context.callScheduler.acquire(call);
        if (!succeeded(grant)) {
            return notRun(errorOf(grant));
        }
        const auto &member = valueOf(grant).server->member;
        const Claim claim{member.node, member.rpcAddress, member.incarnation, AttemptId{this->context.ids.next()}, this->context.clock.wallMillis(), revision};
        const auto put = this->context.claims.put(call.workspace, call.request, claim);
        if (!succeeded(put)) {
            this->context.callScheduler.release(valueOf(grant));
            if (errorOf(put).kind != ErrorKind::Conflict) {
                return notRun(errorOf(put));
            }
            const auto winner = this->context.claims.find(call.workspace, call.request);
            if (!succeeded(winner) || !valueOf(winner)) {
                return notRun(errorOf(put));
            }
            auto joined = this->awaitClaimedAttempt(call, *valueOf(winner));
            if (joined.outcome != Outcome::NotRun) {
                return joined;
            }
            revision = valueOf(winner)->revision;
            claimed = valueOf(winner)->attempt;
            continue;
        }
        revision = valueOf(put);
        claimed = claim.attempt;
        this->context.events.record(EventKind::Claimed, call.request.value, call.workspace.value, claim.attempt.value);
        const auto sentAt = this->context.clock.now();
        auto result = this->attempt(call, valueOf(grant), claim.attempt);
        this->updateServer(call, valueOf(grant), result);
        this->context.callScheduler.release(valueOf(grant));
        if (result.wasLost) {
            result.reply = this->queryUntilEnded(call, claim, this->context.clock.now() - sentAt);
        }
        last = answerOf(std::move(result.reply));
        if (last.outcome != Outcome::NotRun || this->timeLeft(call) <= Millis(0)) {
            return last;
        }
        this->context.clock.sleepFor(RefusalPause);
    }
    return last;
}

/**
 * Checks that no other copy of the request has run or may still run under its own claim, in which
 * case NotRun would be wrong. @p claimed is the attempt already proven not to run.
 */
CallAnswer CallDispatcher::confirmNotRun(const AdmittedCall &call, const AttemptId &claimed, CallAnswer answer)
{
    if (!call.mayHaveCopies) {
        return answer;
    }
    const auto current = this->context.claims.find(call.workspace, call.request);
    if (!succeeded(current)) {
        return {Outcome::Unknown,
                makeError(ErrorKind::PlatformDown,
                          "this copy did not run; whether an earlier copy did cannot be read while the table service is down",
                          "retry with the same request id when the table service answers again"),
                {}};
    }
    if (!valueOf(current) || valueOf(current)->attempt == claimed) {
        return answer;
    }
    return this->awaitClaimedAttempt(call, *valueOf(current));
}

/** Waits for the attempt that an earlier copy of the request claimed and returns its answer. */
CallAnswer CallDispatcher::awaitClaimedAttempt(const AdmittedCall &call, const Claim &claim)
{
    const auto age = Millis(std::max<std::int64_t>(0, this->context.clock.wallMillis() - claim.claimedAtWallMillis));
    return answerOf(this->queryUntilEnded(call, claim, age));
}

CallDispatcher::AttemptResult CallDispatcher::attempt(const AdmittedCall &call, const SlotGrant &grant, const AttemptId &attempt)
{
    const auto &member = grant.server->member;
    const auto left = this->timeLeft(call);
    const Dispatch dispatch{
        attempt, call.workspace, call.request, call.kind.id, call.team, call.teamVersion, member.incarnation, call.kind.idempotent, left, call.payload};
    this->context.events.record(EventKind::Dispatched, call.request.value, call.workspace.value, member.node.value + " " + attempt.value);
    auto reply = expectReply<AttemptReply>(this->context.peers.call(member.rpcAddress, dispatch, left + this->options.answerSlack));
    if (succeeded(reply) && valueOf(reply).attempt == attempt && valueOf(reply).state == AttemptState::Ended) {
        return {std::move(valueOf(reply)), false};
    }
    AttemptResult result;
    result.reply.attempt = attempt;
    if (succeeded(reply)) {
        this->context.metrics.add(Count::LateAnswers);
        this->context.events.record(EventKind::LateAnswer, call.request.value, call.workspace.value, valueOf(reply).attempt.value);
        result.wasLost = true;
        result.reply.error = makeError(ErrorKind::Ambiguous, "the agent sent the answer of another attempt");
        return result;
    }
    const auto kind = errorOf(reply).kind;
    const bool isKnownNotRun = kind == ErrorKind::Unreachable || kind == ErrorKind::Draining || kind == ErrorKind::LimitExceeded;
    result.wasLost = !isKnownNotRun;
    result.reply.outcome = isKnownNotRun ? Outcome::NotRun : Outcome::Unknown;
    result.reply.error = errorOf(reply);
    return result;
}

/** Queries the agent until the attempt has ended or the deadline has passed. An agent that restarted since answers Unknown. */
AttemptReply CallDispatcher::queryUntilEnded(const AdmittedCall &call, const Claim &claim, Millis age)
{
    AttemptReply unknown;
    unknown.attempt = claim.attempt;
    unknown.error = makeError(ErrorKind::Ambiguous, "the request may have run on " + claim.node.value);
    const auto startedAt = this->context.clock.now();
    while (true) {
        const auto now = this->context.clock.now();
        const QueryAttempt query{
            claim.attempt, claim.incarnation, age + (now - startedAt), std::clamp(this->timeLeft(call), Millis(0), this->options.queryTimeout)};
        auto reply = expectReply<AttemptReply>(this->context.peers.call(claim.address, query, query.wait + this->options.queryTimeout));
        if (succeeded(reply) && valueOf(reply).attempt == claim.attempt && valueOf(reply).state == AttemptState::Ended) {
            return std::move(valueOf(reply));
        }
        if (this->timeLeft(call) <= Millis(0)) {
            return unknown;
        }
        this->context.clock.sleepFor(this->options.queryInterval);
    }
}

void CallDispatcher::updateServer(const AdmittedCall &call, const SlotGrant &grant, const AttemptResult &result)
{
    const auto now = this->context.clock.now();
    if (result.reply.load.slots > 0) {
        grant.server->updateLoad(result.reply.load.inUse, now);
    }
    const auto kind = result.reply.error.kind;
    const bool isGone = result.wasLost || (result.reply.outcome == Outcome::NotRun && (kind == ErrorKind::Unreachable || kind == ErrorKind::Draining));
    if (isGone) {
        grant.server->eject(now + this->options.ejection);
    }
    this->updateHealth(call, *grant.server, result.reply.outcome);
}

/** Ejects servers that fail requests which succeed elsewhere. Takes the lock only after a failure, so that the usual path stays lock free. */
void CallDispatcher::updateHealth(const AdmittedCall &call, Server &server, Outcome outcome)
{
    const bool isDoubtful = server.hasFailures.load(std::memory_order_relaxed);
    if (outcome != Outcome::Failed && !(outcome == Outcome::Done && isDoubtful)) {
        return;
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (outcome == Outcome::Done) {
        server.hasFailures.store(false, std::memory_order_relaxed);
        this->health.recordSuccess(server.member.node, call.request.value);
        return;
    }
    server.hasFailures.store(true, std::memory_order_relaxed);
    if (this->health.recordFailure(server.member.node, call.request.value) == HealthVerdict::QuarantineWorker) {
        server.eject(this->health.quarantinedUntil(server.member.node));
    }
}

bool CallDispatcher::takeRetry()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->retries.tryTake(1.0, this->context.clock.now());
}

void CallDispatcher::earnRetry()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->retries.add(this->options.retriesPerSuccess, this->context.clock.now());
}

Millis CallDispatcher::timeLeft(const AdmittedCall &call) const
{
    return call.deadline - this->context.clock.now();
}

CallAnswer CallDispatcher::answerOf(AttemptReply reply)
{
    return {reply.outcome, std::move(reply.error), std::move(reply.payload)};
}

} // namespace waxwingloft
