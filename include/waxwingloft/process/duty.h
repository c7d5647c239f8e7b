#ifndef WAXWINGLOFT_PROCESS_DUTY_H
#define WAXWINGLOFT_PROCESS_DUTY_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/tablestore.h"

#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace waxwingloft {

/** Times of a lease on a duty. */
struct LeaseOptions {
    Millis term = Millis(2500); ///< how long a grant lasts for everyone else
    Millis safety = Millis(400); ///< how much earlier the holder counts it as lapsed
};

/** A grant as written to the table. */
struct DutyRecord {
    NodeId holder;
    std::string address; ///< RPC address of the holder
    Epoch epoch = 0;
    Millis term = Millis(0);
};

/** Returns the row value of @p record. */
std::string encodeDuty(const DutyRecord &record);

/** Parses the row value of a duty. */
Result<DutyRecord> parseDuty(const std::string &value);

/**
 * One duty that any live process may hold by lease, such as placing the jobs of a region.
 *
 * The table keeps holder and epoch, no wall time: another process counts a grant as lapsed when the
 * row has not changed for the whole term on its own monotonic clock. The holder counts from before
 * it sent its renewal and stops earlier. Thread safe.
 */
class Duty
{
public:
    /** @p name is the row's key below "duty/", such as "placer/vejle". */
    Duty(TableStore &table, Clock &clock, EventLog &events, IdSource &ids, std::string name, NodeId self, std::string address, LeaseOptions options);

    /**
     * Renews the lease when a third of it has passed, or tries to take it over when the holder's has lapsed or has been given up.
     *
     * Returns whether it is held now. Call often: a holder asks the table only when a renewal is due.
     */
    bool pursue();

    /** Returns the epoch while the lease is held. Check again after every wait. */
    std::optional<Epoch> heldEpoch() const;

    /** Returns when the last renewal that took effect was sent; nothing while the lease is not held. */
    std::optional<Instant> renewedAt() const;

    /** Returns the latest known record of the duty, its own or another's. */
    std::optional<DutyRecord> lastKnown() const;

    /**
     * Ends the lease on this side: the holder must not act under it any more. Returns the grant; nothing when none was held.
     *
     * Others wait for the term until release() has written the row or noteGivenUp() has told them.
     */
    std::optional<DutyRecord> giveUp();

    /** Gives the lease up and writes that to the table, so that a successor need not wait for the term. Returns false when that is to be tried again. */
    bool release();

    /** Competes for the lease no more. A write that is under way may still acquire it; release() ends that. */
    void retire();

    /** Reads the row without competing for the lease. */
    void refresh();

    /** Takes note of a holder's notice that it has given up @p grant, although the row may still name it. */
    void noteGivenUp(const DutyRecord &grant);

    /** Returns the key of the row. */
    std::string key() const;

private:
    bool write(const DutyRecord &record, std::uint64_t revision, Instant sentAt);
    void observe(const std::optional<Row> &row, Instant now);
    bool lapsedForOthers(Instant now) const;
    bool isOwnWrite(const std::optional<Row> &row) const;
    bool tryRelease();

    TableStore &table;
    Clock &clock;
    EventLog &events;
    IdSource &ids;
    const std::string name;
    const NodeId self;
    const std::string address;
    const LeaseOptions options;

    mutable std::mutex mutex;
    std::uint64_t seenRevision = 0;
    std::optional<DutyRecord> seen;
    std::optional<Instant> seenUnchangedSince;
    std::optional<Instant> heldUntil;
    Instant renewalSentAt; ///< of the last renewal that took effect
    Instant renewAt;
    std::deque<std::string> ownWrites; ///< operations that have written the present row or may still do so
    bool isOwnRow = false; ///< one of them has written the row that was last seen
    std::optional<DutyRecord> ownGivenUp; ///< the last own grant that was given up
    bool isRetired = false;
    bool isReleaseDue = false; ///< the row may name this holder although it has given up
    std::optional<DutyRecord> otherGivenUp; ///< the last grant that another holder has given up by notice
};

} // namespace waxwingloft

#endif
