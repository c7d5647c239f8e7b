#include "heartbeatfront.h"
#include "jobnode.h"
#include "platformexecutor.h"

#include "waxwingloft/request/executoragent.h"

namespace waxwingloft {

namespace {

constexpr auto ExecutorTimeout = Millis(300); ///< the executor stands on the same host; leaves a gang's members ten tries to come together
constexpr std::size_t HeartbeatThreads = 3; ///< an executor's connection, one of its next life, and a spare
constexpr auto OfficeWait = Millis(5000); ///< the office changes hands rarely

ExecutorControllerOptions keeperTermsOf(const NodeConfig &config)
{
    ExecutorControllerOptions options;
    options.lease = config.jobs.lease() - options.leaseReserve;
    options.longestLease = config.jobs.longestLease;
    options.needsStartPermission = config.jobs.zoneCloseTime.has_value();
    return options;
}

/** The agent beside an executor of the users' platform. */
class JobAgentRole : public Role
{
public:
    explicit JobAgentRole(const NodeConfig &config)
        : node(config)
        , executor(config.jobs.executorAddress, ExecutorTimeout)
        , agent(this->node.clock,
                this->node.metrics,
                this->node.table,
                this->node.rpc,
                this->executor,
                this->node.office,
                NodeId{config.node},
                config.rpcAddress,
                keeperTermsOf(config),
                ExecutorAgentOptions())
        , heartbeats(config.jobs.heartbeatAddress, ListenerOptions{{HeartbeatThreads}, this->node.ingress}, this->agent)
    {
    }

    void start() override
    {
        this->node.rpc.serve(this->agent);
        this->agent.start();
        this->node.startOffice(OfficeWait);
        this->heartbeats.start();
        this->node.http.run();
    }

    /** What runs goes on under its lease until the next start of this agent takes it over. */
    bool finish(Millis limit) override
    {
        this->node.isLeaving.store(true, std::memory_order_release);
        return this->agent.finish(limit);
    }

private:
    JobNode node;
    PlatformExecutor executor;
    ExecutorAgent agent;
    HeartbeatFront heartbeats;
};

} // namespace

std::unique_ptr<Role> makeJobAgentRole(const NodeConfig &config)
{
    return std::make_unique<JobAgentRole>(config);
}

} // namespace waxwingloft
