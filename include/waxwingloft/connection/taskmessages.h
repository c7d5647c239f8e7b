#ifndef WAXWINGLOFT_CONNECTION_TASKMESSAGES_H
#define WAXWINGLOFT_CONNECTION_TASKMESSAGES_H

#include "waxwingloft/process/capacity.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/taskkey.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwingloft {

/** Where a run stands at its agent. */
enum class RunPhase {
    Ordered, ///< the start was sent; whether it took effect is not known
    Running,
    Stopping,
};

template<>
struct NameTable<RunPhase> {
    static constexpr std::array<std::string_view, 3> names = {"ordered", "running", "stopping"};
};

/** What an agent knows of the effect that the start of a run had on its executor. */
enum class StartEffect {
    Unproven, ///< it has begun, and nothing shows that its executor outlived that
    NotStarted, ///< no start of it can have been carried out
    Outlived, ///< its executor was live for the start period after it had begun
    Unanswered, ///< its executor may have carried out a start, and has neither answered one nor listed it
};

/** Whether an executor that falls silent or crashes may have done so because it carried out the start. */
constexpr bool mayBeCause(StartEffect effect)
{
    return effect == StartEffect::Unproven || effect == StartEffect::Unanswered;
}

template<>
struct NameTable<StartEffect> {
    static constexpr std::array<std::string_view, 4> names = {"unproven", "not-started", "outlived", "unanswered"};
};

/** How a run ended. */
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    Lapsed, ///< the executor's lease ran out
    Broken, ///< another member of the gang ended
    Alone, ///< the other members of the gang did not come in time
    Refused, ///< the executor did not start it and never will
};

template<>
struct NameTable<RunEnd> {
    static constexpr std::array<std::string_view, 7> names = {"done", "failed", "stopped", "lapsed", "broken", "alone", "refused"};
};

/** Why an executor refused a start. */
enum class RefusalReason {
    None,
    Fenced, ///< it has seen a higher fencing token
    OldRun, ///< a run with this or a higher number has ended there
    TooLate, ///< the lease asked for is over
    NoRoom,
    NoTicket, ///< the adviser's ticket is missing or no longer valid
    Malformed,
    Unhealthy, ///< it takes nothing at the moment
    ZoneClosed, ///< the operator has closed its zone; given by the agent, which does not send the start
};

template<>
struct NameTable<RefusalReason> {
    static constexpr std::array<std::string_view, 9> names = {
        "none", "fenced", "old-run", "too-late", "no-room", "no-ticket", "malformed", "unhealthy", "zone-closed"};
};

/** Longest checkpoint that is passed on; as long as a spec. Executors choose the length, and each report carries those of all runs. */
constexpr std::size_t LongestCheckpointBytes = 4000;

/** A run that holds room on an executor. */
struct RunReport {
    TaskRun run;
    RunPhase phase = RunPhase::Ordered;
    std::string checkpoint; ///< newest; empty for none
    std::uint32_t percent = 0; ///< of its work that is done
    StartEffect startEffect = StartEffect::Unproven;
};

/** An end that the placer has not taken note of yet. */
struct EndReport {
    std::uint64_t number = 0; ///< rises within an incarnation of the executor; zero for an end that the agent inferred, which the executor does not list
    TaskRun run;
    RunEnd end = RunEnd::Done;
    std::string checkpoint;
    RefusalReason refusal = RefusalReason::None;
};

/** All that an agent knows of its executor. Sent after every change and at intervals. */
struct AgentReport {
    NodeId node;
    std::string address; ///< RPC address of the agent
    std::uint64_t generation = 0; ///< rises with every start of the agent
    std::uint64_t sequence = 0; ///< rises with every report of one generation
    Epoch epoch = 0; ///< highest epoch of a placer that the agent has seen
    ExecutorIncarnation incarnation;
    std::string service;
    std::string zone;
    bool isDraining = false;
    std::optional<Millis> drainTimeLeft; ///< for which a draining executor stays at least, if it said so
    Millis coldTimeLeft = Millis(0); ///< for which the executor expects to be slow, as its zone was just closed or opened
    bool isReachable = true; ///< the executor answers
    Capacity capacity;
    std::vector<std::string> labels; ///< kind and rack of the machine, among others
    std::uint64_t syncSequence = 0; ///< of the last assignments that the agent took over
    std::vector<RunReport> runs;
    std::vector<EndReport> ends;
    Millis longestLeaseLeft = Millis(0); ///< for which answers to earlier reports, also of other placers, allow leases to keep runs alive
};

/** A run that an executor is to have. */
struct Assignment {
    TaskRun run;
    Capacity needs;
    bool hasOrder = false; ///< spec and checkpoint are filled in; they are left out for runs that the agent reported
    std::string spec;
    std::string checkpoint;
};

/**
 * Every run that an executor is to have, in full. The agent starts what it lacks and stops what is not named.
 *
 * Sent by the placer on its own, and as the answer to a report; only an answer carries an agent lease and a start permission, as
 * the agent counts them from before it sent the report.
 */
struct AssignmentSync {
    Epoch epoch = 0;
    std::uint64_t sequence = 0; ///< rises within an epoch; an older one is ignored
    ExecutorIncarnation incarnation; ///< that is meant; any other takes nothing from it
    std::uint64_t acknowledgedEnds = 0; ///< ends up to this number are stored and may be forgotten
    Millis agentLease = Millis(0); ///< how long the agent may prolong its executor's lease
    bool needsStartPermission = false; ///< the agent sends starts only while it has a start permission
    Millis startPermission = Millis(0); ///< how long the agent may send starts, from when it sent the report; only in answers
    bool isZoneClosed = false; ///< the operator has closed the zone of the agent's executor
    std::vector<Assignment> assignments;
};

} // namespace waxwingloft

#endif
