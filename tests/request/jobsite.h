#ifndef WAXWINGLOFT_TESTS_REQUEST_JOBSITE_H
#define WAXWINGLOFT_TESTS_REQUEST_JOBSITE_H

#include "connection/fakeexecutor.h"
#include "operatorzones.h"
#include "process/faketable.h"
#include "process/manualclock.h"
#include "waxwingloft/request/executorcontroller.h"
#include "waxwingloft/request/jobcache.h"
#include "waxwingloft/request/jobrows.h"
#include "waxwingloft/request/taskplacer.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwingloft::tests {

/** Checks the runs on the executors against the guarantees given to callers. */
class InvariantChecker : public RunObserver
{
public:
    void started(const std::string &executor, const TaskRun &run, const std::string &spec) override;
    void ended(const std::string &executor, const TaskRun &run, RunEnd how) override;
    void noted(const std::string &executor, const TaskRun &run, RunEnd how) override;
    void crashed(const std::string &executor, const std::string &successor, const TaskRun *culprit) override;

    /** Registers a submitted job; its steps give the order, the spec and the capacity that runs are checked against. */
    void expect(const JobSubmission &job);

    /** Reports every later start of a run of the job as a violation. */
    void forbid(const JobId &job);

    /** Reports each start in @p zone as a violation from @p from on. */
    void closeZone(const std::string &zone, Instant from);
    void openZone(const std::string &zone);

    /** Returns how many runs of @p task, or of its gang, have ended as failed. */
    std::size_t failedRunsOf(const TaskKey &task) const;

    std::map<std::string, Capacity> capacities; ///< by executor
    std::map<std::string, std::string> zones; ///< by executor; left out, it is in none
    Clock *clock = nullptr; ///< needed where zones close
    std::vector<std::string> violations; ///< one description per violated guarantee
    std::map<TaskKey, std::uint32_t> starts;
    std::map<TaskKey, std::uint32_t> crashes; ///< of executors, by the task that caused them
    std::map<TaskKey, std::uint32_t> crashesUnder; ///< of executors, by the tasks that ran there
    std::map<std::string, std::set<TaskRun>> running; ///< by executor

private:
    Capacity heldBy(const std::string &executor) const;
    void checkOrder(const TaskRun &run);
    void checkCrashes(const TaskRun &run);
    void checkZone(const std::string &executor, const TaskRun &run);
    TaskKey attemptKeyOf(const TaskKey &task) const;
    void checkAttempts(const TaskKey &attempts);

    using Runs = std::set<std::uint32_t>;
    std::map<std::string, Instant> closedFrom; ///< by zone
    std::map<JobId, JobSubmission> jobs;
    std::set<JobId> forbidden;
    std::map<TaskKey, std::uint32_t> startsDespiteCrashes;
    std::map<TaskKey, Runs> failedRuns; ///< of a task, or of a gang by its first member
    std::map<TaskKey, Runs> notedFailures;
    std::map<TaskKey, std::vector<Runs>> startsAfterFailures; ///< the runs that had failed before each start
    std::set<TaskKey> done;
    std::set<TaskKey> notedDone;
    std::set<TaskRun> doneRuns;
    std::set<TaskRun> overtaken; ///< done runs whose task was started again; a violation once such an end is noted
};

/** An agent with its executor and the times of its next actions. */
struct SiteAgent {
    std::string name;
    std::unique_ptr<FakeExecutor> executor;
    std::unique_ptr<Metrics> metrics = std::make_unique<Metrics>();
    std::unique_ptr<ExecutorController> controller;
    bool isAlive = true;
    bool isCut = false; ///< cut off from all placers
    std::uint64_t reportedChanges = 0;
    Instant nextReport;
    Instant nextRunListQuery;
    Instant nextHeartbeat;
};

/** A placer's view of the closed zones, read as a TableFollower reads it. */
struct SiteZones {
    explicit SiteZones(Clock &clock);

    ZoneView view;
    OperatorZones observer;
    std::optional<Instant> askedAt; ///< of the open question to the feed; nothing before the first list
    std::vector<std::uint64_t> revisions; ///< of the rows that were read last
};

/** A placer with its job cache and the writes it has in flight. */
struct SitePlacer {
    std::unique_ptr<Metrics> metrics = std::make_unique<Metrics>();
    std::unique_ptr<TaskPlacer> placer;
    std::unique_ptr<JobCache> cache;
    std::unique_ptr<SiteZones> zones;
    bool isAlive = true;
    bool reachesTable = true;
    bool seesZones = true; ///< its questions on the operator's rows are answered
    std::vector<ProgressWrite> writing;
    std::uint64_t cacheRevision = 0;
};

/** Simulates placers, agents and executors on virtual time with an in-memory table. Deterministic. */
class JobSite
{
public:
    explicit JobSite(std::size_t agents, std::size_t placers = 2, std::optional<Millis> zoneCloseTime = std::nullopt);

    /** Submits a job by writing it to the table, as an entry does. */
    JobId submit(const JobGraph &graph, int priority = 1, const std::string &workspace = "plant");
    void cancel(const JobId &job);

    /** Puts the executor of agent @p index into @p zone; its next heartbeat says so. */
    void placeInZone(std::size_t index, const std::string &zone);

    /** Closes the zone as the operator does; the checker reports starts there after the close time. */
    void closeZone(const std::string &zone);
    void openZone(const std::string &zone);

    void advance(Millis duration);

    /** Advances until the job reaches a final state or @p limit has passed. Returns its state. */
    JobPhase finish(const JobId &job, Millis limit);
    JobPhase stateOf(const JobId &job) const;
    JobProgress progressOf(const JobId &job) const;

    /** Makes placer @p index leader. */
    void elect(std::size_t index);

    /** Lets the agent report to @p site, which need not be the leader any more, unless either is cut off or has ended. */
    void reportTo(SiteAgent &agent, SitePlacer &site);

    /** Restarts the agent's process; its executor keeps running. */
    void restartAgent(std::size_t index);

    ManualClock clock;
    FakeRows rows;
    InvariantChecker checker;
    std::vector<SiteAgent> agents;
    std::vector<SitePlacer> placers;
    std::optional<std::size_t> leader;
    RoutingTable routes;
    std::set<TaskKey> deadly; ///< tasks that crash each executor that starts them

private:
    void step();
    void stepAgent(SiteAgent &agent);
    void stepPlacer(SitePlacer &site);
    void readZones(SiteZones &zones);
    void writeBounds(SitePlacer &site);
    void report(SiteAgent &agent);
    void drawGeneration(SiteAgent &agent);
    void startController(SiteAgent &agent, std::size_t index);

    const std::optional<Millis> zoneCloseTime;
    std::uint64_t nextJob = 1;
};

/** Makes all runs that start from now on take @p time. */
void makeRunsLastFor(JobSite &site, Millis time);

/** Fails the test with each violation that the checker has seen. */
void expectNoViolations(const JobSite &site);

/** Returns a job graph with a single step. */
JobGraph oneStep(std::uint32_t count, Capacity needs, bool isGang = false);

/** Returns a number below the given one. */
using Draw = std::function<std::uint64_t(std::uint64_t)>;

/**
 * Draws a job of one step: up to @p mostTasks tasks, of the first or the second of @p needs, a gang in one of three.
 *
 * Draws one value a statement, as compilers for x86-64 and arm64 evaluate the arguments of a call in different orders and a seed must mean the same on both.
 */
JobGraph drawStep(const Draw &draw, std::uint64_t mostTasks, const std::array<Capacity, 2> &needs);

} // namespace waxwingloft::tests

#endif
