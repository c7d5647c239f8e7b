#include "readyjobs.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

constexpr auto Tick = Millis(10);

bool isRoom(const SiteAgent &agent)
{
    const auto &executor = *agent.executor;
    return !executor.isUnreachable && !executor.hasEnded && !executor.isDown() && !executor.isDraining;
}

Capacity freeOf(const SiteAgent &agent, const std::map<JobId, JobGraph> &graphs)
{
    auto free = agent.executor->capacity;
    for (const auto &[run, state] : agent.executor->running) {
        const auto graph = graphs.find(run.task.job);
        free -= graph == graphs.end() ? Capacity() : graph->second.steps[run.task.step].needs;
    }
    return free;
}

std::int64_t timesIn(const Capacity &free, const Capacity &needs)
{
    std::int64_t times = 1000;
    const auto bound = [&times](std::int64_t have, std::int64_t need) { times = need > 0 ? std::min(times, std::max<std::int64_t>(have, 0) / need) : times; };
    bound(free.milliCores, needs.milliCores);
    bound(free.memoryMb, needs.memoryMb);
    bound(free.accelerators, needs.accelerators);
    return times;
}

} // namespace

ReadyJobs::ReadyJobs(JobSite &site, Millis limit)
    : site(site)
    , limit(limit)
{
}

void ReadyJobs::expect(const JobId &job, const JobGraph &graph)
{
    this->graphs[job] = graph;
}

void ReadyJobs::advance(Millis duration)
{
    for (auto passed = Millis(0); passed < duration; passed += Tick) {
        this->site.advance(Tick);
        this->look();
    }
}

void ReadyJobs::expectNone() const
{
    for (const auto &text : this->reports) {
        ADD_FAILURE() << text;
    }
}

Millis ReadyJobs::longest() const
{
    return this->longestStand;
}

void ReadyJobs::look()
{
    const auto now = this->site.clock.now();
    const bool isMostlyFree = this->isMostlyFree();
    for (const auto &[job, graph] : this->graphs) {
        const auto step = isMostlyFree && !this->isRunning(job) ? this->readyStep(job, graph) : std::nullopt;
        if (!step || !this->hasRoom(graph.steps[*step])) {
            this->stands.erase(job);
            continue;
        }
        auto &stand = this->stands.try_emplace(job, Stand{now, false}).first->second;
        const auto stood = std::chrono::duration_cast<Millis>(now - stand.since);
        this->longestStand = std::max(this->longestStand, stood);
        if (stood >= this->limit && !stand.isReported) {
            stand.isReported = true;
            this->reports.push_back("job " + job.value + " has nothing running for " + std::to_string(stood.count()) + " ms at "
                                    + std::to_string(this->site.clock.wallMillis()) + " though a task of step " + std::to_string(*step) + " could run");
        }
    }
}

bool ReadyJobs::isMostlyFree() const
{
    Capacity total;
    Capacity free;
    for (const auto &agent : this->site.agents) {
        if (isRoom(agent)) {
            total += agent.executor->capacity;
            free += freeOf(agent, this->graphs);
        }
    }
    return free.milliCores * 2 > total.milliCores && free.memoryMb * 2 > total.memoryMb && free.accelerators * 2 > total.accelerators;
}

bool ReadyJobs::hasRoom(const JobStep &step) const
{
    std::int64_t times = 0;
    for (const auto &agent : this->site.agents) {
        times += isRoom(agent) ? timesIn(freeOf(agent, this->graphs), step.needs) : 0;
    }
    return times >= std::max<std::int64_t>(2, step.isGang ? step.count : 0);
}

bool ReadyJobs::isRunning(const JobId &job) const
{
    return std::any_of(this->site.agents.begin(), this->site.agents.end(), [&job](const SiteAgent &agent) {
        const auto &running = agent.executor->running;
        return std::any_of(running.begin(), running.end(), [&job](const auto &item) { return item.first.task.job == job; });
    });
}

/** Returns the first step of which a task's turn has come by what the rows say; nothing for a job that is over. */
std::optional<std::uint32_t> ReadyJobs::readyStep(const JobId &job, const JobGraph &graph) const
{
    auto progress = this->site.progressOf(job);
    if (isFinal(progress.state)) {
        return std::nullopt;
    }
    if (progress.occurrences.empty()) {
        progress = initialProgress(graph);
    }
    const auto &steps = progress.occurrences.front();
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        const auto isOpen = [](const TaskProgress &task) { return task.state == TaskPhase::Waiting || task.state == TaskPhase::Assigned; };
        if (isReady(graph, steps, step) && std::any_of(steps[step].begin(), steps[step].end(), isOpen)) {
            return step;
        }
    }
    return std::nullopt;
}

} // namespace waxwingloft::tests
