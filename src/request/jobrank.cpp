#include "waxwingloft/request/jobrank.h"

#include <algorithm>

namespace waxwingloft {

namespace {

constexpr double LeastCost = 1e-6; ///< keeps the rank of a job without estimates finite

double secondsOf(Millis millis)
{
    return static_cast<double>(millis.count()) / 1000.0;
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

double dominantShare(const Capacity &needs, const Capacity &fleet)
{
    return std::max({share(needs.milliCores, fleet.milliCores), share(needs.memoryMb, fleet.memoryMb), share(needs.accelerators, fleet.accelerators)});
}

/** Remaining work of a job: fleet share times seconds, and its critical path. */
struct Remaining {
    double fleetSeconds = 0.0;
    double chainSeconds = 0.0;
};

Remaining remainingOf(const JobSubmission &submission, const JobProgress &progress, const Capacity &fleet)
{
    Remaining remaining;
    for (const auto &occurrence : progress.occurrences) {
        std::vector<double> ends(occurrence.size(), 0.0);
        for (std::size_t index = 0; index < occurrence.size(); ++index) {
            const auto &step = submission.graph.steps[index];
            const auto left =
                std::count_if(occurrence[index].begin(), occurrence[index].end(), [](const TaskProgress &task) { return task.state != TaskPhase::Done; });
            double begin = 0.0;
            for (const auto earlier : step.after) {
                begin = std::max(begin, ends[earlier]);
            }
            const double seconds = left > 0 ? secondsOf(step.estimate) : 0.0;
            ends[index] = begin + seconds;
            remaining.chainSeconds = std::max(remaining.chainSeconds, ends[index]);
            remaining.fleetSeconds += static_cast<double>(left) * seconds * dominantShare(step.needs, fleet);
        }
    }
    return remaining;
}

double objectiveOf(const JobSubmission &submission)
{
    return submission.stretch * secondsOf(criticalPath(submission.graph)) + secondsOf(submission.latencySlack);
}

double secondsSince(std::int64_t wallMillis, std::int64_t wallNow)
{
    return static_cast<double>(wallNow - wallMillis) / 1000.0;
}

} // namespace

JobRank::JobRank(JobRankOptions options)
    : options(options)
{
}

void JobRank::learn(const JobSubmission &submission)
{
    auto &mean = this->meanByRoute[submission.route];
    mean.total += this->workOf(submission);
    ++mean.count;
}

double JobRank::coresOf(const Capacity &capacity) const
{
    return static_cast<double>(capacity.milliCores) / 1000.0 + this->options.coresPerAccelerator * static_cast<double>(capacity.accelerators);
}

double JobRank::workOf(const JobSubmission &submission) const
{
    double work = 0.0;
    for (const auto &step : submission.graph.steps) {
        work += this->coresOf(step.needs) * secondsOf(step.estimate) * step.count;
    }
    return work;
}

/** Returns what a job earns in time, by its priority and its size. */
double JobRank::valueOf(const JobSubmission &submission) const
{
    const auto found = this->meanByRoute.find(submission.route);
    const double mean = found == this->meanByRoute.end() ? 0.0 : found->second.total / static_cast<double>(found->second.count);
    const double size = mean > 0.0 ? std::min(this->options.largestSize, this->workOf(submission) / mean) : 1.0;
    const auto priority = static_cast<std::size_t>(std::clamp(submission.priority, 0, static_cast<int>(this->options.valueByPriority.size()) - 1));
    return this->options.valueByPriority[priority] * (this->options.baseShare + (1.0 - this->options.baseShare) * size);
}

StartWorth JobRank::worthByEnd(const JobSubmission &submission) const
{
    const double value = this->valueOf(submission);
    const double objective = objectiveOf(submission);
    const double spread = this->options.estimateError * secondsOf(criticalPath(submission.graph));
    return {value, value * this->options.lateShare, objective, this->options.lateFactor * objective, spread};
}

StartWorth JobRank::worthByStart(const JobSubmission &submission, const JobProgress &progress, std::int64_t wallNow) const
{
    auto worth = this->worthByEnd(submission);
    const auto spent = secondsSince(submission.acceptedAt, wallNow) + remainingOf(submission, progress, Capacity()).chainSeconds;
    worth.inTimeFor -= spent;
    worth.lateFor -= spent;
    return worth;
}

double JobRank::of(const JobSubmission &submission, const JobProgress &progress, const Capacity &fleet, std::int64_t wallNow) const
{
    const double value = this->valueOf(submission);
    const auto remaining = remainingOf(submission, progress, fleet);
    const double objective = objectiveOf(submission);
    const double endsAfter = secondsSince(submission.acceptedAt, wallNow) + remaining.chainSeconds;
    const bool isLate = endsAfter > objective && endsAfter <= this->options.lateFactor * objective;
    const double left = endsAfter <= objective ? 1.0 : (isLate ? this->options.lateShare : this->options.expiredShare);
    return value * left / std::max(LeastCost, remaining.fleetSeconds);
}

} // namespace waxwingloft
