#ifndef WAXWINGLOFT_PROCESS_DAEMON_ROLE_H
#define WAXWINGLOFT_PROCESS_DAEMON_ROLE_H

#include "waxwingloft/process/nodeconfig.h"

#include <memory>

namespace waxwingloft {

/** One role of the daemon. */
class Role
{
public:
    virtual ~Role() = default;

    virtual void start() = 0;

    /** Takes no new work, finishes what is in hand within @p limit and hands duties over. Returns whether all was finished. */
    virtual bool finish(Millis limit) = 0;
};

std::unique_ptr<Role> makeEntryRole(const NodeConfig &config);
std::unique_ptr<Role> makeAgentRole(const NodeConfig &config);
std::unique_ptr<Role> makeJobEntryRole(const NodeConfig &config);
std::unique_ptr<Role> makeJobAgentRole(const NodeConfig &config);

} // namespace waxwingloft

#endif
