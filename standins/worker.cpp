#include "announcer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <chrono>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

ABSL_FLAG(std::string, listen, "127.0.0.1:9200", "IP:PORT to take tasks on");
ABSL_FLAG(std::string, agent, "http://127.0.0.1:8200", "base URL of the agent to announce to");
ABSL_FLAG(int, processors, 128, "cores");
ABSL_FLAG(int, memory_gb, 256, "memory in GiB");
ABSL_FLAG(int, accelerators, 8, "accelerators");

namespace waxwingloft::standins {

namespace {

using nlohmann::json;
using Steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** The tasks of one order. Their state follows from the clock. */
struct TaskGroup {
    json perTask;
    int tasks = 0;
    int overuse = 1; ///< factor by which it uses more than it declared
    milliseconds runTime{0};
    milliseconds progressBefore{0}; ///< from the checkpoint that it went on from
    Steady::time_point startedAt;
    Steady::time_point leaseUntil;
    bool mustFail = false;
    std::optional<std::string> ended;
};

/** Runs tasks under leases; every order takes the time that its payload says. */
class Worker
{
public:
    void start(const httplib::Request &request, httplib::Response &response)
    {
        const auto order = json::parse(request.body, nullptr, false);
        if (!order.is_object() || !order.contains("id")) {
            response.status = 400;
            return;
        }
        const auto payload = json::parse(order.value("payload", ""), nullptr, false);
        const auto checkpoint = json::parse(order.value("resume_from", ""), nullptr, false);
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto [entry, isNew] = this->groups.try_emplace(order.value("id", ""));
        if (!isNew) {
            return;
        }
        auto &group = entry->second;
        group.perTask = order["per_task"];
        group.tasks = order.value("tasks", 1);
        group.overuse = payload.is_object() ? payload.value("overuse", 1) : 1;
        group.runTime = milliseconds(payload.is_object() ? payload.value("run_ms", 100) : 100);
        group.mustFail = payload.is_object() && payload.value("fail", false);
        group.progressBefore = milliseconds(checkpoint.is_object() ? checkpoint.value("progress_ms", 0) : 0);
        group.startedAt = Steady::now();
        group.leaseUntil = group.startedAt + milliseconds(order.value("lease_ms", 0));
    }

    void renew(const httplib::Request &request, httplib::Response &response)
    {
        const auto body = json::parse(request.body, nullptr, false);
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto found = this->groups.find(request.matches[1].str());
        if (found == this->groups.end()) {
            response.set_content(json{{"state", "unknown"}}.dump(), "application/json");
            return;
        }
        auto &group = found->second;
        settle(group);
        if (!group.ended && body.is_object()) {
            group.leaseUntil = Steady::now() + milliseconds(body.value("lease_ms", 0));
        }
        auto used = json::object();
        for (const auto &[resource, amount] : group.perTask.items()) {
            used[resource] = group.ended ? 0 : amount.get<std::int64_t>() * group.tasks * group.overuse;
        }
        response.set_content(json{{"state", group.ended.value_or("running")}, {"used", used}}.dump(), "application/json");
    }

    void checkpoint(const httplib::Request &request, httplib::Response &response)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto found = this->groups.find(request.matches[1].str());
        if (found == this->groups.end() || found->second.ended) {
            response.status = 409;
            return;
        }
        response.set_content(json{{"progress_ms", progressOf(found->second).count()}}.dump(), "application/json");
    }

    void throttle(const httplib::Request &request, httplib::Response & /*response*/)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto found = this->groups.find(request.matches[1].str());
        if (found != this->groups.end()) {
            found->second.overuse = 1;
        }
    }

    void stop(const httplib::Request &request, httplib::Response & /*response*/)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        auto &group = this->groups[request.matches[1].str()];
        settle(group);
        if (!group.ended) {
            group.ended = "stopped";
        }
    }

private:
    static milliseconds progressOf(const TaskGroup &group)
    {
        return group.progressBefore + std::chrono::duration_cast<milliseconds>(Steady::now() - group.startedAt);
    }

    /** Ends a group whose time or lease is over by now. */
    static void settle(TaskGroup &group)
    {
        if (group.ended) {
            return;
        }
        const auto doneAt = group.startedAt + (group.runTime - group.progressBefore);
        const auto now = Steady::now();
        if (doneAt <= now && doneAt <= group.leaseUntil) {
            group.ended = group.mustFail ? "failed" : "finished";
        } else if (group.leaseUntil <= now) {
            group.ended = "stopped";
        }
    }

    std::mutex mutex;
    std::map<std::string, TaskGroup> groups;
};

} // namespace

} // namespace waxwingloft::standins

int main(int argc, char **argv)
{
    using namespace waxwingloft::standins;
    absl::ParseCommandLine(argc, argv);
    blockStopSignals();
    const auto listen = absl::GetFlag(FLAGS_listen);
    Worker worker;
    httplib::Server http;
    http.Post("/v1/tasks", [&worker](const httplib::Request &request, httplib::Response &response) { worker.start(request, response); });
    http.Post("/v1/tasks/(.+)/renew", [&worker](const httplib::Request &request, httplib::Response &response) { worker.renew(request, response); });
    http.Post("/v1/tasks/(.+)/checkpoint", [&worker](const httplib::Request &request, httplib::Response &response) { worker.checkpoint(request, response); });
    http.Post("/v1/tasks/(.+)/throttle", [&worker](const httplib::Request &request, httplib::Response &response) { worker.throttle(request, response); });
    http.Post("/v1/tasks/(.+)/stop", [&worker](const httplib::Request &request, httplib::Response &response) { worker.stop(request, response); });
    const nlohmann::json announcement{{"role", "worker"},
                                      {"address", "http://" + listen},
                                      {"processors", absl::GetFlag(FLAGS_processors)},
                                      {"memory_gb", absl::GetFlag(FLAGS_memory_gb)},
                                      {"accelerators", absl::GetFlag(FLAGS_accelerators)}};
    return serveUntilStopped(http, listen, absl::GetFlag(FLAGS_agent), announcement.dump());
}
