#ifndef WAXWINGLOFT_PROCESS_MEMBERDIRECTORY_H
#define WAXWINGLOFT_PROCESS_MEMBERDIRECTORY_H

#include "waxwingloft/process/member.h"
#include "waxwingloft/process/shardbook.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

/** What a reader knows of a shard's book. */
struct BookPosition {
    Incarnation book = 0;
    std::uint64_t revision = 0;
};

/** The members of all shards as an entry knows them, kept up to date by deltas. Thread safe. */
class MemberDirectory
{
public:
    using Listener = std::function<void(const Member &)>;

    /** Calls @p listener for every change of a member, under the directory's lock. */
    void setListener(Listener listener);

    /** Takes a delta in. Returns what is known of the shard afterwards; a gap leaves it as it was. */
    BookPosition apply(const MembersDelta &delta);

    /** Notes a change seen directly, such as a refusal of a leaving agent. */
    void note(const Member &member);

    std::optional<Member> find(const NodeId &node) const;
    std::vector<Member> all() const;

    /** Returns a number that grows with every change. */
    std::uint64_t generation() const;

private:
    void noteLocked(const Member &member);

    mutable std::mutex mutex;
    Listener listener;
    std::map<std::string, BookPosition> shards;
    std::map<NodeId, Member> members;
    std::uint64_t changes = 0;
};

} // namespace waxwingloft

#endif
