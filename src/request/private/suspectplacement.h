#ifndef WAXWINGLOFT_REQUEST_SUSPECTPLACEMENT_H
#define WAXWINGLOFT_REQUEST_SUSPECTPLACEMENT_H

#include "demand.h"

namespace waxwingloft {

/**
 * Places suspect tasks, each entry on executors of its own that get nothing else while it is on trial.
 *
 * Only a share of the executors is on trial at a time, so that crashes leave most of the fleet at work.
 */
class SuspectPlacement
{
public:
    SuspectPlacement(const std::vector<PlannerWorker> &workers, const std::vector<RunningTasks> &running);

    /** Records that other tasks start at @p places. */
    void othersStart(const std::vector<std::size_t> &places);

    /**
     * Places suspect tasks where a crash loses the least work. Returns one worker per placed task.
     *
     * A gang is placed whole or not at all; other tasks are placed on one executor as far as they fit there.
     */
    std::vector<std::size_t> place(const Demand &demand, const std::vector<Capacity> &available);

private:
    std::vector<std::size_t> candidates(const Demand &demand, const std::vector<Capacity> &available) const;

    std::vector<bool> isOnTrial; ///< by worker
    std::vector<bool> hasStarts; ///< by worker, in this plan
    std::vector<double> lossAt; ///< by worker, core seconds that a crash would lose
    std::size_t open = 0; ///< executors on trial
    std::size_t limit = 0; ///< of executors on trial
};

} // namespace waxwingloft

#endif
