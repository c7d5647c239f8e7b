#include "waxwingloft/request/liveworker.h"

#include <algorithm>
#include <limits>

namespace waxwingloft {

namespace {

constexpr std::int64_t WholePercent = 100;
constexpr std::uint32_t MinPercentForEstimate = 20; ///< below it the expected end of a run is too uncertain

constexpr std::int64_t PercentsToStall = 3; ///< a run that has stood still for the time of so many percents counts as stalled
constexpr std::int64_t LongestToEstimate = 8; ///< ratio of a run time to its estimate; one task in 33 takes seven times as long as its estimate

} // namespace

LiveRun liveRunOf(const LiveJob &job, std::uint32_t step, Instant now)
{
    const auto &shape = job.submission.graph.steps[step];
    LiveRun live;
    live.change = job.change;
    live.assignedAt = now;
    live.lastProgressAt = now;
    live.estimate = shape.estimate;
    live.needs = shape.needs;
    // Filling tasks use whatever cores others leave idle, so their cores are not accounted for.
    live.needs.milliCores = shape.isBestEffort ? 0 : shape.needs.milliCores;
    return live;
}

double LiveRun::endsIn(Instant now, Millis overdueTime) const
{
    const auto end = this->expectedEnd ? *this->expectedEnd : this->assignedAt + this->estimate;
    const bool isKnown = this->isRunning && this->estimate.count() > 0 && end + overdueTime > now;
    return isKnown ? std::max(0.0, std::chrono::duration<double>(end - now).count()) : std::numeric_limits<double>::infinity();
}

Millis LiveRun::stallTime(Millis least) const
{
    const bool isMeasured = this->paceSince && this->percent > this->paceFrom;
    const auto expected = this->estimate * (isMeasured ? PercentsToStall : LongestToEstimate) / WholePercent;
    const auto measured =
        isMeasured ? (this->lastProgressAt - *this->paceSince) * PercentsToStall / static_cast<std::int64_t>(this->percent - this->paceFrom) : Millis(0);
    return std::max({least, expected, measured});
}

void LiveWorker::applyProgress(const AgentReport &report, Instant now)
{
    this->hasOrphans = false;
    for (const auto &reported : report.runs) {
        const auto found = this->runs.find(reported.run);
        if (found == this->runs.end()) {
            this->hasOrphans = true;
            continue;
        }
        auto &live = found->second;
        const bool hasBegun = !live.isRunning && reported.phase != RunPhase::Ordered;
        live.isRunning = live.isRunning || hasBegun;
        live.hasBegun = live.hasBegun || reported.phase == RunPhase::Running;
        live.startEffect = live.startEffect == StartEffect::Outlived ? live.startEffect : reported.startEffect;
        if (hasBegun || reported.percent > live.percent) {
            live.percent = std::max(live.percent, reported.percent);
            live.lastProgressAt = now;
        }
        if (reported.percent >= MinPercentForEstimate) {
            const auto left = WholePercent - static_cast<std::int64_t>(reported.percent);
            live.expectedEnd = now + (now - live.assignedAt) * left / static_cast<std::int64_t>(reported.percent);
        }
    }
}

std::optional<double> LiveWorker::speed(Instant now, Millis minSpeedAge) const
{
    double total = 0.0;
    int count = 0;
    for (const auto &[run, live] : this->runs) {
        const auto age = now - live.assignedAt;
        if (age >= minSpeedAge && live.estimate.count() > 0) {
            total += static_cast<double>(live.percent) / static_cast<double>(WholePercent) * static_cast<double>(live.estimate.count())
                / static_cast<double>(age.count());
            ++count;
        }
    }
    return count == 0 ? std::nullopt : std::optional<double>(total / count);
}

} // namespace waxwingloft
