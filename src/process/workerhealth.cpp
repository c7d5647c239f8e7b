#include "waxwingloft/process/workerhealth.h"

#include <algorithm>

namespace waxwingloft {

WorkerHealth::WorkerHealth(Clock &clock, WorkerHealthOptions options)
    : clock(clock)
    , options(options)
{
}

void WorkerHealth::recordSuccess(const NodeId &worker, const std::string &job)
{
    this->workers.erase(worker);
    this->failedOn.erase(job);
}

HealthVerdict WorkerHealth::recordFailure(const NodeId &worker, const std::string &job)
{
    auto &record = this->workers[worker];
    auto &workersOfJob = this->failedOn[job];
    workersOfJob[worker] = this->clock.now();
    record.failedJobs.insert(job);
    record.lastFailureAt = this->clock.now();

    const auto isSuspect = [this](const NodeId &node) { return this->workers[node].onProbation || this->workers[node].failedJobs.size() > 1; };
    const auto healthyWitnesses =
        std::count_if(workersOfJob.begin(), workersOfJob.end(), [&isSuspect](const auto &failure) { return !isSuspect(failure.first); });
    if (healthyWitnesses >= this->options.workersToBlameJob) {
        for (const auto &[node, failedAt] : workersOfJob) {
            this->workers[node].failedJobs.erase(job);
        }
        return HealthVerdict::EndJob;
    }
    const auto failedOnlyHere = [this](const std::string &other) {
        const auto found = this->failedOn.find(other);
        return found == this->failedOn.end() || found->second.size() <= 1;
    };
    const auto ownFailures = std::count_if(record.failedJobs.begin(), record.failedJobs.end(), failedOnlyHere);
    if (record.onProbation || ownFailures >= this->options.failuresToQuarantine) {
        return this->quarantine(record) ? HealthVerdict::QuarantineWorker : HealthVerdict::None;
    }
    return HealthVerdict::None;
}

bool WorkerHealth::isQuarantined(const NodeId &worker) const
{
    const auto found = this->workers.find(worker);
    return found != this->workers.end() && found->second.onProbation && this->clock.now() < found->second.quarantinedUntil;
}

Instant WorkerHealth::quarantinedUntil(const NodeId &worker) const
{
    const auto found = this->workers.find(worker);
    return found == this->workers.end() ? Instant() : found->second.quarantinedUntil;
}

std::optional<Instant> WorkerHealth::lastFailureOn(const NodeId &worker) const
{
    const auto found = this->workers.find(worker);
    return found == this->workers.end() ? std::nullopt : std::optional(found->second.lastFailureAt);
}

std::vector<NodeId> WorkerHealth::quarantined() const
{
    std::vector<NodeId> nodes;
    for (const auto &[node, record] : this->workers) {
        if (record.onProbation) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

std::map<NodeId, Instant> WorkerHealth::evidenceAgainst(const std::string &job) const
{
    const auto found = this->failedOn.find(job);
    return found == this->failedOn.end() ? std::map<NodeId, Instant>{} : found->second;
}

void WorkerHealth::forgetJob(const std::string &job)
{
    this->failedOn.erase(job);
}

bool WorkerHealth::quarantine(Record &record)
{
    const auto now = this->clock.now();
    if (record.onProbation && now < record.quarantinedUntil) {
        return false;
    }
    const int doublings = std::min(record.failedProbes, 10);
    record.quarantinedUntil = now + std::min(this->options.probeLimit, this->options.probeAfter * (1 << doublings));
    record.onProbation = true;
    ++record.failedProbes;
    return true;
}

} // namespace waxwingloft
