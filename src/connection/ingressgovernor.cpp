#include "waxwingloft/connection/ingressgovernor.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace waxwingloft {

namespace {

/** How a refusal is told. */
struct RefusalTerms {
    int status;
    bool isWorthRetrying;
};

constexpr int NoAnswer = 0;

/** By refusal, in order of declaration. */
constexpr std::array<RefusalTerms, NameTable<IngressRefusal>::names.size()> Terms = {
    {{431, false}, {413, false}, {408, true}, {408, true}, {NoAnswer, false}, {503, true}, {503, true}, {503, true}, {400, false}}};

bool isUnfinished(IngressPhase phase)
{
    return phase == IngressPhase::Headers || phase == IngressPhase::Body;
}

/** Why a connection is closed that has been in @p phase for too long; nothing where no request of it is affected. */
std::optional<IngressRefusal> reasonOfExpiry(IngressPhase phase)
{
    switch (phase) {
    case IngressPhase::Headers:
        return IngressRefusal::HeadersTooSlow;
    case IngressPhase::Body:
        return IngressRefusal::BodyTooSlow;
    case IngressPhase::Answering:
        return IngressRefusal::AnswerNotRead;
    default:
        return std::nullopt;
    }
}

} // namespace

int statusOf(IngressRefusal refusal)
{
    return Terms.at(static_cast<std::size_t>(refusal)).status;
}

bool isWorthRetrying(IngressRefusal refusal)
{
    return Terms.at(static_cast<std::size_t>(refusal)).isWorthRetrying;
}

IngressGovernor::IngressGovernor(IngressLimits limits)
    : limits(limits)
{
}

std::optional<IngressDrop> IngressGovernor::open(ConnectionKey connection, const IngressListener &listener, Instant now)
{
    this->states[connection] = {listener.key, listener.isReserved, false, IngressPhase::Idle, now, now, now, 0};
    if (++this->openByListener[listener.key] <= listener.connections) {
        return std::nullopt;
    }
    return IngressDrop{this->stalest(listener.key, connection).value_or(connection), IngressRefusal::NoConnections};
}

void IngressGovernor::close(ConnectionKey connection)
{
    const auto found = this->states.find(connection);
    if (found == this->states.end()) {
        return;
    }
    this->setBytes(found->second, 0);
    --this->openByListener[found->second.listener];
    this->states.erase(found);
}

void IngressGovernor::enter(ConnectionKey connection, IngressPhase phase, Instant now)
{
    const auto found = this->states.find(connection);
    if (found == this->states.end()) {
        return;
    }
    auto &state = found->second;
    if (phase == IngressPhase::Headers) {
        state.requestBegan = now;
    }
    if (phase == IngressPhase::Idle || phase == IngressPhase::Answering || phase == IngressPhase::Closing) {
        this->setBytes(state, 0);
    }
    state.wasAnswered = state.wasAnswered || phase == IngressPhase::Answering;
    state.phase = phase;
    state.enteredAt = now;
    state.lastProgress = now;
}

std::vector<IngressDrop> IngressGovernor::hold(ConnectionKey connection, std::size_t bytes, Instant now)
{
    const auto found = this->states.find(connection);
    if (found == this->states.end()) {
        return {};
    }
    found->second.lastProgress = now;
    if (found->second.isReserved) {
        return {};
    }
    this->setBytes(found->second, bytes);
    std::vector<IngressDrop> drops;
    while (this->held > this->limits.memoryBytes) {
        const auto heaviest = this->heaviestUnfinished(now);
        if (!heaviest) {
            break;
        }
        drops.push_back({*heaviest, IngressRefusal::NoMemory});
        this->enter(*heaviest, IngressPhase::Closing, now);
    }
    return drops;
}

std::vector<IngressDrop> IngressGovernor::collectExpired(Instant now) const
{
    std::vector<IngressDrop> drops;
    for (const auto &[connection, state] : this->states) {
        if (this->hasExpired(state, now)) {
            drops.push_back({connection, reasonOfExpiry(state.phase)});
        }
    }
    return drops;
}

std::size_t IngressGovernor::heldBytes() const
{
    return this->held;
}

std::size_t IngressGovernor::openConnections() const
{
    return this->states.size();
}

void IngressGovernor::setBytes(State &state, std::size_t bytes)
{
    this->held += bytes;
    this->held -= state.bytes;
    state.bytes = bytes;
}

std::optional<ConnectionKey> IngressGovernor::heaviestUnfinished(Instant now) const
{
    std::optional<ConnectionKey> heaviest;
    std::pair<double, ConnectionKey> most;
    for (const auto &[connection, state] : this->states) {
        if (!isUnfinished(state.phase) || state.bytes == 0) {
            continue;
        }
        // One is added, so that size decides among requests of the same moment.
        const auto age = static_cast<double>((now - state.requestBegan).count() + 1);
        const auto weight = std::pair(age * static_cast<double>(state.bytes), connection);
        if (!heaviest || weight > most) {
            heaviest = connection;
            most = weight;
        }
    }
    return heaviest;
}

std::optional<ConnectionKey> IngressGovernor::stalest(std::size_t listener, ConnectionKey except) const
{
    std::optional<ConnectionKey> stalest;
    std::tuple<bool, Instant, ConnectionKey> oldest;
    for (const auto &[connection, state] : this->states) {
        // A closed connection is to mean that its request was not run.
        const bool wasRun = state.phase == IngressPhase::Running || state.phase == IngressPhase::Answering;
        if (connection == except || state.listener != listener || wasRun) {
            continue;
        }
        // Bytes that trickle in are no reason to keep a connection, so the begin of its request counts.
        const auto since = isUnfinished(state.phase) ? state.requestBegan : state.lastProgress;
        const auto rank = std::tuple(state.wasAnswered, since, connection);
        if (!stalest || rank < oldest) {
            stalest = connection;
            oldest = rank;
        }
    }
    return stalest;
}

bool IngressGovernor::hasExpired(const State &state, Instant now) const
{
    const auto time = now - state.enteredAt;
    switch (state.phase) {
    case IngressPhase::Idle:
        return time > this->limits.idleTime;
    case IngressPhase::Headers:
        return time > this->limits.headerTime;
    case IngressPhase::Body: {
        const auto earned = Millis(static_cast<std::int64_t>(state.bytes * 1000 / std::max<std::size_t>(1, this->limits.bodyBytesPerSecond)));
        return now - state.lastProgress > this->limits.bodyTime || time > this->limits.bodyTime + earned;
    }
    case IngressPhase::Answering:
        return time > this->limits.answerTime;
    case IngressPhase::Closing:
        return time > this->limits.closeTime;
    case IngressPhase::Running:
        break;
    }
    return false;
}

} // namespace waxwingloft
