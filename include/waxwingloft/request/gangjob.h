#ifndef WAXWINGLOFT_REQUEST_GANGJOB_H
#define WAXWINGLOFT_REQUEST_GANGJOB_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/process/fleetstate.h"
#include "waxwingloft/process/outcome.h"
#include "waxwingloft/version/settings.h"

#include <variant>

namespace waxwingloft {

/** A gang job as the scheduler needs it. */
struct GangJob {
    JobId id;
    WorkspaceId workspace;
    KindId kind;
    Urgency urgency = Urgency::Normal;
    double worth = 1.0;
    bool idempotent = false;
    bool checkpointable = false;
    Shape shape;
    Millis declaredRunTime = Millis(0); ///< as declared by the client; may be wrong
    Instant submittedAt;
    Instant waitingSince; ///< time of submission, or of the stop that queued it again; set by the scheduler

    /** Whether it can be stopped and later repeated or resumed from a checkpoint. */
    bool isReclaimable() const
    {
        return this->idempotent || this->checkpointable;
    }
};

/** Start a job on these workers. Their capacity is already allocated in the fleet state. */
struct StartGangDecision {
    JobId job;
    Placement placement;
    PreemptionClass preemptionClass = PreemptionClass::Preemptible;
};

/** Checkpoint a preemptible job where possible and stop it within the grace. */
struct StopGangDecision {
    JobId job;
    JobId owner; ///< job that gets the capacity
    Millis grace = Millis(0);
};

/** End a waiting job that can never run. */
struct EndGangDecision {
    JobId job;
    Error reason;
};

using GangDecision = std::variant<StartGangDecision, StopGangDecision, EndGangDecision>;

/** Times and bounds of the scheduling of gangs. */
struct GangSchedulerOptions {
    Millis urgentGrace = Millis(2000); ///< grace of a preemptible job that is stopped for an urgent one
    Millis starvationAge = Millis(120000); ///< waiting time after which a job gets a backfill reservation
    Millis unplaceableTimeout = Millis(600000); ///< time after which a job that no longer fits the fleet is ended
    double maxBackfillShare = 0.25; ///< share of the workers that backfill reservations may hold; one reservation is always allowed
    Millis consolidationInterval = Millis(30000); ///< time between two moves that empty a worker
    Millis minRunTimeBeforeMove = Millis(120000); ///< run time before a job may be moved for another
};

} // namespace waxwingloft

#endif
