#ifndef WAXWINGLOFT_REQUEST_BLOCKEDSTEPS_H
#define WAXWINGLOFT_REQUEST_BLOCKEDSTEPS_H

#include "waxwingloft/request/taskplanner.h"

#include <functional>
#include <optional>

namespace waxwingloft {

/** Says why a step whose turn has come is not planned though nothing of it may be running. Lives for one plan. */
class BlockedSteps
{
public:
    /** Returns what keeps a task that is not assigned from being planned; nothing when it may be planned. */
    using TaskObstacle = std::function<std::optional<WaitCause>(const TaskKey &)>;

    /** @p state must outlive this object. */
    BlockedSteps(const PlannerInput &state, Instant now, TaskObstacle obstacleTo);

    /** Returns the wait of the first task of the step that is assigned or must not be planned; nothing where there is none or the step is not ready. */
    std::optional<ReadyWait> find(const LiveJob &job, std::uint32_t occurrence, std::uint32_t step, bool isOnTrial) const;

private:
    WaitCause causeOfAssigned(const TaskKey &key, const TaskProgress &task) const;

    const PlannerInput &state;
    const Instant now;
    const TaskObstacle obstacleTo;
};

} // namespace waxwingloft

#endif
