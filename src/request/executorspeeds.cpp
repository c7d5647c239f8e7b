#include "waxwingloft/request/executorspeeds.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace waxwingloft {

namespace {

constexpr double WholePercent = 100.0;
constexpr double DeviationOfMedian = 1.25 * 1.48; ///< of normal samples, times their number's root, relative to their median absolute difference
constexpr double SameProgress = 0.03; ///< difference of logarithms within which the members of a gang are taken to move in step

/** Drops the items that were last seen longest ago until @p items has at most @p limit. */
template<typename Items>
void limitSize(Items &items, std::size_t limit)
{
    while (items.size() > limit) {
        items.erase(std::min_element(items.begin(), items.end(), [](const auto &left, const auto &right) { return left.second.lastAt < right.second.lastAt; }));
    }
}

} // namespace

ExecutorSpeeds::ExecutorSpeeds(ExecutorSpeedOptions options)
    : options(options)
{
}

void ExecutorSpeeds::learn(LiveWorker &worker, const std::map<JobId, LiveJob> &jobs, Instant now)
{
    for (auto &[run, live] : worker.runs) {
        if (live.lastProgressAt != now || live.percent == 0 || live.isStopping) {
            continue;
        }
        // Percentages of a run that resumes begin at its checkpoint, so the first one only opens the window.
        if (!live.paceSince) {
            live.paceSince = now;
            live.paceFrom = live.percent;
            continue;
        }
        const auto time = now - *live.paceSince;
        const auto done = live.percent - live.paceFrom;
        const auto job = jobs.find(run.task.job);
        if (done < this->options.windowPercent || time < this->options.shortestWindow || job == jobs.end()) {
            continue;
        }
        const TaskKey step{run.task.job, run.task.occurrence, run.task.step, 0};
        const auto rate = static_cast<double>(done) / WholePercent / std::chrono::duration<double>(time).count();
        this->observe(worker.last.node, step, run, rate, job->second.stepOf(run.task).isGang, now);
        live.paceSince = now;
        live.paceFrom = live.percent;
    }
}

void ExecutorSpeeds::observe(const NodeId &node, const TaskKey &step, const TaskRun &run, double perSecond, bool isGang, Instant now)
{
    auto &known = this->steps[step];
    known.lastAt = now;
    const double logRate = std::log(perSecond);
    if (known.paces.size() < this->options.maxPeers || known.paces.contains(run)) {
        known.paces[run] = {node, logRate};
    }
    limitSize(this->steps, this->options.maxSteps);
    const auto isSame = [logRate](const auto &item) { return std::abs(item.second.logRate - logRate) <= SameProgress; };
    // Members that wait for each other all show the pace of the slowest one.
    if (isGang && std::all_of(known.paces.begin(), known.paces.end(), isSame)) {
        return;
    }
    if (const auto reference = this->referenceFor(node, known)) {
        this->addSample(node, run, logRate - *reference, now);
    }
}

void ExecutorSpeeds::forget(const NodeId &node)
{
    this->nodes.erase(node);
    this->judged.erase(node);
}

/** Returns the median, the higher one of an even number: tasks that are much longer than others are common, much shorter ones are not. */
double ExecutorSpeeds::upperMedianOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double ExecutorSpeeds::speedOf(const Node &known)
{
    std::vector<double> values;
    for (const auto &sample : known.samples) {
        values.push_back(sample.logSpeed);
    }
    return upperMedianOf(values);
}

/** Returns the pace expected on an executor of speed 1.0 by what the step does on other executors than @p node. */
std::optional<double> ExecutorSpeeds::referenceFor(const NodeId &node, const Step &step) const
{
    std::vector<double> others;
    std::vector<double> ofKnown;
    for (const auto &[run, pace] : step.paces) {
        if (pace.node == node) {
            continue;
        }
        const auto known = this->nodes.find(pace.node);
        others.push_back(pace.logRate);
        if (known != this->nodes.end() && known->second.logSpeed) {
            ofKnown.push_back(pace.logRate - *known->second.logSpeed);
        }
    }
    auto &peers = ofKnown.size() < this->options.minPeers ? others : ofKnown;
    return peers.size() < this->options.minPeers ? std::nullopt : std::optional(upperMedianOf(peers));
}

void ExecutorSpeeds::addSample(const NodeId &node, const TaskRun &run, double logSpeed, Instant now)
{
    auto &known = this->nodes[node];
    known.lastAt = now;
    std::erase_if(known.samples, [&run](const Sample &sample) { return sample.run == run; });
    known.samples.push_back({run, logSpeed});
    if (known.samples.size() > this->options.maxRuns) {
        known.samples.pop_front();
    }
    this->dropBeforeChange(known);
    if (known.samples.size() >= this->options.minRuns) {
        known.logSpeed = speedOf(known);
    }
    limitSize(this->nodes, this->options.maxNodes);
}

