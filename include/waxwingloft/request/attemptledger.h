#ifndef WAXWINGLOFT_REQUEST_ATTEMPTLEDGER_H
#define WAXWINGLOFT_REQUEST_ATTEMPTLEDGER_H

#include "waxwingloft/connection/messages.h"
#include "waxwingloft/process/clock.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace waxwingloft {

/** Bounds of what an agent remembers of attempts. */
struct AttemptLedgerOptions {
    Millis retention = Millis(600000); ///< time for which an ended attempt is remembered
    Millis ageMargin = Millis(60000); ///< queries about attempts older than retention less this are answered Unknown
    std::size_t maxAttempts = 100000; ///< attempts remembered at once; more are refused
    std::size_t maxPayloadBytes = std::size_t(64) << 20; ///< answers kept at once; the oldest are dropped first
};

/** Whether an attempt may start. */
enum class AttemptAdmission {
    Start,
    Duplicate, ///< runs or ran already
    Tombstoned, ///< was promised never to start
    Full,
};

/**
 * The attempts of one life of an agent: what runs, what ended how, and what must never start.
 *
 * The arbiter of at-most-once: an attempt starts only once, and one that was asked about before it
 * started never does. Thread safe.
 */
class AttemptLedger
{
public:
    AttemptLedger(Clock &clock, AttemptLedgerOptions options);

    /** Admits an attempt once. */
    AttemptAdmission begin(const AttemptId &attempt);

    /** Notes how an admitted attempt ended and wakes those who wait for it. */
    void end(const AttemptReply &reply);

    /**
     * Returns what became of an attempt, waiting at most @p wait for a running one to end.
     *
     * An unknown attempt is tombstoned and reported as NotRun, unless @p age says that it may have
     * been forgotten.
     */
    AttemptReply query(const AttemptId &attempt, Millis age, Millis wait);

    std::size_t runningCount() const;

    /** Waits until no attempt runs or @p limit has passed. Returns whether none runs. */
    bool waitUntilIdle(Millis limit);

private:
    enum class State { Running, Ended, Tombstoned };

    struct Entry {
        State state = State::Running;
        AttemptReply reply;
        bool payloadDropped = false;
    };

    void scheduleExpiry(const AttemptId &attempt);
    void expireOld();
    void dropOldPayloads();
    AttemptReply describe(const AttemptId &attempt, const Entry &entry) const;

    Clock &clock;
    const AttemptLedgerOptions options;
    mutable std::mutex mutex;
    std::condition_variable ended;
    std::unordered_map<AttemptId, Entry> entries;
    std::deque<std::pair<Instant, AttemptId>> expiryOrder; ///< ended and tombstoned ones, oldest first
    std::deque<AttemptId> payloadOrder; ///< oldest first
    std::size_t payloadBytes = 0;
    std::size_t running = 0;
};

} // namespace waxwingloft

#endif
