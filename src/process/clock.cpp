#include "waxwingloft/process/clock.h"

#include <ctime>
#include <thread>

namespace waxwingloft {

Instant SystemClock::now() const
{
    // The steady clock stands still while a host is suspended, and leases of others do not.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::duration_cast<Millis>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

std::int64_t SystemClock::wallMillis() const
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void SystemClock::sleepFor(Millis duration)
{
    std::this_thread::sleep_for(duration);
}

bool SystemClock::waitFor(std::unique_lock<std::mutex> &lock, std::condition_variable &wakeUp, Millis duration, const std::function<bool()> &isDone)
{
    return wakeUp.wait_for(lock, duration, isDone);
}

} // namespace waxwingloft
