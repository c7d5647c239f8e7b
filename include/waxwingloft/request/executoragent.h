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

/** Intervals and limits of an agent's loops. */
struct ExecutorAgentOptions {
    Millis reportInterval = Millis(800); ///< allows three reports within an agent lease
    Millis reportTimeout = Millis(1000);
    Millis reportRetry = Millis(100); ///< pause after a report that no placer accepted
    Millis placerRowReadAfter = Millis(500); ///< time without an answer from the placer after which its row is read from the table
    Millis orderInterval = Millis(200); ///< between checks for orders to repeat
    Millis pollRetry = Millis(100); ///< pause after an unanswered poll
    Millis finishPollInterval = Millis(50); ///< between checks in finish()
    std::size_t orderThreads = 3; ///< orders in flight at once; starts of one gang overlap
};

/**
 * The agent of an executor: sends the orders and polls that its controller has due, and reports to the leading placer.
 */
class ExecutorAgent : public MessageHandler, public HeartbeatService
{
public:
    ExecutorAgent(Clock &clock,
                  Metrics &metrics,
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
     * Waits, at most @p limit, until the placer has confirmed the ends of all runs of an executor that left or is
     * unresponsive. Only this agent can report them; without it the placer waits for the longest lease. Returns
     * whether all ends are confirmed.
     */
    bool finish(Millis limit);

    Message handle(const Header &header, const Message &message) override;
    void heartbeat(const ExecutorHeartbeat &heartbeat) override;
    void deregister(const ExecutorIncarnation &incarnation) override;

private:
    bool acquireGeneration();
    void report();
    void readPlacerRow();
    void sendOrders();
    void sendOrder(const DueOrder &order);
    void pollLoop();
    bool pollOnce();

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
    std::condition_variable wakeUp; ///< of the loop that polls the run lists
    Instant lastPlacerAnswerAt;
    bool isStopping = false;

    std::unique_ptr<ThreadPool> orderPool;
    std::unique_ptr<Ticker> reportTicker;
    std::unique_ptr<Ticker> orderTicker;
    std::thread pollThread;
};

} // namespace waxwingloft

#endif
