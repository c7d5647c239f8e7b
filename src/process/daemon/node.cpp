#include "node.h"

namespace waxwingloft {

namespace {

constexpr auto SyncInterval = Millis(1000);
constexpr auto TableTimeout = Millis(2000);
constexpr unsigned RandomBits = 10; ///< of an incarnation, below the start time

Incarnation makeIncarnation()
{
    const auto start = static_cast<Incarnation>(SystemClock().wallMillis());
    return (start << RandomBits) | (IdSource::entropySeed() & ((1U << RandomBits) - 1));
}

std::vector<std::string> withoutOwn(std::vector<std::string> addresses, const std::string &own)
{
    std::erase(addresses, own);
    return addresses;
}

} // namespace

Node::Node(const NodeConfig &config)
    : config(config)
    , incarnation(makeIncarnation())
    , events(this->clock, config.node, config.eventCapacity)
    , ids(IdSource::entropySeed())
    , tableService(config.tableUrl, TableTimeout, this->metrics)
    , objects(config.objectsUrl, TableTimeout)
    , table(this->tableService,
            this->clock,
            TableBudget{config.tableCallsPerSecond, config.tableCallsPerSecond * 2, 4, Millis(50), Millis(5000), 5},
            IdSource::entropySeed())
    , settings(this->events)
    , sync(this->clock,
           this->events,
           this->settings,
           NodeId{config.node},
           withoutOwn(config.entries, config.rpcAddress),
           SettingsSyncOptions{},
           IdSource::entropySeed())
    , rpc(config.rpcAddress, this->sync, this->metrics, RpcOptions{config.rpcThreads, 4, 1024, Millis(2000), Millis(1500), Millis(1000), Millis(60000)})
    , http(config.httpAddress, *this, HttpFrontOptions{config.httpThreads, std::size_t(8) << 20U, Millis(5000), Millis(5000), Millis(20000)})
{
    this->sync.setAddress(config.rpcAddress);
    this->events.record(EventKind::Started, config.node, {}, std::string(nameOf(config.role)));
}

Node::~Node() = default;

std::optional<std::string> Node::whyNotReady() const
{
    if (this->isLeaving.load(std::memory_order_acquire)) {
        return "leaving";
    }
    if (!this->sync.isKnown()) {
        return "no settings yet: neither the table service nor a peer has answered";
    }
    return std::nullopt;
}

std::string Node::metricsText() const
{
    return this->metrics.text();
}

void Node::startSync()
{
    this->syncTicker = std::make_unique<Ticker>("the sync of settings", SyncInterval, [this] { this->sync.run(this->rpc); });
    this->sync.setWakeUp([this] { this->syncTicker->nudge(); });
}

} // namespace waxwingloft
