#include "node.h"

#include "waxwingloft/request/entryservice.h"

namespace waxwingloft {

namespace {

constexpr std::size_t FanOutThreads = 32;
constexpr std::size_t LaunchThreads = 16;
constexpr std::size_t MaxQueuedLaunches = 100'000;
constexpr auto SettingsInterval = Millis(500);
constexpr auto PlacerInterval = Millis(200);
constexpr auto QueueInterval = Millis(20);
constexpr auto SweepInterval = Millis(600000);
constexpr auto LossMargin = Millis(1000);

EntryContext contextOf(Node &node, FanOut &fanOut, ThreadPool &launches)
{
    auto others = node.config.entries;
    std::erase(others, node.config.rpcAddress);
    return {node.clock,
            node.events,
            node.metrics,
            node.settings,
            node.sync,
            node.table,
            node.rpc,
            fanOut,
            node.ids,
            [&launches](std::function<void()> task) { launches.post(std::move(task)); },
            NodeId{node.config.node},
            node.incarnation,
            node.config.location,
            node.config.rpcAddress,
            others,
            node.config.operatorToken};
}

/** A longer task lease means fewer renewals and a longer wait for gangs whose workers are lost. */
EntryOptions termsOf(const NodeConfig &config)
{
    EntryOptions options;
    options.launch.taskLease = config.taskLease;
    options.placer.coordinatorLossTimeout = config.taskLease + LossMargin;
    options.placer.memberLossTimeout = 2 * (config.taskLease + LossMargin);
    return options;
}

class EntryRole : public Role
{
public:
    explicit EntryRole(const NodeConfig &config)
        : node(config)
        , fanOut(FanOutThreads)
        , launches("launches of gangs", LaunchThreads, MaxQueuedLaunches)
        , service(contextOf(this->node, this->fanOut, this->launches), termsOf(config))
    {
    }

    void start() override
    {
        this->node.rpc.serve(this->service);
        this->node.startSync();
        this->settingsTicker = std::make_unique<Ticker>("settings", SettingsInterval, [this] { this->service.tickSettings(); });
        this->placerTicker = std::make_unique<Ticker>("the placer", PlacerInterval, [this] { this->service.tickPlacer(); });
        this->queueTicker = std::make_unique<Ticker>("the queue", QueueInterval, [this] { this->service.tickQueue(); });
        this->sweepTicker = std::make_unique<Ticker>("the removal of rows", SweepInterval, [this] { this->service.tickRowCleanup(); });
        this->service.setPlacerWakeUp([this] { this->placerTicker->nudge(); });
        this->node.http.serveFront(this->service);
        this->node.http.run();
    }

    bool finish(Millis limit) override
    {
        this->node.isLeaving.store(true, std::memory_order_release);
        this->node.clock.sleepFor(this->node.config.balancerWait);
        this->service.drain();
        const bool isIdle = this->service.waitUntilIdle(limit);
        this->node.http.stop();
        this->service.setPlacerWakeUp({});
        this->placerTicker->stop();
        this->settingsTicker->stop();
        this->queueTicker->stop();
        this->sweepTicker->stop();
        this->launches.close();
        this->service.release();
        this->node.rpc.close();
        return isIdle;
    }

private:
    Node node;
    PoolFanOut fanOut;
    ThreadPool launches;
    EntryService service;
    std::unique_ptr<Ticker> settingsTicker;
    std::unique_ptr<Ticker> placerTicker;
    std::unique_ptr<Ticker> queueTicker;
    std::unique_ptr<Ticker> sweepTicker;
};

} // namespace

std::unique_ptr<Role> makeEntryRole(const NodeConfig &config)
{
    return std::make_unique<EntryRole>(config);
}

} // namespace waxwingloft
