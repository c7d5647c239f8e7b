#ifndef WAXWINGLOFT_PROCESS_DAEMON_NODE_H
#define WAXWINGLOFT_PROCESS_DAEMON_NODE_H

#include "role.h"
#include "waxwingloft/connection/httpfront.h"
#include "waxwingloft/connection/httptablestore.h"
#include "waxwingloft/connection/rpcnode.h"
#include "waxwingloft/connection/settingssync.h"
#include "waxwingloft/process/nodeconfig.h"
#include "waxwingloft/process/tableclient.h"
#include "waxwingloft/process/ticker.h"

#include <atomic>
#include <memory>
#include <vector>

namespace waxwingloft {

/** What every process has, whatever its role: clocks, logs, settings, connections. */
struct Node : public HealthService {
    explicit Node(const NodeConfig &config);
    ~Node() override;

    std::optional<std::string> whyNotReady() const override;
    std::string metricsText() const override;

    /** Starts the thread that keeps the settings up to date. */
    void startSync();

    const NodeConfig config;
    const Incarnation incarnation;
    mutable SystemClock clock;
    Metrics metrics;
    EventLog events;
    IdSource ids;
    HttpTableStore tableService;
    HttpObjectStore objects;
    TableClient table;
    SettingsPublisher settings;
    SettingsSync sync;
    RpcNode rpc;
    HttpFront http;
    std::atomic<bool> isLeaving = false;
    std::unique_ptr<Ticker> syncTicker;
};

} // namespace waxwingloft

#endif
