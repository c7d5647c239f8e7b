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

/** What an entry is made of. */
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
    std::function<void(std::function<void()>)> runLater; ///< runs launches and stops of gangs on other threads
    NodeId self;
    Incarnation incarnation = 0;
    Location location;
    std::string rpcAddress;
    std::vector<std::string> entries; ///< RPC addresses of the other entries
    std::string operatorToken;
};

/** Times of an entry. */
struct EntryOptions {
    CallDispatcherOptions dispatch;
    GangLauncherOptions launch;
    PlacerOptions placer;
    FailureDetectionOptions detection;
    LeaseOptions placerLease; ///< short, so that a take-over and an urgent start fit into 5.7 s
    Millis callTimeout = Millis(1000); ///< for a question to another process
};

/**
 * A process on an entry host: answers callers and operators, routes calls, and places the jobs of
 * its region while it holds that duty. Thread safe.
 */
class EntryService : public MessageHandler, public FrontService
{
public:
    EntryService(const EntryContext &context, const EntryOptions &options);
    ~EntryService() override;

    Message handle(const Header &header, const Message &message) override;

    CallAnswer call(const CallQuestion &asked) override;
    Result<JobId> submitJob(const JobQuestion &question) override;
    Result<JobView> showJob(const std::string &token, const JobId &id) override;
    Result<std::vector<JobView>> listJobs(const std::string &token) override;
    Status cancelJob(const std::string &token, const JobId &id) override;
    Result<nlohmann::json> settingsAt(const std::string &operatorToken, const std::string &path, bool reveal) override;
    Result<SettingsVersion> teamVersion(const std::string &operatorToken, const std::string &path) override;
    Result<SettingsVersion> changeSettings(const std::string &operatorToken, const SettingsChange &change) override;
    Result<StatusView> status(const std::string &operatorToken) override;
    Status drain(const std::string &operatorToken, const NodeId &node) override;
    Result<std::vector<Event>> timeline(const std::string &operatorToken, HybridTime since, std::vector<std::string> &unresponsive) override;

    /** Reads the settings from the table and tells shard leaders of a newer version. Call every half second. */
    void tickSettings();

    /** Pursues the duty of placing and, while it is held, places. Call several times a second. */
    void tickPlacer();

    /** Sets what makes tickPlacer() run at once; it must not block. */
    void setPlacerWakeUp(std::function<void()> wakeUp);

    /** Lets waiting calls through to slots freed elsewhere; notices lost members that report here directly. */
    void tickQueue();

    /** Deletes rows that nothing needs any more, while the duty of placing is held. Call every few minutes. */
    void tickSweep();

    /** Refuses new requests from now on. */
    void drain();

    /** Waits until no request is in hand or @p limit has passed. Returns whether none is. */
    bool waitUntilIdle(Millis limit);

    /** Gives the duty up; call last. */
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
    std::map<std::string, std::string> leaders; ///< address of each shard's leader
    std::map<std::string, std::unique_ptr<ShardBook>> fallbackShards; ///< of shards whose members report here directly
};

} // namespace waxwingloft

#endif
