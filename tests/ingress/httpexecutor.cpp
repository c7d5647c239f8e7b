#include "httpexecutor.h"

#include "waxwingloft/process/taskkey.h"

#include <stdexcept>

namespace waxwingloft::tests {

namespace {

using Json = nlohmann::json;

constexpr auto HeartbeatPeriod = Millis(500);
constexpr auto SilentTime = Millis(5000); ///< longer than an agent waits for the answer to an order
constexpr auto Look = Millis(10);
constexpr int StatusOk = 200;
constexpr int StatusRefused = 409;
constexpr int StatusOtherLife = 421;

Json stampOf(const ExecutorStamp &stamp)
{
    return {{"clock_ms", stamp.clock.count()}, {"born", stamp.startedAt.value_or(0)}};
}

std::string reasonOf(RefusalReason reason)
{
    return reason == RefusalReason::Fenced ? "fence" : reason == RefusalReason::OldRun ? "old" : "late";
}

std::string wordOf(RunEnd end)
{
    return end == RunEnd::Done ? "done" : end == RunEnd::Stopped ? "stopped" : end == RunEnd::Lapsed ? "lapsed" : "failed";
}

HttpExecutorOptions optionsOf(const std::string &host, std::string agentAddress, Millis workTime)
{
    HttpExecutorOptions options;
    options.host = host;
    options.agentAddress = std::move(agentAddress);
    options.runOf = [workTime](const StartOrder &) {
        FakeRun run;
        run.endsAt = workTime;
        return run;
    };
    return options;
}

RunObserver &silentObserver()
{
    static SilentObserver observer;
    return observer;
}

TaskRun runOf(const Json &body)
{
    return {parseTaskKey(body.at("task").get<std::string>()).value_or(TaskKey{}), body.at("run").get<std::uint32_t>()};
}

} // namespace

HttpExecutor::HttpExecutor(const HttpExecutorOptions &options, RunObserver &observer)
    : host(options.host)
    , agentAddress(options.agentAddress)
    , executor(this->clock, options.id, observer)
{
    this->executor.runOf = options.runOf;
    this->executor.rack = options.rack;
    this->on("/waxwingloft/run-start", &HttpExecutor::startInMood);
    this->on("/waxwingloft/run-stop", &HttpExecutor::stopInMood);
    this->on("/waxwingloft/hold", &HttpExecutor::hold);
    this->server.set_tcp_nodelay(true);
    this->server.new_task_queue = [this, threads = options.threads] {
        this->isListening.count_down();
        return new httplib::ThreadPool(threads);
    };
    if (options.port == 0) {
        this->port = this->server.bind_to_any_port(options.host);
    } else if (this->server.bind_to_port(options.host, options.port)) {
        this->port = options.port;
    } else {
        throw std::runtime_error("the executor cannot listen on " + options.host + ":" + std::to_string(options.port));
    }
    this->serving = std::thread([this] { this->server.listen_after_bind(); });
    this->beating = std::thread([this] {
        while (!this->isOver) {
            this->sendHeartbeat(Millis(1000));
            for (auto slept = Millis(0); slept < HeartbeatPeriod && !this->isOver; slept += Look) {
                std::this_thread::sleep_for(Look);
            }
        }
    });
    this->isListening.wait();
}

HttpExecutor::HttpExecutor(const std::string &host, std::string agentAddress, Millis workTime)
    : HttpExecutor(optionsOf(host, std::move(agentAddress), workTime), silentObserver())
{
}

HttpExecutor::~HttpExecutor()
{
    this->isOver = true;
    this->server.stop();
    this->beating.join();
    this->serving.join();
}

std::string HttpExecutor::address() const
{
    return this->host + ":" + std::to_string(this->port);
}

bool HttpExecutor::sendHeartbeat(Millis patience)
{
    ExecutorHeartbeat heartbeat;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        heartbeat = this->executor.heartbeat();
    }
    const Json body{{"service", heartbeat.service},
                    {"address", this->address()},
                    {"zone", "zone-a"},
                    {"state", "ready"},
                    {"capacity", {{"cpu", heartbeat.capacity.milliCores}, {"mem_mb", heartbeat.capacity.memoryMb}, {"gpu", heartbeat.capacity.accelerators}}},
                    {"labels", heartbeat.labels},
                    {"seq", heartbeat.sequence},
                    {"born", heartbeat.incarnation.startedAt}};
    httplib::Client client("http://" + this->agentAddress);
    client.set_connection_timeout(patience);
    client.set_read_timeout(patience);
    const auto answer = client.Post("/waxwingloft/instances/" + heartbeat.incarnation.id + "/heartbeat", body.dump(), "application/json");
    return answer && answer->status == StatusOk;
}

