#ifndef WAXWINGLOFT_REQUEST_ENTRYSERVICE_H
#define WAXWINGLOFT_REQUEST_ENTRYSERVICE_H

#include "waxwingloft/connection/frontservice.h"
#include "waxwingloft/connection/settingssync.h"
#include "waxwingloft/process/duty.h"
#include "waxwingloft/process/fanout.h"
#include "waxwingloft/process/memberdirectory.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/process/tableclient.h"
#include "waxwingloft/request/calldispatcher.h"
#include "waxwingloft/request/gangjobservice.h"
#include "waxwingloft/request/placer.h"
#include "waxwingloft/request/rowsweeper.h"
#include "waxwingloft/version/settingsstore.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace waxwingloft {

/** Dependencies and identity of an entry. */
struct EntryContext {
    Clock &clock;
    EventLog &events;
    Metrics &metrics;
    SettingsPublisher &settings;
    SettingsSync &sync;
    TableClient &table;
    NodePort &peers;
    FanOut &fanOut;
    IdSource &ids;
    std::function<void(std::function<void()>)> runLater; ///< launches and stops gangs on other threads
    NodeId self;
    Incarnation incarnation = 0;
    Location location;
    std::string rpcAddress;
    std::vector<std::string> entries; ///< RPC addresses of the other entries
    std::string operatorToken;
};

/** Options of an entry and its parts. */
struct EntryOptions {
    CallDispatcherOptions dispatch;
    GangLauncherOptions launch;
    PlacerOptions placer;
    FailureDetectionOptions detection;
    LeaseOptions placerLease; ///< short, so that a failover and an urgent start together fit into 5.7 s
    Millis callTimeout = Millis(1000); ///< for one call to another process
};

/**
 * Service of an entry process: answers callers and operators, routes calls to backend servers and
 * places the jobs of its region while it is the leading placer. Thread safe.
 */
class EntryService : public MessageHandler, public FrontService
{
public:
    EntryService(const EntryContext &context, const EntryOptions &options);
    ~EntryService() override;

    Message handle(const Header &header, const Message &message) override;

    CallAnswer call(const CallRequest &asked) override;
    Result<JobId> submitJob(const JobRequest &question) override;
    Result<JobView> showJob(const std::string &token, const JobId &id) override;
    Result<std::vector<JobView>> listJobs(const std::string &token) override;
    Status cancelJob(const std::string &token, const JobId &id) override;
    Result<nlohmann::json> settingsAt(const std::string &operatorToken, const std::string &path, bool reveal) override;
    Result<SettingsVersion> teamVersion(const std::string &operatorToken, const std::string &path) override;
    Result<SettingsVersion> changeSettings(const std::string &operatorToken, const SettingsChange &change) override;
    Result<StatusView> status(const std::string &operatorToken) override;
    Status drain(const std::string &operatorToken, const NodeId &node) override;
    Result<std::vector<Event>> timeline(const std::string &operatorToken, HybridTime since, std::vector<std::string> &unresponsive) override;

    /** Reads the settings from the table and notifies shard leaders of a newer version. Call every half second. */
    void tickSettings();

    /** Campaigns for the placer leadership or renews it and, while leader, places jobs. Call several times a second. */
    void tickPlacer();

    /** Sets the callback that makes tickPlacer() run at once. It must not block. */
    void setPlacerWakeUp(std::function<void()> wakeUp);

    /** Grants slots that became free elsewhere to waiting calls; detects lost members among those that report here directly. */
    void tickQueue();

    /** Deletes expired rows from the table while this entry is the leading placer. Call every few minutes. */
    void tickRowCleanup();

    /** Refuses new requests from now on. */
    void drain();

    /** Waits until no request is active or @p limit has passed. Returns whether none is active. */
    bool waitUntilIdle(Millis limit);

    /** Gives up the placer leadership. Call last. */
    void release();

private:
    using Handler = Message (EntryService::*)(const Header &, const Message &);
    using HandlerTable = std::array<Handler, std::variant_size_v<Message>>;
    static HandlerTable makeHandlers();
    static const HandlerTable handlers;

    Message onUnsupported(const Header &header, const Message &message);
    Message onHeartbeat(const Header &header, const Message &message);
    Message onPushMembers(const Header &header, const Message &message);
    Message onFetchSettings(const Header &header, const Message &message);
    Message onFetchEvents(const Header &header, const Message &message);
    Message onNudgePlacer(const Header &header, const Message &message);

    void wakePlacer();
    Status checkOperator(const std::string &token) const;
    Status checkGuarantees(const SettingsTree &tree) const;
    void announceSettings();
    std::vector<std::string> describeDegradation() const;

    EntryContext context;
    const EntryOptions options;
    SettingsStore settingsStore;
    JobStore jobs;
    ClaimStore claims;
    MemberDirectory members;
    ServerTable servers;
    FairQueue queue;
    CallScheduler callScheduler;
    CallerRates rates;
    Admission admission;
    CallDispatcher dispatcher;
    GangLauncher launcher;
    Duty placerElection;
    Placer placer;
    GangJobService gangJobs;
    RowSweeper sweeper;
    std::atomic<bool> isDraining = false;
    std::atomic<std::size_t> activeRequests = 0;
    std::atomic<SettingsVersion> announcedVersion = 0;
    std::mutex wakeUpMutex;
    std::function<void()> placerWakeUp;
    std::mutex leadersMutex;
    std::map<std::string, std::string> leaders; ///< address of each shard's leader, by shard
    std::map<std::string, std::unique_ptr<ShardBook>> fallbackShards; ///< membership of shards whose members report here directly
};

} // namespace waxwingloft

#endif
