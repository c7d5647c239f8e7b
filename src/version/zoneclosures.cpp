#include "waxwingloft/version/zoneclosures.h"

namespace waxwingloft {

bool ZoneClosures::isClosed(const std::string &zone) const
{
    return this->zones.contains(zone);
}

ZoneView::ZoneView() = default;

bool ZoneView::publish(ZoneClosures closures)
{
    const auto differs = [&closures](const ZoneClosures &known) { return known != closures; };
    const ZoneClosures next = closures;
    return this->current.replaceIf(next, differs);
}

void ZoneView::seenAt(Instant askedAt)
{
    this->asOf.store(askedAt.time_since_epoch().count(), std::memory_order_release);
}

bool ZoneView::isClosed(const std::string &zone) const
{
    const ReadSection section;
    return this->current.read(section).isClosed(zone);
}

ZoneClosures ZoneView::closures() const
{
    return this->current.copy();
}

std::optional<Instant> ZoneView::knownAsOf() const
{
    const auto known = this->asOf.load(std::memory_order_acquire);
    return known == Never ? std::nullopt : std::optional(Instant(Millis(known)));
}

} // namespace waxwingloft
