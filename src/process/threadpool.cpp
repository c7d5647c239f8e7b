#include "waxwingloft/process/threadpool.h"

#include "waxwingloft/process/guard.h"

namespace waxwingloft {

ThreadPool::ThreadPool(std::string name, std::size_t threads, std::size_t maxQueued)
    : name(std::move(name))
    , maxQueued(maxQueued)
{
    for (std::size_t index = 0; index < threads; ++index) {
        this->threads.emplace_back([this] { this->run(); });
    }
}

ThreadPool::~ThreadPool()
{
    this->close();
}

bool ThreadPool::post(std::function<void()> task)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (this->isClosing || this->tasks.size() >= this->maxQueued) {
            return false;
        }
        this->tasks.push_back(std::move(task));
    }
    this->wakeUp.notify_one();
    return true;
}

void ThreadPool::close()
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->isClosing = true;
    }
    this->wakeUp.notify_all();
    for (auto &thread : this->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void ThreadPool::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        this->wakeUp.wait(lock, [this] { return this->isClosing || !this->tasks.empty(); });
        if (this->tasks.empty()) {
            return;
        }
        const auto task = std::move(this->tasks.front());
        this->tasks.pop_front();
        lock.unlock();
        runGuarded(this->name, task);
        lock.lock();
    }
}

} // namespace waxwingloft
