#ifndef WAXWINGLOFT_REQUEST_ZONEGATE_H
#define WAXWINGLOFT_REQUEST_ZONEGATE_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/version/zoneclosures.h"

#include <optional>
#include <string>

namespace waxwingloft {

/**
 * Decides, on the leading placer, in which zones tasks may start and how long agents may rely on that.
 *
 * Addresses zones that are closed while starts are planned, sent and repeated. A start permission given now ends
 * the margin before the close time counted from the moment as of which this process knows the rows, so no start is
 * sent later than that after a row that this process has not seen. Without a close time every zone is open.
 */
class ZoneGate
{
public:
    ZoneGate(std::optional<Millis> closeTime, Millis margin);

    /** Decides by @p zones from now on, which must outlive this object. Before that no zone is known to be open. */
    void follow(const ZoneView &zones);

    /** Whether zones can be closed here, so that starts need a permission. */
    bool isActive() const;

    bool isClosed(const std::string &zone) const;

    /** Returns the closed zones; none without a close time. */
    ZoneClosures closures() const;

    /** Whether the rows are known well enough to start tasks at @p now. */
    bool isFresh(Instant now) const;

    /** Returns for how long after @p now tasks may start in @p zone. */
    Millis permission(const std::string &zone, Instant now) const;

private:
    Millis timeLeft(Instant now) const;

    const std::optional<Millis> closeTime;
    const Millis margin;
    const ZoneView *zones = nullptr;
};

} // namespace waxwingloft

#endif
