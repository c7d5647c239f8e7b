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

/** What every process of a site has. Kept until the end of the test, also after a kill. */
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
    std::set<int> activeTicks; ///< ticks that are on the stack and must not be entered again
    SettingsVersion highestVersion = 0;
};

/**
 * A few processes with fakes at every interface, in one thread and under a virtual clock.
 *
 * Two entries, two backend servers and three workers in one rack. Whenever anything sleeps or times
 * out, the other processes go on. Every run with the same faults is the same.
 */
class Site
{
public:
    static constexpr Millis TaskRunTime{6000};

    Site();
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /** Lets time pass for all processes. */
    void advance(Millis duration);

    /** Kills a process; restart() brings it back empty. */
    void kill(const std::string &name);
    void restart(const std::string &name);

    /** Lets an agent leave; heal() replaces it. */
    void drain(const std::string &name);

    /** Kills the agent and the worker of a host. */
    void loseHost(const std::string &name);

    /** Stands a process still for so long that all its leases lapse. */
    void freezePastLeases(const std::string &name);

    /** Ends all faults and lets the site come to rest. */
    void heal();

    bool isUp(const std::string &name) const;
    SiteProcess &process(const std::string &name);
    EntryService &entry(const std::string &name);
    std::vector<SiteProcess *> live();

    /** Runs @p action as code of the process; returns false when a fault killed the process meanwhile. */
    bool runAs(const std::string &name, const std::function<void()> &action);

    /** Puts a setting in place through an entry. */
    Result<SettingsVersion> setSettings(const std::string &entryName, const std::string &path, const nlohmann::json &value, SettingsVersion expected = 0);

    /** Returns the first broken invariant that was seen so far, or nothing. */
    const std::string &violation() const;

    void report(const std::string &text);

    ManualClock clock;
    FaultPlan plan;
    FakeRows rows;
    FakeObjects objects;
    FakeNet net;
    RunCounts runs;
    std::map<std::string, std::unique_ptr<FakeWorker>> workers;

    std::map<std::string, std::string> jobOf; ///< job of every attempt that its row has named

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
    std::set<std::string> busy; ///< processes whose calls must not be entered by ticks
    std::deque<std::pair<std::string, std::function<void()>>> deferred;
    std::map<std::string, Instant> partiallyRunningSince; ///< gang attempts that run with only part of their members
    std::map<std::string, std::set<std::string>> membersOf;
    std::string firstViolation;
};

} // namespace waxwingloft::tests

#endif
