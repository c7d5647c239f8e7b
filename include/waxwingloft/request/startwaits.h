#ifndef WAXWINGLOFT_REQUEST_STARTWAITS_H
#define WAXWINGLOFT_REQUEST_STARTWAITS_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/request/readywait.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace waxwingloft {

/**
 * Since when jobs have nothing running beside room for them, and why; for the operator, and for decisions that must not wait longer.
 *
 * Kept by the leading placer for one term. Not thread safe.
 */
class StartWaits
{
public:
    /** Preferences hold a job back for @p preferenceWait at most; a wait of @p longest is logged and counted. */
    StartWaits(Millis preferenceWait, Millis longest);

    /** Counts long waits by their cause into @p metrics from now on, which must outlive this object. */
    void setMetrics(Metrics &metrics);

    /** Takes over the waits as of @p now. A job that is not among @p waits has begun, has no room or has no task whose turn has come. */
    void update(const std::vector<ReadyWait> &waits, Instant now);

    /** Whether @p cause, a preference, was seen to hold back @p job after it had waited for the preference wait. Stays so until the job begins or has no room.
     */
    bool isOverdue(const JobId &job, WaitCause cause) const;

    /** Forgets all waits, as another placer leads. */
    void clear();

private:
    struct Wait {
        Instant since;
        WaitCause cause = WaitCause::NoRoom;
        std::set<WaitCause> overdue; ///< causes that were seen after the preference wait
        bool isLong = false; ///< was logged and counted
    };

    void logBegin(const ReadyWait &wait, const Wait &known, std::size_t further, Instant now) const;
    void show() const;

    const Millis preferenceWait;
    const Millis longest;
    const Logger log;
    Metrics *metrics = nullptr;
    std::unique_ptr<CountersBy<WaitCause>> counters;
    std::map<JobId, Wait> waits;
};

} // namespace waxwingloft

#endif
