#ifndef WAXWINGLOFT_REQUEST_JOBSERVICE_H
#define WAXWINGLOFT_REQUEST_JOBSERVICE_H

#include "waxwingloft/connection/jobcalls.h"
#include "waxwingloft/connection/storeoutlook.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/process/published.h"
#include "waxwingloft/process/settlingstore.h"
#include "waxwingloft/request/doubtfulcalls.h"
#include "waxwingloft/request/jobcache.h"
#include "waxwingloft/request/jobrows.h"
#include "waxwingloft/version/routingtable.h"

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace waxwingloft {

/** Limits and timing of JobService. */
struct JobServiceOptions {
    JobBounds bounds;
    std::size_t rowBytes = LargestRowBytes; ///< of a submission's row
    Millis defaultTimeout = Millis(3000); ///< for calls without a timeout of their own
    double retryShare = 0.25; ///< share of a call's timeout in which writes and reads of an unreachable table are retried
    double settleShare = 0.5; ///< share of a call's timeout after which a write in doubt is settled no further; the rest is for a try at another entry
    Millis retryPause = Millis(60); ///< between retries
    Millis retryAfter = Millis(1000); ///< suggested to a refused caller
    Millis doubtWait = Millis(300); ///< for peers to say whether they reach the table; above the interval between looks and the answer of a slow table
};

/** Parses the body of a submission; the platform's adapter provides it. */
using GraphParser = std::function<Result<JobGraph>(const std::string &body)>;

/**
 * Handles callers' requests on jobs at an entry: submit, show, cancel and count.
 *
 * A job is accepted once its row is written. A call is refused only when its write is known to have had no effect;
 * otherwise the answer is Undecided, and the caller can safely repeat the call with the same id. While the table is away, calls that
 * need it are refused before anything is sent for them.
 *
 * The cancellation of an unknown job is written as a withdrawal, in whose presence no submission of that job is written: one may
 * still be under way, at another entry or at the table. Thread safe.
 */
class JobService : public JobCallHandler
{
public:
    JobService(Clock &clock,
               IdSource &ids,
               Metrics &metrics,
               SettlingStore &table,
               JobCache &jobCache,
               const Published<RoutingTable> &routes,
               GraphParser parser,
               JobServiceOptions options);

    /** Has @p observer called with each row that is written, on the thread of the call. Call before the first call is handled. */
    void setRowObserver(std::function<void(const Row &)> observer);

    /** Has calls that need the table refused at once while @p outlook says that it is away. Call before the first call is handled. */
    void setOutlook(StoreOutlook &outlook);

    /** Has @p observer called with the name of each call that is answered as undecided, before the answer. Call before the first call is handled. */
    void setDoubtObserver(std::function<void(const std::string &)> observer);

    /** Takes note that a call is in doubt at another entry; @p call is the name that its observer was given. */
    void noteDoubt(const std::string &call);

    JobAnswer handle(const JobCall &call) override;

private:
    /** A call that has passed the checks common to all calls. */
    struct Admitted {
        SettingsVersion routesVersion = 0;
        Route route;
        WorkspaceId workspace;
        JobId job; ///< empty for calls that concern the whole route
        std::size_t bodyBytes = 0; ///< largest allowed body
        Instant retryUntil; ///< no retry after this time
        Instant settleUntil; ///< no settling of a write after this time

        /** Returns in whose name jobs of the route are withdrawn: the workspace, or nobody's where all may call. */
        WorkspaceId withdrawalOwner() const
        {
            return this->route.isPublic ? WorkspaceId{} : this->workspace;
        }
    };

    using VerbHandler = JobAnswer (JobService::*)(const JobCall &, const Admitted &);
    static const std::array<VerbHandler, NameTable<JobVerb>::names.size()> verbHandlers;

    JobAnswer admit(const JobCall &call, Admitted &admitted) const;
    JobAnswer submit(const JobCall &call, const Admitted &admitted);
    JobAnswer show(const JobCall &call, const Admitted &admitted);
    JobAnswer cancel(const JobCall &call, const Admitted &admitted);
    JobAnswer countWaiting(const JobCall &call, const Admitted &admitted);
    JobAnswer withdraw(const Admitted &admitted);
    bool mayCancel(const Admitted &admitted) const;
    JobAnswer writeCancellation(const Admitted &admitted);
    Result<std::optional<Row>> writeOnce(const std::string &key, const std::string &value, const std::vector<std::string> &absent, const Admitted &admitted);
    void publish(const Row &row);
    bool isStoreAway() const;
    void keepDoubt(const JobCall &call, const JobId &job, JobAnswer &result);
    JobAnswer answerToFailure(const Error &error) const;
    Result<bool> exists(const JobId &job, Instant retryUntil);
    Status readIntoCache(const JobId &job);
    JobAnswer refusal(const std::string &reason) const;

    Clock &clock;
    IdSource &ids;
    Metrics &metrics;
    SettlingStore &table;
    JobCache &jobCache;
    const Published<RoutingTable> &routes;
    const GraphParser parser;
    const JobServiceOptions options;
    std::function<void(const Row &)> rowObserver;
    std::function<void(const std::string &)> doubtObserver;
    StoreOutlook *outlook = nullptr;
    DoubtfulCalls doubtfulCalls;
    const Logger log;
};

} // namespace waxwingloft

#endif
