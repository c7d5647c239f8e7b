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
#include <memory>
#include <string>

namespace waxwingloft {

/** Intervals and bounds of the office's loops. */
struct PlacerServiceOptions {
    LeaseOptions lease; ///< of the duty
    Millis pursueInterval = Millis(500); ///< between looks at the duty
    Millis planInterval = Millis(250); ///< between plans without an event
    Millis writeRetry = Millis(60); ///< pause after a write that surely had no effect
    Millis pushTimeout = Millis(800); ///< for assignments; a lost one is repeated in the answer to the next report
    std::size_t pushThreads = 4; ///< assignments sent at once
};

/**
 * Runs the placer of an entry: pursues the duty, takes office, writes progress and sends assignments.
 *
 * Any entry may hold the duty. Office is taken by writeTicker its row; every later write is conditional on that
 * row, so a placer that has been replaced can write nothing more.
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

    void start();

    /** Lets another entry take over at once, and ends the threads. */
    void stop();

    /** Makes the next plan happen now. */
    void nudge();

    Message handle(const Header &header, const Message &message) override;

    /** Takes in the table of jobs: keeps the jobCache up to date and plans anew. */
    void reset(const RowList &rows) override;
    void apply(const ChangeBatch &batch) override;

private:
    void pursueLeadership();
    void announceEntry();
    bool becomeLeader();
    void plan();
    void writeProgress();
    void pushAssignments();

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
    bool isAnnounced = false; ///< the row of this entry has been written
    std::atomic<std::uint64_t> placerRevision = 0;
    std::unique_ptr<ThreadPool> pushPool;
    std::unique_ptr<Ticker> electionTicker;
    std::unique_ptr<Ticker> planTicker;
    std::unique_ptr<Ticker> writeTicker;
};

} // namespace waxwingloft

#endif
