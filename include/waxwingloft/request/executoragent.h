#ifndef WAXWINGLOFT_REQUEST_EXECUTORAGENT_H
#define WAXWINGLOFT_REQUEST_EXECUTORAGENT_H

#include "waxwingloft/connection/executorport.h"
#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/process/threadpool.h"
#include "waxwingloft/process/ticker.h"
#include "waxwingloft/request/executorcontroller.h"
#include "waxwingloft/request/placerdirectory.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace waxwingloft {

/** Intervals and bounds of an agent's loops. */
struct ExecutorAgentOptions {
    Millis reportInterval = Millis(800); ///< leaves three reports in a agentLease
    Millis reportTimeout = Millis(1000);
    Millis reportRetry = Millis(100); ///< after a report that no placer took
    Millis placerRowReadAfter = Millis(500); ///< silence of the placer after which the row of the directory is read again
    Millis orderInterval = Millis(200); ///< between looks for orders to repeat
    Millis pollRetry = Millis(100); ///< after a question that was not answered
    Millis finishPollInterval = Millis(50); ///< between looks for ends before this process stops
    std::size_t orderThreads = 3; ///< orders under way at once; starts of one gang overlap
};

/**
 * The agent beside an executor: carries out what its controller says is due, and reports to the placer in directory.
 */
class ExecutorAgent : public MessageHandler, public HeartbeatService
{
public:
    ExecutorAgent(Clock &clock,
                  TableStore &table,
                  NodePort &nodes,
                  ExecutorPort &executor,
                  PlacerDirectory &directory,
                  NodeId self,
                  std::string address,
                  ExecutorControllerOptions controllerOptions,
                  ExecutorAgentOptions options);
    ~ExecutorAgent() override;

    void start();
    void stop();

    /**
     * Waits, at most @p limit, until the placer knows that all is over at an executor that left or is silent.
     * Nobody else can tell it so, and it would have to wait for the longest lease. Returns whether all is known.
     */
    bool finish(Millis limit);

    Message handle(const Header &header, const Message &message) override;
    void heartbeat(const ExecutorHeartbeat &heartbeat) override;
    void deregister(const std::string &executorId) override;

private:
    bool acquireGeneration();
    void report();
    void readPlacerRow();
    void sendOrders();
    void sendOrder(const DueOrder &order);
    void pollLoop();

    Clock &clock;
    TableStore &table;
    NodePort &nodes;
    ExecutorPort &executor;
    PlacerDirectory &directory;
    const NodeId self;
    const ExecutorAgentOptions options;
    const Logger log;
    ExecutorController controller;

    std::mutex mutex;
    std::condition_variable wakeUp; ///< of the loop that asks for the lists
    Instant lastPlacerAnswerAt;
    bool isStopping = false;

    std::unique_ptr<ThreadPool> orderPool;
    std::unique_ptr<Ticker> reportTicker;
    std::unique_ptr<Ticker> orderTicker;
    std::thread pollThread;
};

} // namespace waxwingloft

#endif