/** Drops the older samples of an executor once the newest agree that its speed has changed. */
void ExecutorSpeeds::dropBeforeChange(Node &known) const
{
    if (!known.logSpeed || known.samples.size() <= this->options.changedRuns) {
        return;
    }
    const auto newest = known.samples.end() - static_cast<std::ptrdiff_t>(this->options.changedRuns);
    const auto differsBy = [this, &known](double sign) {
        return [this, &known, sign](const Sample &sample) { return sign * (sample.logSpeed - *known.logSpeed) >= this->options.changedBy; };
    };
    // One of them may be a task that is much longer than the others of its step.
    const auto needed = static_cast<std::ptrdiff_t>(this->options.changedRuns) - 1;
    if (std::count_if(newest, known.samples.end(), differsBy(1.0)) >= needed || std::count_if(newest, known.samples.end(), differsBy(-1.0)) >= needed) {
        known.samples.erase(known.samples.begin(), newest);
        known.logSpeed = speedOf(known);
    }
}

void ExecutorSpeeds::refresh(Instant now, std::size_t fleet)
{
    if (this->refreshedAt && now - *this->refreshedAt < this->options.refreshInterval) {
        return;
    }
    this->refreshedAt = now;
    this->dropOld(now);
    this->centre();
    this->classify(fleet);
}

void ExecutorSpeeds::dropOld(Instant now)
{
    std::erase_if(this->steps, [this, now](const auto &item) { return now - item.second.lastAt > this->options.stepMemory; });
}

/** Shifts all speeds so that their median is 1.0: comparisons fix them only up to a common factor, which would drift. */
void ExecutorSpeeds::centre()
{
    std::vector<double> known;
    for (const auto &[node, state] : this->nodes) {
        if (state.logSpeed) {
            known.push_back(*state.logSpeed);
        }
    }
    if (known.empty()) {
        return;
    }
    const auto middle = upperMedianOf(known);
    for (auto &[node, state] : this->nodes) {
        for (auto &sample : state.samples) {
            sample.logSpeed -= middle;
        }
        if (state.logSpeed) {
            *state.logSpeed -= middle;
        }
    }
}

/** Returns the standard deviation with which speeds are known, from how the samples of each executor differ. */
double ExecutorSpeeds::noise() const
{
    std::vector<double> differences;
    std::size_t known = 0;
    for (const auto &[node, state] : this->nodes) {
        if (state.logSpeed) {
            ++known;
            for (const auto &sample : state.samples) {
                differences.push_back(std::abs(sample.logSpeed - *state.logSpeed));
            }
        }
    }
    const auto samplesEach = static_cast<double>(differences.size()) / static_cast<double>(known);
    return DeviationOfMedian * upperMedianOf(differences) / std::sqrt(samplesEach);
}

/** Splits the executors into two classes with the least variance within them, and keeps the split where the classes are clearly apart. */
void ExecutorSpeeds::classify(std::size_t fleet)
{
    const auto separation = this->slowerClass ? this->options.keptSeparation : this->options.minSeparation;
    this->judged.clear();
    this->unjudgedSpeed = 1.0;
    this->slowerClass.reset();
    std::vector<double> known;
    double total = 0.0;
    double squares = 0.0;
    for (const auto &[node, state] : this->nodes) {
        if (state.logSpeed) {
            known.push_back(*state.logSpeed);
            total += *state.logSpeed;
            squares += *state.logSpeed * *state.logSpeed;
        }
    }
    if (known.size() < std::max(this->options.minKnown, 2 * this->options.minClass)) {
        return;
    }
    std::sort(known.begin(), known.end());
    const auto count = static_cast<double>(known.size());
    double below = 0.0;
    double least = std::numeric_limits<double>::infinity();
    double lowMean = 0.0;
    double highMean = 0.0;
    for (std::size_t split = 1; split < known.size(); ++split) {
        below += known[split - 1];
        const auto lowCount = static_cast<double>(split);
        const auto low = below / lowCount;
        const auto high = (total - below) / (count - lowCount);
        const auto within = squares - lowCount * low * low - (count - lowCount) * high * high;
        const bool isClass = std::min(split, known.size() - split) >= this->options.minClass;
        if (isClass && within < least) {
            least = within;
            lowMean = low;
            highMean = high;
        }
    }
    const auto deviation = std::sqrt(std::max(0.0, least) / (count - 2.0));
    if (highMean - lowMean < std::max(this->options.minSpread, separation * std::max(deviation, this->noise()))) {
        return;
    }
    this->slowerClass = std::exp(lowMean - highMean);
    for (const auto &[node, state] : this->nodes) {
        if (state.logSpeed || state.samples.size() >= this->options.minRunsOfClass) {
            const auto speed = state.logSpeed ? *state.logSpeed : speedOf(state);
            this->judged[node] = speed < (lowMean + highMean) / 2.0 ? *this->slowerClass : 1.0;
        }
    }
    this->unjudgedSpeed = 2 * this->judged.size() > fleet ? *this->slowerClass : 1.0;
}

double ExecutorSpeeds::of(const NodeId &node) const
{
    const auto found = this->judged.find(node);
    return found == this->judged.end() ? this->unjudgedSpeed : found->second;
}

std::optional<double> ExecutorSpeeds::slowerSpeed() const
{
    return this->slowerClass;
}

std::size_t ExecutorSpeeds::slowerCount() const
{
    return static_cast<std::size_t>(std::count_if(this->judged.begin(), this->judged.end(), [](const auto &item) { return item.second < 1.0; }));
}

} // namespace waxwingloft
