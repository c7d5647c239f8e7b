#ifndef WAXWINGLOFT_REQUEST_HELDCAPACITY_H
#define WAXWINGLOFT_REQUEST_HELDCAPACITY_H

#include "waxwingloft/process/capacity.h"
#include "waxwingloft/request/agentrun.h"

#include <cstddef>
#include <map>

namespace waxwingloft {

/** Whether a start fits beside the other runs of its executor. */
enum class StartFit {
    Fits,
    Exceeds, ///< it would bring the executor over its capacity
    Unknown, ///< it may: the needs of another run are not known
};

/**
 * The capacity that the runs at an executor may hold, for the last check before a start.
 *
 * A run holds what it needs from the moment its first start is sent until it is proven to be over, also while it is
 * being stopped. Not thread safe.
 */
class HeldCapacity
{
public:
    explicit HeldCapacity(const std::map<TaskRun, AgentRun> &runs);

    /** Returns whether a start of @p run fits into @p capacity beside all other runs. */
    StartFit fitOf(const AgentRun &run, const Capacity &capacity) const;

    /** Counts @p run, of which a start is about to be sent, unless it counts already. */
    void add(const AgentRun &run);

private:
    void count(const AgentRun &run);

    Capacity held;
    std::size_t unknown = 0; ///< runs whose needs are not known
};

} // namespace waxwingloft

#endif
