#include "standins.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr int Refused = 409;
constexpr int OtherLife = 421;
constexpr std::int64_t LongestLeaseMs = 6000; ///< hold_max_ms of the small deployments
constexpr std::int64_t HeartbeatMs = 1500; ///< heartbeat_ms
constexpr std::int64_t CheckpointMs = 1000; ///< checkpoint_s
constexpr std::int64_t LastingMs = 1'000'000'000;
constexpr std::int64_t TickMs = 10;
constexpr std::size_t ServerThreads = 32;
const std::string WorkWord = "work ";

struct Run {
    std::uint32_t run = 0;
    std::int64_t startedAt = 0;
    std::int64_t doneBefore = 0; ///< by earlier runs, from the checkpoint
    std::int64_t work = LastingMs;

    std::int64_t doneAt(std::int64_t now) const
    {
        return std::min(this->work, this->doneBefore + now - this->startedAt);
    }

    std::string savedAt(std::int64_t now) const
    {
        const auto saved = this->doneBefore + (now - this->startedAt) / CheckpointMs * CheckpointMs;
        return saved == 0 || this->work == LastingMs ? std::string() : std::to_string(saved);
    }
};

struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
    std::string saved;
};

/** An executor that takes orders as the platform's pages tell. It doesn't guard its capacity. */
class Executor
{
public:
    Executor(const std::vector<std::string> &arguments)
        : address(arguments.at(0))
        , control(arguments.at(1))
        , id(arguments.at(2))
        , zone(arguments.at(3))
        , rack(arguments.at(4))
        , notes(arguments.at(5), std::ios::app)
        , born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , clockZero(nowMillis() - 1000)
    {
    }

    void serve(httplib::Server &http)
    {
        this->on(http, "run-start", &Executor::start);
        this->on(http, "run-stop", &Executor::stop);
        this->on(http, "hold", &Executor::hold);
    }

    void sendHeartbeats()
    {
        for (std::uint64_t sequence = 1;; ++sequence) {
            httplib::Client client(hostOf(this->control), portOf(this->control));
            client.set_connection_timeout(1);
            client.set_read_timeout(1);
            const Json body{{"service", "mould-tune"},
                            {"address", this->address},
                            {"zone", this->zone},
                            {"version", "v1"},
                            {"slots", 8},
                            {"state", "ready"},
                            {"cold_remaining_ms", 0},
                            {"capacity", {{"cpu", 128'000}, {"mem_mb", 262'144}, {"gpu", 8}}},
                            {"labels", {"a", this->rack}},
                            {"clock_ms", this->clock()},
                            {"born", this->born},
                            {"seq", sequence}};
            const auto answer = client.Post("/waxwingloft/instances/" + this->id + "/heartbeat", body.dump(), "application/json");
            std::this_thread::sleep_for(std::chrono::milliseconds(answer ? HeartbeatMs : HeartbeatMs / 5));
        }
    }

    /** Ends what is done, and everything once the lease is over. */
    void work()
    {
        while (true) {
            std::this_thread::sleep_for(std::chrono::milliseconds(TickMs));
            const std::lock_guard<std::mutex> guard(this->mutex);
            const auto now = nowMillis();
            const bool isLapsed = this->clock() >= this->deadline;
            std::vector<std::string> over;
            for (const auto &[task, run] : this->runs) {
                if (isLapsed || run.doneAt(now) >= run.work) {
                    over.push_back(task);
                }
            }
            for (const auto &task : over) {
                this->end(task, this->runs.at(task).doneAt(now) >= this->runs.at(task).work ? "done" : "lapsed");
            }
        }
    }

private:
    using Handler = void (Executor::*)(const Json &, httplib::Response &, std::unique_lock<std::mutex> &);

    void on(httplib::Server &http, const std::string &name, Handler handler)
    {
        http.Post("/waxwingloft/" + name, [this, handler](const httplib::Request &request, httplib::Response &response) {
            if (request.get_header_value("Waxwingloft-Expected-Instance") != this->id) {
                response.status = OtherLife;
                return;
            }
            const auto order = Json::parse(request.body);
            std::unique_lock<std::mutex> lock(this->mutex);
            const auto token = order.value("fencing_token", std::uint64_t(0));
            if (token < this->token) {
                this->refuse(response, "fence");
                return;
            }
            this->token = token;
            (this->*handler)(order, response, lock);
        });
    }

    std::int64_t clock() const
    {
        return nowMillis() - this->clockZero;
    }

    void answer(httplib::Response &response, Json body) const
    {
        body["clock_ms"] = this->clock();
        body["born"] = this->born;
        response.set_content(body.dump(), "application/json");
    }

    void refuse(httplib::Response &response, const std::string &reason) const
    {
        response.status = Refused;
        this->answer(response, {{"reason", reason}});
    }

