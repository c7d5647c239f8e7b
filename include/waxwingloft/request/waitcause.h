#ifndef WAXWINGLOFT_REQUEST_WAITCAUSE_H
#define WAXWINGLOFT_REQUEST_WAITCAUSE_H

#include "waxwingloft/process/nametable.h"

namespace waxwingloft {

/** What holds back the start of a task whose turn has come. */
enum class WaitCause {
    ZonesUnknown, ///< the placer has not read the closed zones for too long
    WriteOpen, ///< it is assigned, and its row is not written yet
    AgentSilent, ///< its agent has not reported, and its run may be live
    ExecutorSilent, ///< its executor does not answer its agent, and its run may be live
    StartOpen, ///< its start is on its way
    StopOpen, ///< its last run is being stopped
    RunUnassigned, ///< an executor reports a run of it that is not assigned there
    SilentStarts, ///< the executors of its last starts fell silent, and one more may be the last crash that it may cause
    Trial, ///< it or another task of its job is on trial after a crash, or has no executor for its trial
    NoExecutor, ///< no executor of its kind is known
    LateReports, ///< executors would have room, but most of them have not reported lately
    LeasesWithheld, ///< the same, but they get no lease before the bounds of their runs are written
    Unreachable, ///< the same, but they do not answer their agents
    Draining, ///< the same, but they drain
    ZonesClosed, ///< the same, but their zones are closed
    UnassignedRuns, ///< the same, but they report runs that are not assigned to them
    Paused, ///< the same, but they refused a start or stood still a moment ago
    Quarantined, ///< the same, but they fail what they start
    OnTrial, ///< the same, but they start a suspect task and nothing else
    Avoided, ///< its job has failed on the executors that have room
    OneRack, ///< it is a gang that prefers one rack, and has room only on several
    Reserved, ///< the room is kept for other work, or for itself on better executors
    NoRoom, ///< executors that it may use have no room
};

template<>
struct NameTable<WaitCause> {
    static constexpr std::array<std::string_view, 23> names = {
        "zones-unknown", "write-open",  "agent-silent", "executor-silent", "start-open",  "stop-open", "run-unassigned", "silent-starts",
        "trial",         "no-executor", "late-reports", "leases-withheld", "unreachable", "draining",  "zones-closed",   "unassigned-runs",
        "paused",        "quarantined", "on-trial",     "avoided",         "one-rack",    "reserved",  "no-room"};
};

} // namespace waxwingloft

#endif
