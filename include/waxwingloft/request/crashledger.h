#ifndef WAXWINGLOFT_REQUEST_CRASHLEDGER_H
#define WAXWINGLOFT_REQUEST_CRASHLEDGER_H

#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/request/livejob.h"
#include "waxwingloft/request/liveworker.h"

#include <map>
#include <vector>

namespace waxwingloft {

/**
 * Records the crashes of executors under the tasks that they ran.
 *
 * An executor has crashed when another incarnation takes its place though it was not draining. The expiry of an agent or of a
 * lease is no crash.
 */
class CrashLedger
{
public:
    /** @p jobs must outlive this object. */
    explicit CrashLedger(std::map<JobId, LiveJob> &jobs);

    /** Counts into @p metrics from now on, which must outlive this object. */
    void setMetrics(Metrics &metrics);

    /** Whether @p report of the worker's agent shows that the executor of its last report has crashed. */
    static bool isCrash(const LiveWorker &worker, const AgentReport &report);

    /** Records that the executor of the last report has crashed. Returns the tasks that it may have run; call before its runs are ended. */
    std::vector<TaskKey> recordCrash(const LiveWorker &worker);

private:
    std::map<TaskRun, StartEffect> runsUnder(const LiveWorker &worker) const;

    std::map<JobId, LiveJob> &jobs;
    Metrics *metrics = nullptr;
    const Logger log;
};

} // namespace waxwingloft

#endif
