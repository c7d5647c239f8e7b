#ifndef WAXWINGLOFT_REQUEST_BACKFILLRESERVATIONS_H
#define WAXWINGLOFT_REQUEST_BACKFILLRESERVATIONS_H

#include "waxwingloft/request/gangjob.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace waxwingloft {

/** Estimates when a running job ends. */
using EndEstimator = std::function<Instant(const JobId &)>;

/** Workers reserved for a starved gang while jobs still run on them. */
struct BackfillReservation {
    std::vector<WorkerIndex> workers;
    Instant expectedEmptyAt; ///< when the last of them is expected to be empty
};

/**
 * Reserves workers for starved gangs, so that smaller jobs cannot delay them without end.
 *
 * A gang gets the domain that is expected to empty first. Only jobs that are expected to end before that time may
 * start there meanwhile (backfill).
 */
class BackfillReservations
{
public:
    BackfillReservations(const FleetState &fleet, std::string region);

    /** Creates or replans the reservation for @p job. Returns false, without one, when no domain is large enough. */
    bool plan(const GangJob &job, const EndEstimator &endOf, Instant now);

    void drop(const JobId &job);

    /** Drops the reservations of jobs for which @p isStarved returns false. */
    void keepOnly(const std::function<bool(const JobId &)> &isStarved);

    /** Whether @p job, expected to end at @p expectedEnd, may use @p worker despite the reservations of other jobs. */
    bool mayUse(WorkerIndex worker, const JobId &job, Instant expectedEnd) const;

    const BackfillReservation *find(const JobId &job) const;
    std::size_t size() const;

    /** Returns the number of reserved workers. */
    std::size_t workerCount() const;

private:
    std::optional<BackfillReservation> planDomain(const std::vector<WorkerIndex> &workers, const GangJob &job, const EndEstimator &endOf, Instant now) const;
    Instant estimateEmptyAt(WorkerIndex worker, const EndEstimator &endOf, Instant now) const;

    const FleetState &fleet;
    const std::string region;
    std::map<JobId, BackfillReservation> reservations;
};

} // namespace waxwingloft

#endif
