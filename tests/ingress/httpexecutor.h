#ifndef WAXWINGLOFT_TESTS_INGRESS_HTTPEXECUTOR_H
#define WAXWINGLOFT_TESTS_INGRESS_HTTPEXECUTOR_H

#include "connection/fakeexecutor.h"

#include <atomic>
#include <httplib.h>
#include <latch>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace waxwingloft::tests {

/** Notes nothing: these tests look at processes, not at promises. */
class SilentObserver : public RunObserver
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

/** How an executor treats starts and stops. */
enum class OrderMood {
    Answered,
    Lost, ///< not carried out, and not answered
    AnswerLost, ///< carried out, and not answered
};

struct HttpExecutorOptions {
    std::string id = "i-1";
    std::string host;
    int port = 0; ///< zero: any that is free
    std::string agentAddress;
    std::string rack = "r1-1";
    std::size_t threads = 64;
    std::function<FakeRun(const StartOrder &)> runOf;
};

/** The fake executor behind the platform's HTTP, with heartbeats of its own. */
class HttpExecutor
{
public:
    /** The @p observer is called while the executor is locked. */
    HttpExecutor(const HttpExecutorOptions &options, RunObserver &observer);

    /** Each run takes @p workTime. */
    HttpExecutor(const std::string &host, std::string agentAddress, Millis workTime);
    ~HttpExecutor();
    HttpExecutor(const HttpExecutor &) = delete;
    HttpExecutor &operator=(const HttpExecutor &) = delete;

    /** Sends a heartbeat, waits at most @p patience for its answer and returns whether it was accepted. */
    bool sendHeartbeat(Millis patience);

    std::string address() const;

    std::atomic<OrderMood> mood = OrderMood::Answered;

private:
    using Handler = void (HttpExecutor::*)(const ExecutorIncarnation &, const nlohmann::json &, httplib::Response &);

    void on(const std::string &path, Handler handler);
    void order(const ExecutorIncarnation &incarnation, const nlohmann::json &body, httplib::Response &response, Handler handler);
    void startInMood(const ExecutorIncarnation &incarnation, const nlohmann::json &body, httplib::Response &response);
    void stopInMood(const ExecutorIncarnation &incarnation, const nlohmann::json &body, httplib::Response &response);
    void start(const ExecutorIncarnation &incarnation, const nlohmann::json &body, httplib::Response &response);
    void stop(const ExecutorIncarnation &incarnation, const nlohmann::json &body, httplib::Response &response);
    void hold(const ExecutorIncarnation &incarnation, const nlohmann::json &body, httplib::Response &response);
    Result<RunListAnswer> poll(const ExecutorIncarnation &incarnation, const RunListQuery &query);

    const std::string host;
    const std::string agentAddress;
    SystemClock clock;
    std::mutex mutex; ///< guards the executor
    FakeExecutor executor;
    httplib::Server server;
    std::latch isListening{1}; ///< the library ignores a stop that comes earlier
    int port = 0;
    std::atomic<bool> isOver = false;
    std::thread serving;
    std::thread beating;
};

} // namespace waxwingloft::tests

#endif
