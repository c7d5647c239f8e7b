#include "connection/fakeexecutor.h"
#include "fakestore.h"
#include "operatorzones.h"
#include "platformstore.h"

#include "waxwingloft/connection/rpcnode.h"
#include "waxwingloft/process/tableclient.h"
#include "waxwingloft/request/executoragent.h"
#include "waxwingloft/request/jobrows.h"
#include "waxwingloft/request/placerservice.h"

#include <gtest/gtest.h>

#include <functional>

namespace waxwingloft::tests {

namespace {

constexpr auto Patience = Millis(30'000); ///< far above what a step takes, so that a busy machine changes no verdict
constexpr auto Look = Millis(20);

/** Notes nothing; the promises are checked on virtual time. */
class NoObserver : public RunObserver
{
public:
    void started(const std::string & /*executor*/, const TaskRun & /*run*/, const std::string & /*spec*/) override
    {
    }

    void ended(const std::string & /*executor*/, const TaskRun & /*run*/, RunEnd /*how*/) override
    {
    }

    void noted(const std::string & /*executor*/, const TaskRun & /*run*/, RunEnd /*how*/) override
    {
    }
};

/** The fake executor for calls of several threads. */
class LockedExecutor : public ExecutorPort
{
public:
    LockedExecutor(Clock &clock, const std::string &id)
        : executor(clock, id, this->observer)
    {
        this->executor.runOf = [](const StartOrder &) {
            FakeRun run;
            run.endsAt = Millis(300);
            return run;
        };
    }

    Result<StartAnswer> start(const ExecutorIncarnation &incarnation, const StartOrder &order) override
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->executor.advance();
        ++this->starts;
        return this->executor.start(incarnation, order);
    }

    Result<ExecutorStamp> stop(const ExecutorIncarnation &incarnation, const TaskRun &run, std::uint64_t fencingToken) override
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->executor.advance();
        return this->executor.stop(incarnation, run, fencingToken);
    }

    Result<RunListAnswer> pollRuns(const ExecutorIncarnation &incarnation, const RunListQuery &question) override
    {
        std::this_thread::sleep_for(std::min(question.wait, Look));
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->executor.advance();
        return this->executor.pollRuns(incarnation, question);
    }

    bool isAbsent() override
    {
        return false;
    }

    ExecutorHeartbeat heartbeat()
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        return this->executor.heartbeat();
    }

    std::size_t running()
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->executor.advance();
        return this->executor.running.size();
    }

    int starts = 0;

private:
    NoObserver observer;
    std::mutex mutex;
    FakeExecutor executor;
};

/** What a process has, whatever its role. */
struct Process : public HeaderKeeper {
    Process(const FakeStore &fake, std::string name)
        : name(std::move(name))
        , events(this->clock, this->name, 100)
        , ids(std::hash<std::string>()(this->name))
        , store(fake.address(), Millis(2000), this->metrics)
        , table(this->store, this->clock, TableBudget{1000.0, 1000.0, 4, Millis(10), Millis(100), 5}, 7)
        , rpc("127.0.0.1:0", *this, this->metrics, RpcOptions())
        , address("127.0.0.1:" + std::to_string(this->rpc.port()))
    {
    }

    Header outgoing() override
    {
        return {NodeId{this->name}, this->address, this->events.tick(), 0};
    }

    void incoming(const Header &header) override
    {
        this->events.observe(header.time);
    }

    const std::string name;
    SystemClock clock;
    Metrics metrics;
    EventLog events;
    IdSource ids;
    PlatformStore store;
    TableClient table;
    RpcNode rpc;
    const std::string address;
};

TableFollowerOptions quickFollowing()
{
    TableFollowerOptions options;
    options.wait = Look;
    return options;
}

struct Entry {
    Entry(const FakeStore &fake, const std::string &name, std::optional<Millis> zoneCloseTime = std::nullopt)
        : process(fake, name)
        , placer(this->process.clock, placerOptions(zoneCloseTime), JobRankOptions())
        , board(this->placer)
        , office(this->process.clock,
                 this->process.events,
                 this->process.ids,
                 this->process.table,
                 this->process.rpc,
                 NodeId{name},
                 this->process.address,
                 this->placer,
                 this->board,
                 options())
        , operatorZones(this->zones, this->process.clock, [this] { this->office.nudge(); })
    {
        this->placer.followZones(this->zones);
        this->process.rpc.serve(this->office);
        this->office.start();
        this->follower = std::make_unique<TableFollower>(
            this->process.table, this->process.store, this->process.clock, std::string(JobTable), this->office, quickFollowing());
        this->zoneFollower =
            std::make_unique<TableFollower>(this->process.table, this->process.store, this->process.clock, "op", this->operatorZones, quickFollowing());
    }

    ~Entry()
    {
        this->zoneFollower->stop();
        this->follower->stop();
        this->office.stop();
        this->process.rpc.close();
    }

    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    static TaskPlacerOptions placerOptions(std::optional<Millis> zoneCloseTime)
    {
        TaskPlacerOptions options;
        options.zoneCloseTime = zoneCloseTime;
        return options;
    }

    static PlacerServiceOptions options()
    {
        PlacerServiceOptions options;
        options.electionInterval = Millis(50);
        return options;
    }

    Process process;
    TaskPlacer placer;
    JobCache board;
    PlacerService office;
    ZoneView zones;
    OperatorZones operatorZones;
    std::unique_ptr<TableFollower> follower;
    std::unique_ptr<TableFollower> zoneFollower;
};

