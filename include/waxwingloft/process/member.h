#ifndef WAXWINGLOFT_PROCESS_MEMBER_H
#define WAXWINGLOFT_PROCESS_MEMBER_H

#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/resources.h"

#include <vector>

namespace waxwingloft {

/** What stands behind an agent. */
enum class MemberRole {
    BackendServer,
    Worker,
};

template<>
struct NameTable<MemberRole> {
    static constexpr std::array<std::string_view, 2> names = {"backend-server", "worker"};
};

/** Whether a member may get new work. */
enum class MemberState {
    Up,
    Leaving,
    Lost,
};

template<>
struct NameTable<MemberState> {
    static constexpr std::array<std::string_view, 3> names = {"up", "leaving", "lost"};
};

/** An agent as the rest of the system knows it. */
struct Member {
    NodeId node;
    Incarnation incarnation = 0;
    MemberRole role = MemberRole::BackendServer;
    MemberState state = MemberState::Up;
    Location location;
    std::string rpcAddress; ///< IP address and port of its agent
    std::vector<KindId> kinds; ///< kinds of work a backend server serves
    std::uint32_t slots = 0; ///< requests a backend server runs at once
    Resources resources; ///< capacity of a worker

    bool operator==(const Member &) const = default;
};

} // namespace waxwingloft

#endif
