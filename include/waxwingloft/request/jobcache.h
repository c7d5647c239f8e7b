#ifndef WAXWINGLOFT_REQUEST_JOBCACHE_H
#define WAXWINGLOFT_REQUEST_JOBCACHE_H

#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/tablefollower.h"
#include "waxwingloft/request/jobprogress.h"
#include "waxwingloft/request/taskplacer.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace waxwingloft {

/** A job as an entry has read it from the job table. */
struct CachedJob {
    std::optional<JobSubmission> submission;
    std::uint64_t submissionRevision = 0;
    bool isCancelled = false;
    JobPhase state = JobPhase::Pending;
    std::uint64_t progressRevision = 0;
};

/**
 * Copy of the job table, kept up to date by its change feed. Forwards submissions and cancellations to the placer.
 *
 * A row that cannot be parsed is logged and treated as absent. Thread safe.
 */
class JobCache : public TableObserver
{
public:
    explicit JobCache(TaskPlacer &placer);

    void reset(const RowList &rows) override;
    void apply(const ChangeBatch &batch) override;

    /** Applies a row that this process has just written or read, ahead of the change feed. */
    void applyRow(const Row &row);

    /** Returns the state of a job. Empty when it is not cached; the job may still exist in the table. */
    std::optional<JobPhase> stateOf(const JobId &job) const;

    /** Returns the workspace that submitted a job; empty when the job is not cached. */
    std::optional<WorkspaceId> workspaceOf(const JobId &job) const;

    /** Returns how many accepted jobs of @p route have not started. */
    std::size_t pendingCount(const std::string &route) const;

    bool contains(const JobId &job) const;

    /** Whether the whole table has been read at least once. */
    bool isLoaded() const;

    /** Forwards all cached jobs and cancellations again, for a placer that has just become leader. */
    void forwardAll();

private:
    void applyRowLocked(const Row &row);
    void applySubmission(const JobId &job, const Row &row);
    void applyCancellation(const JobId &job);
    void applyProgress(const JobId &job, const Row &row);

    TaskPlacer &placer;
    const Logger log;
    mutable std::mutex mutex;
    bool hasLoaded = false;
    std::map<JobId, CachedJob> jobs;
};

/** Returns the state shown to callers: a cancelled job counts as Cancelled before its progress says so. */
JobPhase visibleState(JobPhase stored, bool isCancelled);

/** Whether the progress of a job in @p rows of the job table goes on in the table of parts. */
bool hasProgressParts(const RowList &rows);

/** Assembles jobs from the rows of the job table and of the table of parts; rows that cannot be parsed are logged and skipped. */
std::vector<StoredJob> storedJobsOf(const RowList &rows, const RowList &parts, const Logger &log);

} // namespace waxwingloft

#endif
