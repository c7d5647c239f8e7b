#ifndef WAXWINGLOFT_PROCESS_DAEMON_JOBNODE_H
#define WAXWINGLOFT_PROCESS_DAEMON_JOBNODE_H

#include "platformstore.h"
#include "role.h"
#include "waxwingloft/connection/httpfront.h"
#include "waxwingloft/connection/rpcnode.h"
#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/tableclient.h"

#include <atomic>

namespace waxwingloft {

/** What every process on the users' platform has, whatever its role. */
struct JobNode : public HealthService, public HeaderKeeper {
    explicit JobNode(const NodeConfig &config);
    ~JobNode() override;

    std::optional<std::string> whyNotReady() const override;
    std::string metricsText() const override;
    Header outgoing() override;
    void incoming(const Header &header) override;

    const NodeConfig config;
    mutable SystemClock clock;
    Metrics metrics;
    EventLog events;
    IdSource ids;
    PlatformStore store;
    TableClient table;
    RpcNode rpc;
    HttpFront http; ///< health and metrics
    std::atomic<bool> isLeaving = false;
};

} // namespace waxwingloft

#endif
