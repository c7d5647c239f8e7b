#include "waxwingloft/request/ganglauncher.h"

#include <algorithm>

namespace waxwingloft {

namespace {

/** Returns the first of @p errors, prefixed with the name of its member. */
std::optional<Error> firstError(const std::vector<GangMember> &members, const std::vector<std::optional<Error>> &errors)
{
    for (std::size_t index = 0; index < errors.size(); ++index) {
        if (errors[index]) {
            auto error = *errors[index];
            error.message = members[index].node.value + ": " + error.message;
            return error;
        }
    }
    return std::nullopt;
}

bool neverStarted(GangState state)
{
    return state == GangState::None || state == GangState::Prepared;
}

} // namespace

GangLauncher::GangLauncher(NodePort &peers, FanOut &fanOut, Clock &clock, GangLauncherOptions options)
    : peers(peers)
    , fanOut(fanOut)
    , clock(clock)
    , options(options)
{
}

std::optional<GangResult> GangLauncher::launch(const JobRecord &job, SettingsVersion teamVersion)
{
    auto error = this->prepareAll(job, teamVersion);
    const bool wasPrepared = !error;
    if (wasPrepared) {
        error = this->startAll(job);
    }
    if (!error) {
        return std::nullopt;
    }
    auto result = this->stop(job, job.epoch, Millis(0), error->message);
    if (!wasPrepared) {
        result.outcome = Outcome::NotRun;
        result.checkpointIsDamaged = error->kind == ErrorKind::Damaged;
    }
    return result;
}

GangResult GangLauncher::stop(const JobRecord &job, Epoch epoch, Millis grace, const std::string &reason)
{
    GangResult result{Outcome::NotRun, reason, {}, {}, false};
    std::vector<Result<GangReply>> replies(job.members.size(), makeError(ErrorKind::Unreachable, "no request was sent"));
    const auto stopMember = [&](std::size_t index) {
        const auto memberGrace = index == 0 ? grace : Millis(0);
        replies[index] = this->ask(
            job.members[index], StopGang{job.id, job.attempt, epoch, job.members[index].incarnation, memberGrace}, memberGrace + this->options.taskLease);
    };
    if (!job.members.empty()) {
        stopMember(0);
    }
    this->fanOut.forEach(job.members.empty() ? 0 : job.members.size() - 1, [&stopMember](std::size_t index) { stopMember(index + 1); });

    const bool allAnswered = std::all_of(replies.begin(), replies.end(), [](const auto &reply) { return succeeded(reply) && !valueOf(reply).refused; });
    if (!allAnswered) {
        this->clock.sleepFor(std::max(this->options.taskLease, this->options.reserveFor) + this->options.driftMargin);
    }
    for (const auto &reply : replies) {
        if (!succeeded(reply) || valueOf(reply).refused || !neverStarted(valueOf(reply).state)) {
            result.outcome = Outcome::Unknown;
        }
    }
    if (!replies.empty() && succeeded(replies.front())) {
        result.checkpoint = valueOf(replies.front()).checkpoint;
    }
    result.provenEndedAt = this->clock.now();
    return result;
}

std::vector<std::optional<NodeReport>> GangLauncher::askReports(const std::vector<Member> &members, const std::string &region, Epoch epoch)
{
    std::vector<std::optional<NodeReport>> reports(members.size());
    this->fanOut.forEach(members.size(), [&](std::size_t index) {
        auto reply = expectReply<NodeReport>(this->peers.call(members[index].rpcAddress, AskReport{region, epoch}, this->options.callTimeout));
        if (succeeded(reply)) {
            reports[index] = std::move(valueOf(reply));
        }
    });
    return reports;
}

std::optional<Error> GangLauncher::prepareAll(const JobRecord &job, SettingsVersion teamVersion)
{
    const PrepareGang order{job.id,
                            job.attempt,
                            job.region,
                            job.epoch,
                            job.workspace,
                            job.team,
                            teamVersion,
                            job.kind.id,
                            job.shape.perTask,
                            job.members,
                            this->options.reserveFor,
                            this->options.taskLease,
                            job.checkpoint,
                            job.payload};
    std::vector<std::optional<Error>> errors(job.members.size());
    this->fanOut.forEach(job.members.size(), [&](std::size_t index) {
        const auto reply = this->ask(job.members[index], order, Millis(0));
        if (!succeeded(reply)) {
            errors[index] = errorOf(reply);
        } else if (valueOf(reply).refused) {
            errors[index] = valueOf(reply).error;
        } else if (valueOf(reply).state != GangState::Prepared) {
            errors[index] = makeError(ErrorKind::Stale, "the attempt is already " + std::string(nameOf(valueOf(reply).state)));
        }
    });
    return firstError(job.members, errors);
}

std::optional<Error> GangLauncher::startAll(const JobRecord &job)
{
    std::vector<std::optional<Error>> errors(job.members.size());
    const auto startMember = [&](std::size_t index) {
        const auto reply = this->ask(job.members[index], StartGang{job.id, job.attempt, job.epoch}, Millis(0));
        if (!succeeded(reply)) {
            errors[index] = errorOf(reply);
        } else if (valueOf(reply).refused) {
            errors[index] = valueOf(reply).error;
        }
    };
    startMember(0);
    if (!errors.front()) {
        this->fanOut.forEach(job.members.size() - 1, [&startMember](std::size_t index) { startMember(index + 1); });
    }
    return firstError(job.members, errors);
}

Result<GangReply> GangLauncher::ask(const GangMember &member, const Message &message, Millis extraTime)
{
    return expectReply<GangReply>(this->peers.call(member.address, message, this->options.callTimeout + extraTime));
}

} // namespace waxwingloft
