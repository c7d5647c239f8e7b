#ifndef WAXWINGLOFT_REQUEST_PLACERSERVICE_H
#define WAXWINGLOFT_REQUEST_PLACERSERVICE_H

#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/process/duty.h"
#include "waxwingloft/process/fanout.h"
#include "waxwingloft/process/threadpool.h"
#include "waxwingloft/process/ticker.h"
#include "waxwingloft/request/jobcache.h"
#include "waxwingloft/request/placerdirectory.h"
#include "waxwingloft/request/taskplacer.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

/** Intervals and limits of the placer's loops. */
struct PlacerServiceOptions {
    LeaseOptions lease; ///< of the leadership
    Millis electionInterval = Millis(500); ///< between attempts to acquire or renew leadership
    Millis planInterval = Millis(250); ///< between plans when no event triggers one earlier
    Millis writeRetry = Millis(60); ///< pause after a write that is known to have had no effect
    Millis stallLogAfter = Millis(1000); ///< of writes that have no effect; shorter outages delay starts by less than the users' bounds
    Millis pushTimeout = Millis(800); ///< for assignments; lost ones are repeated in the answer to the agent's next report
    Millis handOverAfter = Millis(1500); ///< of reaching the table only through peers; longer than the interval of probes of the direct way
    Millis releaseRetry = Millis(100); ///< pause after an attempt to release leadership that may have had no effect
    Millis yieldTime = Millis(6000); ///< in which an entry without a direct way leaves leadership to others; two terms of a lease and a start
    std::size_t pushThreads = 32; ///< assignments sent concurrently; an answer takes 60 ms across regions, one that does not come 800 ms
};

/**
 * Runs the placer of an entry: competes for leadership, plans, writes progress and sends assignments.
 *
 * Any entry may lead. A new leader writes the placer row, and all its later writes are conditional on the revision
 * of that row, so a placer that has been replaced cannot write any more.
 */
class PlacerService : public MessageHandler, public TableObserver
{
public:
    PlacerService(Clock &clock,
                  EventLog &events,
                  IdSource &ids,
                  TableStore &table,
                  NodePort &nodes,
                  NodeId self,
                  std::string address,
                  TaskPlacer &placer,
                  JobCache &jobCache,
                  PlacerServiceOptions options);
    ~PlacerService() override;

    /** Has @p addresses return the RPC addresses of all other entries. Call before start(). */
    void setPeers(std::function<std::vector<std::string>()> addresses);

    /** Has @p isIndirect say whether the table is reached only through peers now. Call before start(). */
    void setTableWatch(std::function<bool()> isIndirect);

    void start();

    /** Releases leadership, so that another entry can lead without waiting for the lease, and ends the threads. */
    void stop();

    /** Triggers a plan without waiting for the interval. */
    void nudge();

    /** Tells the leading placer of a row of the job table that this process has just written, so that it need not wait for the change feed. */
    void noticeRow(const Row &row);

    Message handle(const Header &header, const Message &message) override;

    /** Applies changes of the job table to the cache and triggers a plan. */
    void reset(const RowList &rows) override;
    void apply(const ChangeBatch &batch) override;

private:
    /** A notice that no leader has taken. */
    struct MissedNotice {
        Row row;
        Instant dropAt; ///< from then on the leader takes no notice of the row
    };

    /** What earlier placers have left in the table. */
    struct StoredState {
        std::vector<StoredJob> jobs;
        StoredBounds bounds;
    };

    void pursueLeadership();
    bool leavesLeadershipToOthers();
    void giveUpLeadership(const std::string &reason);
    void notifyPeers(const DutyRecord &grant);
    void announceEntry();
    bool isTermInForce(Instant renewedAt);
    bool becomeLeader();
    std::optional<StoredState> readStoredState();
    void plan();
    void write();
    void writeProgress();
    void writeBounds();
    void pushAssignments();
    void push(const std::string &address);
    bool sendNotice(const Row &row);
    void repeatNotices();
    bool isRecent(const Row &row) const;
    Message take(const RowNotice &notice);

    Clock &clock;
    IdSource &ids;
    TableStore &table;
    NodePort &nodes;
    const NodeId self;
    const std::string address;
    TaskPlacer &placer;
    JobCache &jobCache;
    const PlacerServiceOptions options;
    const Logger log;
    Duty election;
    std::atomic<bool> isRunning = false; ///< the threads have been started
    std::atomic<bool> isStopping = false; ///< no new term begins
    std::function<std::vector<std::string>()> peers;
    std::function<bool()> isTableIndirect;
    std::optional<Instant> indirectSince;
    bool hasYielded = false; ///< since then
    bool isAnnounced = false; ///< the row of this entry has been written to the placer table
    std::optional<Instant> termCheckedFor; ///< the renewal after which the placer row was last compared with the term
    std::mutex pushMutex;
    std::map<std::string, AssignmentSync> queuedPushes; ///< by the agent's address; a newer one takes the place of what has not been sent yet
    std::mutex noticeMutex;
    std::deque<MissedNotice> missedNotices;
    bool isRepeatingNotices = false;
    std::unique_ptr<ThreadPool> pushPool;
    std::unique_ptr<Ticker> electionTicker;
    std::unique_ptr<Ticker> planTicker;
    std::unique_ptr<Ticker> writeTicker;
};

} // namespace waxwingloft

#endif
