#ifndef WAXWINGLOFT_REQUEST_CLOSEDZONEWATCH_H
#define WAXWINGLOFT_REQUEST_CLOSEDZONEWATCH_H

#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/request/liveworker.h"
#include "waxwingloft/version/zoneclosures.h"

#include <map>
#include <string>

namespace waxwingloft {

/** Tells the operator how far the closed zones are emptied. Not thread safe. */
class ClosedZoneWatch
{
public:
    ClosedZoneWatch();

    /** Shows the closed zones and the runs in them in @p metrics from now on, which must outlive this object. */
    void setMetrics(Metrics &metrics);

    /** Looks at the runs in the closed zones, and logs once for each closing that the last one has ended. */
    void update(const ZoneClosures &closures, const std::map<NodeId, LiveWorker> &workers, Instant now);

    /** Shows nothing any more, as another placer leads. */
    void clear();

private:
    /** What is there of a closed zone. */
    struct Remainder {
        std::size_t executors = 0;
        std::size_t runs = 0;
    };

    void show(std::size_t zones, std::size_t runs) const;

    const Logger log;
    Metrics *metrics = nullptr;
    std::map<std::string, std::uint64_t> emptied; ///< closed zones that were logged as empty, with the revisions of their rows
};

} // namespace waxwingloft

#endif
