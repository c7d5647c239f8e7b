#ifndef WAXWINGLOFT_TESTS_REQUEST_SITE_H
#define WAXWINGLOFT_TESTS_REQUEST_SITE_H

#include "../connection/fakebackend.h"
#include "../connection/fakenet.h"
#include "../connection/fakeworker.h"
#include "../process/faketable.h"
#include "waxwingloft/request/agentservice.h"
#include "waxwingloft/request/entryservice.h"

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace waxwingloft::tests {

/** One simulated process. Destroyed only at the end of the test, even when killed earlier. */
struct SiteProcess {
    SiteProcess(class Site &site, std::string name, std::string address, Incarnation incarnation);

    const std::string name;
    const std::string address;
    const Incarnation incarnation;
    const std::shared_ptr<bool> isAlive;
    EventLog events;
    Metrics metrics;
    IdSource ids;
    SettingsPublisher settings;
    SettingsSync sync;
    FakeTable tableView;
    TableClient table;
    FakePort port;
    std::unique_ptr<EntryService> entry;
    std::unique_ptr<AgentService> agent;
    std::set<int> activeTicks; ///< ticks on the call stack, which must not be re-entered
    SettingsVersion highestVersion = 0;
};

/**
 * Simulates a site in one thread under a virtual clock, with fakes for network, table and workers.
 *
 * It has two entries, two backend servers and three workers in one rack. While one process sleeps or waits for a
 * timeout, the others continue. Runs with the same faults are identical.
 */
class Site
{
public:
    static constexpr Millis TaskRunTime{6000};

    Site();
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /** Advances the clock in steps and runs the due ticks of all processes. */
    void advance(Millis duration);

    /** Kills a process; restart() starts a new incarnation without its state. */
    void kill(const std::string &name);
    void restart(const std::string &name);

    /** Drains an agent; heal() restarts it. */
    void drain(const std::string &name);

    /** Kills the agent of a host together with the tasks on its worker. */
    void loseHost(const std::string &name);

    /** Suspends a process until all its leases have expired. */
    void freezePastLeases(const std::string &name);

    /** Ends all faults, restarts killed processes and waits until the site has settled. */
    void heal();

    bool isUp(const std::string &name) const;
    SiteProcess &process(const std::string &name);
    EntryService &entry(const std::string &name);
    std::vector<SiteProcess *> live();

    /** Runs @p action in the process; returns false when a fault killed the process during it. */
    bool runAs(const std::string &name, const std::function<void()> &action);

    /** Changes a setting through an entry. */
    Result<SettingsVersion> setSettings(const std::string &entryName, const std::string &path, const nlohmann::json &value, SettingsVersion expected = 0);

    /** Returns the first invariant violation found so far, or an empty text. */
    const std::string &violation() const;

    void report(const std::string &text);

    ManualClock clock;
    FaultPlan plan;
    FakeRows rows;
    FakeObjects objects;
    FakeNet net;
    RunCounts runs;
    std::map<std::string, std::unique_ptr<FakeWorker>> workers;

    std::map<std::string, std::string> jobOf; ///< job by attempt, for every attempt seen in a job row

    static const std::string operatorToken;
    static const std::string callerToken;

private:
    friend struct SiteProcess;

    void startProcess(const std::string &name);
    void tick(SiteProcess &process);
    void tickOnce(SiteProcess &process, int tickNumber, Millis interval, const std::function<void()> &action);
    void runDeferred();
    void thawDueProcesses();
    void checkGangs();
    void checkSettingsVersion(SiteProcess &process);

    Incarnation nextIncarnation = 1;
    int depth = 0;
    std::map<std::string, std::unique_ptr<SiteProcess>> processes;
    std::vector<std::unique_ptr<SiteProcess>> killed;
    std::map<std::string, Instant> thawAt;
    std::set<std::string> drained;
    std::set<std::string> busy; ///< processes inside a call that ticks must not interrupt
    std::deque<std::pair<std::string, std::function<void()>>> deferred;
    std::map<std::string, Instant> partiallyRunningSince; ///< since when a gang attempt has run on only part of its members
    std::map<std::string, std::set<std::string>> membersOf;
    std::string firstViolation;
};

} // namespace waxwingloft::tests

#endif
