#ifndef WAXWINGLOFT_REQUEST_OPENTRIALS_H
#define WAXWINGLOFT_REQUEST_OPENTRIALS_H

#include "waxwingloft/request/livejob.h"
#include "waxwingloft/request/liveworker.h"

#include <map>
#include <set>

namespace waxwingloft {

/** Returns the jobs of which @p worker starts suspect tasks that its executor is not known to have outlived. */
std::set<JobId> jobsOnTrial(const std::map<JobId, LiveJob> &jobs, const LiveWorker &worker);

/**
 * Returns the tasks whose last starts were followed by the silence of @p limit executors or more, none of which is known to have outlived them.
 *
 * A crash shows only once the executor is back. Lapses before @p since are left out, as that executor may never come back.
 */
std::set<TaskKey> tasksOfSilentExecutors(const std::map<NodeId, LiveWorker> &workers, std::size_t limit, Instant since);

/** The starts of suspect tasks under way at all workers. */
class OpenTrials
{
public:
    OpenTrials(const std::map<JobId, LiveJob> &jobs, const std::map<NodeId, LiveWorker> &workers);

    /** Whether the executor of agent @p node is on trial. */
    bool isAt(const NodeId &node) const;

    /** Whether a task of @p job is on trial. */
    bool isOf(const JobId &job) const;

private:
    std::set<NodeId> nodes;
    std::set<JobId> jobs;
};

} // namespace waxwingloft

#endif
