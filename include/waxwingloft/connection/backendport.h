#ifndef WAXWINGLOFT_CONNECTION_BACKENDPORT_H
#define WAXWINGLOFT_CONNECTION_BACKENDPORT_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/resources.h"

#include <string>

namespace waxwingloft {

/** One request for the backend server. */
struct BackendRequest {
    AttemptId attempt;
    KindId kind;
    std::string payload;
};

/** The backend server behind an agent. */
class BackendPort
{
public:
    virtual ~BackendPort() = default;

    /**
     * Runs a request and returns the whole answer.
     *
     * Unreachable when the request surely did not reach the backend server, Ambiguous when it may
     * have run, Internal when the backend server ran it and reported a failure.
     */
    virtual Result<std::string> run(const BackendRequest &request, Millis timeout) = 0;
};

/** What the worker says of one gang part. */
enum class TaskState {
    Unknown,
    Running,
    Finished,
    Failed,
    Stopped,
};

template<>
struct NameTable<TaskState> {
    static constexpr std::array<std::string_view, 5> names = {"unknown", "running", "finished", "failed", "stopped"};
};

/** Tasks to start on a worker under one lease. */
struct TaskOrder {
    std::string id; ///< attempt id; starting the same id twice has no effect
    KindId kind;
    std::uint32_t tasks = 0;
    Resources perTask;
    Millis lease = Millis(0);
    std::string resumeFrom; ///< checkpoint bytes; empty to start afresh
    std::string payload;
};

/** What tasks of one order use, as reported with a lag. */
struct TaskUsage {
    TaskState state = TaskState::Unknown;
    Resources used;
};

/** The runtime of the worker behind an agent. Errors as those of BackendPort. */
class WorkerPort
{
public:
    virtual ~WorkerPort() = default;

    virtual Status start(const TaskOrder &order) = 0;
    virtual Result<TaskUsage> renew(const std::string &id, Millis lease) = 0;
    virtual Result<std::string> checkpoint(const std::string &id) = 0;
    virtual Status throttle(const std::string &id) = 0;

    /** Returns after the tasks have ended; stopping unknown tasks succeeds. */
    virtual Status stop(const std::string &id) = 0;
};

} // namespace waxwingloft

#endif
