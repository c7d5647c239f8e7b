#ifndef WAXWINGLOFT_REQUEST_INCARNATIONCANDIDATE_H
#define WAXWINGLOFT_REQUEST_INCARNATIONCANDIDATE_H

#include "waxwingloft/connection/executorport.h"
#include "waxwingloft/process/error.h"

#include <cstdint>
#include <optional>

namespace waxwingloft {

/** What a poll of an incarnation shows. */
enum class IncarnationVerdict {
    Live, ///< it answered, so every earlier incarnation is over
    Unknown, ///< no answer
    Another, ///< another incarnation answered
};

/**
 * An incarnation of an executor that sent a heartbeat and is not the one in use.
 *
 * A heartbeat may be late and the time of day steps, so neither shows which of two incarnations is the later one. The
 * one that answers a poll is live. While none answers, polls go to the two in turn. Not thread safe.
 */
class IncarnationCandidate
{
public:
    /** Takes a heartbeat. Returns whether its incarnation is a new candidate; it replaces any other. */
    bool heartbeat(const ExecutorHeartbeat &heartbeat);

    /** Returns the incarnation that poll @p serial is to go to; empty when it is to go to @p current, which is empty while none is in use. */
    std::optional<ExecutorIncarnation> poll(const std::optional<ExecutorIncarnation> &current, std::uint64_t serial);

    /** Whether @p serial is that of the last poll that went to the candidate. */
    bool isPoll(std::uint64_t serial) const;

    /** Judges the answer to that poll. The candidate is dropped unless there was no answer. */
    IncarnationVerdict judge(const std::optional<ExecutorIncarnation> &current, const Result<RunListAnswer> &answer);

    /** Returns its last heartbeat; valid until a heartbeat of another one. */
    const ExecutorHeartbeat &latestHeartbeat() const;

private:
    ExecutorHeartbeat latest;
    bool isPresent = false;
    bool isNext = false; ///< the next poll goes to it
    std::uint64_t pollSerial = 0;
};

} // namespace waxwingloft

#endif
