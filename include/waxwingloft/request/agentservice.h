#ifndef WAXWINGLOFT_REQUEST_AGENTSERVICE_H
#define WAXWINGLOFT_REQUEST_AGENTSERVICE_H

#include "waxwingloft/connection/frontservice.h"
#include "waxwingloft/connection/settingssync.h"
#include "waxwingloft/process/duty.h"
#include "waxwingloft/process/memberdirectory.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/process/shardbook.h"
#include "waxwingloft/request/agentcalls.h"
#include "waxwingloft/request/gangagent.h"
#include "waxwingloft/request/jobstore.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace waxwingloft {

/** Creates the port to the backend server or worker of an agent from its announced address. */
struct AgentPortFactory {
    std::function<std::unique_ptr<BackendPort>(const std::string &)> backend;
    std::function<std::unique_ptr<WorkerPort>(const std::string &)> worker;
};

/** Dependencies and identity of an agent. */
struct AgentContext {
    Clock &clock;
    EventLog &events;
    Metrics &metrics;
    SettingsPublisher &settings;
    SettingsSync &sync;
    TableStore &table;
    ObjectStore &objects;
    NodePort &peers;
    IdSource &ids;
    NodeId self;
    Incarnation incarnation = 0;
    Location location;
    std::string shard;
    std::string rpcAddress;
    std::vector<std::string> entries; ///< RPC addresses of the entries
    AgentPortFactory ports;
};

/** Options of an agent and its parts. */
struct AgentOptions {
    AttemptLedgerOptions ledger;
    GangAgentOptions gangs;
    FailureDetectionOptions detection;
    LeaseOptions leaderLease = {Millis(10000), Millis(1000)};
    Millis callTimeout = Millis(800); ///< for one heartbeat or push of members
};

/**
 * Service of the agent process beside one backend server or worker: makes the final admission check
 * for its work and is a member of a shard, or its elected leader. Thread safe.
 */
class AgentService : public MessageHandler, public AnnouncementService
{
public:
    AgentService(const AgentContext &context, const AgentOptions &options);
    ~AgentService() override;

    Message handle(const Header &header, const Message &message) override;
    Status announce(const Announcement &announcement) override;

    /** Sends a heartbeat to the shard leader or, as leader, updates the shard. Call once per heartbeat interval. */
    void tickMembership();

    /** Renews the leases of gangs. Call several times per task lease. */
    void tickGangs();

    /** Refuses new work from now on and reports that to the shard leader. */
    void drain();

    /** Waits until no request and no gang member runs here or @p limit has passed. Returns whether none runs. */
    bool waitUntilIdle(Millis limit);

    /** Gives up the shard leadership. Call last. */
    void release();

    bool hasAnnouncement() const;

private:
    using Handler = Message (AgentService::*)(const Header &, const Message &);
    using HandlerTable = std::array<Handler, std::variant_size_v<Message>>;
    static HandlerTable makeHandlers();
    static const HandlerTable handlers;

    /** The backend server or worker of this agent; created once, at the first announcement. */
    struct Hosted {
        Member member;
        std::unique_ptr<BackendPort> backend;
        std::unique_ptr<WorkerPort> worker;
        std::unique_ptr<AgentCalls> calls;
        std::unique_ptr<GangAgent> gangs;
    };

    Message onUnsupported(const Header &header, const Message &message);
    Message onDispatch(const Header &header, const Message &message);
    Message onQuery(const Header &header, const Message &message);
    Message onPrepare(const Header &header, const Message &message);
    Message onStart(const Header &header, const Message &message);
    Message onStop(const Header &header, const Message &message);
    Message onRenew(const Header &header, const Message &message);
    Message onAskReport(const Header &header, const Message &message);
    Message onHeartbeat(const Header &header, const Message &message);
    Message onFetchSettings(const Header &header, const Message &message);
    Message onFetchEvents(const Header &header, const Message &message);
    Message onDrain(const Header &header, const Message &message);

    /** Returns the hosted server or worker, null before the announcement. Never changes afterwards. */
    Hosted *hosted() const;
    std::unique_ptr<Hosted> makeHosted(const Announcement &announcement);
    Member currentMember() const;
    void runLeader();
    void pushToEntries();
    void runFollower(const Member &member);
    void reportToEntries(const Member &member);

    AgentContext context;
    const AgentOptions options;
    JobStore jobs;
    TableGangRecorder recorder;
    Duty shardElection;
    ShardBook shardMembers;
    std::atomic<Hosted *> current = nullptr;
    std::unique_ptr<Hosted> hostedOwner;
    std::mutex announceMutex;
    std::atomic<bool> isLeaving = false;
    std::mutex membershipMutex; ///< serializes ticks
    std::string leaderAddress;
    std::vector<BookPosition> entryPositions; ///< last shard revision that each entry confirmed
};

} // namespace waxwingloft

#endif
