#ifndef WAXWINGLOFT_REQUEST_DOUBTFULCALLS_H
#define WAXWINGLOFT_REQUEST_DOUBTFULCALLS_H

#include "waxwingloft/process/clock.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>

namespace waxwingloft {

/**
 * Calls that were lately answered as undecided: a repetition of one must not be answered as if it had surely not run.
 *
 * Bounded in number and time. Thread safe.
 */
class DoubtfulCalls
{
public:
    explicit DoubtfulCalls(Clock &clock)
        : clock(clock)
    {
    }

    void add(const std::string &call)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto now = this->clock.now();
        this->lastAt[call] = now;
        this->order.emplace_back(now, call);
        while (this->order.size() > LargestNumber || this->order.front().first + Retention < now) {
            const auto &[addedAt, oldest] = this->order.front();
            const auto found = this->lastAt.find(oldest);
            if (found != this->lastAt.end() && found->second == addedAt) {
                this->lastAt.erase(found);
            }
            this->order.pop_front();
        }
    }

    bool contains(const std::string &call)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto found = this->lastAt.find(call);
        return found != this->lastAt.end() && this->clock.now() - found->second <= Retention;
    }

private:
    static constexpr auto Retention = Millis(120'000); ///< callers repeat a call within some tens of seconds
    static constexpr std::size_t LargestNumber = 4096; ///< about 0.5 MB

    Clock &clock;
    std::mutex mutex;
    std::unordered_map<std::string, Instant> lastAt;
    std::deque<std::pair<Instant, std::string>> order; ///< oldest first; a call may be in it several times
};

} // namespace waxwingloft

#endif
