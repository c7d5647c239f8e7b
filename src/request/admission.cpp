#include "waxwingloft/request/admission.h"

#include "waxwingloft/version/fieldreader.h"

#include <algorithm>
#include <xxhash.h>

namespace waxwingloft {

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr std::int64_t MicrosPerMilli = 1000;
constexpr std::int64_t BurstMicros = 1'000'000;

std::string kindRemedy(const Team &team, const KindId &kind)
{
    std::vector<std::string> names;
    for (const auto &[id, known] : team.kinds) {
        names.push_back(id.value);
    }
    const auto nearest = nearestName(kind.value, names);
    return nearest.empty() ? "ask the owner of team \"" + team.id.value + "\" which kinds exist" : "did you mean \"" + nearest + "\"?";
}

} // namespace

Millis CallerRates::take(const WorkspaceId &workspace, const CallerId &caller, double perSecond, Instant now)
{
    const auto hash = XXH3_64bits_withSeed(caller.value.data(), caller.value.size(), std::hash<WorkspaceId>()(workspace));
    auto &cell = this->nextArrival[hash % CellCount];
    const auto interval = static_cast<std::int64_t>(MicrosPerSecond / perSecond);
    const auto nowMicros = now.time_since_epoch().count() * MicrosPerMilli;
    auto expected = cell.load(std::memory_order_relaxed);
    while (true) {
        const auto next = std::max(expected, nowMicros) + interval;
        const auto excess = next - nowMicros - std::max(BurstMicros, interval);
        if (excess > 0) {
            return Millis(excess / MicrosPerMilli + 1);
        }
        if (cell.compare_exchange_weak(expected, next, std::memory_order_relaxed)) {
            return Millis(0);
        }
    }
}

Admission::Admission(CallerRates &rates)
    : rates(rates)
{
}

Result<AdmittedCall> Admission::admit(const Settings &settings, CallRequest question, Instant now)
{
    const auto found = authenticate(settings, question.token);
    if (!succeeded(found)) {
        return errorOf(found);
    }
    const auto &workspace = *valueOf(found);
    const auto *const kind = settings.findKind(workspace.team, question.kind);
    if (kind == nullptr) {
        return makeError(ErrorKind::NotFound,
                         "kind of work \"" + question.kind.value + "\" does not exist in team \"" + workspace.team.value + "\"",
                         kindRemedy(*settings.findTeam(workspace.team), question.kind));
    }
    if (kind->form != WorkForm::Call) {
        return makeError(ErrorKind::InvalidInput, "kind of work \"" + kind->id.value + "\" runs as a gang", "submit it as a job to /v1/jobs");
    }
    if (question.payload.size() > kind->maxBodyBytes) {
        return makeError(ErrorKind::TooLarge,
                         "the body has " + std::to_string(question.payload.size()) + " bytes; kind \"" + kind->id.value + "\" takes "
                             + std::to_string(kind->maxBodyBytes));
    }
    const auto wait = this->rates.take(workspace.id, question.caller, workspace.limits.requestsPerSecondPerCaller, now);
    if (wait > Millis(0)) {
        return makeError(ErrorKind::LimitExceeded,
                         "this caller sends more than " + std::to_string(workspace.limits.requestsPerSecondPerCaller) + " requests a second",
                         "retry after " + std::to_string(wait.count()) + " ms");
    }
    const auto allowed = question.deadline > Millis(0) ? std::min(question.deadline, kind->deadline) : kind->deadline;
    return AdmittedCall{workspace.id,
                        workspace.team,
                        settings.teamVersion(workspace.team),
                        workspace.weight,
                        workspace.limits,
                        *kind,
                        std::move(question.caller),
                        std::move(question.request),
                        true,
                        now + allowed,
                        std::move(question.payload)};
}

Result<const Workspace *> Admission::authenticate(const Settings &settings, const std::string &token)
{
    const auto *const workspace = token.empty() ? nullptr : settings.findByToken(token);
    if (workspace == nullptr) {
        return makeError(ErrorKind::Unauthenticated, token.empty() ? "the request has no bearer token" : "the bearer token is not known");
    }
    return workspace;
}

} // namespace waxwingloft
