#ifndef WAXWINGLOFT_CONNECTION_EXECUTORPORT_H
#define WAXWINGLOFT_CONNECTION_EXECUTORPORT_H

#include "waxwingloft/connection/taskmessages.h"
#include "waxwingloft/process/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

/** What every answer of an executor tells about itself. */
struct ExecutorStamp {
    Millis clock = Millis(0); ///< on the executor's own steady clock, when it answered
    std::optional<std::int64_t> startedAt; ///< start of its incarnation, Unix time in milliseconds, when it said so
};

/** An order to start a run. */
struct StartOrder {
    TaskRun run;
    std::string spec;
    std::string checkpoint;
    Millis leaseEnd = Millis(0); ///< on the executor's clock; the start is void after it
    std::uint64_t fencingToken = 0;
};

/** The answer to a start. Without a reason for refusal the run is there. */
struct StartAnswer {
    ExecutorStamp stamp;
    RefusalReason refusal = RefusalReason::None;
};

/** Prolongs the lease of all that runs, forgets ends and asks for the lists. */
struct RunListQuery {
    std::optional<Millis> leaseEnd; ///< on the executor's clock; left out, the lease stays as it is
    std::uint64_t fencingToken = 0;
    std::uint64_t acknowledgedEnds = 0; ///< ends up to this number are forgotten
    Millis wait = Millis(0); ///< the answer waits this long for an end
};

/** A run as its executor lists it. */
struct ListedRun {
    TaskRun run;
    std::string checkpoint;
    std::uint32_t percent = 0;
};

/** The lists of an executor. */
struct RunListAnswer {
    ExecutorStamp stamp;
    std::vector<ListedRun> running;
    std::vector<EndReport> ended; ///< those that are not forgotten, oldest first
    bool hasMoreEnds = false; ///< there may be later ends than those listed
};

/**
 * Orders to one executor.
 *
 * Errors: Unreachable when there was surely no effect, Ambiguous when the order may be carried out,
 * also seconds later, Stale when another incarnation than @p incarnation answered, Fenced orders as Conflict.
 */
class ExecutorPort
{
public:
    virtual ~ExecutorPort() = default;

    virtual Result<StartAnswer> start(const ExecutorIncarnation &incarnation, const StartOrder &order) = 0;
    virtual Result<ExecutorStamp> stop(const ExecutorIncarnation &incarnation, const TaskRun &run, std::uint64_t fencingToken) = 0;
    virtual Result<RunListAnswer> pollRuns(const ExecutorIncarnation &incarnation, const RunListQuery &question) = 0;

    /** Whether the executor's host says that nobody listens at its address. False in doubt: without an answer it may be live. */
    virtual bool isAbsent() = 0;
};

/** Whether a call to an executor that failed with @p kind may have had an effect, or may have one later. */
constexpr bool mayTakeEffect(ErrorKind kind)
{
    return kind != ErrorKind::Unreachable && kind != ErrorKind::LimitExceeded;
}

/** What an executor says of itself at intervals. */
struct ExecutorHeartbeat {
    ExecutorIncarnation incarnation;
    std::uint64_t sequence = 0; ///< rises within an incarnation; an older one is out of date
    std::string service;
    std::string zone;
    std::string address;
    bool isDraining = false;
    std::optional<Millis> drainTimeLeft; ///< for which it stays at least while it drains, if it says so
    Millis coldTimeLeft = Millis(0); ///< for which it expects to be slow
    Capacity capacity;
    std::vector<std::string> labels;
};

/** Takes what an executor says of itself. */
class HeartbeatService
{
public:
    virtual ~HeartbeatService() = default;

    virtual void heartbeat(const ExecutorHeartbeat &heartbeat) = 0;

    /** The incarnation is about to end; without an answer it runs on for a while. Its start is zero when it said none. */
    virtual void deregister(const ExecutorIncarnation &incarnation) = 0;
};

} // namespace waxwingloft

#endif
