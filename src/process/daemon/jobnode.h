#ifndef WAXWINGLOFT_PROCESS_DAEMON_JOBNODE_H
#define WAXWINGLOFT_PROCESS_DAEMON_JOBNODE_H

#include "platformstore.h"
#include "role.h"
#include "waxwingloft/connection/healthfront.h"
#include "waxwingloft/connection/httpserver.h"
#include "waxwingloft/connection/relaytable.h"
#include "waxwingloft/connection/rpcnode.h"
#include "waxwingloft/connection/storeoutlook.h"
#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/tableclient.h"
#include "waxwingloft/process/ticker.h"
#include "waxwingloft/request/placerdirectory.h"

#include <atomic>

namespace waxwingloft {

/** What every process on the users' platform has, whatever its role. */
struct JobNode : public HealthService, public HeaderKeeper {
    explicit JobNode(const NodeConfig &config);
    ~JobNode() override;

    std::optional<std::string> whyNotReady() const override;
    std::string metricsText() const override;

    /** Starts to follow the office and to look after the way to the store. */
    void startOffice(Millis wait);
    void stopOffice();

    Header outgoing() override;
    void incoming(const Header &header) override;

    const NodeConfig config;
    mutable SystemClock clock;
    Metrics metrics;
    EventLog events;
    IdSource ids;
    PlatformStore store;
    PlacerDirectory office;
    RpcNode rpc;
    StoreOutlook outlook; ///< used by entries only
    RelayTable relay;
    TableClient table;
    const std::shared_ptr<HttpServer> ingress; ///< serves the listeners for untrusted clients
    HealthFront http;
    std::atomic<bool> isLeaving = false;
    std::unique_ptr<TableFollower> officeFollower;
    std::unique_ptr<Ticker> probing;
    std::unique_ptr<Ticker> peerProbing; ///< of an entry; apart from the direct one, as each may wait for a time-out

private:
    void startProbing();
};

} // namespace waxwingloft

#endif
