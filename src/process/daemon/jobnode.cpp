#include "jobnode.h"

namespace waxwingloft {

namespace {

constexpr auto StoreTimeout = Millis(800); ///< above the slowest answers that the platform announces, 60 times 4 ms and a queue
constexpr auto ProbeInterval = Millis(1000);
constexpr auto ProbeCheckInterval = Millis(50); ///< between looks whether a probe of an entry is due; a fraction of the pause between probes
constexpr auto LongestBackoff = Millis(400); ///< after an outage of the store work goes on within half a second
constexpr int FailuresToOpen = 4;
constexpr int SettleTries = 5; ///< a lost answer is settled within about a second
constexpr std::size_t RequestThreads = 2; ///< for calls on the store that are made for peers
constexpr std::size_t ControlThreads = 2;
constexpr std::size_t EventsKept = 2000; ///< hosts have little memory; the log has all of them
constexpr std::size_t IngressMemoryShare = 8; ///< the machine's memory divided by what unanswered requests may hold of it

double callsPerSecond(const NodeConfig &config)
{
    return config.role == NodeRole::JobEntry ? config.jobs.entryCallsPerSecond() : config.tableCallsPerSecond;
}

IngressLimits ingressLimitsOf(const IngressConfig &config)
{
    IngressLimits limits;
    limits.memoryBytes = (config.memoryMb << 20U) / IngressMemoryShare;
    limits.connections = config.connections;
    limits.headerBytes = config.headerBytes;
    limits.headerFields = config.headerFields;
    limits.waitingRequests = config.waitingRequests;
    limits.headerTime = config.headerTime;
    limits.bodyTime = config.bodyTime;
    limits.bodyBytesPerSecond = config.bodyBytesPerSecond;
    limits.answerTime = config.answerTime;
    limits.idleTime = config.idleTime;
    return limits;
}

} // namespace

JobNode::JobNode(const NodeConfig &config)
    : config(config)
    , events(this->clock, config.node, EventsKept)
    , ids(IdSource::entropySeed())
    , store(config.jobs.storeAddress, StoreTimeout, this->metrics)
    , office(NodeId{config.node})
    , rpc(config.rpcAddress, *this, this->metrics, RpcOptions{RequestThreads, ControlThreads, 1024, Millis(1000), Millis(800), Millis(800), Millis(60000)})
    , outlook(this->clock, StoreOutlookOptions(), IdSource::entropySeed())
    , relay(
          this->store, this->store, this->rpc, this->clock, [this] { return this->office.peers(); }, RelayTableOptions())
    , table(this->relay,
            this->clock,
            TableBudget{callsPerSecond(config), callsPerSecond(config) * 2, SettleTries, Millis(50), LongestBackoff, FailuresToOpen},
            IdSource::entropySeed())
    , ingress(std::make_shared<HttpServer>(ingressLimitsOf(config.ingress), &this->metrics))
    , http(config.httpAddress, *this, this->ingress)
{
    if (config.role == NodeRole::JobEntry) {
        this->relay.setOutlook(this->outlook);
    }
    this->events.record(EventKind::Started, config.node, {}, std::string(nameOf(config.role)));
}

JobNode::~JobNode() = default;

std::optional<std::string> JobNode::whyNotReady() const
{
    return this->isLeaving.load(std::memory_order_acquire) ? std::optional<std::string>("leaving") : std::nullopt;
}

std::string JobNode::metricsText() const
{
    return this->metrics.text();
}

void JobNode::startOffice(Millis wait)
{
    TableFollowerOptions options;
    options.wait = wait;
    this->officeFollower = std::make_unique<TableFollower>(this->table, this->relay, this->clock, std::string(PlacerTable), this->office, options);
    this->startProbing();
}

/** Entries serve callers, who wait for the end of an outage; for agents a look a second is enough. */
void JobNode::startProbing()
{
    if (this->config.role != NodeRole::JobEntry) {
        this->probing = std::make_unique<Ticker>("probes of the table", ProbeInterval, [this] { this->relay.probe(); });
        return;
    }
    this->probing = std::make_unique<Ticker>("probes of the table", ProbeCheckInterval, [this] {
        if (this->outlook.takeProbe(StorePath::Direct)) {
            this->relay.probe();
        }
        this->metrics.set(Level::TableDown, this->outlook.state() == StoreState::Unavailable ? 1.0 : 0.0);
    });
    this->peerProbing = std::make_unique<Ticker>("probes of the table through peers", ProbeCheckInterval, [this] {
        if (this->outlook.takeProbe(StorePath::Peers)) {
            this->relay.probePeers();
        }
    });
}

void JobNode::stopOffice()
{
    this->officeFollower->stop();
    this->probing->stop();
    if (this->peerProbing) {
        this->peerProbing->stop();
    }
}

Header JobNode::outgoing()
{
    return {NodeId{this->config.node}, this->config.rpcAddress, this->events.tick(), 0};
}

void JobNode::incoming(const Header &header)
{
    this->events.observe(header.time);
}

} // namespace waxwingloft
