#include "node.h"

#include "waxwingloft/connection/httpbackend.h"
#include "waxwingloft/request/agentservice.h"

namespace waxwingloft {

namespace {

constexpr auto HeartbeatInterval = Millis(1000);
constexpr auto GangInterval = Millis(500);
constexpr auto WorkerTimeout = Millis(2000);

AgentContext contextOf(Node &node)
{
    const AgentPortFactory ports{[](const std::string &address) { return std::make_unique<HttpBackend>(address); },
                                 [](const std::string &address) { return std::make_unique<HttpWorker>(address, WorkerTimeout); }};
    return {node.clock,
            node.events,
            node.metrics,
            node.settings,
            node.sync,
            node.table,
            node.objects,
            node.rpc,
            node.ids,
            NodeId{node.config.node},
            node.incarnation,
            node.config.location,
            node.config.shard,
            node.config.rpcAddress,
            node.config.entries,
            ports};
}

AgentOptions termsOf(const NodeConfig &config)
{
    AgentOptions options;
    options.gangs.checkpointInterval = config.checkpointInterval;
    return options;
}

class AgentRole : public Role
{
public:
    explicit AgentRole(const NodeConfig &config)
        : node(config)
        , service(contextOf(this->node), termsOf(config))
    {
    }

    void start() override
    {
        this->node.rpc.serve(this->service);
        this->node.startSync();
        this->membershipTicker = std::make_unique<Ticker>("membership", HeartbeatInterval, [this] { this->service.tickMembership(); });
        this->gangTicker = std::make_unique<Ticker>("gangs", GangInterval, [this] { this->service.tickGangs(); });
        this->node.http.serveAnnouncements(this->service);
        this->node.http.run();
    }

    bool finish(Millis limit) override
    {
        this->node.isLeaving.store(true, std::memory_order_release);
        this->service.drain();
        const bool isIdle = this->service.waitUntilIdle(limit);
        this->node.http.stop();
        this->gangTicker->stop();
        this->membershipTicker->stop();
        this->service.release();
        this->node.rpc.close();
        return isIdle;
    }

private:
    Node node;
    AgentService service;
    std::unique_ptr<Ticker> membershipTicker;
    std::unique_ptr<Ticker> gangTicker;
};

} // namespace

std::unique_ptr<Role> makeAgentRole(const NodeConfig &config)
{
    return std::make_unique<AgentRole>(config);
}

} // namespace waxwingloft
