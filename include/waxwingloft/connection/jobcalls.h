#ifndef WAXWINGLOFT_CONNECTION_JOBCALLS_H
#define WAXWINGLOFT_CONNECTION_JOBCALLS_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/nametable.h"

#include <cstddef>
#include <string>

namespace waxwingloft {

/** Verbs of callers on jobs and queues. */
enum class JobVerb {
    Submit,
    Show,
    Cancel,
    CountWaiting,
};

template<>
struct NameTable<JobVerb> {
    static constexpr std::array<std::string_view, 4> names = {"submit", "show", "cancel", "count-waiting"};
};

/** What became of a call, as the caller may rely on it. */
enum class JobCallOutcome {
    Done,
    BadRequest, ///< cannot be understood; nothing was done
    TooLarge,
    UnknownKey,
    UnknownRoute,
    UnknownJob, ///< there is surely no such job
    NotNow, ///< nothing was done and nothing will be; worth another try later
    Undecided, ///< it may have been done; asking again with the same id settles it
    Withdrawn, ///< the job was cancelled before it was submitted; it is not accepted and never will be
};

template<>
struct NameTable<JobCallOutcome> {
    static constexpr std::array<std::string_view, 9> names = {
        "done", "bad-request", "too-large", "unknown-key", "unknown-route", "unknown-job", "not-now", "undecided", "withdrawn"};
};

/** A call as it came in. */
struct JobCall {
    JobVerb verb = JobVerb::Show;
    std::string host;
    std::string path;
    std::string key; ///< names the caller's workspace; empty for none
    Millis timeLeft = Millis(0); ///< how long the caller waits; zero when it did not say
    std::string body; ///< of a submission
};

/** The answer to a call. */
struct JobAnswer {
    JobCallOutcome outcome = JobCallOutcome::NotNow;
    std::string message; ///< what was wrong and what to do, for people
    std::string state; ///< name of the job's state, of Show
    std::size_t waiting = 0; ///< of CountWaiting
    Millis retryAfter = Millis(0); ///< of NotNow
};

/** Handles callers' calls on jobs. Called on several threads. */
class JobCallHandler
{
public:
    virtual ~JobCallHandler() = default;

    virtual JobAnswer handle(const JobCall &call) = 0;
};

} // namespace waxwingloft

#endif
