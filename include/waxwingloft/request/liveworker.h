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

/** A run that is assigned to a worker and not known to have ended. */
struct LiveRun {
    std::uint64_t change = 0; ///< of the job when it was assigned
    Instant assignedAt;
    bool isStopping = false;
    bool isSent = false; ///< its agent may have been told of it
    std::optional<Instant> expectedEnd;
    std::uint32_t percent = 0;
    bool isRunning = false; ///< its executor was seen to run it
    Instant lastProgressAt; ///< when it was first seen to run or the percentage last seen to rise
    Millis estimate = Millis(0);
    std::uint64_t omittedSince = 0; ///< first assignments without it; zero while it is to run
    Capacity needs;
};

/** Returns a run of a step of @p job that is assigned at @p now. */
LiveRun liveRunOf(const LiveJob &job, std::uint32_t step, Instant now);

/** An end that its executor may forget once the job's row holds a change. */
struct PendingAck {
    std::uint64_t number = 0;
    JobId job;
    std::uint64_t change = 0;
};

/** An agent with its executor, as the placer in office knows them. */
struct LiveWorker {
    AgentReport last;
    bool isKnown = false; ///< has reported in this office
    Instant lastReportAt;
    Instant pausedUntil; ///< gets no new work before
    std::uint64_t syncSequence = 0;
    std::uint64_t seenEnds = 0;
    std::uint64_t notedEnds = 0;
    std::deque<PendingAck> pendingAcks;
    bool hasOrphans = false; ///< runs there take room which is not accounted for
    std::map<TaskRun, LiveRun> runs;
    bool needsSync = false;

    /** Takes in the progress of runs that the agent has reported at @p now. */
    void applyProgress(const AgentReport &report, Instant now);

    /** Returns how fast its runs progress against their estimates; nothing when none is old enough to tell. */
    std::optional<double> speed(Instant now, Millis minSpeedAge) const;
};

} // namespace waxwingloft

#endif
