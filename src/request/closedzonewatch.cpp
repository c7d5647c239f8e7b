#include "waxwingloft/request/closedzonewatch.h"

#include <algorithm>

namespace waxwingloft {

ClosedZoneWatch::ClosedZoneWatch()
    : log(LogPart::Placer)
{
}

void ClosedZoneWatch::setMetrics(Metrics &metrics)
{
    this->metrics = &metrics;
}

void ClosedZoneWatch::update(const ZoneClosures &closures, const std::map<NodeId, LiveWorker> &workers, Instant now)
{
    std::erase_if(this->emptied, [&closures](const auto &item) { return !closures.isClosed(item.first); });
    if (closures.zones.empty()) {
        this->show(0, 0);
        return;
    }
    std::map<std::string, Remainder> remainders;
    std::size_t total = 0;
    bool areAllKnown = true;
    for (const auto &[node, worker] : workers) {
        areAllKnown = areAllKnown && worker.isKnown;
        if (closures.isClosed(worker.last.zone)) {
            auto &remainder = remainders[worker.last.zone];
            ++remainder.executors;
            remainder.runs += worker.runs.size();
            total += worker.runs.size();
        }
    }
    this->show(closures.zones.size(), total);
    for (const auto &[zone, closure] : closures.zones) {
        const auto remainder = remainders[zone];
        const auto logged = this->emptied.find(zone);
        const bool isLogged = logged != this->emptied.end() && logged->second == closure.revision;
        // An agent that has not reported to this placer may be in any zone.
        if (isLogged || remainder.runs > 0 || !areAllKnown) {
            continue;
        }
        this->emptied[zone] = closure.revision;
        this->log.info("No task is left in a closed zone.",
                       {{"zone", zone},
                        {"executors", std::to_string(remainder.executors)},
                        {"revision", std::to_string(closure.revision)},
                        {"after_ms", std::to_string((now - closure.firstSeenAt).count())}});
    }
}

void ClosedZoneWatch::clear()
{
    this->emptied.clear();
    this->show(0, 0);
}

void ClosedZoneWatch::show(std::size_t zones, std::size_t runs) const
{
    if (this->metrics != nullptr) {
        this->metrics->set(Level::ClosedZones, static_cast<double>(zones));
        this->metrics->set(Level::RunsInClosedZones, static_cast<double>(runs));
    }
}

} // namespace waxwingloft
