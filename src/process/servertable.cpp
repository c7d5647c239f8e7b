#include "waxwingloft/process/servertable.h"

#include <algorithm>

namespace waxwingloft {

namespace {

constexpr auto ReportLife = Millis(50); ///< time for which a reported load counts

std::int64_t millisOf(Instant instant)
{
    return instant.time_since_epoch().count();
}

} // namespace

Server::Server(Member member)
    : member(std::move(member))
{
}

bool Server::tryTakeSlot(Instant now)
{
    if (millisOf(now) < this->ejectedUntil.load(std::memory_order_relaxed)) {
        return false;
    }
    auto own = this->ownInFlight.load(std::memory_order_relaxed);
    while (true) {
        const bool isFresh = millisOf(now) - this->reportedAt.load(std::memory_order_relaxed) < ReportLife.count();
        const auto others = isFresh ? this->reportedByOthers.load(std::memory_order_relaxed) : 0;
        if (own + others >= this->member.slots) {
            return false;
        }
        if (this->ownInFlight.compare_exchange_weak(own, own + 1, std::memory_order_acq_rel)) {
            return true;
        }
    }
}

void Server::giveSlotBack()
{
    this->ownInFlight.fetch_sub(1, std::memory_order_acq_rel);
}

void Server::updateLoad(std::uint32_t inUse, Instant now)
{
    const auto own = this->ownInFlight.load(std::memory_order_relaxed);
    this->reportedByOthers.store(inUse > own ? inUse - own : 0, std::memory_order_relaxed);
    this->reportedAt.store(millisOf(now), std::memory_order_relaxed);
}

void Server::eject(Instant until)
{
    this->ejectedUntil.store(millisOf(until), std::memory_order_relaxed);
}

std::uint32_t Server::knownInUse(Instant now) const
{
    const bool isFresh = millisOf(now) - this->reportedAt.load(std::memory_order_relaxed) < ReportLife.count();
    return this->ownInFlight.load(std::memory_order_relaxed) + (isFresh ? this->reportedByOthers.load(std::memory_order_relaxed) : 0);
}

ServerTable::ServerTable(Location own)
    : own(std::move(own))
    , index(ServerIndex{})
{
}

void ServerTable::update(const Member &member)
{
    if (member.role != MemberRole::BackendServer) {
        return;
    }
    this->index.update([this, &member](ServerIndex &next) {
        const auto known = next.byNode.find(member.node);
        ServerPointer server;
        if (known != next.byNode.end()) {
            server = known->second->member == member ? known->second : nullptr;
            for (auto &[kind, group] : next.byKind) {
                std::erase(group.sameDataCentre, known->second);
                std::erase(group.sameRegion, known->second);
                std::erase(group.elsewhere, known->second);
            }
            next.byNode.erase(known);
        }
        if (member.state != MemberState::Up) {
            return;
        }
        server = server == nullptr ? std::make_shared<Server>(member) : server;
        next.byNode.emplace(member.node, server);
        for (const auto &kind : member.kinds) {
            this->groupFor(next, kind, member.location).push_back(server);
        }
    });
}

ServerPointer ServerTable::tryTake(const KindId &kind, Instant now, std::uint64_t random) const
{
    const ReadSection section;
    const auto &groups = this->index.read(section).byKind;
    const auto found = groups.find(kind);
    if (found == groups.end()) {
        return nullptr;
    }
    for (const auto *servers : {&found->second.sameDataCentre, &found->second.sameRegion, &found->second.elsewhere}) {
        auto server = tryTakeFrom(*servers, now, random);
        if (server != nullptr) {
            return server;
        }
    }
    return nullptr;
}

bool ServerTable::serves(const KindId &kind) const
{
    const ReadSection section;
    const auto &groups = this->index.read(section).byKind;
    const auto found = groups.find(kind);
    return found != groups.end() && !(found->second.sameDataCentre.empty() && found->second.sameRegion.empty() && found->second.elsewhere.empty());
}

std::vector<ServerPointer> ServerTable::all() const
{
    const ReadSection section;
    std::vector<ServerPointer> servers;
    for (const auto &[node, server] : this->index.read(section).byNode) {
        servers.push_back(server);
    }
    return servers;
}

/** Tries the less loaded of two random servers first, then every server in turn. */
ServerPointer ServerTable::tryTakeFrom(const std::vector<ServerPointer> &servers, Instant now, std::uint64_t random)
{
    if (servers.empty()) {
        return nullptr;
    }
    const auto count = servers.size();
    const auto first = static_cast<std::size_t>(random % count);
    const auto second = static_cast<std::size_t>((random >> 32U) % count);
    const auto better = servers[second]->knownInUse(now) < servers[first]->knownInUse(now) ? second : first;
    for (std::size_t offset = 0; offset < count; ++offset) {
        const auto &server = servers[(better + offset) % count];
        if (server->tryTakeSlot(now)) {
            return server;
        }
    }
    return nullptr;
}

std::vector<ServerPointer> &ServerTable::groupFor(ServerIndex &index, const KindId &kind, const Location &location) const
{
    auto &group = index.byKind[kind];
    if (location.region != this->own.region) {
        return group.elsewhere;
    }
    return location.dataCentre == this->own.dataCentre ? group.sameDataCentre : group.sameRegion;
}

} // namespace waxwingloft
