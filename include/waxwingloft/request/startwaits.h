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

    /**
     * Takes over the waits as of @p now, and the jobs with a run that has begun. Other jobs have no room or no task whose turn has come.
     *
     * The room for a job may come and go while others start and end, so a wait that is broken off goes on for preferences. It is over when the job
     * begins or is not seen for as long as a wait that is logged. The logged time begins anew.
     */
    void update(const std::vector<ReadyWait> &waits, const std::set<JobId> &begun, Instant now);

    /** Whether @p cause, a preference, was seen to hold back @p job after it had waited for the preference wait. Stays so until the wait is over. */
    bool isOverdue(const JobId &job, WaitCause cause) const;

    /** Forgets all waits, as another placer leads. */
    void clear();

private:
    struct Wait {
        Instant since;
        Instant seenAt;
        Instant::duration total = Millis(0); ///< sum of the time between each look that found it again and the look before that
        bool isOpen = false; ///< the last look found it
        WaitCause cause = WaitCause::NoRoom;
        std::set<WaitCause> overdue; ///< causes that were seen after the preference wait
        bool isLong = false; ///< was logged and counted
    };

    Wait &noteSeen(const ReadyWait &wait, Instant now);
    void breakOff(const std::set<JobId> &present, Instant now);
    void logBegin(const ReadyWait &wait, const Wait &known, std::size_t further, Instant now) const;
    void show() const;

    const Millis preferenceWait;
    const Millis longest;
    const Logger log;
    Metrics *metrics = nullptr;
    std::unique_ptr<CountersBy<WaitCause>> counters;
    std::map<JobId, Wait> waits;
    Instant lookedAt; ///< the last update
};

} // namespace waxwingloft

#endif
