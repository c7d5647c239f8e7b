#ifndef WAXWINGLOFT_PROCESS_SERVERTABLE_H
#define WAXWINGLOFT_PROCESS_SERVERTABLE_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/member.h"
#include "waxwingloft/process/published.h"

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwingloft {

/** A backend server as the routing of one entry sees it. Its counters are shared by all threads. */
struct Server {
    explicit Server(Member member);

    /** Takes one of the slots that this entry believes free; returns whether it did. */
    bool tryTakeSlot(Instant now);

    void giveSlotBack();

    /** Notes the load that the agent reported; it counts for a short while. */
    void updateLoad(std::uint32_t inUse, Instant now);

    /** Keeps new requests away until @p until. */
    void eject(Instant until);

    /** Returns used slots as far as known, own and reported. */
    std::uint32_t knownInUse(Instant now) const;

    const Member member;
    std::atomic<std::uint32_t> ownInFlight = 0;
    std::atomic<std::uint32_t> reportedByOthers = 0;
    std::atomic<std::int64_t> reportedAt = 0; ///< milliseconds of the Instant
    std::atomic<bool> hasFailures = false; ///< whether its health is in doubt
    std::atomic<std::int64_t> ejectedUntil = 0; ///< milliseconds of the Instant
};

using ServerPointer = std::shared_ptr<Server>;

/** The servers of one kind, nearest first. */
struct ServerGroup {
    std::vector<ServerPointer> sameDataCentre;
    std::vector<ServerPointer> sameRegion;
    std::vector<ServerPointer> elsewhere;
};

/** The servers of every kind; immutable, replaced when members change. */
struct ServerIndex {
    std::unordered_map<KindId, ServerGroup> byKind;
    std::unordered_map<NodeId, ServerPointer> byNode;
};

/**
 * Where requests can be sent. Readers use read-copy-update; a server's counters live on across
 * versions as long as its incarnation stays.
 */
class ServerTable
{
public:
    explicit ServerTable(Location own);

    /** Takes over a change of a member. Leaving and lost servers get no new requests. */
    void update(const Member &member);

    /** Takes a slot on a server of @p kind, by two random choices, nearest first; null when all seem busy. */
    ServerPointer tryTake(const KindId &kind, Instant now, std::uint64_t random) const;

    /** Whether any server of @p kind is up. */
    bool serves(const KindId &kind) const;

    std::vector<ServerPointer> all() const;

private:
    static ServerPointer tryTakeFrom(const std::vector<ServerPointer> &servers, Instant now, std::uint64_t random);
    std::vector<ServerPointer> &groupFor(ServerIndex &index, const KindId &kind, const Location &location) const;

    const Location own;
    Published<ServerIndex> index;
};

} // namespace waxwingloft

#endif
