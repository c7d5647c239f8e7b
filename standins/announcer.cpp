#include "announcer.h"

#include <csignal>
#include <iostream>
#include <memory>

namespace waxwingloft::standins {

namespace {

constexpr auto Interval = std::chrono::seconds(1);
constexpr std::size_t ServerThreads = 128;
constexpr std::size_t KeepAliveRequests = 1'000'000;
constexpr int KeepAliveSeconds = 60;
constexpr int ExitCannotListen = 3;

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

Announcer::Announcer(std::string agent, std::string body)
    : agent(std::move(agent))
    , body(std::move(body))
    , thread([this] { this->run(); })
{
}

Announcer::~Announcer()
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->isStopping = true;
    }
    this->wakeUp.notify_one();
    this->thread.join();
}

void Announcer::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isStopping) {
        lock.unlock();
        httplib::Client(this->agent).Post("/v1/announce", this->body, "application/json");
        lock.lock();
        this->wakeUp.wait_for(lock, Interval, [this] { return this->isStopping; });
    }
}

void blockStopSignals()
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int serveUntilStopped(httplib::Server &http, const std::string &address, const std::string &agent, const std::string &announcement)
{
    http.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
    http.set_tcp_nodelay(true);
    http.set_keep_alive_max_count(KeepAliveRequests);
    http.set_keep_alive_timeout(KeepAliveSeconds);
    const auto colon = address.rfind(':');
    if (!http.bind_to_port(address.substr(0, colon), std::stoi(address.substr(colon + 1)))) {
        std::cerr << "cannot listen on " << address << "\n";
        return ExitCannotListen;
    }
    std::thread server([&http] { http.listen_after_bind(); });
    {
        const auto announcer = agent.empty() ? nullptr : std::make_unique<Announcer>(agent, announcement);
        const auto signals = stopSignals();
        int signal = 0;
        sigwait(&signals, &signal);
    }
    http.stop();
    server.join();
    return 0;
}

} // namespace waxwingloft::standins
