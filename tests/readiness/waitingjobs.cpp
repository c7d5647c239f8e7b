#include "waitingjobs.h"

#include <algorithm>

namespace waxwingloft::tests {

namespace {

constexpr std::int64_t CoresOfTask = 1000;
constexpr std::int64_t MemoryOfTask = 256;

std::int64_t timesIn(const Capacity &free, const Capacity &needs)
{
    return std::max<std::int64_t>(0, std::min({free.milliCores / needs.milliCores, free.memoryMb / needs.memoryMb, free.accelerators / needs.accelerators}));
}

} // namespace

Capacity needsOf(const PlannedJob &job)
{
    return {CoresOfTask, MemoryOfTask, job.accelerators};
}

void WaitingJobs::addExecutor(const std::string &executor, const Capacity &capacity)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->executors[executor].capacity = capacity;
}

void WaitingJobs::removeExecutor(const std::string &executor)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto &gone = this->executors[executor];
    for (const auto &run : gone.runs) {
        const auto job = this->jobs.find(run.task.job.value);
        if (job != this->jobs.end()) {
            --job->second.running;
        }
    }
    for (const auto &run : gone.unnotedEnds) {
        const auto job = this->jobs.find(run.task.job.value);
        if (job != this->jobs.end()) {
            job->second.done.erase(run.task.index);
        }
    }
    this->executors.erase(executor);
}

void WaitingJobs::setUsable(const std::string &executor, bool isUsable)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto found = this->executors.find(executor);
    if (found != this->executors.end()) {
        found->second.isUsable = isUsable;
    }
}

void WaitingJobs::expect(const PlannedJob &job)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->jobs[job.id].plan = job;
    this->jobs[job.id].needs = needsOf(job);
}

void WaitingJobs::accept(const std::string &job)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->jobs[job].isAccepted = true;
}

void WaitingJobs::finish(const std::string &job)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->jobs[job].isFinished = true;
}

std::vector<WaitingJobs::Wait> WaitingJobs::look(Instant now)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<Wait> found;
    const bool isMostlyFree = this->hasHalfFree();
    for (auto &[id, job] : this->jobs) {
        const bool isReady = job.isAccepted && !job.isFinished && job.running == 0 && job.done.size() < job.plan.count;
        const auto times = isReady && isMostlyFree ? this->timesInRoom(job.needs) : 0;
        if (times < 2 * static_cast<std::int64_t>(job.plan.isGang ? job.plan.count : 1U)) {
            job.waitsSince.reset();
            continue;
        }
        job.waitsSince = job.waitsSince.value_or(now);
        const auto waited = std::chrono::duration_cast<Millis>(now - *job.waitsSince);
        found.push_back({id, *job.waitsSince, waited, "room for " + std::to_string(times) + " of its " + std::to_string(job.plan.count) + " tasks"});
    }
    return found;
}

bool WaitingJobs::isMostlyFree()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->hasHalfFree();
}

std::size_t WaitingJobs::unfinished()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return static_cast<std::size_t>(std::count_if(this->jobs.begin(), this->jobs.end(), [](const auto &item) {
        const auto &job = item.second;
        return job.isAccepted && !job.isFinished && job.done.size() < job.plan.count;
    }));
}

void WaitingJobs::started(const std::string &executor, const TaskRun &run, const std::string & /*spec*/)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->executors[executor].runs.insert(run);
    ++this->jobs[run.task.job.value].running;
}

void WaitingJobs::ended(const std::string &executor, const TaskRun &run, RunEnd how)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto &job = this->jobs[run.task.job.value];
    this->executors[executor].runs.erase(run);
    --job.running;
    if (how == RunEnd::Done) {
        job.done.insert(run.task.index);
        this->executors[executor].unnotedEnds.insert(run);
    }
}

void WaitingJobs::noted(const std::string &executor, const TaskRun &run, RunEnd /*how*/)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->executors[executor].unnotedEnds.erase(run);
}

Capacity WaitingJobs::freeOf(const Executor &executor) const
{
    auto free = executor.capacity;
    for (const auto &run : executor.runs) {
        free -= this->jobs.at(run.task.job.value).needs;
    }
    return free;
}

bool WaitingJobs::hasHalfFree() const
{
    Capacity total;
    Capacity free;
    for (const auto &[id, executor] : this->executors) {
        if (executor.isUsable) {
            total += executor.capacity;
            free += this->freeOf(executor);
        }
    }
    return free.milliCores * 2 > total.milliCores && free.memoryMb * 2 > total.memoryMb && free.accelerators * 2 > total.accelerators;
}

std::int64_t WaitingJobs::timesInRoom(const Capacity &needs) const
{
    std::int64_t times = 0;
    for (const auto &[id, executor] : this->executors) {
        times += executor.isUsable ? timesIn(this->freeOf(executor), needs) : 0;
    }
    return times;
}

} // namespace waxwingloft::tests
