#ifndef WAXWINGLOFT_REQUEST_GANGAGENT_H
#define WAXWINGLOFT_REQUEST_GANGAGENT_H

#include "waxwingloft/connection/backendport.h"
#include "waxwingloft/connection/messages.h"
#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/tablestore.h"
#include "waxwingloft/request/gangcoordinator.h"
#include "waxwingloft/version/settingspublisher.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace waxwingloft {

/** Dependencies of a GangAgent. */
struct GangAgentContext {
    Clock &clock;
    EventLog &events;
    const SettingsPublisher &settings;
    WorkerPort &worker;
    NodePort &peers;
    ObjectStore &objects;
    GangRecorder &recorder;
    NodeId self;
    Incarnation incarnation = 0;
    Resources capacity;
};

/** Timing of the gangs of an agent. */
struct GangAgentOptions {
    Millis safety = Millis(300); ///< how much earlier the holder of a lease treats it as expired than its grantor does
    Millis checkpointInterval = Millis(60000); ///< time between two periodic checkpoints of a gang
    Millis attemptRetention = Millis(600000); ///< how long ended and fenced attempts are kept
    int overrunTicks = 5; ///< ticks of overuse after throttling, after which a gang part is stopped
};

/**
 * Runs the parts of gangs on one worker: reservations, starts, leases and stops.
 *
 * The authority on the worker's accelerators: it refuses what does not fit, placers with an older
 * epoch, and attempts that were fenced. Every running part holds a lease from the gang's
 * coordinator and stops itself when the lease is not renewed in time. Thread safe.
 */
class GangAgent
{
public:
    GangAgent(const GangAgentContext &context, GangAgentOptions options);

    GangReply prepare(const PrepareGang &prepare);
    GangReply start(const StartGang &start);

    /** Stops a part and blocks until its tasks have ended. A coordinator with a grace writes a checkpoint first. */
    GangReply stop(const StopGang &stop);

    /** Renews the lease of a member of a gang that this agent coordinates. */
    GangReply renew(const RenewGang &renew);

    NodeReport report(const AskReport &ask);

    /** Detects ended tasks, renews leases after a third of their duration and writes periodic checkpoints. Call at least that often. */
    void tick();

    /** Refuses all new gangs from now on; running ones finish. */
    void drain();

    /** Returns the number of parts that are prepared or running. */
    std::size_t activeCount() const;

private:
    struct Part {
        PrepareGang order;
        std::uint32_t tasks = 0;
        GangState state = GangState::Prepared;
        Instant leaseUntil; ///< end of the reservation while prepared, of the lease while running
        Instant endedAt;
        Instant checkpointedAt;
        Instant renewedAt; ///< when the last renewal that the coordinator granted was sent
        int overrunTicks = 0;
        bool isThrottled = false;
        bool isStopping = false;
        bool endIsAcknowledged = false;
        bool wasStarted = false;
        std::string checkpoint; ///< key of the latest complete checkpoint written here
        std::string resumeBytes;
        std::uint32_t checkpointsWritten = 0;
    };

    bool isCoordinator(const PrepareGang &order) const;
    std::optional<Error> refusalOf(const PrepareGang &prepare) const;
    std::optional<Error> refusalOf(const StartGang &start, Instant now) const;
    Resources reservedLocked() const;
    GangReply replyLocked(const JobId &job, const AttemptId &attempt) const;
    Result<std::string> fetchCheckpoint(const std::string &key);
    void tickPart(const AttemptId &attempt);
    void renewRunning(const AttemptId &attempt, const PrepareGang &order);
    bool renewLease(const AttemptId &attempt, const PrepareGang &order);
    void reportEnd(const AttemptId &attempt);
    std::vector<AttemptId> attemptsToTick() const;
    Result<GangReply> callCoordinator(const PrepareGang &order, GangState state);
    bool overruns(const AttemptId &attempt, const TaskUsage &usage);
    void endPart(const AttemptId &attempt, GangState state);
    Millis beginStop(const AttemptId &attempt);
    void stopOnWorker(const AttemptId &attempt, Millis taskLease);
    void stopTasks(const AttemptId &attempt, GangState state);
    void stopAndReport(const AttemptId &attempt, GangState state);
    void writeCheckpoint(const AttemptId &attempt);
    void recordResults();
    void removeExpired();

    GangAgentContext context;
    const GangAgentOptions options;
    std::mutex workerCalls; ///< serializes starts and stops of tasks; locked before mutex
    mutable std::mutex mutex;
    std::map<AttemptId, Part> parts;
    std::map<AttemptId, Instant> fenced;
    std::map<AttemptId, GangCoordinator> coordinators;
    std::map<std::string, Epoch> epochs; ///< newest known placer epoch, by region
    bool isDraining = false;
};

} // namespace waxwingloft

#endif
