#ifndef WAXWINGLOFT_VERSION_ROUTINGTABLE_H
#define WAXWINGLOFT_VERSION_ROUTINGTABLE_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingloft {

/** Time to ask an adviser which executors may run a step, and how long its answer is valid. */
struct AdviceTiming {
    Millis perRequest = Millis(0);
    Millis perExecutor = Millis(0);
    Millis validity = Millis(0);
};

/** A queue of jobs: the host and path it is called on, and the limits and objectives of its jobs. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service; ///< the service whose executors run the tasks
    int priority = 0; ///< zero is the highest and may preempt others
    std::uint32_t maxAttempts = 1; ///< failed runs after which a task fails for good
    double stretch = 1.0; ///< latency objective as a multiple of the length of the job's critical path
    Millis latencySlack = Millis(0); ///< added to the latency objective
    Millis timeout = Millis(0); ///< longest duration of a call
    bool isPublic = false; ///< callable without a key
    bool needsAdvice = false;
    AdviceTiming advice;
};

/** A pool of executors. */
struct ServicePool {
    std::string name;
    bool enforcesCapacity = false; ///< its executors refuse tasks beyond their capacity
    bool isSpare = false; ///< its machines are powered off
};

/** The capacity guaranteed to a workspace. */
struct WorkspaceQuota {
    WorkspaceId workspace;
    std::int64_t guaranteedAccelerators = 0; ///< always available to its jobs of priority zero
};

/** Limits on callers' requests. */
struct CallLimits {
    std::size_t bodyBytes = 262'144;
};

/** One version of the routes, pools, workspaces and keys. Immutable once published. */
struct RoutingTable {
    SettingsVersion version = 0; ///< zero before the first version is loaded
    std::vector<Route> routes;
    std::map<std::string, ServicePool> services;
    std::map<std::string, WorkspaceQuota> quotaByKey;
    std::map<WorkspaceId, WorkspaceQuota> quotas;
    CallLimits limits;

    /** Returns the route on @p host whose path prefix is the longest match for @p path, or null. */
    const Route *find(std::string_view host, std::string_view path) const;

    /** Returns the route with this name, or null. */
    const Route *findByName(std::string_view name) const;
};

} // namespace waxwingloft

#endif
