#ifndef WAXWINGLOFT_REQUEST_GANGCOORDINATOR_H
#define WAXWINGLOFT_REQUEST_GANGCOORDINATOR_H

#include "waxwingloft/connection/messages.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/outcome.h"

#include <map>
#include <optional>
#include <string>

namespace waxwingloft {

/** How a gang ended, as its head saw it. */
struct GangResult {
    Outcome outcome = Outcome::Unknown;
    std::string reason;
    Instant provenEndedAt; ///< when every member has surely stopped
    std::string checkpoint; ///< key of a whole checkpoint that its head wrote at the end; empty for none
    bool checkpointIsDamaged = false; ///< nothing started, since the checkpoint could not be read whole
};

/** Writes to the table how a gang ended, or where its latest checkpoint is. */
class GangRecorder
{
public:
    virtual ~GangRecorder() = default;

    /** Records the end of an attempt; false when it must be tried again later. */
    virtual bool recordEnd(const JobId &job, const AttemptId &attempt, const GangResult &result) = 0;

    /** Records the latest whole checkpoint of an attempt; false when it must be tried again later. */
    virtual bool recordCheckpoint(const JobId &job, const AttemptId &attempt, const std::string &key) = 0;
};

/**
 * What the head of a gang knows of its members: who renewed when, and whether the gang still stands.
 *
 * Decides only; not thread safe.
 */
class GangCoordinator
{
public:
    /** Every member counts as heard from at @p now. */
    GangCoordinator(const PrepareGang &order, Instant now);

    /** Takes a renewal in. Returns whether the member may go on. */
    bool renew(const NodeId &member, GangState state, Instant now);

    /** Ends the gang; members learn of it when they renew. */
    void abort(std::string reason, Instant now);

    /** Returns how the gang ended once that is certain for every member. */
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
