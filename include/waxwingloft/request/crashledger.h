#ifndef WAXWINGLOFT_REQUEST_CRASHLEDGER_H
#define WAXWINGLOFT_REQUEST_CRASHLEDGER_H

#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/request/livejob.h"
#include "waxwingloft/request/liveworker.h"
#include "waxwingloft/request/taskplaceroptions.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace waxwingloft {

/**
 * Counts the crashes of executors in the progress of the tasks that they ran, and gives up the tasks that cause them.
 *
 * An executor has crashed when another incarnation takes its place though it was not draining. The expiry of an agent or of a
 * lease is no crash. A crash is counted in the same write of the row that lets the task start again.
 */
class CrashLedger
{
public:
    /** @p jobs and @p options must outlive this object. */
    CrashLedger(std::map<JobId, LiveJob> &jobs, const TaskPlacerOptions &options);

    /** Counts into @p metrics from now on, which must outlive this object. */
    void setMetrics(Metrics &metrics);

    /** Whether @p report of the worker's agent shows that the executor of its last report has crashed. */
    static bool isCrash(const LiveWorker &worker, const AgentReport &report);

    /** Keeps the runs that @p report ends because their executor does not answer, until the executor answers again. */
    static void keepLapsedRuns(LiveWorker &worker, const AgentReport &report, Instant now);

    /** Counts a crash of the executor of the last report. Returns the tasks under which it crashed; call before its runs are ended. */
    std::vector<TaskKey> recordCrash(const LiveWorker &worker);

    /** Marks those of @p tasks as failed that have reached a limit of crashes. Returns their jobs; call once their runs have ended. */
    std::set<JobId> giveUp(const std::vector<TaskKey> &tasks);

private:
    bool isLimitReached(const LiveJob &job, const TaskKey &key) const;
    std::map<TaskRun, std::optional<StartEffect>> runsUnder(const LiveWorker &worker) const;

    std::map<JobId, LiveJob> &jobs;
    const TaskPlacerOptions &options;
    Metrics *metrics = nullptr;
    const Logger log;
};

} // namespace waxwingloft

#endif
