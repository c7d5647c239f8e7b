#ifndef WAXWINGLOFT_REVIEW_EXECUTOR_H
#define WAXWINGLOFT_REVIEW_EXECUTOR_H

#include "httppeer.h"
#include "record.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace waxwingloft::review {

/** What an executor says of itself. */
struct ExecutorTraits {
    std::string host; ///< the loopback address of its machine
    std::string zone;
    std::string service;
    std::vector<std::string> labels;
    std::size_t checkpointBytes = 0; ///< of each checkpoint; zero for work units that have none
};

/** A work unit that an executor has begun. */
struct Start {
    Millis at;
    std::string executor;
    std::string zone;
    std::string task;
    std::uint32_t run = 0;
};

/** What all executors of a case have begun and ended, in order. */
class RunBook
{
public:
    explicit RunBook(Record &record);
    void started(const Start &start);
    void ended(const std::string &executor, const std::string &task, std::uint32_t run, const std::string &how);
    std::vector<Start> starts() const;

    /** Takes note of nothing any more, as the case is over. */
    void close();

    /** How many runs have ended @p how; of all tasks whose name begins with @p prefix. */
    std::size_t countEnds(const std::string &prefix, const std::string &how) const;

private:
    struct End {
        std::string task;
        std::string how;
    };

    Record &record;
    std::atomic<bool> isClosed = false;
    mutable std::mutex mutex;
    std::vector<Start> begun;
    std::vector<End> ends;
};

/**
 * An executor as the platform's pages tell it: one life after the other at one address, each with an id, a clock and a list of ends of its own.
 *
 * A work unit works for the whole milliseconds that its spec names; with the spec "lasts" until it is stopped.
 */
class Executor
{
public:
    Executor(ExecutorTraits traits, Record &record, RunBook &book);
    ~Executor();
    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    /** IP:PORT at which it takes orders; known from the beginning. */
    std::string address() const;

    /** Begins a life that reports to the agent at @p control. */
    void begin(const std::string &control);

    /** Ends the life at once, with all that runs; nobody is told. */
    void crash();

    /** From now on nothing is read or answered, and nothing is sent. */
    void fallSilent();

    /** From now on fails all that runs, shortly after its start, while it goes on reporting that it is ready. */
    void turnGrey(bool isGrey);

    /** Says "draining" from the next report on, which is sent at once. Returns whether that was acknowledged. */
    bool drain();

    /** Reports itself once, with the fields of @p other in place of its own, as another writer might. Returns the status of the answer. */
    int reportAs(const nlohmann::json &other);

    /** How many reports of this life have been sent. */
    std::uint64_t reports() const;

    bool isRunning(const std::string &taskPrefix) const;
    std::size_t countRunning() const;
    std::string id() const;
    const ExecutorTraits &description() const;

private:
    struct Run {
        std::uint32_t run = 0;
        Clock::time_point begunAt;
        Millis work; ///< in all
        Millis done; ///< before this run, from its checkpoint
    };
    struct Ended {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
        std::string checkpoint;
    };
    using Handler = void (Executor::*)(const nlohmann::json &body, httplib::Response &response);

    void openServer();
    void serve(const httplib::Request &request, httplib::Response &response, Handler handler);
    void start(const nlohmann::json &body, httplib::Response &response);
    void stop(const nlohmann::json &body, httplib::Response &response);
    void hold(const nlohmann::json &body, httplib::Response &response);
    void answer(httplib::Response &response, int status, nlohmann::json body) const;
    bool isFenced(const nlohmann::json &body, httplib::Response &response);
    void prolong(const nlohmann::json &body);
    std::int64_t clock() const;
    void settle();
    void end(const std::string &task, const std::string &how);
    Millis doneOf(const Run &run) const;
    std::string checkpointOf(const Run &run, bool isStopped) const;
    nlohmann::json report();
    int send(const nlohmann::json &body);
    void work();

    const ExecutorTraits traits;
    Record &record;
    RunBook &book;
    HttpPeer peer;
    std::string control;
    mutable std::mutex mutex;
    std::condition_variable changed;
    bool isAlive = false;
    std::atomic<bool> isSilent = false;
    std::atomic<bool> isGrey = false;
    bool isDraining = false;
    std::uint32_t life = 0;
    std::string lifeId;
    std::int64_t born = 0;
    Clock::time_point bornAt;
    std::uint64_t sequence = 0;
    std::uint64_t fence = 0;
    std::int64_t leaseEnd = 0; ///< on its own clock
    std::uint64_t lastEnd = 0;
    std::map<std::string, Run> running;
    std::map<std::string, std::uint32_t> highestOver; ///< by work unit, the highest run that was stopped or has ended here
    std::vector<Ended> ends;
    std::thread worker; ///< ends what is done or lapsed
    std::thread reporter;
};

} // namespace waxwingloft::review

#endif
