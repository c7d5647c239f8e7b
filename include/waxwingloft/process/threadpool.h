#ifndef WAXWINGLOFT_PROCESS_THREADPOOL_H
#define WAXWINGLOFT_PROCESS_THREADPOOL_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace waxwingloft {

/** A fixed number of threads that run posted tasks in order. Idle threads sleep. A task that throws ends with a log line. */
class ThreadPool
{
public:
    /** @p name says in log lines what the tasks do; @p maxQueued bounds the tasks that wait for a thread. */
    ThreadPool(std::string name, std::size_t threads, std::size_t maxQueued);

    /** Runs what is queued, then joins the threads. */
    ~ThreadPool();

    ThreadPool(const ThreadPool &) = delete;
    ThreadPool &operator=(const ThreadPool &) = delete;

    /** Queues @p task; returns false when the queue is full or the pool is closing. */
    bool post(std::function<void()> task);

    /** Refuses new tasks, runs what is queued and joins the threads. */
    void close();

private:
    void run();

    const std::string name;
    const std::size_t maxQueued;
    std::mutex mutex;
    std::condition_variable wakeUp;
    std::deque<std::function<void()>> tasks;
    bool isClosing = false;
    std::vector<std::thread> threads;
};

} // namespace waxwingloft

#endif
