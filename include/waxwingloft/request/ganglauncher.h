#ifndef WAXWINGLOFT_REQUEST_GANGLAUNCHER_H
#define WAXWINGLOFT_REQUEST_GANGLAUNCHER_H

#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/process/fanout.h"
#include "waxwingloft/request/jobstore.h"

#include <optional>

namespace waxwingloft {

/** Timing of the protocol between a placer and agents. */
struct GangLauncherOptions {
    Millis callTimeout = Millis(1500); ///< for one call to an agent
    Millis reserveFor = Millis(5000); ///< time after which an agent drops a reservation that was not started
    Millis taskLease = Millis(3000); ///< tasks stop when their lease is not renewed for this long
    Millis driftMargin = Millis(500); ///< bound on the clock drift between machines during a task lease
};

/**
 * Starts and stops whole gangs in two phases: prepare on every agent, then start on every agent.
 * Nothing starts before all are prepared.
 *
 * Stateless; the agents decide what they accept. Thread safe; blocks the calling thread.
 */
class GangLauncher
{
public:
    GangLauncher(NodePort &peers, FanOut &fanOut, Clock &clock, GangLauncherOptions options);

    /**
     * Launches the placed @p job under @p teamVersion.
     *
     * Returns nothing when every member runs. Otherwise all members have been stopped, and the
     * outcome of the result is NotRun only if none of them can have run.
     */
    std::optional<GangResult> launch(const JobRecord &job, SettingsVersion teamVersion);

    /**
     * Stops all members, the coordinator first with @p grace for its checkpoint. Returns when all are known to have ended.
     *
     * The result is NotRun when no member had started.
     */
    GangResult stop(const JobRecord &job, Epoch epoch, Millis grace, const std::string &reason);

    /** Requests the report of every worker in @p members, which also fences placers with an epoch older than @p epoch. */
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
