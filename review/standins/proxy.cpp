// Stands between an agent and its executor. Holds the first start that it is sent as long as the executor is up, and delivers it when the
// executor has been down and is up again, as a network does that carries out a call late. All other calls pass.

#include <atomic>
#include <chrono>
#include <httplib.h>
#include <iostream>
#include <string>
#include <thread>

namespace waxwingloft::review {

namespace {

constexpr auto Retry = std::chrono::milliseconds(5);
constexpr auto LongestLateness = std::chrono::seconds(12);
constexpr std::size_t Threads = 64;
constexpr int StatusBadGateway = 502;

httplib::Result pass(const std::string &target, const httplib::Request &request)
{
    httplib::Client client(target);
    client.set_connection_timeout(1);
    client.set_read_timeout(5);
    httplib::Headers headers;
    if (request.has_header("Waxwingloft-Expected-Instance")) {
        headers.emplace("Waxwingloft-Expected-Instance", request.get_header_value("Waxwingloft-Expected-Instance"));
    }
    return client.Post(request.path, headers, request.body, "application/json");
}

bool isUp(const std::string &target)
{
    httplib::Client client(target);
    client.set_connection_timeout(1);
    return static_cast<bool>(client.Get("/"));
}

void deliverLate(const std::string &target, const httplib::Request &request)
{
    const auto latest = std::chrono::steady_clock::now() + LongestLateness;
    while (isUp(target) && std::chrono::steady_clock::now() < latest) {
        std::this_thread::sleep_for(Retry);
    }
    while (std::chrono::steady_clock::now() < latest) {
        if (const auto result = pass(target, request)) {
            std::cout << "delivered late: " << result->status << " " << result->body << std::endl;
            return;
        }
        std::this_thread::sleep_for(Retry);
    }
    std::cout << "not delivered" << std::endl;
}

} // namespace

} // namespace waxwingloft::review

int main(int argc, char **argv)
{
    using namespace waxwingloft::review;
    if (argc != 5) {
        std::cerr << "usage: proxy IP PORT TARGET hold|pass\n";
        return 2;
    }
    const std::string target = argv[3];
    std::atomic<bool> holdsNext = std::string(argv[4]) == "hold";
    httplib::Server http;
    http.new_task_queue = [] { return new httplib::ThreadPool(Threads); };
    http.set_tcp_nodelay(true);
    http.set_keep_alive_max_count(1'000'000);
    http.set_keep_alive_timeout(60);
    http.Post(".*", [&target, &holdsNext](const httplib::Request &request, httplib::Response &response) {
        if (request.path == "/waxwingloft/run-start" && holdsNext.exchange(false)) {
            std::thread([target, request] { deliverLate(target, request); }).detach();
            std::this_thread::sleep_for(std::chrono::seconds(2)); // the caller has given up by then
            response.status = StatusBadGateway;
            return;
        }
        const auto result = pass(target, request);
        response.status = result ? result->status : StatusBadGateway;
        if (result) {
            response.set_content(result->body, "application/json");
        }
    });
    return http.listen(argv[1], std::stoi(argv[2])) ? 0 : 2;
}
