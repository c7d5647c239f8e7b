#ifndef WAXWINGLOFT_PROCESS_EVENTLOG_H
#define WAXWINGLOFT_PROCESS_EVENTLOG_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/nametable.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace waxwingloft {

/** Kinds of events on the time line. */
enum class EventKind {
    Started,
    Stopping,
    Accepted,
    Refused,
    Queued,
    Claimed,
    Dispatched,
    Admitted,
    Ran,
    Answered,
    Tombstoned,
    LateAnswer,
    JobSubmitted,
    JobPlaced,
    Prepared,
    GangStarted,
    GangStopped,
    JobEnded,
    Reclaimed,
    LeaseTaken,
    LeaseLost,
    MemberJoined,
    MemberLost,
    MemberLeaving,
    SettingsInForce,
    Degraded,
    Recovered,
};

template<>
struct NameTable<EventKind> {
    static constexpr std::array<std::string_view, 27> names = {
        "started",   "stopping",    "accepted",    "refused",       "queued",      "claimed",        "dispatched",        "admitted",     "ran",
        "answered",  "tombstoned",  "late-answer", "job-submitted", "job-placed",  "prepared",       "gang-started",      "gang-stopped", "job-ended",
        "reclaimed", "lease-taken", "lease-lost",  "member-joined", "member-lost", "member-leaving", "settings-in-force", "degraded",     "recovered"};
};

/**
 * A hybrid logical time: wall milliseconds and a counter that orders what falls in one millisecond.
 *
 * An effect is always later than its cause, also across processes with unequal clocks.
 */
struct HybridTime {
    std::int64_t millis = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;
};

/** One event. Empty fields do not apply. */
struct Event {
    HybridTime time;
    std::string node;
    EventKind kind = EventKind::Started;
    std::string subject; ///< id of the request, job, duty or member
    std::string workspace;
    std::string detail;
};

/** The process's hybrid clock and its bounded ring of events. Thread safe. */
class EventLog
{
public:
    /** @p capacity is the number of events kept; older ones are dropped. */
    EventLog(Clock &clock, std::string node, std::size_t capacity);

    /** Records an event now. */
    void record(EventKind kind, std::string subject, std::string workspace = {}, std::string detail = {});

    /** Returns the next time of the hybrid clock, for a message about to be sent. */
    HybridTime tick();

    /** Moves the hybrid clock past @p received, the time on a message. */
    void observe(HybridTime received);

    /** Returns the events later than @p since, oldest first, at most @p limit. */
    std::vector<Event> since(HybridTime since, std::size_t limit) const;

private:
    HybridTime tickLocked();

    Clock &clock;
    const std::string node;
    const std::size_t capacity;
    mutable std::mutex mutex;
    HybridTime last;
    std::deque<Event> ring;
};

} // namespace waxwingloft

#endif
