#ifndef WAXWINGLOFT_REQUEST_TASKPLACEROPTIONS_H
#define WAXWINGLOFT_REQUEST_TASKPLACEROPTIONS_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/workerhealth.h"
#include "waxwingloft/request/jobrows.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace waxwingloft {

/** Timing and limits of the leading placer. */
struct TaskPlacerOptions {
    Millis agentLease = Millis(2400); ///< time after a report in which an agent may renew its executor's lease; three report intervals
    Millis longestAgentLease = Millis(3000); ///< that a placer of this version or of the one before grants, with which agents may talk during a replacement
    Millis longestLease = Millis(6020); ///< executor lease on our clock, for an executor whose clock runs 2% slow
    Millis margin = Millis(300); ///< for rounding and the latency of an answer
    Millis grantPeriod = Millis(4000); ///< agent leases are granted so long after the last renewal; with both leases, work survives a table outage of 9 s
    Millis settleTime = Millis(400); ///< after becoming leader, for the agents to report
    Millis maxReportAge = Millis(2000); ///< an agent whose last report is older gets no new work
    Millis refusalPause = Millis(500); ///< without new work for a worker that refused a start because it was unhealthy or full
    Millis endsSoonTime = Millis(700); ///< a guaranteed job waits for runs expected to end within this rather than preempting others
    Millis waitForEnds = Millis(900); ///< of a guaranteed job, for runs that end soon; leaves time for a stop and a start in the shortest reclaim bound
    double worthPerCoreSecond = 0.001; ///< of work thrown away; the users' price, about 0.0014 of a day's worth for 1,000 core seconds
    Millis restartWait = Millis(3000); ///< until a stopped task is expected to run again in a full fleet, as patient work has waited on the users' days
    Millis longestWait = Millis(4000); ///< for runs that end, before a job that may preempt; twice the slack of the most urgent jobs
    Millis overdueTime = Millis(1000); ///< after which a run that should have ended is not waited for any more
    Millis leaveMargin = Millis(300); ///< a run must be expected to end so long before its executor leaves, or it is moved
    Millis dueMargin = Millis(100); ///< added to a due time because host clocks differ; too short for callers to notice
    Millis stallTime = Millis(3000); ///< without progress, for runs that do a percent in less than a second; covers two polls of 1 s by the agent, the report
                                     ///< interval of 0.8 s and the transfer
    std::uint32_t movePercent = 50; ///< a stalled run is started elsewhere only below this progress
    double slowShare = 0.4; ///< of the median speed, below which a worker counts as slow; the users' slow-downs are by factors of 4 to 6.5
    Millis minSpeedAge = Millis(1000); ///< age from which the speed of a run is derived from its progress
    WorkerHealthOptions health = {2, 3, Millis(4000), Millis(60'000)}; ///< quarantine of workers that fail what they start; such failure periods last about 6 s
    Millis avoidTime = Millis(6500); ///< after a failure a job keeps away from the worker that long; by then the users' failure periods are over
    Millis failurePause = Millis(2500); ///< the same when no other worker could run its tasks; the users want a start within 3 s
    std::uint32_t startCrashesToGiveUp = 3; ///< the users' rule allows no three further starts after three crashes
    std::uint32_t crashesToGiveUp = 5; ///< of any kind; bounds what a task costs that crashes its executors long after its start
    std::size_t silentStartsToWait = 2; ///< executors that fell silent at the start of a task, after which it waits for them: one more may be its third crash
    Millis silentStartWait = Millis(30'000); ///< after a lapse, for the executor to come back; one that is lost for good must not hold up its task for ever
    std::optional<Millis> zoneCloseTime; ///< after the acknowledgement of a zone's closing, in which the last start there must have been carried out; left out,
                                         ///< zones are not closed
    Millis zoneCloseMargin = Millis(500); ///< of that for rounding and the delivery of a start to its executor, which takes up to 300 ms
    Millis waitWatchInterval = Millis(250); ///< between looks for jobs that wait beside room; a plan without events comes as often
    Millis preferenceWait = Millis(1500); ///< of a job with nothing running beside room for it, after which it starts where it is slower; leaves time for a
                                          ///< plan and a start before the next bound
    Millis longestReadyWait = Millis(3000); ///< of a job with nothing running beside room for it twice over; the users' rule
    Millis refusedWritePause = Millis(1000); ///< after the table has refused a job's rows for good, until they are tried again
    std::uint32_t refusalsToEnd = 3; ///< of a job's rows, after which it ends; more than one, so that a passing fault of the table ends no job
    std::size_t rowBytes = LargestRowBytes; ///< of one row
    std::size_t batchRows = 40; ///< rows per transaction; each takes one condition and one write of the 100 operations allowed
    std::size_t batchBytes = std::size_t(256) * 1024; ///< of the rows of a transaction that has more than one; sent in a third of a second on the slowest
                                                      ///< links, and well below the megabyte that the platform's table takes at once
};

} // namespace waxwingloft

#endif
