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

/** What an entry contains of a job. */
struct CachedJob {
    std::optional<JobSubmission> submission;
    std::uint64_t submissionRevision = 0;
    bool isCancelled = false;
    JobProgress progress;
    std::uint64_t progressRevision = 0;
};

/**
 * The jobs as the table holds them, kept up to date by its feed, and passed on to the placer in office.
 *
 * A row that cannot be read is logged and counts as absent. Thread safe.
 */
class JobCache : public TableObserver
{
public:
    explicit JobCache(TaskPlacer &placer);

    void reset(const RowList &rows) override;
    void apply(const ChangeBatch &batch) override;

    /** Takes in a row that this process has just written or read. */
    void applyRow(const Row &row);

    /** Returns the state of a job; nothing when it is not known here, which is no proof that there is none. */
    std::optional<JobPhase> stateOf(const JobId &job) const;

    /** Returns how many accepted jobs of @p route have not begun. */
    std::size_t pendingCount(const std::string &route) const;

    bool contains(const JobId &job) const;

    /** Whether the table has been read since the start. */
    bool isLoaded() const;

    /** Passes on all jobs and cancellations to the placer, which has just taken office. */
    void replay();

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

/** Returns the state that callers see of a job in @p progress. */
JobPhase visibleState(const JobProgress &progress, bool isCancelled);

/** Reads all jobs out of the rows of the table; rows that cannot be read are logged and left out. */
std::vector<StoredJob> storedJobsOf(const RowList &rows, const Logger &log);

} // namespace waxwingloft

#endif
