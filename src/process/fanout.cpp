#include "waxwingloft/process/fanout.h"

#include "waxwingloft/process/guard.h"

#include <limits>

namespace waxwingloft {

namespace {

/** Counts calls down and wakes the thread that waits for the last one. */
class Countdown
{
public:
    explicit Countdown(std::size_t count)
        : left(count)
    {
    }

    void countDown()
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (--this->left == 0) {
            this->done.notify_all();
        }
    }

    void wait()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->done.wait(lock, [this] { return this->left == 0; });
    }

private:
    std::mutex mutex;
    std::condition_variable done;
    std::size_t left;
};

} // namespace

PoolFanOut::PoolFanOut(std::size_t threads)
    : pool("calls to several processes", threads, std::numeric_limits<std::size_t>::max())
{
}

void PoolFanOut::forEach(std::size_t count, const std::function<void(std::size_t)> &call)
{
    if (count == 0) {
        return;
    }
    Countdown countdown(count);
    for (std::size_t index = 0; index < count; ++index) {
        const auto run = [&call, &countdown, index] {
            // Without the countdown the caller would wait for ever.
            runGuarded("a call to one of several processes", [&call, index] { call(index); });
            countdown.countDown();
        };
        if (!this->pool.post(run)) {
            run();
        }
    }
    countdown.wait();
}

void SerialFanOut::forEach(std::size_t count, const std::function<void(std::size_t)> &call)
{
    for (std::size_t index = 0; index < count; ++index) {
        call(index);
    }
}

} // namespace waxwingloft