    void extend(const Json &order)
    {
        if (order.contains("deadline_ms")) {
            this->deadline = std::max(this->deadline, std::min(order["deadline_ms"].get<std::int64_t>(), this->clock() + LongestLeaseMs));
        }
    }

    void start(const Json &order, httplib::Response &response, std::unique_lock<std::mutex> & /*lock*/)
    {
        const auto task = order.at("task").get<std::string>();
        const auto number = order.at("run").get<std::uint32_t>();
        const auto spec = order.at("spec").get<std::string>();
        const auto known = this->runs.find(task);
        if (known != this->runs.end() && known->second.run == number) {
            this->answer(response, Json::object());
            return;
        }
        if (number <= this->lastRun[task] || known != this->runs.end()) {
            this->extend(order);
            this->refuse(response, "old");
            return;
        }
        if (order.at("deadline_ms").get<std::int64_t>() <= this->clock()) {
            this->refuse(response, "late");
            return;
        }
        this->extend(order);
        const auto checkpoint = order.value("checkpoint", "");
        this->runs[task] = {number, nowMillis(), checkpoint.empty() ? 0 : std::strtol(checkpoint.c_str(), nullptr, 10), workOf(spec)};
        this->note({{"event", "start"}, {"task", task}, {"run", number}, {"spec", spec}, {"checkpoint", checkpoint}});
        this->answer(response, Json::object());
    }

    void stop(const Json &order, httplib::Response &response, std::unique_lock<std::mutex> & /*lock*/)
    {
        const auto task = order.at("task").get<std::string>();
        const auto number = order.at("run").get<std::uint32_t>();
        const auto known = this->runs.find(task);
        if (known != this->runs.end() && known->second.run == number) {
            this->end(task, "stopped");
        }
        this->lastRun[task] = std::max(this->lastRun[task], number);
        this->answer(response, Json::object());
    }

    void hold(const Json &order, httplib::Response &response, std::unique_lock<std::mutex> &lock)
    {
        this->extend(order);
        const auto lastSeen = order.value("last_seen", std::uint64_t(0));
        std::erase_if(this->ends, [lastSeen](const End &end) { return end.number <= lastSeen; });
        const auto wait = std::chrono::milliseconds(order.value("wait_ms", std::int64_t(0)));
        this->ended.wait_for(lock, wait, [this] { return !this->ends.empty(); });
        auto running = Json::array();
        for (const auto &[task, run] : this->runs) {
            const auto now = nowMillis();
            running.push_back({task, run.run, run.savedAt(now), run.doneAt(now) * 100 / run.work, 0});
        }
        auto ends = Json::array();
        for (const auto &end : this->ends) {
            ends.push_back({end.number, end.task, end.run, end.how, end.saved});
        }
        this->answer(response, {{"running", running}, {"ended", ends}});
    }

    void end(const std::string &task, const std::string &how)
    {
        const auto run = this->runs.at(task);
        this->runs.erase(task);
        this->lastRun[task] = std::max(this->lastRun[task], run.run);
        this->ends.push_back({++this->endCount, task, run.run, how, how == "done" ? std::string() : run.savedAt(nowMillis())});
        this->note({{"event", "end"}, {"task", task}, {"run", run.run}, {"how", how}});
        this->ended.notify_all();
    }

    void note(Json line)
    {
        line["at"] = nowMillis();
        line["executor"] = this->id;
        this->notes << line.dump() << std::endl;
    }

    static std::int64_t workOf(const std::string &spec)
    {
        return spec.starts_with(WorkWord) ? std::strtol(spec.c_str() + WorkWord.size(), nullptr, 10) : LastingMs;
    }

    const std::string address;
    const std::string control;
    const std::string id;
    const std::string zone;
    const std::string rack;
    std::ofstream notes;
    const std::int64_t born;
    const std::int64_t clockZero;
    std::mutex mutex;
    std::condition_variable ended;
    std::uint64_t token = 0;
    std::int64_t deadline = 0;
    std::map<std::string, Run> runs;
    std::map<std::string, std::uint32_t> lastRun; ///< that has ended or was stopped, by task
    std::vector<End> ends;
    std::uint64_t endCount = 0;
};

} // namespace

int runExecutor(const std::vector<std::string> &arguments)
{
    Executor executor(arguments);
    httplib::Server http;
    http.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
    http.set_tcp_nodelay(true);
    executor.serve(http);
    std::thread([&executor] { executor.sendHeartbeats(); }).detach();
    std::thread([&executor] { executor.work(); }).detach();
    const auto &address = arguments.at(0);
    return http.listen(hostOf(address), portOf(address)) ? 0 : 1;
}

} // namespace waxwingloft::review
