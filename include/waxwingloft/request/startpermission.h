#ifndef WAXWINGLOFT_REQUEST_STARTPERMISSION_H
#define WAXWINGLOFT_REQUEST_STARTPERMISSION_H

#include "waxwingloft/connection/taskmessages.h"
#include "waxwingloft/process/clock.h"

#include <string>

namespace waxwingloft {

/**
 * Until when an agent may send starts to its executor, as the operator may close its zone.
 *
 * Addresses zones that are closed while the agent is paused, cut off or has starts to repeat. Each permission is sound by
 * itself, as it ends before the close time of any row that its placer had not seen, so the latest end counts and an answer that comes late takes
 * nothing away. An agent that starts has none. Not thread safe.
 */
class StartPermission
{
public:
    /** With @p isAlwaysNeeded starts need a permission whatever placers say. */
    explicit StartPermission(bool isAlwaysNeeded);

    /** Sets the zone of the executor. What was permitted for another zone does not count any more. */
    void setZone(const std::string &zone);

    /** Notes that a report that names the zone was made, whose answer may give a permission. */
    void reported();

    /** Takes the permission of an answer to a report sent at @p sentAt. Returns whether starts that wait may be sent now. */
    bool answered(const AssignmentSync &sync, Instant sentAt);

    /** Takes over whether the zone is closed, from the newest assignments. Returns whether that has changed. */
    bool applied(const AssignmentSync &sync);

    bool isZoneClosed() const;

    /** Whether a start may be sent at @p now. */
    bool isValid(Instant now) const;

private:
    const bool isAlwaysNeeded;
    bool isNeeded = false;
    bool isClosed = false;
    std::string zone;
    std::string reportedZone;
    Instant until;
};

} // namespace waxwingloft

#endif
