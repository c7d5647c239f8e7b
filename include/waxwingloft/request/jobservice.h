#ifndef WAXWINGLOFT_REQUEST_JOBSERVICE_H
#define WAXWINGLOFT_REQUEST_JOBSERVICE_H

#include "waxwingloft/connection/jobcalls.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/process/published.h"
#include "waxwingloft/process/tablestore.h"
#include "waxwingloft/request/jobcache.h"
#include "waxwingloft/version/routingtable.h"

#include <array>
#include <functional>
#include <string>

namespace waxwingloft {

/** Bounds of the gate. */
struct JobServiceOptions {
    JobBounds bounds;
    Millis defaultTimeout = Millis(3000); ///< for calls that do not say how long they wait
    double retryShare = 0.25; ///< of a caller's time in which an outage of the table is waited out before the call is refused
    Millis retryPause = Millis(60); ///< between tries
    Millis retryAfter = Millis(1000); ///< that a refused caller is told
};

/** Reads the body of a submission; the platform's adapter provides it. */
using GraphParser = std::function<Result<JobGraph>(const std::string &body)>;

/**
 * Callers' calls on jobs at an entry: submit, show, cancel, count.
 *
 * A job is accepted once its row is written. A refusal is given only when no write can still take effect;
 * otherwise the answer is Undecided, and the same id settles it. Thread safe.
 */
class JobService : public JobCallHandler
{
public:
    JobService(Clock &clock,
               IdSource &ids,
               Metrics &metrics,
               TableStore &table,
               JobCache &jobCache,
               const Published<RoutingTable> &routes,
               GraphParser parser,
               JobServiceOptions options);

    JobAnswer handle(const JobCall &call) override;

private:
    /** What a call may rely on after the checks that all calls share. */
    struct Admitted {
        SettingsVersion routesVersion = 0;
        Route route;
        WorkspaceId workspace;
        JobId job; ///< empty for a call on the queue
        std::size_t bodyBytes = 0; ///< largest body allowed
        Instant retryUntil; ///< no new try after it
    };

    using VerbHandler = JobAnswer (JobService::*)(const JobCall &, const Admitted &);
    static const std::array<VerbHandler, NameTable<JobVerb>::names.size()> verbHandlers;

    JobAnswer admit(const JobCall &call, Admitted &admitted) const;
    JobAnswer submit(const JobCall &call, const Admitted &admitted);
    JobAnswer show(const JobCall &call, const Admitted &admitted);
    JobAnswer cancel(const JobCall &call, const Admitted &admitted);
    JobAnswer countWaiting(const JobCall &call, const Admitted &admitted);
    Status writeOnce(const std::string &key, const std::string &value, Instant retryUntil);
    Result<bool> exists(const JobId &job, Instant retryUntil);
    Status readIntoCache(const JobId &job);
    JobAnswer refusal(const std::string &reason) const;

    Clock &clock;
    IdSource &ids;
    Metrics &metrics;
    TableStore &table;
    JobCache &jobCache;
    const Published<RoutingTable> &routes;
    const GraphParser parser;
    const JobServiceOptions options;
    const Logger log;
};

} // namespace waxwingloft

#endif
