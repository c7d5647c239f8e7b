#ifndef WAXWINGLOFT_REQUEST_GANGLAUNCHER_H
#define WAXWINGLOFT_REQUEST_GANGLAUNCHER_H

#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/process/fanout.h"
#include "waxwingloft/request/jobstore.h"

#include <optional>

namespace waxwingloft {

/** Times of the protocol between a placer and agents. */
struct GangLauncherOptions {
    Millis callTimeout = Millis(1500); ///< for one message to an agent
    Millis reserveFor = Millis(5000); ///< how long a reservation waits for its start
    Millis taskLease = Millis(3000); ///< tasks end when they are not renewed for this long
    Millis driftMargin = Millis(500); ///< bound on what clocks drift apart during a task lease
};

/**
 * Starts and stops whole gangs: prepare on every agent, then start on every agent; nothing starts
 * before all are prepared.
 *
 * Holds no state of its own; the agents arbitrate. Thread safe; blocks the calling thread.
 */
class GangLauncher
{
public:
    GangLauncher(NodePort &peers, FanOut &fanOut, Clock &clock, GangLauncherOptions options);

    /**
     * Launches the placed @p job under @p teamVersion.
     *
     * Returns nothing when every member runs. Otherwise the whole gang has been stopped, and the
     * result says whether any of it may have run.
     */
    std::optional<GangResult> launch(const JobRecord &job, SettingsVersion teamVersion);

    /**
     * Stops all members, the head first with @p grace for its checkpoint. Returns when all have surely ended.
     *
     * The result is NotRun when no member had started.
     */
    GangResult stop(const JobRecord &job, Epoch epoch, Millis grace, const std::string &reason);

    /** Asks every worker of @p members for its report, which also fences placers older than @p epoch. */
    std::vector<std::optional<NodeReport>> askReports(const std::vector<Member> &members, const std::string &region, Epoch epoch);

private:
    std::optional<Error> prepareAll(const JobRecord &job, SettingsVersion teamVersion);
    std::optional<Error> startAll(const JobRecord &job);
    Result<GangReply> ask(const GangMember &member, const Message &message, Millis extraTime);

    NodePort &peers;
    FanOut &fanOut;
    Clock &clock;
    const GangLauncherOptions options;
};

} // namespace waxwingloft

#endif
