#include "waxwingloft/request/zonegate.h"

#include <algorithm>

namespace waxwingloft {

ZoneGate::ZoneGate(std::optional<Millis> closeTime, Millis margin)
    : closeTime(closeTime)
    , margin(margin)
{
}

void ZoneGate::follow(const ZoneView &zones)
{
    this->zones = &zones;
}

bool ZoneGate::isActive() const
{
    return this->closeTime.has_value();
}

bool ZoneGate::isClosed(const std::string &zone) const
{
    return this->isActive() && this->zones != nullptr && this->zones->isClosed(zone);
}

ZoneClosures ZoneGate::closures() const
{
    return this->isActive() && this->zones != nullptr ? this->zones->closures() : ZoneClosures();
}

bool ZoneGate::isFresh(Instant now) const
{
    return !this->isActive() || this->timeLeft(now) > Millis(0);
}

Millis ZoneGate::permission(const std::string &zone, Instant now) const
{
    // The age is read first: the closures that are read after it are at least as new.
    const auto left = this->timeLeft(now);
    return this->isClosed(zone) ? Millis(0) : left;
}

Millis ZoneGate::timeLeft(Instant now) const
{
    const auto knownAsOf = this->zones == nullptr ? std::nullopt : this->zones->knownAsOf();
    if (!this->isActive() || !knownAsOf) {
        return Millis(0);
    }
    return std::max(Millis(0), *this->closeTime - this->margin - (now - *knownAsOf));
}

} // namespace waxwingloft
