#include "jobfront.h"
#include "jobnode.h"
#include "operatorroutes.h"
#include "operatorzones.h"

#include "waxwingloft/connection/doubtnotifier.h"
#include "waxwingloft/request/jobrows.h"
#include "waxwingloft/request/jobservice.h"
#include "waxwingloft/request/placerservice.h"
#include "waxwingloft/request/rowsweeper.h"

namespace waxwingloft {

namespace {

constexpr auto RoutesWait = Millis(1000); ///< below the time in which a version must be in force, with a silent feed in between
constexpr int QuestionsWithinZoneClose =
    5; ///< to the feed, within the zone close time; a permission to start is valid for what is left of that after one or two
constexpr auto OfficeWait = Millis(5000); ///< the office changes hands rarely
constexpr auto SweepInterval = Millis(10 * 60 * 1000); ///< rows are kept for a day, so that a few minutes more do not matter
constexpr auto AnswerWriteTime = Millis(100); ///< for the last answers to leave
constexpr double ClockDrift = 0.02; ///< an executor's clock may be this share slow; the platform's pages

TableFollowerOptions routesFollowing(const NodeConfig &config)
{
    TableFollowerOptions options;
    options.wait = RoutesWait;
    if (config.jobs.zoneCloseTime) {
        options.wait = std::min(options.wait, *config.jobs.zoneCloseTime / QuestionsWithinZoneClose);
        // Nothing starts while the closed zones are not known, and the feed may be silent while rows can be read.
        options.listsAfterFailure = true;
    }
    return options;
}

TaskPlacerOptions officeTermsOf(const NodeConfig &config)
{
    TaskPlacerOptions options;
    options.longestLease = Millis(static_cast<std::int64_t>(static_cast<double>(config.jobs.lease().count()) / (1.0 - ClockDrift)));
    options.zoneCloseTime = config.jobs.zoneCloseTime;
    return options;
}

ListenerOptions frontTermsOf(const NodeConfig &config, std::shared_ptr<HttpServer> server)
{
    ListenerOptions options;
    options.threads = config.httpThreads;
    options.server = std::move(server);
    return options;
}

/** An entry on the users' platform: callers' calls on jobs, and the office of the placer when it holds it. */
class JobEntryRole : public Role
{
public:
    explicit JobEntryRole(const NodeConfig &config)
        : node(config)
        , placer(this->node.clock, officeTermsOf(config), JobRankOptions())
        , board(this->placer)
        , gate(this->node.clock, this->node.ids, this->node.metrics, this->node.table, this->board, this->routes, &parseGraph, JobServiceOptions())
        , sweeper(this->node.table, this->node.clock, this->node.ids, {SweptRows::Withdrawals}, RowSweeperOptions())
        , office(this->node.clock,
                 this->node.events,
                 this->node.ids,
                 this->node.table,
                 this->node.rpc,
                 NodeId{config.node},
                 config.rpcAddress,
                 this->placer,
                 this->board,
                 PlacerServiceOptions())
        , operatorRoutes(this->routes,
                         this->node.events,
                         [this](const RoutingTable &book) {
                             this->placer.setRoutes(book);
                             this->office.nudge();
                         })
        , operatorZones(this->zones, this->node.clock, [this] { this->office.nudge(); })
        , operatorRows(this->observersOfOperator())
        , doubts(
              this->node.rpc, this->node.clock, [this] { return this->node.office.peers(); }, DoubtNotifierOptions())
        , messages(this->office, this->node.relay, this->gate)
        , front(config.jobs.frontAddress, frontTermsOf(config, this->node.ingress), this->gate)
        , ready(
              config.jobs.readyAddress, [this] { return this->isReady(); }, this->node.ingress)
    {
        this->placer.setMetrics(this->node.metrics);
        this->placer.followZones(this->zones);
        this->office.setPeers([this] { return this->node.office.peers(); });
        this->office.setTableWatch([this] { return this->node.relay.isRelaying(); });
        this->gate.setOutlook(this->node.outlook);
        this->gate.setDoubtObserver([this](const std::string &call) { this->doubts.notify(call); });
        this->gate.setRowObserver([this](const Row &row) { this->office.noticeRow(row); });
    }

