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

/** Limits of the ledger of attempts. */
struct AttemptLedgerOptions {
    Millis retention = Millis(600000); ///< time for which an ended attempt is kept
    Millis ageMargin = Millis(60000); ///< queries about unknown attempts older than retention less this are answered Unknown
    std::size_t maxAttempts = 100000; ///< attempts kept at once; more are refused
    std::size_t maxPayloadBytes = std::size_t(64) << 20; ///< payloads of answers kept at once; the oldest are dropped first
};

/** Whether an attempt may start. */
enum class AttemptAdmission {
    Start,
    Duplicate, ///< is running or has ended
    Tombstoned, ///< was queried before it arrived and must never start
    Full, ///< the ledger holds its maximum of attempts
};

/**
 * The attempts of one incarnation of an agent: running, ended with their answers, and tombstoned.
 *
 * Enforces at-most-once: an attempt starts only once, and one that was queried before it started
 * never does. Thread safe.
 */
class AttemptLedger
{
public:
    AttemptLedger(Clock &clock, AttemptLedgerOptions options);

    /** Admits an attempt, at most once. */
    AttemptAdmission begin(const AttemptId &attempt);

    /** Records the answer of an admitted attempt and wakes threads that wait for it. */
    void end(const AttemptReply &reply);

    /**
     * Returns the state of an attempt, waiting at most @p wait for a running one to end.
     *
     * An unknown attempt is tombstoned and reported as NotRun, or as Unknown if it is old enough by
     * @p age to have expired here.
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
    std::deque<std::pair<Instant, AttemptId>> expiryOrder; ///< ended and tombstoned attempts, oldest first
    std::deque<AttemptId> payloadOrder; ///< attempts with a kept payload, oldest first
    std::size_t payloadBytes = 0;
    std::size_t running = 0;
};

} // namespace waxwingloft

#endif
