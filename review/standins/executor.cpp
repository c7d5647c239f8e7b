// Stand-in for one executor, by the platform's pages. A work unit does what its spec says, as JSON: "work_ms" is how long it works,
// "fails" has it fail on each run, "saves" has it keep checkpoints. SIGUSR1 has each run fail that starts from then on, SIGUSR2 ends that.
// SIGTERM has it drain and leave.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

constexpr std::int64_t LongestHoldMs = 6000; ///< hold_max_ms
constexpr std::int64_t StopMs = 20; ///< below stop_ms
constexpr std::int64_t FailureMs = 200; ///< after which a run fails
constexpr std::int64_t CheckpointMs = 1000; ///< checkpoint_s
constexpr std::int64_t RestoreMs = 100; ///< restore_ms
constexpr std::int64_t DrainMs = 2500; ///< drain_ms
constexpr std::size_t MostEnds = 500;
constexpr auto HeartbeatPeriod = std::chrono::milliseconds(1500);
constexpr auto StepPeriod = std::chrono::milliseconds(10);
constexpr std::size_t Threads = 64;

struct Options {
    std::string id;
    std::string address;
    std::string control;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t gpu = 0;
    std::string record;
};

struct Run {
    std::uint32_t number = 0;
    std::int64_t startedAt = 0;
    std::int64_t workMs = 0;
    std::int64_t doneBefore = 0; ///< work in the checkpoint that it resumes from
    bool fails = false;
    bool saves = false;
    std::optional<std::int64_t> stopsAt;
};

std::string checkpointOf(std::int64_t progress, std::int64_t workMs)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%08llx%08llx", static_cast<unsigned long long>(progress), static_cast<unsigned long long>(workMs));
    return text.data();
}

std::int64_t progressOf(const std::string &checkpoint)
{
    return checkpoint.size() < 8 ? 0 : std::stoll(checkpoint.substr(0, 8), nullptr, 16);
}

class Executor
{
public:
    explicit Executor(Options options)
        : options(std::move(options))
        , record(::open(this->options.record.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
        , bornAt(Steady::now())
        , born(wallMs())
    {
        this->note("begins a life, born " + std::to_string(this->born));
    }

    void serve(httplib::Server &http)
    {
        this->on(http, "/waxwingloft/run-start", &Executor::start);
        this->on(http, "/waxwingloft/run-stop", &Executor::stop);
        this->on(http, "/waxwingloft/hold", &Executor::hold);
    }

    void setGrey(bool grey)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->isGrey = grey;
        this->note(grey ? "fails all that it starts" : "works again");
    }

    void work()
    {
        while (!this->isOver) {
            std::this_thread::sleep_for(StepPeriod);
            const std::lock_guard<std::mutex> guard(this->mutex);
            this->step();
        }
    }

    /** Sends a heartbeat in each period until the executor leaves. */
    void announce()
    {
        std::optional<Steady::time_point> drainAcknowledgedAt;
        while (!this->isOver) {
            const bool drains = this->isDraining;
            const bool isAcknowledged = this->sendHeartbeat(drains);
            if (drains && isAcknowledged) {
                drainAcknowledgedAt = drainAcknowledgedAt.value_or(Steady::now());
            }
            const auto next = Steady::now() + HeartbeatPeriod;
            while (Steady::now() < next && drains == this->isDraining) {
                std::this_thread::sleep_for(StepPeriod);
                if (drainAcknowledgedAt && Steady::now() - *drainAcknowledgedAt >= std::chrono::milliseconds(DrainMs + 200)) {
                    this->leave();
                    return;
                }
            }
        }
    }

    void drain()
    {
        this->note("drains");
        this->isDraining = true;
    }

private:
    using Handler = void (Executor::*)(const Json &, httplib::Response &);

    static std::int64_t wallMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::int64_t clock() const
    {
        return 1 + std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - this->bornAt).count();
    }

    void note(const std::string &text) const
    {
        const auto line = std::to_string(wallMs()) + " executor " + this->options.id + " " + text + "\n";
        if (::write(this->record, line.data(), line.size()) < 0) {
            std::cerr << "the record cannot be written\n";
        }
    }

    void on(httplib::Server &http, const std::string &path, Handler handler)
    {
        http.Post(path, [this, handler](const httplib::Request &request, httplib::Response &response) {
            if (request.has_header("Waxwingloft-Expected-Instance") && request.get_header_value("Waxwingloft-Expected-Instance") != this->options.id) {
                response.status = 421;
                return;
            }
            const auto body = Json::parse(request.body, nullptr, false);
            if (!body.is_object()) {
                response.status = 400;
                return;
            }
            (this->*handler)(body, response);
        });
    }

