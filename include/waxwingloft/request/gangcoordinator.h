#ifndef WAXWINGLOFT_REQUEST_GANGCOORDINATOR_H
#define WAXWINGLOFT_REQUEST_GANGCOORDINATOR_H

#include "waxwingloft/connection/messages.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/outcome.h"

#include <map>
#include <optional>
#include <string>

namespace waxwingloft {

/** How an attempt of a gang ended. */
struct GangResult {
    Outcome outcome = Outcome::Unknown;
    std::string reason;
    Instant provenEndedAt; ///< time by which every member is known to have stopped
    std::string checkpoint; ///< key of the complete checkpoint that the coordinator wrote at the end; empty for none
    bool checkpointIsDamaged = false; ///< nothing started, because the checkpoint is missing or corrupt
};

/** Writes the end of a gang and its latest checkpoint to the table. */
class GangRecorder
{
public:
    virtual ~GangRecorder() = default;

    /** Records the end of an attempt; returns false when the caller must retry. */
    virtual bool recordEnd(const JobId &job, const AttemptId &attempt, const GangResult &result) = 0;

    /** Records the latest complete checkpoint of an attempt; returns false when the caller must retry. */
    virtual bool recordCheckpoint(const JobId &job, const AttemptId &attempt, const std::string &key) = 0;
};

/**
 * Tracks the lease renewals of a gang's members and decides when the gang has ended.
 *
 * Does no I/O; not thread safe.
 */
class GangCoordinator
{
public:
    /** Treats every member as renewed at @p now. */
    GangCoordinator(const PrepareGang &order, Instant now);

    /** Applies a renewal. Returns whether the member may continue. */
    bool renew(const NodeId &member, GangState state, Instant now);

    /** Aborts the gang; its members stop at their next renewal. */
    void abort(std::string reason, Instant now);

    /** Returns how the gang ended, once every member has ended or its lease has expired. */
    std::optional<GangResult> result(Instant now);

    bool isAborted() const;

private:
    struct MemberView {
        GangState state = GangState::Running;
        Instant renewedAt;
    };

    bool allHave(GangState state) const;

    std::map<NodeId, MemberView> members;
    Millis taskLease;
    std::optional<Instant> abortedAt;
    std::string reason;
    bool hasFailure = false;
};

} // namespace waxwingloft

#endif
