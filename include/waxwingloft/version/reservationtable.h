#ifndef WAXWINGLOFT_VERSION_RESERVATIONTABLE_H
#define WAXWINGLOFT_VERSION_RESERVATIONTABLE_H

#include "waxwingloft/process/fleetstate.h"
#include "waxwingloft/version/settings.h"
#include "waxwingloft/version/shapeplanner.h"

#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

/** One instance of a guaranteed shape and the workers that are kept for it. */
struct Reservation {
    WorkspaceId workspace;
    Shape shape;
    std::optional<Placement> placement; ///< absent while no workers can be found for it
    std::optional<JobId> claimedBy; ///< job of the workspace that runs on it

    bool isClaimed() const
    {
        return this->claimedBy.has_value();
    }
};

/** Index of a reservation in its book; valid until the guarantees are set again. */
using ReservationIndex = std::size_t;

/**
 * Explicit workers for every guaranteed shape of every workspace.
 *
 * As long as each reservation has a placement, all unclaimed shapes embed at once in what is free
 * or lent: reservations are disjoint by account, and firm work keeps clear of them. Not thread safe.
 */
class ReservationTable
{
public:
    ReservationTable(FleetState &fleet, std::string region, const ShapePlanner &planner);
    ~ReservationTable();
    ReservationTable(const ReservationTable &) = delete;
    ReservationTable &operator=(const ReservationTable &) = delete;

    /**
     * Takes over the guarantees of @p settings; keeps the placement of those that stay. Follow with repair().
     *
     * Returns the jobs that run on a reservation which is no longer guaranteed; they hold their room some other way now.
     */
    std::vector<JobId> setGuarantees(const Settings &settings);

    /** Finds new workers for reservations whose workers are lost or reserved twice. Returns how many stay without. */
    std::size_t repair();

    const std::vector<Reservation> &all() const;

    /** Returns an unclaimed, placed reservation of @p workspace into which @p shape fits, the smallest first. */
    std::optional<ReservationIndex> findFor(const WorkspaceId &workspace, const Shape &shape) const;

    /** Moves an unclaimed reservation onto workers with free room, when there are any. Returns whether it stands on free room. */
    bool moveToFree(ReservationIndex index);

    /** Puts an unclaimed reservation onto @p placement, which the caller has planned in CapacityKind::Reclaimable. */
    void moveTo(ReservationIndex index, const Placement &placement);

    /** Takes an unclaimed reservation out of the accounts, to plan a new place for it; follow with moveTo(). */
    void lift(ReservationIndex index);

    void claim(ReservationIndex index, const JobId &job);
    void unclaim(const JobId &job);

    /**
     * Moves a reservation of @p workspace under a job that already runs, when a successor rebuilds its state.
     *
     * Returns whether a reservation covers exactly the workers of the job.
     */
    bool adoptClaim(const JobId &job, const WorkspaceId &workspace, const Shape &shape, const Placement &placement);

    /** Returns the tasks of @p shape laid into the placement of a reservation. */
    Placement placeInside(ReservationIndex index, const Shape &shape) const;

    /** Returns the first guarantee that has no workers, in words, or nothing. */
    std::optional<std::string> findUnplaced() const;

private:
    bool place(Reservation &reservation);
    void unplace(Reservation &reservation);
    bool mustMove(const Reservation &reservation) const;
    bool replanForPlacement(Reservation &reservation);
    bool placeAllInOrder(const std::vector<Reservation *> &order);

    FleetState &fleet;
    const std::string region;
    const ShapePlanner &planner;
    std::vector<Reservation> reservations;
};

/**
 * Says whether the guarantees of @p settings embed at once in the empty workers of @p fleet.
 *
 * The error names the first shape that does not fit and what would.
 */
Status checkGuaranteesEmbed(const Settings &settings, const FleetState &fleet);

} // namespace waxwingloft

#endif
