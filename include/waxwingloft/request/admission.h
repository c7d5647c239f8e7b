#ifndef WAXWINGLOFT_REQUEST_ADMISSION_H
#define WAXWINGLOFT_REQUEST_ADMISSION_H

#include "waxwingloft/connection/frontservice.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/process/published.h"
#include "waxwingloft/version/settings.h"

#include <array>
#include <atomic>
#include <string>
#include <string_view>

namespace waxwingloft {

/** A call that may be queued: everything later steps need, copied out of the settings in force. */
struct AdmittedCall {
    WorkspaceId workspace;
    TeamId team;
    SettingsVersion teamVersion = 0;
    double weight = 1.0;
    WorkspaceLimits limits;
    KindOfWork kind;
    CallerId caller;
    RequestId request;
    bool mayHaveCopies = true; ///< whether the caller chose the request id, so that other copies may be under way
    Instant deadline;
    std::string payload;
};

/**
 * A rate limit for each caller in constant memory, without locks.
 *
 * Callers are hashed onto a fixed number of cells, so unknown callers share. Source: the generic
 * cell rate algorithm (GCRA).
 */
class CallerRates
{
public:
    /**
     * Counts one request of a caller.
     *
     * Returns zero when it is within @p perSecond with a burst of one second, else the time to wait.
     */
    Millis take(const WorkspaceId &workspace, const CallerId &caller, double perSecond, Instant now);

private:
    static constexpr std::size_t CellCount = 16384;
    std::array<std::atomic<std::int64_t>, CellCount> nextArrival{}; ///< microseconds since the start of the clock
};

/** Checks callers against the settings in force. Thread safe; takes no lock. */
class Admission
{
public:
    explicit Admission(CallerRates &rates);

    /**
     * Binds a question to workspace and kind and checks size and rate.
     *
     * Unauthenticated, NotFound, InvalidInput, TooLarge or LimitExceeded when it is refused.
     */
    Result<AdmittedCall> admit(const Settings &settings, CallQuestion question, Instant now);

    /** Returns the workspace that @p token belongs to. */
    static Result<const Workspace *> authenticate(const Settings &settings, const std::string &token);

private:
    CallerRates &rates;
};

} // namespace waxwingloft

#endif
