#include "waxwingloft/request/startpermission.h"

#include <algorithm>

namespace waxwingloft {

StartPermission::StartPermission(bool isAlwaysNeeded)
    : isAlwaysNeeded(isAlwaysNeeded)
    , isNeeded(isAlwaysNeeded)
{
}

void StartPermission::setZone(const std::string &zone)
{
    if (zone != this->zone) {
        this->zone = zone;
        this->until = Instant();
    }
}

void StartPermission::reported()
{
    this->reportedZone = this->zone;
}

bool StartPermission::answered(const AssignmentSync &sync, Instant sentAt)
{
    if (this->reportedZone != this->zone || sync.startPermission <= Millis(0)) {
        return false;
    }
    const auto before = this->until;
    this->until = std::max(this->until, sentAt + sync.startPermission);
    return this->until > before;
}

bool StartPermission::applied(const AssignmentSync &sync)
{
    this->isNeeded = this->isAlwaysNeeded || sync.needsStartPermission;
    const bool hasChanged = this->isClosed != sync.isZoneClosed;
    this->isClosed = sync.isZoneClosed;
    return hasChanged;
}

bool StartPermission::isZoneClosed() const
{
    return this->isClosed;
}

bool StartPermission::isValid(Instant now) const
{
    return !this->isClosed && (!this->isNeeded || now < this->until);
}

} // namespace waxwingloft
