#ifndef WAXWINGLOFT_REQUEST_LIVEWORKER_H
#define WAXWINGLOFT_REQUEST_LIVEWORKER_H

#include "waxwingloft/connection/taskmessages.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/request/livejob.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace waxwingloft {

/** A run that is assigned to a worker and is not known to have ended. */
struct LiveRun {
    std::uint64_t change = 0; ///< LiveJob::change at the time of assignment
    Instant assignedAt;
    bool isStopping = false;
    bool isSent = false; ///< may have reached its agent
    std::optional<Instant> expectedEnd;
    std::uint32_t percent = 0;
    bool isRunning = false; ///< was reported as started by its executor
    bool hasBegun = false; ///< was reported as running, not only as stopping
    std::optional<StartEffect> startEffect; ///< as last reported to this leader, or nothing; stays Outlived
    Instant lastProgressAt; ///< when it was first reported as running or its percentage last rose
    Millis estimate = Millis(0);
    std::optional<Instant> paceSince; ///< when the present measurement of its pace began
    std::uint32_t paceFrom = 0; ///< its percentage then
    std::uint64_t omittedSince = 0; ///< sequence number of the first assignments that omit it; zero while it should run
    Capacity needs;

    /** Returns the seconds until it is expected to end; infinity when that is not known or was longer than @p overdueTime ago. */
    double endsIn(Instant now, Millis overdueTime) const;

    /** Returns the time after which it counts as stalled when its percentage has not risen: @p least, or longer for a run that takes long for a percent. */
    Millis stallTime(Millis least) const;
};

/** Returns a run of a step of @p job, assigned at @p now. */
LiveRun liveRunOf(const LiveJob &job, std::uint32_t step, Instant now);

/** The end of a run, acknowledged to its executor once the job's row holds @c change. */
struct PendingAck {
    std::uint64_t number = 0;
    JobId job;
    std::uint64_t change = 0;
};

/** A run that lapsed while its executor did not answer. */
struct LapsedRun {
    std::optional<StartEffect> startEffect; ///< as last reported
    Instant lapsedAt;
};

/** The leading placer's view of an agent and its executor. */
struct LiveWorker {
    AgentReport last;
    bool isKnown = false; ///< has reported to this leader
    Instant lastReportAt;
    Instant runsEndBy; ///< if its agent falls silent
    bool isLeaseWithheld = false; ///< the last report got no lease, as the stored bounds do not allow for it
    bool isZoneClosed = false; ///< as of the last plan or report
    Instant pausedUntil; ///< gets no new work until then
    Instant stalledUntil; ///< a run stood still there; gets new work until then only for jobs that would wait too long
    Instant coldUntil; ///< its executor expects to be slow until then
    std::optional<Instant> leavesAt; ///< while its executor drains: it stays until then at least
    std::uint64_t syncSequence = 0;
    std::uint64_t seenEnds = 0;
    std::uint64_t acknowledgedEnds = 0;
    std::deque<PendingAck> pendingAcks;
    bool hasOrphans = false; ///< reports unassigned runs, which use capacity that is not accounted for
    std::map<TaskRun, LiveRun> runs;
    std::map<TaskRun, LapsedRun> lapsedRuns; ///< the executor may have crashed under them, which shows once it is back
    bool needsSync = false;

    /** Applies the progress of runs in a report received at @p now. */
    void applyProgress(const AgentReport &report, Instant now);

    /** Returns the mean progress of its runs relative to their estimates, 1.0 being on time; nothing when no run is as old as @p minSpeedAge. */
    std::optional<double> speed(Instant now, Millis minSpeedAge) const;
};

} // namespace waxwingloft

#endif
