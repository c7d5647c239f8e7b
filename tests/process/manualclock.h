#ifndef WAXWINGLOFT_TESTS_PROCESS_MANUALCLOCK_H
#define WAXWINGLOFT_TESTS_PROCESS_MANUALCLOCK_H

#include "waxwingloft/process/clock.h"

#include <functional>

namespace waxwingloft::tests {

/** A clock that moves only when told to. A sleep calls a hook, by default one that moves the clock. */
class ManualClock : public Clock
{
public:
    Instant now() const override
    {
        return Instant(this->elapsed);
    }

    std::int64_t wallMillis() const override
    {
        return WallStart + (this->elapsed + this->wallStep).count();
    }

    void sleepFor(Millis duration) override
    {
        if (this->onSleep) {
            this->onSleep(duration);
        } else {
            this->advance(duration);
        }
    }

    bool waitFor(std::unique_lock<std::mutex> &lock, std::condition_variable & /*wakeUp*/, Millis duration, const std::function<bool()> &isDone) override
    {
        const auto deadline = this->now() + duration;
        while (!isDone() && this->now() < deadline) {
            lock.unlock();
            this->sleepFor(std::min(deadline - this->now(), WaitStep));
            lock.lock();
        }
        return isDone();
    }

    void advance(Millis duration)
    {
        this->elapsed += duration;
    }

    /** Steps the time of day; the steady time goes on as before. */
    void stepWall(Millis step)
    {
        this->wallStep += step;
    }

    std::function<void(Millis)> onSleep;

private:
    static constexpr std::int64_t WallStart = 1'800'000'000'000;
    static constexpr Millis WaitStep = Millis(100);

    Millis elapsed = Millis(1'000'000);
    Millis wallStep = Millis(0);
};

} // namespace waxwingloft::tests

#endif
