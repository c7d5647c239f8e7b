#ifndef WAXWINGLOFT_VERSION_RESERVATIONTABLE_H
#define WAXWINGLOFT_VERSION_RESERVATIONTABLE_H

#include "waxwingloft/process/fleetstate.h"
#include "waxwingloft/version/settings.h"
#include "waxwingloft/version/shapeplanner.h"

#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

/** One instance of a guaranteed shape and the workers that are reserved for it. */
struct Reservation {
    WorkspaceId workspace;
    Shape shape;
    std::optional<Placement> placement; ///< absent while no workers fit the shape
    std::optional<JobId> claimedBy; ///< the job of the workspace that runs on these workers

    bool isClaimed() const
    {
        return this->claimedBy.has_value();
    }
};

/** Index into ReservationTable::all(); valid until the next setGuarantees(). */
using ReservationIndex = std::size_t;

/**
 * Reserves specific workers for every guaranteed shape of every workspace.
 *
 * As long as every reservation has a placement, all unclaimed shapes fit at the same time into capacity that is
 * free or used by preemptible jobs, because FleetState never counts the same capacity for two reservations and
 * non-preemptible jobs may not use reserved capacity. Not thread safe.
 */
class ReservationTable
{
public:
    ReservationTable(FleetState &fleet, std::string region, const ShapePlanner &planner);
    ~ReservationTable();
    ReservationTable(const ReservationTable &) = delete;
    ReservationTable &operator=(const ReservationTable &) = delete;

    /**
     * Replaces the guarantees by those of @p settings; unchanged ones keep their placement. Call repair() afterwards.
     *
     * Returns the jobs whose reservation was removed. They keep running, and the caller must account for their
     * capacity without a reservation.
     */
    std::vector<JobId> setGuarantees(const Settings &settings);

    /** Finds new workers for reservations whose workers are lost or over-reserved. Returns how many have none afterwards. */
    std::size_t repair();

    const std::vector<Reservation> &all() const;

    /** Returns the smallest unclaimed reservation of @p workspace that has a placement and that @p shape fits into. */
    std::optional<ReservationIndex> findFor(const WorkspaceId &workspace, const Shape &shape) const;

    /** Moves an unclaimed reservation to free, unreserved capacity if there is any; else it stays. Returns whether it is on such capacity. */
    bool moveToFree(ReservationIndex index);

    /** Moves an unclaimed reservation to @p placement, which the caller has planned in CapacityKind::Reclaimable. */
    void moveTo(ReservationIndex index, const Placement &placement);

    /** Releases the workers of an unclaimed reservation, so that a new placement can use them. Call moveTo() afterwards. */
    void removePlacement(ReservationIndex index);

    void claim(ReservationIndex index, const JobId &job);
    void unclaim(const JobId &job);

    /**
     * Moves a reservation of @p workspace to the workers of a running job and claims it for that job. A new leader
     * uses it to rebuild its state.
     *
     * Returns false when the smallest reservation that fits the job does not cover exactly its workers.
     */
    bool restoreClaim(const JobId &job, const WorkspaceId &workspace, const Shape &shape, const Placement &placement);

    /** Returns a placement of @p shape on the workers of a reservation. */
    Placement placeInside(ReservationIndex index, const Shape &shape) const;

    /** Describes the first reservation without workers, or returns nothing. */
    std::optional<std::string> describeUnplaced() const;

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
 * Checks that all guarantees of @p settings fit at the same time into @p fleet with nothing running on it.
 *
 * The error names the first shape that does not fit and how many of its tasks would.
 */
Status checkGuaranteesEmbed(const Settings &settings, const FleetState &fleet);

} // namespace waxwingloft

#endif
