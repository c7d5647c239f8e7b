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

/** What an agent needs for the gangs of its worker. */
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

/** Times of the gangs of an agent. */
struct GangAgentOptions {
    Millis safety = Millis(300); ///< how much earlier than the grantor a holder counts a lease as lapsed
    Millis checkpointInterval = Millis(60000); ///< time between two periodic checkpoints of a gang
    Millis attemptRetention = Millis(600000); ///< time for which ended and fenced attempts are remembered
    int overrunTicks = 5; ///< ticks of overuse after the throttle at which a gang part is stopped
};

/**
 * The parts of gangs on one worker: reservations, starts, leases and stops.
 *
 * Arbiter of the worker's accelerators: it refuses what does not fit, placers with an older epoch,
 * and attempts that were fenced. Every running part holds a lease from the gang's head and stops
 * itself when the lease is not renewed in time. Thread safe.
 */
class GangAgent
{
public:
    GangAgent(const GangAgentContext &context, GangAgentOptions options);

    GangReply prepare(const PrepareGang &prepare);
    GangReply start(const StartGang &start);

    /** Stops a part, with a checkpoint when this is the head and there is a grace. Blocks until its tasks have ended. */
    GangReply stop(const StopGang &stop);

    /** Renews the lease of a member of a gang whose head this agent is. */
    GangReply renew(const RenewGang &renew);

    NodeReport report(const AskReport &ask);

    /** Notices ends, renews leases every third of their term, writes periodic checkpoints. Call at least that often. */
    void tick();

    /** Refuses all new gangs from now on. */
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
        Instant renewedAt; ///< when the head last renewed the lease
        int overrunTicks = 0;
        bool isThrottled = false;
        bool isStopping = false;
        bool endIsAcknowledged = false;
        bool wasStarted = false;
        std::string checkpoint; ///< key of the latest whole one written here
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
    void stopTasks(const AttemptId &attempt, GangState state);
    void stopAndReport(const AttemptId &attempt, GangState state);
    void writeCheckpoint(const AttemptId &attempt);
    void recordResults();
    void removeExpired();

    GangAgentContext context;
    const GangAgentOptions options;
    std::mutex workerCalls; ///< orders the starts and stops of tasks; taken before the other mutex
    mutable std::mutex mutex;
    std::map<AttemptId, Part> parts;
    std::map<AttemptId, Instant> fenced;
    std::map<AttemptId, GangCoordinator> coordinators;
    std::map<std::string, Epoch> epochs; ///< newest placer epoch heard of, by region
    bool isDraining = false;
};

} // namespace waxwingloft

#endif