    void answer(httplib::Response &response, Json body) const
    {
        body["clock_ms"] = this->clock();
        body["born"] = this->born;
        response.set_content(body.dump(), "application/json");
    }

    void refuse(httplib::Response &response, const std::string &reason) const
    {
        response.status = 409;
        this->answer(response, {{"reason", reason}});
    }

    /** Whether the order has a token that is not lower than the highest seen. */
    bool passesFence(const Json &body)
    {
        const auto token = body.value("fencing_token", std::uint64_t(0));
        if (token < this->highestToken) {
            return false;
        }
        this->highestToken = token;
        return true;
    }

    void prolong(const Json &body)
    {
        const auto wanted = std::min(body.value("deadline_ms", std::int64_t(0)), this->clock() + LongestHoldMs);
        this->deadline = std::max(this->deadline, wanted);
    }

    std::string checkpointOfRun(const Run &run) const
    {
        const auto done = run.doneBefore + std::max<std::int64_t>(0, this->clock() - run.startedAt);
        const auto saved = run.stopsAt ? done : done / CheckpointMs * CheckpointMs;
        return run.saves && saved > 0 ? checkpointOf(saved, run.workMs) : std::string();
    }

    void end(const std::string &task, const Run &run, const std::string &how)
    {
        const auto checkpoint = how == "done" ? std::string() : this->checkpointOfRun(run);
        this->note("ends " + task + " run " + std::to_string(run.number) + " " + how);
        this->lastRun[task] = std::max(this->lastRun[task], run.number);
        this->ends.push_back(Json{this->nextEnd++, task, run.number, how, checkpoint});
    }

    void step()
    {
        const auto now = this->clock();
        bool hasEnds = false;
        for (auto item = this->runs.begin(); item != this->runs.end();) {
            const auto &run = item->second;
            const auto worked = now - run.startedAt;
            std::string how;
            if (run.stopsAt && now >= *run.stopsAt) {
                how = "stopped";
            } else if (now > this->deadline) {
                how = "lapsed";
            } else if (run.fails && worked >= FailureMs) {
                how = "failed";
            } else if (!run.fails && !run.stopsAt && worked + run.doneBefore >= run.workMs) {
                how = "done";
            }
            if (how.empty()) {
                ++item;
                continue;
            }
            this->end(item->first, run, how);
            item = this->runs.erase(item);
            hasEnds = true;
        }
        if (hasEnds) {
            this->changed.notify_all();
        }
    }

