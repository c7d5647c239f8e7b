#ifndef WAXWINGLOFT_TESTS_REQUEST_LEADERPATHSITE_H
#define WAXWINGLOFT_TESTS_REQUEST_LEADERPATHSITE_H

#include "connection/fakeexecutor.h"
#include "process/faketable.h"

#include "waxwingloft/connection/relaytable.h"
#include "waxwingloft/process/tableclient.h"
#include "waxwingloft/process/tablefollower.h"
#include "waxwingloft/process/ticker.h"
#include "waxwingloft/request/executoragent.h"
#include "waxwingloft/request/placerservice.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace waxwingloft::tests {

constexpr auto StoreTimeout = Millis(800); ///< of the daemon's calls on the store

/** How a way to the table treats a call. */
enum class PathFault {
    None,
    Busy, ///< answers at once that it did nothing
    Silent, ///< does nothing and gives no answer
    AnswerLost, ///< carries the call out and gives no answer
    Gone, ///< the calling process has ended; commits are refused for good, so that its threads end
};

/** Calls that a way to the table tells apart. */
enum class PathCall {
    Get,
    List,
    Commit,
};

/** The rows that all processes of a site share. */
class SharedRows
{
public:
    Result<std::optional<Row>> get(const std::string &key);
    Result<RowList> list(const std::string &prefix, std::uint64_t since);
    Result<Commit> commit(const Transaction &transaction);

    /** Waits up to @p wait for rows of @p table after @p after. */
    ChangeBatch changes(const std::string &table, std::uint64_t after, Millis wait);

    /** Has all waits end at once from now on. */
    void close();

    /** Sleeps, unless the rows are closed. */
    void pause(Millis duration);

private:
    std::mutex mutex;
    std::condition_variable changed;
    FakeRows rows;
    bool isClosed = false;
};

/** One process's way to the shared rows, with faults. Called on several threads. */
class FaultyPath : public TableStore, public TableFeed
{
public:
    explicit FaultyPath(SharedRows &rows);

    Result<std::optional<Row>> get(const std::string &key) override;
    Result<RowList> list(const std::string &prefix, std::uint64_t since) override;
    Result<Commit> commit(const Transaction &transaction) override;
    Result<ChangeBatch> changes(const std::string &table, std::uint64_t after, Millis wait) override;

    /** Has the next @p times calls of kind @p call on rows whose keys begin with @p prefix end by @p fault. */
    void failNext(PathCall call, const std::string &prefix, PathFault fault, int times = 1);

    /** Whether all faults set by failNext() have come up. */
    bool areFaultsUsed();

    std::atomic<PathFault> fault = PathFault::None;
    std::atomic<bool> isFeedSilent = false;
    std::atomic<int> commitMs = 0; ///< for which each commit takes

private:
    struct PlannedFault {
        PathCall call;
        std::string prefix;
        PathFault fault;
        int times;
    };

    PathFault faultOf(PathCall call, const std::string &key);
    Error missed(PathFault fault);

    SharedRows &rows;
    std::mutex mutex;
    std::vector<PlannedFault> planned;
};

/** Delivers messages between the processes of a site by address. */
class LeaderPathNet : public NodePort
{
public:
    Result<Message> call(const std::string &address, const Message &message, Millis timeout) override;

    void add(const std::string &address, MessageHandler &handler);
    void remove(const std::string &address);

    std::atomic<bool> losesNotices = false;

private:
    std::mutex mutex;
    std::map<std::string, MessageHandler *> handlers;
};

/** One process's way to the others. */
class ProcessPort : public NodePort
{
public:
    explicit ProcessPort(LeaderPathNet &net)
        : net(net)
    {
    }

    Result<Message> call(const std::string &address, const Message &message, Millis timeout) override;

    std::atomic<bool> isGone = false; ///< the calling process has ended

private:
    LeaderPathNet &net;
};

/** Notes when the first run of each job starts. The executor is real enough for a real agent. */
class StartRecorder : public ExecutorPort, public RunObserver
{
public:
    StartRecorder(Clock &clock, const std::string &id);

