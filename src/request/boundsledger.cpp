#include "waxwingloft/request/boundsledger.h"

#include <algorithm>

namespace waxwingloft {

namespace {

constexpr Millis WriteInterval = Millis(1000); ///< between writes that nothing waits for; a successor waits that much longer at most

} // namespace

void BoundsLedger::begin(const StoredBounds &stored)
{
    *this = BoundsLedger();
    this->possible = {stored.bounds};
    this->revision = stored.revision;
}

bool BoundsLedger::allowsLease(const NodeId &agent) const
{
    return std::none_of(this->possible.begin(), this->possible.end(), [&agent](const AgentBounds &bounds) { return bounds.silent.contains(agent); });
}

void BoundsLedger::requestWrite()
{
    this->isRequested = true;
}

bool BoundsLedger::isWriteRequested() const
{
    return this->isRequested;
}

std::optional<BoundsWrite> BoundsLedger::takeWrite(Epoch epoch, const AgentBounds &wanted, Instant now)
{
    const bool isUpToDate = this->possible.size() == 1 && this->possible.front() == wanted;
    if (isUpToDate || this->isWriting || (!this->isRequested && now < this->nextWriteAt)) {
        return std::nullopt;
    }
    this->isWriting = true;
    this->isRequested = false;
    this->nextWriteAt = now + WriteInterval;
    this->possible.push_back(wanted);
    return BoundsWrite{epoch, this->revision, wanted};
}

void BoundsLedger::written(const BoundsWrite &write, std::uint64_t revision)
{
    this->isWriting = false;
    this->possible = {write.bounds};
    this->revision = revision;
}

void BoundsLedger::notWritten(const BoundsWrite & /*write*/)
{
    this->isWriting = false;
    this->possible.pop_back();
}

void BoundsLedger::inDoubt(const BoundsWrite & /*write*/, const std::optional<StoredBounds> &stored)
{
    // The write stays among the possible contents until a later one, under the condition of a newer revision, bars it.
    this->isWriting = false;
    if (stored) {
        this->possible.push_back(stored->bounds);
        this->revision = stored->revision;
    }
}

} // namespace waxwingloft
