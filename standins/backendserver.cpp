#include "announcer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <atomic>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

ABSL_FLAG(std::string, listen, "127.0.0.1:9100", "IP:PORT to take requests on");
ABSL_FLAG(std::string, agent, "http://127.0.0.1:8100", "base URL of the agent to announce to");
ABSL_FLAG(std::vector<std::string>, kinds, {}, "kinds of work that it serves");
ABSL_FLAG(int, slots, 8, "requests that it runs at once");
ABSL_FLAG(int, work_ms, 5, "time that one request takes");

namespace waxwingloft::standins {

namespace {

using nlohmann::json;

/** Answers every request with its own body and with how often that body ran here. */
class BackendServer
{
public:
    BackendServer(int slots, std::chrono::milliseconds workTime)
        : slots(slots)
        , workTime(workTime)
    {
    }

    void run(const httplib::Request &request, httplib::Response &response)
    {
        if (this->inUse.fetch_add(1) >= this->slots) {
            this->inUse.fetch_sub(1);
            response.status = 503;
            return;
        }
        const auto runs = this->countRun(request.body);
        std::this_thread::sleep_for(this->workTime);
        this->inUse.fetch_sub(1);
        const json answer{{"kind", request.matches[1].str()}, {"attempt", request.get_header_value("Attempt-Id")}, {"runs", runs}, {"echo", request.body}};
        response.set_content(answer.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
    }

    void listRuns(httplib::Response &response)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        response.set_content(json(this->runsOfBody).dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
    }

private:
    int countRun(const std::string &body)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        return ++this->runsOfBody[body];
    }

    const int slots;
    const std::chrono::milliseconds workTime;
    std::atomic<int> inUse = 0;
    std::mutex mutex;
    std::map<std::string, int> runsOfBody;
};

} // namespace

} // namespace waxwingloft::standins

int main(int argc, char **argv)
{
    using namespace waxwingloft::standins;
    absl::ParseCommandLine(argc, argv);
    blockStopSignals();
    const auto listen = absl::GetFlag(FLAGS_listen);
    const auto slots = absl::GetFlag(FLAGS_slots);
    BackendServer backend(slots, std::chrono::milliseconds(absl::GetFlag(FLAGS_work_ms)));
    httplib::Server http;
    http.Post("/v1/run/(.+)", [&backend](const httplib::Request &request, httplib::Response &response) { backend.run(request, response); });
    http.Get("/v1/runs", [&backend](const httplib::Request &, httplib::Response &response) { backend.listRuns(response); });
    const nlohmann::json announcement{{"role", "backend-server"}, {"address", "http://" + listen}, {"kinds", absl::GetFlag(FLAGS_kinds)}, {"slots", slots}};
    return serveUntilStopped(http, listen, absl::GetFlag(FLAGS_agent), announcement.dump());
}
