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
    Millis estimate = Millis(0); ///< what the caller thinks a task takes; often far off
    std::vector<std::uint32_t> after; ///< earlier steps whose tasks must all be done first
    bool isCheckpointing = false;
    bool isGang = false; ///< the tasks work only while all of them are present
    bool prefersOneRack = false; ///< its tasks are slower on more than one rack
    std::string requiredLabel; ///< of the executor; empty for none
    std::string dataRack; ///< tasks are slower on other racks; empty for none
    std::uint32_t maxPerExecutor = 0; ///< tasks of the step on one executor; zero for no limit
    bool isSpeculative = false; ///< copies may run in parallel
    bool isPerpetual = false; ///< its tasks run until the job is cancelled
    bool isFilling = false; ///< its processor need is not counted; it takes what others leave
    std::uint32_t mayMiss = 0; ///< perpetual tasks that our own moves may hold up at once
    Millis latencyTarget = Millis(0); ///< bound on the tail latency of a perpetual task that serves users; zero for none
    std::string image; ///< tasks of one image behave alike
};

/** What a caller hands in. */
struct JobGraph {
    std::string spec; ///< passed on to the executors as it is
    std::vector<JobStep> steps;
    std::uint32_t occurrences = 1;
    std::int64_t firstRunAt = 0; ///< Unix time in milliseconds of occurrence 0; zero for at once
    Millis interval = Millis(0); ///< between due times of occurrences
};

/** Bounds of a job that a caller may hand in. */
struct JobBounds {
    std::size_t specBytes = 4000;
    std::uint32_t steps = 64;
    std::uint32_t tasks = 1500; ///< of all steps and occurrences; keeps the progress of a job inside a row of 64 KiB in base64
};

/** Checks counts, sizes and that steps depend on earlier steps only. InvalidInput names the first mistake. */
Status checkGraph(const JobGraph &graph, const JobBounds &bounds);

/** Returns the longest chain of estimated work through the steps. */
Millis longestChain(const JobGraph &graph);

/** A job as its caller's entry accepted it, with the options of its queue at that time. */
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
