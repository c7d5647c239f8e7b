#include "waxwingloft/request/startwaits.h"

#include <algorithm>

namespace waxwingloft {

namespace {

constexpr std::size_t MaxLines = 5; ///< for one update; jobs that wait together mostly have one cause

std::string millisOf(Instant::duration duration)
{
    return std::to_string(std::chrono::duration_cast<Millis>(duration).count());
}

} // namespace

StartWaits::StartWaits(Millis preferenceWait, Millis longest)
    : preferenceWait(preferenceWait)
    , longest(longest)
    , log(LogPart::Placer)
{
}

void StartWaits::setMetrics(Metrics &metrics)
{
    this->metrics = &metrics;
    this->counters = std::make_unique<CountersBy<WaitCause>>(
        metrics, "waxwingloft_long_waits_total", "Jobs with nothing running for too long beside room for them, by what held them back", "cause");
}

void StartWaits::update(const std::vector<ReadyWait> &waits, const std::set<JobId> &begun, Instant now)
{
    std::set<JobId> present;
    std::vector<const ReadyWait *> grownLong;
    for (const auto &wait : waits) {
        present.insert(wait.task.job);
        auto &known = this->noteSeen(wait, now);
        if (known.total >= this->preferenceWait) {
            known.overdue.insert(wait.cause);
        }
        if (!known.isLong && now - known.since >= this->longest) {
            known.isLong = true;
            grownLong.push_back(&wait);
            if (this->counters != nullptr) {
                this->counters->add(wait.cause);
            }
        }
    }
    for (std::size_t index = 0; index < std::min(grownLong.size(), MaxLines); ++index) {
        const auto further = index + 1 == MaxLines ? grownLong.size() - MaxLines : 0;
        this->logBegin(*grownLong[index], this->waits.at(grownLong[index]->task.job), further, now);
    }
    this->breakOff(present, now);
    this->lookedAt = now;
    std::erase_if(this->waits, [&](const auto &item) { return begun.contains(item.first) || now - item.second.seenAt >= this->longest; });
    this->show();
}

/** Takes note that a look at @p now has found @p wait. */
StartWaits::Wait &StartWaits::noteSeen(const ReadyWait &wait, Instant now)
{
    const auto [found, isNew] = this->waits.try_emplace(wait.task.job);
    auto &known = found->second;
    if (!isNew && now - known.seenAt >= this->longest) {
        known = Wait();
    } else if (!isNew) {
        known.total += now - this->lookedAt;
    }
    if (!known.isOpen) {
        known.since = now;
    }
    known.isOpen = true;
    known.seenAt = now;
    known.cause = wait.cause;
    return known;
}

/** Ends the spans of the jobs that are not among @p present. */
void StartWaits::breakOff(const std::set<JobId> &present, Instant now)
{
    std::size_t lines = 0;
    for (auto &[job, known] : this->waits) {
        if (!known.isOpen || present.contains(job)) {
            continue;
        }
        if (known.isLong && ++lines <= MaxLines) {
            this->log.info("A job that had nothing running beside room for it goes on, or its room is taken.",
                           {{"job", job.value}, {"waited_ms", millisOf(now - known.since)}, {"last_cause", std::string(nameOf(known.cause))}});
        }
        known.isOpen = false;
        known.isLong = false;
    }
}

bool StartWaits::isOverdue(const JobId &job, WaitCause cause) const
{
    const auto found = this->waits.find(job);
    return found != this->waits.end() && found->second.overdue.contains(cause);
}

void StartWaits::clear()
{
    this->waits.clear();
    this->show();
}

void StartWaits::logBegin(const ReadyWait &wait, const Wait &known, std::size_t further, Instant now) const
{
    this->log.warn("A job that could run has nothing running beside room for it.",
                   {{"job", wait.task.job.value},
                    {"task", toString(wait.task)},
                    {"tasks", std::to_string(wait.tasks)},
                    {"cause", std::string(nameOf(wait.cause))},
                    {"agent", wait.agent.value},
                    {"waited_ms", millisOf(now - known.since)},
                    {"further_jobs", std::to_string(further)}});
}

void StartWaits::show() const
{
    if (this->metrics != nullptr) {
        const auto isLong = [](const auto &item) { return item.second.isLong; };
        this->metrics->set(Level::LongWaits, static_cast<double>(std::count_if(this->waits.begin(), this->waits.end(), isLong)));
    }
}

} // namespace waxwingloft
