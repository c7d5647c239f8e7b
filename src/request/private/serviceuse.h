#ifndef WAXWINGLOFT_REQUEST_SERVICEUSE_H
#define WAXWINGLOFT_REQUEST_SERVICEUSE_H

#include "waxwingloft/request/stepplanner.h"

#include <map>
#include <string>
#include <vector>

namespace waxwingloft {

/** How much of each service's executors is in use, those that take no work for a moment included. Lives for one plan. */
class ServiceUse
{
public:
    explicit ServiceUse(const std::vector<PlannerWorker> &workers);

    /** Takes the room of @p count tasks with @p needs on executors of @p service. */
    void take(const std::string &service, const Capacity &needs, std::uint32_t count = 1);

    /** Whether at least half of a resource of @p service is in use. */
    bool isBusy(const std::string &service) const;

private:
    struct Room {
        Capacity whole;
        Capacity free;
    };

    std::map<std::string, Room> services;
};

} // namespace waxwingloft

#endif
