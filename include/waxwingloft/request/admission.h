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

/** An admitted call with everything that later steps need, copied out of the current settings. */
struct AdmittedCall {
    WorkspaceId workspace;
    TeamId team;
    SettingsVersion teamVersion = 0;
    double weight = 1.0;
    WorkspaceLimits limits;
    KindOfWork kind;
    CallerId caller;
    RequestId request;
    bool mayHaveCopies = true; ///< whether the caller chose the request id, so that other copies may be running
    Instant deadline;
    std::string payload;
};

/**
 * Lock-free rate limiter for callers in constant memory, by the generic cell rate algorithm (GCRA).
 *
 * Callers are hashed onto a fixed number of cells; callers with the same cell share its limit.
 */
class CallerRates
{
public:
    /**
     * Counts one request of a caller.
     *
     * Returns zero if it is within @p perSecond with a burst of one second, else the time to wait.
     */
    Millis take(const WorkspaceId &workspace, const CallerId &caller, double perSecond, Instant now);

private:
    static constexpr std::size_t CellCount = 16384;
    std::array<std::atomic<std::int64_t>, CellCount> nextArrival{}; ///< microseconds since the start of the clock
};

/** Checks calls against the current settings. Thread safe; takes no lock. */
class Admission
{
public:
    explicit Admission(CallerRates &rates);

    /**
     * Resolves workspace and kind of work of a call and checks its size and the caller's rate.
     *
     * Fails with Unauthenticated, NotFound, InvalidInput, TooLarge or LimitExceeded.
     */
    Result<AdmittedCall> admit(const Settings &settings, CallRequest question, Instant now);

    /** Returns the workspace that @p token belongs to. */
    static Result<const Workspace *> authenticate(const Settings &settings, const std::string &token);

private:
    CallerRates &rates;
};

} // namespace waxwingloft

#endif
