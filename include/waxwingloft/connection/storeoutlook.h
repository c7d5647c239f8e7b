#ifndef WAXWINGLOFT_CONNECTION_STOREOUTLOOK_H
#define WAXWINGLOFT_CONNECTION_STOREOUTLOOK_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/nametable.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>

namespace waxwingloft {

/** Whether calls on the table can be expected to be answered. */
enum class StoreState {
    Reachable, ///< directly or through a peer
    InDoubt, ///< not directly; no peer has been asked since
    Unavailable, ///< neither directly nor through a peer
};

template<>
struct NameTable<StoreState> {
    static constexpr std::array<std::string_view, 3> names = {"reachable", "in-doubt", "unavailable"};
};

/** A way on which the table is reached. */
enum class StorePath {
    Direct,
    Peers,
};

template<>
struct NameTable<StorePath> {
    static constexpr std::array<std::string_view, 2> names = {"direct", "peers"};
};

/** Timing of StoreOutlook. */
struct StoreOutlookOptions {
    Millis awayAfter = Millis(500); ///< without any answer while one was due; above the 240 ms that a slow store takes, below the time-out of a call
    Millis shortestProbePause = Millis(150); ///< service is back within a few hundred milliseconds after the store answers again
    Millis longestProbePause = Millis(300); ///< the pause is drawn in between, so that entries do not probe in step
    Millis shortestRetryAfter = Millis(1000); ///< the smallest value that Retry-After can express
    Millis longestRetryAfter = Millis(3000); ///< the time that callers usually wait for an answer
};

/**
 * Tells whether the table is away from this process, learned from the outcome of all of its calls.
 *
 * Addresses outages of the table under load: calls that cannot be served would occupy their threads until their callers' time is
 * over. A slow table is not away: every answer, late or not, starts the observation anew. Pure decisions on the clock passed in.
 * Thread safe; state() is a single atomic read.
 */
class StoreOutlook
{
public:
    StoreOutlook(Clock &clock, StoreOutlookOptions options, std::uint64_t seed);

    /** Takes note of a direct call that has ended now; its answer was due from @p dueAt on. An error that the table itself answers with is an answer. */
    void noteDirect(bool isAnswered, Instant dueAt);

    /** Takes note of whether the peers that were asked have reached the table. Without meaning while the direct way works. */
    void notePeers(bool hasReached);

    StoreState state() const;

    /** Returns when callers are best told to try again: the longer the outage has lasted, the later; drawn, so that they do not return at once. */
    Millis retryAfter();

    /** Returns whether a probe on @p path is due, and counts it as made. Never while the direct way works. */
    bool takeProbe(StorePath path);

private:
    void update();

    Clock &clock;
    const StoreOutlookOptions options;
    const Logger log;
    std::atomic<StoreState> current = StoreState::Reachable;
    std::mutex mutex;
    std::mt19937_64 random;
    Instant answeredAt; ///< last direct answer
    std::optional<Instant> failingSince; ///< since when a direct answer has been due
    bool isDirectAway = false;
    std::optional<bool> havePeersReached; ///< of the last calls through peers; nothing when none was made since the direct way failed
    std::array<Instant, NameTable<StorePath>::names.size()> nextProbeAt;
};

} // namespace waxwingloft

#endif
