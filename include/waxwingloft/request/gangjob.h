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
    Millis declaredRunTime = Millis(0); ///< as declared; not to be trusted
    Instant submittedAt;
    Instant waitingSince; ///< submission, or the stop that put it back to wait; set by the scheduler

    /** Whether it can be stopped without harm and go on or be repeated later. */
    bool isReclaimable() const
    {
        return this->idempotent || this->checkpointable;
    }
};

/** Start a job on these workers. Their room is already taken in the accounts. */
struct StartGangDecision {
    JobId job;
    Placement placement;
    PreemptionClass preemptionClass = PreemptionClass::Preemptible;
};

/** Checkpoint a lent job where possible and stop it within the grace. */
struct StopGangDecision {
    JobId job;
    JobId owner; ///< job that the room is for
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
    Millis urgentGrace = Millis(2000); ///< grace of a lent job when an urgent owner asks
    Millis starvationAge = Millis(120000); ///< waiting time after which workers are drained for a job
    Millis unplaceableTimeout = Millis(600000); ///< time after which a job that no longer fits the fleet is ended
    double maxBackfillShare = 0.25; ///< of the workers; one job's drain is always allowed
    Millis consolidationInterval = Millis(30000); ///< time between two moves that empty a worker
    Millis minRunTimeBeforeMove = Millis(120000); ///< time that a job must have run before it may be moved for another
};

} // namespace waxwingloft

#endif
