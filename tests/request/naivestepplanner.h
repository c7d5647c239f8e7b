#ifndef WAXWINGLOFT_TESTS_REQUEST_NAIVESTEPPLANNER_H
#define WAXWINGLOFT_TESTS_REQUEST_NAIVESTEPPLANNER_H

#include "waxwingloft/request/stepplanner.h"

namespace waxwingloft::tests {

/** Makes the same decisions as planSteps() without indexes and remembered results, for entries that are not suspect. */
StepPlan planNaively(const std::vector<PlannerWorker> &workers, const std::vector<WaitingTasks> &waiting, const std::vector<RunningTasks> &running);

} // namespace waxwingloft::tests

#endif
