#ifndef WAXWINGLOFT_REQUEST_BACKFILLRESERVATIONS_H
#define WAXWINGLOFT_REQUEST_BACKFILLRESERVATIONS_H

#include "waxwingloft/request/gangjob.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace waxwingloft {

/** Returns when a running job is expected to end. */
using EndEstimate = std::function<Instant(const JobId &)>;

/** Workers kept from new long work until a starved job fits on them. */
struct BackfillReservation {
    std::vector<WorkerIndex> workers;
    Instant expectedAt; ///< when the last of them is expected to be empty
};

/**
 * The reservations of starved gangs: reserve the domain that empties first, and let only work that ends
 * before then use it meanwhile (backfill).
 */
class BackfillReservations
{
public:
    BackfillReservations(const FleetState &fleet, std::string region);

    /** Starts or refreshes the drain for @p job. Returns whether any domain can ever empty for it. */
    bool plan(const GangJob &job, const EndEstimate &endOf, Instant now);

    void drop(const JobId &job);

    /** Drops the reservations of jobs that @p isStarved no longer names. */
    void keepOnly(const std::function<bool(const JobId &)> &isStarved);

    /** Whether work of @p job that ends at @p expectedEnd may use @p worker. */
    bool mayUse(WorkerIndex worker, const JobId &job, Instant expectedEnd) const;

    const BackfillReservation *find(const JobId &job) const;
    std::size_t size() const;

    /** Returns how many workers are drained. */
    std::size_t workerCount() const;

private:
    std::optional<BackfillReservation> planDomain(const std::vector<WorkerIndex> &workers, const GangJob &job, const EndEstimate &endOf, Instant now) const;
    Instant estimateEmptyAt(WorkerIndex worker, const EndEstimate &endOf, Instant now) const;

    const FleetState &fleet;
    const std::string region;
    std::map<JobId, BackfillReservation> reservations;
};

} // namespace waxwingloft

#endif
