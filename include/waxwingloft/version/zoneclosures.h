#ifndef WAXWINGLOFT_VERSION_ZONECLOSURES_H
#define WAXWINGLOFT_VERSION_ZONECLOSURES_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/published.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace waxwingloft {

/** A zone that the operator keeps closed. */
struct ZoneClosure {
    std::uint64_t revision = 0; ///< of the row; tells a zone that was opened and closed again from one that stayed closed
    Instant firstSeenAt; ///< when this process first saw that revision

    bool operator==(const ZoneClosure &) const = default;
};

/** The zones in which no task may start, by name. */
struct ZoneClosures {
    std::map<std::string, ZoneClosure> zones;

    bool isClosed(const std::string &zone) const;
    bool operator==(const ZoneClosures &) const = default;
};

/**
 * This process's view of the closed zones, and as of when it is complete. Read without locks; written by one thread.
 *
 * A reader that needs both reads knownAsOf() first: the closures that it reads then are at least as new.
 */
class ZoneView
{
public:
    ZoneView();

    /** Replaces the closures. Returns whether they differ from the ones before. */
    bool publish(ZoneClosures closures);

    /** Records that the published closures include every row as of @p askedAt. */
    void seenAt(Instant askedAt);

    bool isClosed(const std::string &zone) const;
    ZoneClosures closures() const;

    /** Returns the time as of which the closures are complete; nothing before the rows were first read. */
    std::optional<Instant> knownAsOf() const;

private:
    static constexpr std::int64_t Never = INT64_MIN;

    Published<ZoneClosures> current{ZoneClosures()};
    std::atomic<std::int64_t> asOf = Never; ///< milliseconds on the process's clock
};

} // namespace waxwingloft

#endif
