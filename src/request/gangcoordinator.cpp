#include "waxwingloft/request/gangcoordinator.h"

#include <algorithm>

namespace waxwingloft {

namespace {

// Three quarters of a lease, about two missed renewals: the others learn of the abort within about one lease.
constexpr int UnresponsiveNumerator = 3;
constexpr int UnresponsiveDenominator = 4;

} // namespace

GangCoordinator::GangCoordinator(const PrepareGang &order, Instant now)
    : taskLease(order.taskLease)
{
    for (const auto &member : order.members) {
        this->members.emplace(member.node, MemberView{GangState::Running, now});
    }
}

bool GangCoordinator::renew(const NodeId &member, GangState state, Instant now)
{
    const auto found = this->members.find(member);
    if (found == this->members.end()) {
        return false;
    }
    found->second.state = state;
    if (state == GangState::Failed) {
        this->hasFailure = true;
        this->abort("tasks failed on " + member.value, now);
    }
    if (state == GangState::Stopped) {
        this->abort("tasks were stopped on " + member.value, now);
    }
    if (this->isAborted()) {
        return false;
    }
    found->second.renewedAt = now;
    return true;
}

void GangCoordinator::abort(std::string reason, Instant now)
{
    if (!this->abortedAt) {
        this->abortedAt = now;
        this->reason = std::move(reason);
    }
}

std::optional<GangResult> GangCoordinator::result(Instant now)
{
    if (!this->abortedAt && this->allHave(GangState::Finished)) {
        return GangResult{Outcome::Done, {}, now, {}, false};
    }
    for (const auto &[node, member] : this->members) {
        if (member.state == GangState::Running && now - member.renewedAt >= this->taskLease * UnresponsiveNumerator / UnresponsiveDenominator) {
            this->abort("no lease renewal from " + node.value, now);
        }
    }
    if (!this->abortedAt) {
        return std::nullopt;
    }
    const auto isOver = [this, now](const auto &entry) {
        const auto &member = entry.second;
        return member.state != GangState::Running || now - member.renewedAt >= this->taskLease;
    };
    if (!std::all_of(this->members.begin(), this->members.end(), isOver)) {
        return std::nullopt;
    }
    return GangResult{this->hasFailure ? Outcome::Failed : Outcome::Unknown, this->reason, now, {}, false};
}

bool GangCoordinator::isAborted() const
{
    return this->abortedAt.has_value();
}

bool GangCoordinator::allHave(GangState state) const
{
    return std::all_of(this->members.begin(), this->members.end(), [state](const auto &entry) { return entry.second.state == state; });
}

} // namespace waxwingloft