    void start() override
    {
        this->node.rpc.serve(this->messages);
        this->node.startOffice(OfficeWait);
        this->office.start();
        this->routesFollower = std::make_unique<TableFollower>(
            this->node.table, this->node.relay, this->node.clock, std::string(OperatorTable), this->operatorRows, routesFollowing(this->node.config));
        this->jobsFollower =
            std::make_unique<TableFollower>(this->node.table, this->node.relay, this->node.clock, std::string(JobTable), this->office, TableFollowerOptions());
        this->sweepTicker = std::make_unique<Ticker>("the removal of old rows", SweepInterval, [this] { this->sweep(); });
        this->ready.start();
        this->front.start();
        this->node.http.run();
    }

    /** Callers keep their connections open, so it serves until the balancer has turned away and then ends without them. */
    bool finish(Millis limit) override
    {
        const auto deadline = this->node.clock.now() + limit;
        this->node.isLeaving.store(true, std::memory_order_release);
        this->front.drain();
        std::thread handOver([this] { this->office.stop(); });
        this->node.clock.sleepFor(std::min(this->node.config.balancerWait, limit));
        const bool isIdle = this->front.waitUntilIdle(this->node.clock, std::max(Millis(0), deadline - this->node.clock.now()));
        this->node.clock.sleepFor(AnswerWriteTime);
        handOver.detach();
        return isIdle;
    }

private:
    /** Messages of peers: reports of agents, calls on the store for peers that do not reach it, and notices of calls in doubt. */
    class MessageSwitch : public MessageHandler
    {
    public:
        MessageSwitch(PlacerService &office, RelayTable &relay, JobService &gate)
            : office(office)
            , relay(relay)
            , gate(gate)
        {
        }

        Message handle(const Header &header, const Message &message) override
        {
            const auto *const call = std::get_if<RelayTableCall>(&message);
            if (call == nullptr) {
                return this->office.handle(header, message);
            }
            if (call->kind == TableCallKind::NoteDoubt) {
                this->gate.noteDoubt(call->key);
                return RelayTableAnswer{};
            }
            return this->relay.serve(*call);
        }

    private:
        PlacerService &office;
        RelayTable &relay;
        JobService &gate;
    };

    /** Closed zones come first, as no fault in the other rows may keep them from being known. */
    std::vector<TableObserver *> observersOfOperator()
    {
        std::vector<TableObserver *> observers;
        if (this->node.config.jobs.zoneCloseTime) {
            observers.push_back(&this->operatorZones);
        }
        observers.push_back(&this->operatorRoutes);
        return observers;
    }

    void sweep()
    {
        if (this->placer.isLeader()) {
            this->sweeper.sweep();
        }
    }

    bool isReady() const
    {
        const ReadSection section;
        return !this->node.isLeaving.load(std::memory_order_acquire) && this->routes.read(section).version > 0 && this->board.isLoaded();
    }

    JobNode node;
    Published<RoutingTable> routes{RoutingTable()};
    ZoneView zones;
    TaskPlacer placer;
    JobCache board;
    JobService gate;
    RowSweeper sweeper;
    PlacerService office;
    OperatorRoutes operatorRoutes;
    OperatorZones operatorZones;
    TableObservers operatorRows;
    DoubtNotifier doubts;
    MessageSwitch messages;
    JobFront front;
    ReadyFront ready;
    std::unique_ptr<TableFollower> routesFollower;
    std::unique_ptr<TableFollower> jobsFollower;
    std::unique_ptr<Ticker> sweepTicker;
};

} // namespace

std::unique_ptr<Role> makeJobEntryRole(const NodeConfig &config)
{
    return std::make_unique<JobEntryRole>(config);
}

} // namespace waxwingloft
