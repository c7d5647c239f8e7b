#ifndef WAXWINGLOFT_REQUEST_JOBGRAPH_H
#define WAXWINGLOFT_REQUEST_JOBGRAPH_H

#include "waxwingloft/process/capacity.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/process/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingloft {

/** A step of a job: tasks of one shape that become ready together. */
struct JobStep {
    std::uint32_t count = 1; ///< tasks
    Capacity needs; ///< of one task
    Millis estimate = Millis(0); ///< the caller's estimate of one task's run time; often far off
    std::vector<std::uint32_t> after; ///< earlier steps whose tasks must all be done first
    bool isCheckpointing = false;
    bool isGang = false; ///< the tasks make progress only while all of them run
    bool prefersOneRack = false; ///< its tasks are slower on more than one rack
    std::string requiredLabel; ///< of the executor; empty for none
    std::string dataRack; ///< tasks are slower on other racks; empty for none
    std::uint32_t maxPerExecutor = 0; ///< tasks of the step on one executor; zero for no limit
    bool isSpeculative = false; ///< a task may run in several copies at once
    bool isPerpetual = false; ///< its tasks run until the job is cancelled
    bool isBestEffort = false; ///< its processor need is not counted; it uses what other tasks leave idle
    std::uint32_t mayMiss = 0; ///< perpetual tasks that the scheduler may interrupt at the same time
    Millis latencyTarget = Millis(0); ///< tail latency target of a perpetual task that serves users; zero for none
    std::string image; ///< tasks of one image are assumed to behave alike
};

/** A job as a caller submits it. */
struct JobGraph {
    std::string spec; ///< opaque; passed on to the executors unchanged
    std::vector<JobStep> steps;
    std::uint32_t occurrences = 1;
    std::int64_t firstRunAt = 0; ///< due time of occurrence 0, Unix time in milliseconds; zero for immediately
    Millis interval = Millis(0); ///< between due times of occurrences
};

/** Limits on a job that a caller may submit. */
struct JobBounds {
    std::size_t specBytes = 4000;
    std::uint32_t steps = 64;
    std::uint32_t tasks = 1500; ///< over all steps and occurrences; keeps a job's progress within one transaction of a megabyte
};

/** Checks counts, sizes and that steps depend only on earlier steps. Returns InvalidInput for the first violation. */
Status checkGraph(const JobGraph &graph, const JobBounds &bounds);

/** Returns the number of tasks over all steps and occurrences. */
std::uint64_t taskCount(const JobGraph &graph);

/** Returns the length of the critical path: the longest chain of estimated run times through dependent steps. */
Millis criticalPath(const JobGraph &graph);

/** Returns for each step the longest chain of estimated run times of the steps that wait for it, without its own. */
std::vector<Millis> chainsAfter(const JobGraph &graph);

/** A job as an entry accepted it, with the settings of its route at that time. */
struct JobSubmission {
    JobId id;
    WorkspaceId workspace;
    std::string route;
    std::string service;
    int priority = 0;
    std::uint32_t maxAttempts = 1;
    double stretch = 1.0;
    Millis latencySlack = Millis(0);
    std::int64_t acceptedAt = 0; ///< Unix time in milliseconds
    JobGraph graph;
};

} // namespace waxwingloft

#endif
