#ifndef WAXWINGLOFT_REQUEST_BOUNDSLEDGER_H
#define WAXWINGLOFT_REQUEST_BOUNDSLEDGER_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/request/agentbounds.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace waxwingloft {

/** A conditional write of the bounds. */
struct BoundsWrite {
    Epoch epoch = 0; ///< of the term that decided it; the write must fail once another one has begun
    std::uint64_t revision = 0; ///< that the row must still have; otherwise the write fails
    AgentBounds bounds;
};

/**
 * Which bounds the table may hold, and which leases they allow.
 *
 * A lease that would outlast the stored bounds is granted only once the row says so: the write comes first. Lives as long as a term. Not thread safe.
 */
class BoundsLedger
{
public:
    /** Begins a term with the row that was read after the term had begun. */
    void begin(const StoredBounds &stored);

    /** Whether a lease for @p agent keeps to all bounds that the table may hold. */
    bool allowsLease(const NodeId &agent) const;

    /** Asks for a write without delay, because a lease waits for it. */
    void requestWrite();

    /** Whether a lease waits for a write. */
    bool isWriteRequested() const;

    /** Returns the write that makes the table hold @p wanted; nothing while one is under way, or when it can wait. */
    std::optional<BoundsWrite> takeWrite(Epoch epoch, const AgentBounds &wanted, Instant now);

    /** Records that @p write was committed at @p revision. */
    void written(const BoundsWrite &write, std::uint64_t revision);

    /** Records that @p write had no effect and never will. */
    void notWritten(const BoundsWrite &write);

    /** Records that @p write may take effect yet, and that the row was read since as @p stored; nothing when it could not be read. */
    void inDoubt(const BoundsWrite &write, const std::optional<StoredBounds> &stored);

private:
    std::vector<AgentBounds> possible{AgentBounds()}; ///< what the row may hold or get
    std::uint64_t revision = 0;
    Instant nextWriteAt; ///< of a write that nothing waits for
    bool isWriting = false;
    bool isRequested = false;
};

} // namespace waxwingloft

#endif
