#ifndef WAXWINGLOFT_PROCESS_CLOCK_H
#define WAXWINGLOFT_PROCESS_CLOCK_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>

namespace waxwingloft {

using Millis = std::chrono::milliseconds;

/** A point on a process's monotonic clock, in milliseconds since an arbitrary start. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Millis>;

/** Source of time. Passed to every decision so that tests and benchmarks run on virtual time. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** Monotonic time that goes on while the host is suspended; the only one that leases and deadlines use. */
    virtual Instant now() const = 0;

    /** Wall time in milliseconds since the Unix epoch; only for the time line. */
    virtual std::int64_t wallMillis() const = 0;

    /** Blocks the calling thread for @p duration. */
    virtual void sleepFor(Millis duration) = 0;

    /**
     * Blocks until @p isDone returns true after a wake-up, or @p duration has passed.
     *
     * @p lock is held by the caller and released while it waits. Returns what @p isDone says last.
     */
    virtual bool waitFor(std::unique_lock<std::mutex> &lock, std::condition_variable &wakeUp, Millis duration, const std::function<bool()> &isDone) = 0;
};

/** The machine's clocks. */
class SystemClock : public Clock
{
public:
    Instant now() const override;
    std::int64_t wallMillis() const override;
    void sleepFor(Millis duration) override;
    bool waitFor(std::unique_lock<std::mutex> &lock, std::condition_variable &wakeUp, Millis duration, const std::function<bool()> &isDone) override;
};

} // namespace waxwingloft

#endif
