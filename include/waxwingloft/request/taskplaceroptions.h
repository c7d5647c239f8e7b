#ifndef WAXWINGLOFT_REQUEST_TASKPLACEROPTIONS_H
#define WAXWINGLOFT_REQUEST_TASKPLACEROPTIONS_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/workerhealth.h"

#include <cstddef>
#include <cstdint>

namespace waxwingloft {

/** Times of the placer in office. */
struct TaskPlacerOptions {
    Millis agentLease = Millis(3000); ///< an agent may prolong its executor's lease this long after a report
    Millis longestLease = Millis(6020); ///< of an executor, on our clock: the lease by a clock that is 2% slow
    Millis margin = Millis(300); ///< for rounding and for the time of an answer
    Millis grantPeriod = Millis(
        4000); ///< a placer that has lost the table grants licences so long after its last renewal; with agentLease and lease, work outlasts an outage of 12 s
    Millis settleTime = Millis(400); ///< after taking office, for the agents to report
    Millis maxReportAge = Millis(2000); ///< an agent that was silent for longer gets no new work
    Millis refusalPause = Millis(500); ///< a worker that refused a start for want of health or room gets no new work
    double urgentMaxLostWork = 150.0; ///< core seconds that an urgent job in time may throw away: a fifteenth of its worth at the users' price
    Millis endsSoonTime = Millis(700); ///< expected end of a run that is waited for rather than another one stopped
    Millis waitForEnds = Millis(900); ///< after a job came in; leaves the time of a stop and a start in the shortest reclaim bound
    Millis dueMargin = Millis(100); ///< after a due time by our clock, as clocks of hosts differ; below what callers notice
    Millis stallTime = Millis(3000); ///< without progress, after which a run stands still; two looks of 1 s by its agent, a report's 0.8 s and its way
    std::uint32_t movePercent = 50; ///< a run that stands still is started elsewhere before it has done this much
    double slowShare = 0.4; ///< of the median speed, below which a worker is slow; the users' slow-downs are 4 to 6.5 times
    Millis minSpeedAge = Millis(1000); ///< age from which the progress of a run tells its speed
    WorkerHealthOptions health = {2, 3, Millis(4000), Millis(60'000)}; ///< quarantine of workers that fail what they start; their failing spells last about 6 s
    std::size_t batchRows = 40; ///< rows in one transaction; each counts as a condition and a write, of which 100 are allowed
};

} // namespace waxwingloft

#endif
