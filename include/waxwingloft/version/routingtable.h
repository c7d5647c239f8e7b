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

/** How long it takes to ask an adviser which executors may run a step. */
struct AdviceTiming {
    Millis perRequest = Millis(0);
    Millis perExecutor = Millis(0);
    Millis validity = Millis(0);
};

/** A queue of jobs: how callers reach it and what its jobs are worth to them. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service; ///< whose executors run the tasks
    int priority = 0; ///< zero comes first and may preempt others
    std::uint32_t maxAttempts = 1; ///< failed runs after which a task fails for good
    double stretch = 1.0; ///< the latency objective in multiples of the job's longest chain of work
    Millis latencySlack = Millis(0); ///< added to the objective
    Millis timeout = Millis(0); ///< how long a call may take
    bool isPublic = false; ///< needs no key
    bool needsAdvice = false;
    AdviceTiming advice;
};

/** A pool of executors. */
struct ServicePool {
    std::string name;
    bool enforcesCapacity = false; ///< its executors refuse what does not fit
    bool isSpare = false; ///< its machines are off
};

/** A workspace with its keys and its guarantee. */
struct WorkspaceQuota {
    WorkspaceId workspace;
    std::int64_t guaranteedAccelerators = 0; ///< for its jobs of priority zero, at all times
};

/** Bounds on callers' requests. */
struct CallLimits {
    std::size_t bodyBytes = 262'144;
};

/** One version of the routes, pools, workspaces and keys. Immutable once published. */
struct RoutingTable {
    SettingsVersion version = 0; ///< zero: none is known yet
    std::vector<Route> routes;
    std::map<std::string, ServicePool> services;
    std::map<std::string, WorkspaceQuota> tenantsByKey;
    std::map<WorkspaceId, WorkspaceQuota> tenants;
    CallLimits limits;

    /** Returns the route with the longest prefix of @p path on @p host, or null. */
    const Route *find(std::string_view host, std::string_view path) const;

    /** Returns the route called @p name, or null. */
    const Route *named(std::string_view name) const;
};

} // namespace waxwingloft

#endif
