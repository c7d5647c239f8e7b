#include "metric.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <atomic>
#include <chrono>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <unistd.h>

ABSL_FLAG(std::string, target, "http://127.0.0.1:17011", "base URL to send requests to; only loopback");
ABSL_FLAG(std::string, path, "/v1/work/colour-match", "path to post to");
ABSL_FLAG(std::string, token, "", "bearer token");
ABSL_FLAG(int, threads, 8, "connections, each with one request at a time");
ABSL_FLAG(int, seconds, 5, "time to send for");
ABSL_FLAG(std::vector<std::string>, pids, {}, "NAME=PID of processes whose processor time is reported");

namespace waxwingloft::bench {

namespace {

constexpr double MillisPerSecond = 1000.0;

/** Processor time of a process so far, in milliseconds. */
double processorMillis(const std::string &pid)
{
    std::ifstream stream("/proc/" + pid + "/stat");
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int FieldsBeforeUserTime = 11;
    for (int field = 0; field < FieldsBeforeUserTime; ++field) {
        fields >> skipped;
    }
    double user = 0.0;
    double system = 0.0;
    fields >> user >> system;
    return (user + system) * MillisPerSecond / static_cast<double>(sysconf(_SC_CLK_TCK));
}

struct ThreadFigures {
    std::vector<double> millis;
    int failures = 0;
};

void sendRequests(const std::string &target, const httplib::Headers &headers, std::chrono::steady_clock::time_point until, ThreadFigures &figures)
{
    httplib::Client client(target);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    const auto path = absl::GetFlag(FLAGS_path);
    while (std::chrono::steady_clock::now() < until) {
        const auto startedAt = std::chrono::steady_clock::now();
        const auto result = client.Post(path, headers, "cube", "application/octet-stream");
        const bool isGood = result && result->status == 200;
        figures.failures += isGood ? 0 : 1;
        figures.millis.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt).count());
    }
}

} // namespace

} // namespace waxwingloft::bench

int main(int argc, char **argv)
{
    using namespace waxwingloft::bench;
    absl::SetProgramUsageMessage("Sends requests to a process on loopback and prints rate, latency and processor time as JSON.");
    absl::ParseCommandLine(argc, argv);
    const auto target = absl::GetFlag(FLAGS_target);
    if (!target.starts_with("http://127.")) {
        std::cerr << "only addresses on loopback are allowed\n";
        return 2;
    }
    httplib::Headers headers;
    if (!absl::GetFlag(FLAGS_token).empty()) {
        headers.emplace("Authorization", "Bearer " + absl::GetFlag(FLAGS_token));
    }
    std::vector<std::pair<std::string, std::string>> processes;
    std::vector<double> before;
    for (const auto &entry : absl::GetFlag(FLAGS_pids)) {
        processes.emplace_back(entry.substr(0, entry.find('=')), entry.substr(entry.find('=') + 1));
        before.push_back(processorMillis(processes.back().second));
    }
    const auto seconds = absl::GetFlag(FLAGS_seconds);
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    std::vector<ThreadFigures> figures(static_cast<std::size_t>(absl::GetFlag(FLAGS_threads)));
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < figures.size(); ++index) {
        auto own = headers;
        own.emplace("Caller", "caller-" + std::to_string(index));
        threads.emplace_back([&target, own, until, &mine = figures[index]] { sendRequests(target, own, until, mine); });
    }
    std::vector<double> millis;
    int failures = 0;
    for (std::size_t index = 0; index < threads.size(); ++index) {
        threads[index].join();
        millis.insert(millis.end(), figures[index].millis.begin(), figures[index].millis.end());
        failures += figures[index].failures;
    }
    nlohmann::ordered_json line{{"target", target},
                                {"connections", figures.size()},
                                {"requests", millis.size()},
                                {"failures", failures},
                                {"per_second", static_cast<double>(millis.size()) / seconds},
                                {"p50_ms", quantileOf(millis, 0.5)},
                                {"p99_ms", quantileOf(millis, 0.99)}};
    for (std::size_t index = 0; index < processes.size(); ++index) {
        const auto used = processorMillis(processes[index].second) - before[index];
        line["processor_us_per_request"][processes[index].first] = used * MillisPerSecond / static_cast<double>(std::max<std::size_t>(1, millis.size()));
    }
    std::cout << line.dump() << std::endl;
    return 0;
}