void HttpExecutor::on(const std::string &path, Handler handler)
{
    this->server.Post(path, [this, handler](const httplib::Request &request, httplib::Response &response) {
        const ExecutorIncarnation incarnation{request.get_header_value("Waxwingloft-Expected-Instance"), 0};
        (this->*handler)(incarnation, Json::parse(request.body), response);
    });
}

void HttpExecutor::order(const ExecutorIncarnation &incarnation, const Json &body, httplib::Response &response, Handler handler)
{
    const auto mood = this->mood.load();
    if (mood != OrderMood::Lost) {
        (this->*handler)(incarnation, body, response);
    }
    if (mood != OrderMood::Answered) {
        const auto until = this->clock.now() + SilentTime;
        while (this->clock.now() < until && !this->isOver) {
            std::this_thread::sleep_for(Look);
        }
    }
}

void HttpExecutor::startInMood(const ExecutorIncarnation &incarnation, const Json &body, httplib::Response &response)
{
    this->order(incarnation, body, response, &HttpExecutor::start);
}

void HttpExecutor::stopInMood(const ExecutorIncarnation &incarnation, const Json &body, httplib::Response &response)
{
    this->order(incarnation, body, response, &HttpExecutor::stop);
}

void HttpExecutor::start(const ExecutorIncarnation &incarnation, const Json &body, httplib::Response &response)
{
    StartOrder order;
    order.run = runOf(body);
    order.spec = body.at("spec").get<std::string>();
    order.leaseEnd = Millis(body.at("deadline_ms").get<std::int64_t>());
    order.fencingToken = body.at("fencing_token").get<std::uint64_t>();
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->executor.advance();
    const auto answer = this->executor.start(incarnation, order);
    if (!succeeded(answer)) {
        response.status = StatusOtherLife;
        return;
    }
    auto json = stampOf(valueOf(answer).stamp);
    if (valueOf(answer).refusal != RefusalReason::None) {
        response.status = StatusRefused;
        json["reason"] = reasonOf(valueOf(answer).refusal);
    }
    response.set_content(json.dump(), "application/json");
}

void HttpExecutor::stop(const ExecutorIncarnation &incarnation, const Json &body, httplib::Response &response)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->executor.advance();
    const auto answer = this->executor.stop(incarnation, runOf(body), body.at("fencing_token").get<std::uint64_t>());
    if (succeeded(answer)) {
        response.set_content(stampOf(valueOf(answer)).dump(), "application/json");
    } else {
        response.status = errorOf(answer).kind == ErrorKind::Stale ? StatusOtherLife : StatusRefused;
    }
}

Result<RunListAnswer> HttpExecutor::poll(const ExecutorIncarnation &incarnation, const RunListQuery &query)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->executor.advance();
    return this->executor.pollRuns(incarnation, query);
}

void HttpExecutor::hold(const ExecutorIncarnation &incarnation, const Json &body, httplib::Response &response)
{
    RunListQuery query;
    query.fencingToken = body.at("fencing_token").get<std::uint64_t>();
    query.acknowledgedEnds = body.at("last_seen").get<std::uint64_t>();
    if (body.contains("deadline_ms")) {
        query.leaseEnd = Millis(body.at("deadline_ms").get<std::int64_t>());
    }
    const auto until = this->clock.now() + Millis(body.value("wait_ms", std::int64_t(0)));
    auto answer = this->poll(incarnation, query);
    while (succeeded(answer) && valueOf(answer).ended.empty() && this->clock.now() < until && !this->isOver) {
        std::this_thread::sleep_for(Look);
        answer = this->poll(incarnation, query);
    }
    if (!succeeded(answer)) {
        response.status = StatusOtherLife;
        return;
    }
    auto json = stampOf(valueOf(answer).stamp);
    json["running"] = Json::array();
    json["ended"] = Json::array();
    for (const auto &run : valueOf(answer).running) {
        json["running"].push_back(Json::array({toString(run.run.task), run.run.run, run.checkpoint, run.percent, 0}));
    }
    for (const auto &end : valueOf(answer).ended) {
        json["ended"].push_back(Json::array({end.number, toString(end.run.task), end.run.run, wordOf(end.end), end.checkpoint}));
    }
    response.set_content(json.dump(), "application/json");
}

} // namespace waxwingloft::tests
