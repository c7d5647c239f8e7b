#ifndef WAXWINGLOFT_PROCESS_RUNTIMELEARNER_H
#define WAXWINGLOFT_PROCESS_RUNTIMELEARNER_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/ids.h"

#include <deque>
#include <map>
#include <utility>

namespace waxwingloft {

/**
 * Quantiles of the run times of each workspace's kinds of work.
 *
 * Declared run times are only the prior: they count until enough runs have been seen. Keeps a
 * bounded window of runs for each pair. Not thread safe.
 */
class RuntimeLearner
{
public:
    /** Notes that a run took @p runTime. */
    void observe(const WorkspaceId &workspace, const KindId &kind, Millis runTime);

    /**
     * Returns the run time that a share of @p quantile of runs does not exceed.
     *
     * @p declared is returned while fewer than eight runs are known.
     */
    Millis estimate(const WorkspaceId &workspace, const KindId &kind, Millis declared, double quantile) const;

private:
    using Key = std::pair<WorkspaceId, KindId>;
    std::map<Key, std::deque<Millis>> windows;
};

} // namespace waxwingloft

#endif
