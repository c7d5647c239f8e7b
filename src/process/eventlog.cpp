#include "waxwingloft/process/eventlog.h"

#include <algorithm>

namespace waxwingloft {

EventLog::EventLog(Clock &clock, std::string node, std::size_t capacity)
    : clock(clock)
    , node(std::move(node))
    , capacity(capacity)
{
}

void EventLog::record(EventKind kind, std::string subject, std::string workspace, std::string detail)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->ring.push_back(Event{this->tickLocked(), this->node, kind, std::move(subject), std::move(workspace), std::move(detail)});
    if (this->ring.size() > this->capacity) {
        this->ring.pop_front();
    }
}

HybridTime EventLog::tick()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->tickLocked();
}

void EventLog::observe(HybridTime received)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->last = std::max(this->last, received);
}

std::vector<Event> EventLog::since(HybridTime since, std::size_t limit) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto isLater = [&since](const Event &event) { return event.time > since; };
    const auto first = std::find_if(this->ring.begin(), this->ring.end(), isLater);
    const auto count = std::min<std::size_t>(limit, static_cast<std::size_t>(std::distance(first, this->ring.end())));
    return {first, first + static_cast<std::ptrdiff_t>(count)};
}

HybridTime EventLog::tickLocked()
{
    const auto wall = this->clock.wallMillis();
    this->last = wall > this->last.millis ? HybridTime{wall, 0} : HybridTime{this->last.millis, this->last.counter + 1};
    return this->last;
}

} // namespace waxwingloft