    void start(const Json &body, httplib::Response &response)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto task = body.value("task", "");
        const auto number = body.value("run", std::uint32_t(0));
        if (task.empty() || number == 0) {
            response.status = 400;
            return;
        }
        if (!this->passesFence(body)) {
            this->refuse(response, "fence");
            return;
        }
        const auto present = this->runs.find(task);
        if (present != this->runs.end() && present->second.number == number) {
            this->prolong(body);
            this->answer(response, Json::object());
            return;
        }
        const auto last = this->lastRun.find(task);
        if (present != this->runs.end() || (last != this->lastRun.end() && number <= last->second)) {
            this->prolong(body);
            this->refuse(response, "old");
            return;
        }
        if (body.value("deadline_ms", std::int64_t(0)) <= this->clock()) {
            this->refuse(response, "late");
            return;
        }
        this->prolong(body);
        const auto spec = Json::parse(body.value("spec", ""), nullptr, false);
        const auto checkpoint = body.value("checkpoint", "");
        Run run;
        run.number = number;
        run.startedAt = this->clock() + (checkpoint.empty() ? 0 : RestoreMs);
        run.workMs = spec.is_object() ? spec.value("work_ms", std::int64_t(1000)) : 1000;
        run.doneBefore = progressOf(checkpoint);
        run.fails = this->isGrey || (spec.is_object() && spec.value("fails", false));
        run.saves = spec.is_object() && spec.value("saves", false);
        this->runs[task] = run;
        this->note("starts " + task + " run " + std::to_string(number) + (checkpoint.empty() ? "" : " from " + checkpoint));
        this->answer(response, Json::object());
    }

    void stop(const Json &body, httplib::Response &response)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (!this->passesFence(body)) {
            this->refuse(response, "fence");
            return;
        }
        const auto task = body.value("task", "");
        const auto number = body.value("run", std::uint32_t(0));
        this->lastRun[task] = std::max(this->lastRun[task], number);
        const auto present = this->runs.find(task);
        if (present != this->runs.end() && present->second.number <= number && !present->second.stopsAt) {
            present->second.stopsAt = this->clock() + StopMs;
        }
        this->answer(response, Json::object());
    }

    void hold(const Json &body, httplib::Response &response)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        if (!this->passesFence(body)) {
            this->refuse(response, "fence");
            return;
        }
        if (body.contains("deadline_ms")) {
            this->prolong(body);
        }
        const auto seen = body.value("last_seen", std::uint64_t(0));
        std::erase_if(this->ends, [seen](const Json &row) { return row.at(0).get<std::uint64_t>() <= seen; });
        const auto wait = std::chrono::milliseconds(std::min<std::int64_t>(body.value("wait_ms", std::int64_t(0)), 2000));
        const auto known = this->nextEnd;
        this->changed.wait_for(lock, wait, [this, known] { return this->nextEnd != known; });
        auto running = Json::array();
        for (const auto &[task, run] : this->runs) {
            const auto done = run.doneBefore + std::max<std::int64_t>(0, this->clock() - run.startedAt);
            running.push_back(
                Json{task, run.number, this->checkpointOfRun(run), std::min<std::int64_t>(100, done * 100 / std::max<std::int64_t>(1, run.workMs)), 0});
        }
        auto ended = Json::array();
        for (std::size_t index = 0; index < std::min(MostEnds, this->ends.size()); ++index) {
            ended.push_back(this->ends[index]);
        }
        this->answer(response, {{"running", running}, {"ended", ended}});
    }

    bool sendHeartbeat(bool drains)
    {
        Json body{{"service", this->options.service},
                  {"address", this->options.address},
                  {"zone", this->options.zone},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", drains ? "draining" : "ready"},
                  {"cold_remaining_ms", 0},
                  {"capacity", {{"cpu", this->options.cpu}, {"mem_mb", this->options.memory}, {"gpu", this->options.gpu}}},
                  {"labels", this->options.labels},
                  {"clock_ms", this->clock()},
                  {"seq", ++this->sequence},
                  {"born", this->born}};
        if (drains) {
            body["remaining_ms"] = DrainMs;
        }
        return this->post("heartbeat", body);
    }

    void leave()
    {
        this->note("leaves");
        this->post("deregister", {{"born", this->born}});
        const std::lock_guard<std::mutex> guard(this->mutex);
        for (const auto &[task, run] : this->runs) {
            this->note("ends " + task + " run " + std::to_string(run.number) + " with its executor");
        }
        std::_Exit(0);
    }

    bool post(const std::string &call, const Json &body)
    {
        httplib::Client client("http://" + this->options.control);
        client.set_connection_timeout(1);
        client.set_read_timeout(1);
        const auto result = client.Post("/waxwingloft/instances/" + this->options.id + "/" + call, body.dump(), "application/json");
        return result && result->status / 100 == 2;
    }

    const Options options;
    const int record;
    const Steady::time_point bornAt;
    const std::int64_t born;
    std::atomic<bool> isOver = false;
    std::atomic<bool> isDraining = false;
    std::uint64_t sequence = 0;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t highestToken = 0;
    std::int64_t deadline = 0;
    std::map<std::string, Run> runs;
    std::map<std::string, std::uint32_t> lastRun; ///< highest run that was stopped or ended here
    std::vector<Json> ends;
    std::uint64_t nextEnd = 1;
    bool isGrey = false;
};

Options parseOptions(const Json &json)
{
    return {json.at("id").get<std::string>(),
            json.at("address").get<std::string>(),
            json.at("control").get<std::string>(),
            json.at("service").get<std::string>(),
            json.value("zone", "zone-a"),
            json.value("labels", std::vector<std::string>()),
            json.value("cpu", std::int64_t(128'000)),
            json.value("mem_mb", std::int64_t(262'144)),
            json.value("gpu", std::int64_t(8)),
            json.at("record").get<std::string>()};
}

} // namespace

} // namespace waxwingloft::review

int main(int argc, char **argv)
{
    using namespace waxwingloft::review;
    if (argc != 2) {
        std::cerr << "usage: executor OPTIONS, a JSON object\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGUSR1, SIGUSR2}) {
        sigaddset(&signals, signal);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto options = parseOptions(Json::parse(argv[1]));
    Executor executor(options);
    httplib::Server http;
    http.new_task_queue = [] { return new httplib::ThreadPool(Threads); };
    http.set_tcp_nodelay(true);
    http.set_keep_alive_max_count(1'000'000);
    http.set_keep_alive_timeout(60);
    executor.serve(http);
    const auto colon = options.address.rfind(':');
    if (!http.bind_to_port(options.address.substr(0, colon), std::stoi(options.address.substr(colon + 1)))) {
        std::cerr << "cannot listen on " << options.address << "\n";
        return 2;
    }
    std::thread([&http] { http.listen_after_bind(); }).detach();
    std::thread([&executor] { executor.work(); }).detach();
    std::thread([&executor] { executor.announce(); }).detach();
    while (true) {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal == SIGTERM) {
            executor.drain();
        } else {
            executor.setGrey(signal == SIGUSR1);
        }
    }
}
