#ifndef WAXWINGLOFT_PROCESS_FLEETSTATE_H
#define WAXWINGLOFT_PROCESS_FLEETSTATE_H

#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/resources.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace waxwingloft {

/** Dense index of a worker in a FleetState; stays valid for the life of the book. */
using WorkerIndex = std::uint32_t;

/** Whether a worker may get new tasks. */
enum class WorkerCondition {
    Up,
    Draining,
    Quarantined,
    Lost,
};

template<>
struct NameTable<WorkerCondition> {
    static constexpr std::array<std::string_view, 4> names = {"up", "draining", "quarantined", "lost"};
};

/** Tasks of one gang on one worker. */
struct PlacementPart {
    WorkerIndex worker = 0;
    std::uint32_t tasks = 0;

    bool operator==(const PlacementPart &) const = default;
};

/** Where the tasks of a gang, or of a reserved shape, stand. One part a worker. */
using Placement = std::vector<PlacementPart>;

/** How the resources of a holding count against guarantees. */
enum class PreemptionClass {
    Guaranteed, ///< inside a reservation of its own workspace
    Preemptible, ///< may be stopped when a guarantee's owner asks
    NonPreemptible, ///< may not be stopped; keeps clear of every reservation
};

template<>
struct NameTable<PreemptionClass> {
    static constexpr std::array<std::string_view, 3> names = {"guaranteed", "lent", "firm"};
};

/** What one job holds. */
struct Holding {
    JobId job;
    WorkspaceId workspace;
    PreemptionClass preemptionClass = PreemptionClass::Preemptible;
    Resources perTask;
    Placement placement;
};

/** Kinds of room that a planner may use on a worker. */
enum class CapacityKind {
    Free, ///< held by nobody; lent work may use it, also inside reservations
    Unreserved, ///< held by nobody and not reserved; safe for work that cannot be stopped
    Reclaimable, ///< neither firm nor reserved; lent work there would be stopped
    Total, ///< the capacity of every worker that is not lost, whatever it holds
};

/** Rack of the fleet, with its place in the levels above. */
struct Rack {
    Location location;
    std::uint32_t dataCentre = 0; ///< index among the data centres
    std::uint32_t region = 0; ///< index among the regions
    std::vector<WorkerIndex> workers;
};

/**
 * Capacity, holdings and reservations of every worker that a placer looks after.
 *
 * Accounts only; it decides nothing. Invariants, checked by findViolation(): on every worker that is
 * up, what is held fits the capacity, and firm holdings and reservations together fit the capacity.
 * Not thread safe; its placer owns it.
 */
class FleetState
{
public:
    /** Adds a worker or replaces capacity, incarnation and condition of a known one. */
    WorkerIndex putWorker(const NodeId &node, const Location &location, const Resources &capacity);

    void setCondition(WorkerIndex worker, WorkerCondition condition);

    std::optional<WorkerIndex> find(const NodeId &node) const;
    std::size_t workerCount() const;
    const NodeId &nodeOf(WorkerIndex worker) const;
    const Location &locationOf(WorkerIndex worker) const;
    std::uint32_t rackOf(WorkerIndex worker) const;
    WorkerCondition conditionOf(WorkerIndex worker) const;
    const Resources &capacityOf(WorkerIndex worker) const;
    const Resources &heldOf(WorkerIndex worker) const;
    const std::vector<Rack> &racks() const;

    /** Returns the room of the given kind; but for CapacityKind::Total, zero on a worker that is not up. */
    Resources availableOn(WorkerIndex worker, CapacityKind kind) const;

    /** Takes resources for a job. The caller has checked the room. */
    void hold(const Holding &holding);

    /** Gives back what a job holds. Unknown jobs are ignored. */
    void release(const JobId &job);

    const Holding *holdingOf(const JobId &job) const;
    const std::unordered_map<JobId, Holding> &holdings() const;

    /** Returns the jobs that hold something on @p worker. */
    const std::vector<JobId> &jobsOn(WorkerIndex worker) const;

    /** Adds @p placement of @p perTask to the reserved amounts, or takes it away with @p sign -1. */
    void reserve(const Placement &placement, const Resources &perTask, int sign);

    /** Adds @p placement of @p perTask to the pending amounts, which no new holding may use, or takes it away with @p sign -1. */
    void expect(const Placement &placement, const Resources &perTask, int sign);

    /** Returns a text on the first broken invariant, or nothing. */
    std::optional<std::string> findViolation() const;

private:
    struct Worker {
        NodeId node;
        Location location;
        std::vector<JobId> jobs;
    };

    std::uint32_t rackIndex(const Location &location);
    void account(const Holding &holding, int sign);

    std::vector<Worker> workers;
    std::vector<WorkerCondition> conditions; ///< in a vector of its own, like the amounts: plans look at every worker
    std::vector<std::uint32_t> rackIndices;
    std::vector<Resources> capacity;
    std::vector<Resources> held;
    std::vector<Resources> firm;
    std::vector<Resources> guaranteed;
    std::vector<Resources> reserved;
    std::vector<Resources> pending;
    std::vector<Rack> rackList;
    std::unordered_map<NodeId, WorkerIndex> byNode;
    std::unordered_map<std::string, std::uint32_t> dataCentres;
    std::unordered_map<std::string, std::uint32_t> regions;
    std::unordered_map<std::string, std::uint32_t> rackByName;
    std::unordered_map<JobId, Holding> holdingByJob;
};

} // namespace waxwingloft

#endif
