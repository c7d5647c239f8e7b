#ifndef WAXWINGLOFT_CONNECTION_MESSAGES_H
#define WAXWINGLOFT_CONNECTION_MESSAGES_H

#include "waxwingloft/connection/tablemessages.h"
#include "waxwingloft/connection/taskmessages.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/member.h"
#include "waxwingloft/process/outcome.h"
#include "waxwingloft/process/shardbook.h"
#include "waxwingloft/version/settingstree.h"

#include <string>
#include <variant>
#include <vector>

namespace waxwingloft {

/** What rides on every message between processes of the system. */
struct Header {
    NodeId from;
    std::string address; ///< RPC address of the sender
    HybridTime time;
    SettingsVersion settingsVersion = 0; ///< in force at the sender; the side that is behind fetches
};

/** How busy a backend server is, as its agent counts it. */
struct Load {
    std::uint32_t inUse = 0;
    std::uint32_t slots = 0;
};

/** Asks an agent to run one request on its backend server. */
struct Dispatch {
    AttemptId attempt;
    WorkspaceId workspace;
    RequestId request;
    KindId kind;
    TeamId team;
    SettingsVersion teamVersion = 0; ///< version of the team's subtree that the sender decided under
    Incarnation incarnation = 0; ///< incarnation of the agent that is meant
    bool idempotent = false;
    Millis timeLeft = Millis(0); ///< until the caller's deadline
    std::string payload;
};

/** Asks what became of an attempt. An attempt that has not started is tombstoned: it never will. */
struct QueryAttempt {
    AttemptId attempt;
    Incarnation incarnation = 0;
    Millis age = Millis(0); ///< time since the attempt was made, as far as the asker knows
    Millis wait = Millis(0); ///< how long to wait for a running attempt to end
};

/** Whether an attempt has ended. */
enum class AttemptState {
    Running,
    Ended,
};

/** What became of an attempt. */
struct AttemptReply {
    AttemptId attempt;
    AttemptState state = AttemptState::Ended;
    Outcome outcome = Outcome::Unknown;
    Error error; ///< meaningful unless the outcome is Done
    std::string payload;
    Load load;
};

/** Where one member of a gang stands. */
enum class GangState {
    None, ///< never heard of, or forgotten
    Prepared,
    Running,
    Finished,
    Failed,
    Stopped,
};

template<>
struct NameTable<GangState> {
    static constexpr std::array<std::string_view, 6> names = {"none", "prepared", "running", "finished", "failed", "stopped"};
};

/** One member of a gang: the agent of a worker and its part of the tasks. */
struct GangMember {
    NodeId node;
    std::string address;
    Incarnation incarnation = 0;
    std::uint32_t tasks = 0;
};

/** Asks an agent to reserve its worker's part of a gang. Nothing starts yet. */
struct PrepareGang {
    JobId job;
    AttemptId attempt;
    std::string region;
    Epoch epoch = 0; ///< of the placer's lease; an older one than the agent knows is refused
    WorkspaceId workspace;
    TeamId team;
    SettingsVersion teamVersion = 0;
    KindId kind;
    Resources perTask;
    std::vector<GangMember> members; ///< all of the gang; the first is its head
    Millis reserveFor = Millis(0); ///< a reservation that is not started by then lapses
    Millis taskLease = Millis(0); ///< tasks end when they are not renewed for this long
    std::string checkpoint; ///< key of the object to go on from; empty to start afresh
    std::string payload;
};

/** Asks an agent to start what it has prepared. */
struct StartGang {
    JobId job;
    AttemptId attempt;
    Epoch epoch = 0;
};

/** Asks an agent to stop its part of a gang, prepared or running; also fences an attempt it has not heard of. */
struct StopGang {
    JobId job;
    AttemptId attempt;
    Epoch epoch = 0;
    Incarnation incarnation = 0; ///< life of the agent that the gang was placed on
    Millis grace = Millis(0); ///< time to write a checkpoint before the stop; zero stops at once
};

/** Asks the head of a gang to renew the lease of one member. */
struct RenewGang {
    JobId job;
    AttemptId attempt;
    NodeId member;
    GangState state = GangState::Running;
};

/** Answers the gang messages. */
struct GangReply {
    JobId job;
    AttemptId attempt;
    GangState state = GangState::None;
    bool mustStop = false; ///< to a renewing member: the gang has ended, stop now
    std::string checkpoint; ///< key of the latest whole checkpoint; empty for none
    Error error; ///< meaningful when the request was refused
    bool refused = false;
};

/** Asks an agent what it runs, and fences placers with an older epoch. */
struct AskReport {
    std::string region;
    Epoch epoch = 0;
};

/** One gang part on a worker. */
struct GangReport {
    JobId job;
    AttemptId attempt;
    WorkspaceId workspace;
    GangState state = GangState::None;
    std::uint32_t tasks = 0;
    Resources perTask;
};

/** What an agent runs. */
struct NodeReport {
    Incarnation incarnation = 0;
    std::vector<GangReport> gangs;
};

/** Tells the shard's leader that a member lives. */
struct Heartbeat {
    std::string shard;
    Member member;
};

struct HeartbeatReply {
    bool accepted = false; ///< whether the receiver leads the shard or stands in for its leader
};

/** Passes changes of a shard from its leader to an entry. */
struct PushMembers {
    MembersDelta delta;
};

/** Says what the entry now knows of a shard. */
struct PushMembersReply {
    Incarnation book = 0;
    std::uint64_t revision = 0;
};

struct FetchSettings {
    SettingsVersion since = 0;
};

struct SettingsUpdate {
    SettingsDelta delta;
};

struct FetchEvents {
    HybridTime since;
    std::uint32_t limit = 0;
};

struct EventBatch {
    std::vector<Event> events;
};

/** Tells the placer of a region that there is a new job. */
struct NudgePlacer {
    std::string region;
};

/** Asks an agent to take no new work and to finish what it has. */
struct DrainNode {
};

struct Ping {
};

struct Ack {
};

/** The receiver could not handle the message. */
struct ErrorReply {
    Error error;
};

/** Every message between processes. The order is that of the union in the schema. */
using Message = std::variant<Ping,
                             Ack,
                             ErrorReply,
                             Dispatch,
                             QueryAttempt,
                             AttemptReply,
                             PrepareGang,
                             StartGang,
                             StopGang,
                             RenewGang,
                             GangReply,
                             AskReport,
                             NodeReport,
                             Heartbeat,
                             HeartbeatReply,
                             PushMembers,
                             PushMembersReply,
                             FetchSettings,
                             SettingsUpdate,
                             FetchEvents,
                             EventBatch,
                             NudgePlacer,
                             DrainNode,
                             AgentReport,
                             AssignmentSync,
                             RelayTableCall,
                             RelayTableAnswer,
                             RowNotice>;

/** Returns the index of an alternative of Message, for tables of handlers. */
template<typename T, std::size_t Index = 0>
constexpr std::size_t messageIndex()
{
    if constexpr (std::is_same_v<std::variant_alternative_t<Index, Message>, T>) {
        return Index;
    } else {
        return messageIndex<T, Index + 1>();
    }
}

/** Returns the message as an error reply. */
Message replyWith(Error error);

/** Returns @p reply as a @p T, or the error it carries, or Internal for any other message. */
template<typename T>
Result<T> expectReply(Result<Message> reply)
{
    if (!succeeded(reply)) {
        return errorOf(reply);
    }
    auto &message = valueOf(reply);
    if (std::holds_alternative<T>(message)) {
        return std::move(std::get<T>(message));
    }
    if (std::holds_alternative<ErrorReply>(message)) {
        return std::get<ErrorReply>(message).error;
    }
    return makeError(ErrorKind::Internal, "a peer answered with a message of the wrong type");
}

} // namespace waxwingloft

#endif
