#include "waxwingloft/process/ticker.h"

#include "waxwingloft/process/guard.h"

namespace waxwingloft {

Ticker::Ticker(std::string name, Millis interval, std::function<void()> task)
    : name(std::move(name))
    , interval(interval)
    , task(std::move(task))
    , thread([this] { this->run(); })
{
}

Ticker::~Ticker()
{
    this->stop();
}

void Ticker::nudge()
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->isNudged = true;
    }
    this->wakeUp.notify_one();
}

void Ticker::stop()
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->isStopping = true;
    }
    this->wakeUp.notify_one();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void Ticker::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isStopping) {
        this->isNudged = false;
        lock.unlock();
        runGuarded(this->name, this->task);
        lock.lock();
        this->wakeUp.wait_for(lock, this->interval, [this] { return this->isNudged || this->isStopping; });
    }
}

} // namespace waxwingloft
