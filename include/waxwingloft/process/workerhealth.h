#ifndef WAXWINGLOFT_PROCESS_WORKERHEALTH_H
#define WAXWINGLOFT_PROCESS_WORKERHEALTH_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/ids.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwingloft {

/** Thresholds of the attribution of failures. */
struct WorkerHealthOptions {
    int failuresToQuarantine = 3; ///< failures without a success, on distinct jobs
    int workersToBlameJob = 3; ///< distinct workers, healthy ones, on which a job must fail
    Millis probeAfter = Millis(60000); ///< first time in quarantine; doubles with every failed probe
    Millis probeLimit = Millis(3600000); ///< longest time in quarantine
};

/** What a failure led to. */
enum class HealthVerdict {
    None,
    QuarantineWorker,
    EndJob,
};

/**
 * Tells bad workers from bad jobs by comparing each with its peers.
 *
 * A worker's failures count only for jobs that have not failed elsewhere; a job's failures count
 * only on workers that other jobs succeed on. Serves backend servers and requests alike, with the
 * kind of work in the place of the job. Not thread safe.
 */
class WorkerHealth
{
public:
    WorkerHealth(Clock &clock, WorkerHealthOptions options);

    void recordSuccess(const NodeId &worker, const std::string &job);

    /** Notes a failure and returns what to do about it. */
    HealthVerdict recordFailure(const NodeId &worker, const std::string &job);

    /** Whether new work must keep away from @p worker. Turns false when its probe is due. */
    bool isQuarantined(const NodeId &worker) const;

    /** Returns the end of the worker's quarantine; in the past when there is none. */
    Instant quarantinedUntil(const NodeId &worker) const;

    /** Returns when @p worker failed last since its last success; nothing when it did not. */
    std::optional<Instant> lastFailureOn(const NodeId &worker) const;

    /** Returns the quarantined workers, for the status page. */
    std::vector<NodeId> quarantined() const;

    /** Returns the workers that @p job has failed on since its last success, and when each did so last. */
    std::map<NodeId, Instant> evidenceAgainst(const std::string &job) const;

    /** Drops what is known of a job that has ended. */
    void forgetJob(const std::string &job);

private:
    struct Record {
        std::set<std::string> failedJobs; ///< since the last success
        int failedProbes = 0;
        Instant lastFailureAt;
        Instant quarantinedUntil;
        bool onProbation = false;
    };

    bool quarantine(Record &record);

    Clock &clock;
    const WorkerHealthOptions options;
    std::map<NodeId, Record> workers;
    std::map<std::string, std::map<NodeId, Instant>> failedOn; ///< by job, the time of the last failure on each worker
};

} // namespace waxwingloft

#endif
