#ifndef WAXWINGLOFT_REVIEW_SITE_H
#define WAXWINGLOFT_REVIEW_SITE_H

#include "executor.h"
#include "record.h"
#include "store.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace waxwingloft::review {

/** A process of the system, started with the command of the deploy file and a settings file made from its template. */
class Daemon
{
public:
    Daemon(std::string name, const std::string &settings, const std::string &folder, std::string zoneClose);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();
    void signal(int number) const;
    bool hasEnded();

    /** The resident memory of the process; zero when it has ended. */
    std::size_t memoryMb() const;

    const std::string name;

private:
    const std::string settingsFile;
    const std::string logFile;
    const std::string zoneClose;
    std::atomic<pid_t> process = 0;
};

struct SiteOptions {
    std::size_t entries = 3;
    std::size_t startedEntries = 3; ///< of these, the first ones that are started at once
    double linkMbps = 0.0; ///< of an entry's machine towards the store; zero for one that is not felt
    std::vector<std::vector<std::string>> labels; ///< of each executor, whose number this is
    std::string zoneCloseMs; ///< the bound of a deployment whose zones can be closed; empty for others
    std::size_t checkpointBytes = 0; ///< of the executors' checkpoints; zero for none
    nlohmann::json settings; ///< the operator's first desired state
};

struct Answer {
    int status = 0; ///< zero without an answer
    nlohmann::json body;
};

/** A small deployment on loopback: the platform's store, entries, and executors each with an agent, spread over three zones. */
class Site
{
public:
    Site(Record &record, const SiteOptions &options);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /** Waits until all entries say that they are ready and all executors have reported. Returns whether that was so in time. */
    bool waitUntilReady();

    /** The same for the first @p entries of them. */
    bool waitUntilReady(std::size_t entries, Millis limit);

    Answer ask(std::size_t entry, const std::string &method, const std::string &path, const std::string &body = {}, const std::string &key = "key-1");

    /** Submits a job as a client does, who tries again at the next entry until it is accepted. Returns whether it was. */
    bool submit(const std::string &path, const nlohmann::json &job, const std::string &key = "key-1");

    /** The state of a job at any entry that answers; empty for none. */
    std::string stateOf(const std::string &path);

    Executor &executor(std::size_t number);
    std::size_t executors() const;
    void beginExecutor(std::size_t number);
    Daemon &agent(std::size_t number);
    Daemon &entry(std::size_t number);
    std::size_t entries() const;

    /** Names of the processes that have ended by themselves. */
    std::vector<std::string> endedProcesses();

    Store store;
    RunBook runs;

private:
    struct Machine {
        std::unique_ptr<Executor> executor;
        std::unique_ptr<Daemon> agent;
        std::string control;
    };

    Record &record;
    std::string folder;
    std::vector<std::unique_ptr<Daemon>> front;
    std::vector<std::string> frontAddresses;
    std::vector<std::string> readyAddresses;
    std::vector<Machine> machines;
};

/** Waits for @p limit at most until @p isMet. Returns whether it was. */
template<typename Condition>
bool waitFor(Millis limit, Condition isMet)
{
    constexpr auto Look = Millis(20);
    const auto until = Clock::now() + limit;
    while (!isMet()) {
        if (Clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(Look);
    }
    return true;
}

/** The operator's settings with one route "queue" of the service "tune", open to the tenant with key-1. */
nlohmann::json settingsWithOneRoute();

/** Returns whether the case is to be run with its disruption. */
bool hasTrouble();

/** Runs @p play for 110 s at most with the record that the command line names, and returns the exit code of the case. */
int runCase(int argc, char **argv, int (*play)(Record &record));

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

} // namespace waxwingloft::review

#endif
