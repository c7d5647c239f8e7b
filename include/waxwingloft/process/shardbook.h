#ifndef WAXWINGLOFT_PROCESS_SHARDBOOK_H
#define WAXWINGLOFT_PROCESS_SHARDBOOK_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/member.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace waxwingloft {

/** Times of the detection of lost members. */
struct FailureDetectionOptions {
    Millis heartbeat = Millis(1000); ///< time between two heartbeats of a member
    Millis silence = Millis(3000); ///< silence after which a member counts as lost
    Millis forget = Millis(60000); ///< time after which a lost member is dropped from the book
};

/** What changed in a book after a revision. */
struct MembersDelta {
    std::string shard;
    Incarnation book = 0; ///< a receiver that knows another incarnation starts over from revision zero
    std::uint64_t since = 0;
    std::uint64_t revision = 0;
    std::vector<Member> changed;
    std::uint32_t total = 0; ///< members in the book, lost ones included
};

/**
 * The members of one shard as its leader sees them, with a revision for every change.
 *
 * A rack all of whose members fall silent within one sweep is reported as one event. Thread safe.
 */
class ShardBook
{
public:
    ShardBook(Clock &clock, EventLog &events, std::string shard, Incarnation incarnation, FailureDetectionOptions options);

    /** Takes a heartbeat. An older incarnation of a known node is ignored. */
    void heartbeat(const Member &member);

    /** Marks silent members as lost and forgets old ones. Returns the number newly lost. */
    std::size_t sweep();

    /** Returns what changed after @p since; everything when the reader knows another @p book. */
    MembersDelta changesSince(Incarnation book, std::uint64_t since) const;

private:
    struct Entry {
        Member member;
        Instant heardAt;
        std::uint64_t revision = 0;
    };

    void reportLost(const std::vector<const Entry *> &lost);

    Clock &clock;
    EventLog &events;
    const std::string shard;
    const Incarnation incarnation;
    const FailureDetectionOptions options;
    mutable std::mutex mutex;
    std::uint64_t revision = 0;
    std::map<NodeId, Entry> entries;
};

} // namespace waxwingloft

#endif
