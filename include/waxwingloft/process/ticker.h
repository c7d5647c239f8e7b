#ifndef WAXWINGLOFT_PROCESS_TICKER_H
#define WAXWINGLOFT_PROCESS_TICKER_H

#include "waxwingloft/process/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace waxwingloft {

/** A thread that calls a function at intervals, and at once when it is nudged. Sleeps in between. A call that throws ends with a log line. */
class Ticker
{
public:
    /** @p name says in log lines what the function does. */
    Ticker(std::string name, Millis interval, std::function<void()> task);

    /** Stops the thread after the call in hand. */
    ~Ticker();

    Ticker(const Ticker &) = delete;
    Ticker &operator=(const Ticker &) = delete;

    /** Makes the next call happen now. */
    void nudge();

    void stop();

private:
    void run();

    const std::string name;
    const Millis interval;
    const std::function<void()> task;
    std::mutex mutex;
    std::condition_variable wakeUp;
    bool isNudged = false;
    bool isStopping = false;
    std::thread thread;
};

} // namespace waxwingloft

#endif