struct Agent {
    Agent(const FakeStore &fake, const std::string &name)
        : process(fake, name)
        , executor(this->process.clock, "executor-of-" + name)
        , watch(NodeId{name})
        , agent(this->process.clock,
                this->process.metrics,
                this->process.table,
                this->process.rpc,
                this->executor,
                this->watch,
                NodeId{name},
                this->process.address,
                ExecutorControllerOptions(),
                ExecutorAgentOptions())
    {
        this->process.rpc.serve(this->agent);
        this->agent.start();
        this->follower = std::make_unique<TableFollower>(
            this->process.table, this->process.store, this->process.clock, std::string(PlacerTable), this->watch, quickFollowing());
        this->agent.heartbeat(this->executor.heartbeat());
    }

    ~Agent()
    {
        this->follower->stop();
        this->agent.stop();
        this->process.rpc.close();
    }

    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    Process process;
    LockedExecutor executor;
    PlacerDirectory watch;
    ExecutorAgent agent;
    std::unique_ptr<TableFollower> follower;
};

bool eventually(const std::function<bool()> &holds)
{
    const auto until = std::chrono::steady_clock::now() + Patience;
    while (std::chrono::steady_clock::now() < until) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(Look);
    }
    return holds();
}

JobId submit(Process &process, const std::string &id, std::uint32_t tasks)
{
    JobSubmission job;
    job.id.value = id;
    job.service = "tune";
    job.priority = 1;
    job.maxAttempts = 3;
    job.acceptedAt = process.clock.wallMillis();
    job.graph.spec = "spec";
    job.graph.steps.resize(1);
    job.graph.steps[0].count = tasks;
    job.graph.steps[0].estimate = Millis(300);
    job.graph.steps[0].needs = {16'000, 32'768, 1};
    EXPECT_TRUE(succeeded(process.table.commit({process.ids.next(), {{submissionKey(job.id), 0}}, {{submissionKey(job.id), encodeSubmission(job)}}})));
    return job.id;
}

bool isCompleted(const Entry &entry, const JobId &job)
{
    return entry.board.stateOf(job) == JobPhase::Completed;
}

} // namespace

TEST(JobPath, RunsJobsAcrossProcessesAndOutlivesAHandOver)
{
    FakeStore fake;
    Agent first(fake, "agent-1");
    Agent second(fake, "agent-2");
    auto placer = std::make_unique<Entry>(fake, "entry-1");
    ASSERT_TRUE(eventually([&] { return placer->placer.isLeader() && placer->placer.view().workers == 2; }));
    Entry other(fake, "entry-2");

    const auto job = submit(placer->process, "0000000000000001", 20);
    ASSERT_TRUE(eventually([&] { return isCompleted(*placer, job) && isCompleted(other, job); }));
    EXPECT_EQ(first.executor.starts + second.executor.starts, 20);

    placer.reset();
    ASSERT_TRUE(eventually([&] { return other.placer.isLeader(); }));
    const auto next = submit(other.process, "0000000000000002", 6);
    ASSERT_TRUE(eventually([&] { return isCompleted(other, next); }));
    EXPECT_EQ(first.executor.running() + second.executor.running(), 0U);
}

TEST(JobPath, ACancelledJobStops)
{
    FakeStore fake;
    Agent agent(fake, "agent-1");
    Entry entry(fake, "entry-1");
    ASSERT_TRUE(eventually([&] { return entry.placer.isLeader() && entry.placer.view().workers == 1; }));
    const auto job = submit(entry.process, "0000000000000003", 100);
    ASSERT_TRUE(eventually([&] { return agent.executor.running() > 0; }));
    ASSERT_TRUE(succeeded(entry.process.table.commit({"op", {}, {{cancellationKey(job), "{}"}}})));
    ASSERT_TRUE(eventually([&] { return entry.board.stateOf(job) == JobPhase::Cancelled && agent.executor.running() == 0; }));
}

/** Guards against a permission or a closing that is lost between the store, the placer, the messages and the agent. */
TEST(JobPath, NothingStartsInAClosedZoneUntilItIsOpened)
{
    constexpr auto CloseTime = Millis(2500);
    constexpr auto Quiet = Millis(700); ///< in which a start would have come
    const std::string key = "op/evacuate/vejle-a";
    FakeStore fake;
    Agent agent(fake, "agent-1");
    Entry entry(fake, "entry-1", CloseTime);
    const auto job = submit(entry.process, "0000000000000004", 2);
    ASSERT_TRUE(eventually([&] { return isCompleted(entry, job); }));
    ASSERT_TRUE(succeeded(entry.process.table.commit({"close", {}, {{key, "{}"}}})));
    std::this_thread::sleep_for(CloseTime);
    const auto next = submit(entry.process, "0000000000000005", 2);
    std::this_thread::sleep_for(Quiet);
    EXPECT_EQ(agent.executor.starts, 2);
    EXPECT_FALSE(isCompleted(entry, next));
    ASSERT_TRUE(succeeded(entry.process.table.commit({"open", {}, {{key, std::nullopt}}})));
    // The feed of this store omits removals, so the history is lost for a moment.
    fake.mood = StoreMood::ForgotHistory;
    ASSERT_TRUE(eventually([&] { return entry.zones.closures().zones.empty(); }));
    fake.mood = StoreMood::Fine;
    EXPECT_TRUE(eventually([&] { return isCompleted(entry, next); }));
}

} // namespace waxwingloft::tests