    Result<StartAnswer> start(const ExecutorIncarnation &incarnation, const StartOrder &order) override;
    Result<ExecutorStamp> stop(const ExecutorIncarnation &incarnation, const TaskRun &run, std::uint64_t fencingToken) override;
    Result<RunListAnswer> pollRuns(const ExecutorIncarnation &incarnation, const RunListQuery &question) override;
    bool isAbsent() override;
    void started(const std::string &executor, const TaskRun &run, const std::string &spec) override;
    void ended(const std::string &executor, const TaskRun &run, RunEnd how) override;
    void noted(const std::string &executor, const TaskRun &run, RunEnd how) override;

    ExecutorHeartbeat heartbeat();
    std::optional<Instant> firstStartOf(const JobId &job);
    int startsOf(const JobId &job);

private:
    Clock &clock;
    std::mutex mutex;
    std::map<JobId, std::vector<Instant>> starts;
    FakeExecutor executor;
};

/** A process's way to the table, put together as in the daemon. */
struct LeaderPathTable {
    LeaderPathTable(SharedRows &rows, NodePort &net, Clock &clock, PlacerDirectory &directory, double callsPerSecond, std::uint64_t seed);

    FaultyPath path;
    RelayTable relay;
    TableClient client;
};

/** An entry with the real classes around its placer. */
class LeaderPathEntry : public MessageHandler
{
public:
    LeaderPathEntry(SharedRows &rows, LeaderPathNet &net, const std::string &name, std::uint64_t seed);

    void start();
    void stopThreads();
    Message handle(const Header &header, const Message &message) override;

    SystemClock clock;
    EventLog events;
    IdSource ids;
    PlacerDirectory directory;
    StoreOutlook outlook;
    ProcessPort port;
    LeaderPathTable table;
    TaskPlacer placer;
    JobCache cache;
    PlacerService service;
    const std::string address;

private:
    std::unique_ptr<TableFollower> officeFollower;
    std::unique_ptr<TableFollower> jobsFollower;
    std::unique_ptr<Ticker> probing;
    std::unique_ptr<Ticker> peerProbing;
};

/** The agent of an executor with its real classes. */
class LeaderPathAgent
{
public:
    LeaderPathAgent(SharedRows &rows, LeaderPathNet &net, const std::string &name, std::uint64_t seed);

    void start();
    void stopThreads();

    SystemClock clock;
    Metrics metrics;
    PlacerDirectory directory;
    LeaderPathTable table;
    StartRecorder executor;
    ExecutorAgent agent;

private:
    std::unique_ptr<TableFollower> officeFollower;
    std::unique_ptr<Ticker> probing;
};

/**
 * Three entries and two agents in real time, with the intervals of the daemon.
 *
 * Only the table, the transport and the executors are fakes, so that the waits of the classes between a placer and its agents add up as in the product.
 */
class LeaderPathSite
{
public:
    LeaderPathSite();
    ~LeaderPathSite();
    LeaderPathSite(const LeaderPathSite &) = delete;
    LeaderPathSite &operator=(const LeaderPathSite &) = delete;

    /** Waits until an entry leads and knows both agents. Returns whether that came true. */
    bool isReady();

    /** Returns the leading entry, or nothing. */
    LeaderPathEntry *leader();

    /** Returns an entry that does not lead, or the leading one when it is the only one left. */
    LeaderPathEntry &bystander();

    /** Writes a job of one task as @p entry would have accepted it, whatever the faults, and has it tell the leader. */
    JobId accept(LeaderPathEntry &entry);

    /** Sets @p fault on the ways of all processes. */
    void setFault(PathFault fault);

    /** Ends the process of @p entry without a word. */
    void kill(LeaderPathEntry &entry);

    /** Stops @p entry as the daemon does: its service has 700 ms, then the process ends. */
    void stop(LeaderPathEntry &entry);

    /** Returns the time from @p since to the latest of the first starts of @p jobs, after waiting for them; nothing when one does not start. */
    std::optional<Millis> startedAfter(const std::vector<JobId> &jobs, Instant since);

    /** Returns the most starts that any job has had. */
    int mostStarts();

    SystemClock clock;
    SharedRows rows;
    LeaderPathNet net;
    std::vector<std::unique_ptr<LeaderPathEntry>> entries;
    std::vector<std::unique_ptr<LeaderPathAgent>> agents;

private:
    std::vector<JobId> jobs;
    std::set<LeaderPathEntry *> ended;
    std::vector<std::thread> stopping;
};

} // namespace waxwingloft::tests

#endif
