#include "announcer.h"

#include <csignal>
#include <httplib.h>

namespace waxwingloft::standins {

namespace {

constexpr auto Interval = std::chrono::seconds(1);

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

std::pair<std::string, int> splitAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {address.substr(0, colon), std::stoi(address.substr(colon + 1))};
}

void blockStopSignals()
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForStopSignal()
{
    const auto signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace waxwingloft::standins
