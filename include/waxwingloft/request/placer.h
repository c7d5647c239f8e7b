#ifndef WAXWINGLOFT_REQUEST_PLACER_H
#define WAXWINGLOFT_REQUEST_PLACER_H

#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/memberdirectory.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/process/threadpool.h"
#include "waxwingloft/process/workerhealth.h"
#include "waxwingloft/request/ganglauncher.h"
#include "waxwingloft/request/gangscheduler.h"
#include "waxwingloft/version/settingspublisher.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace waxwingloft {

/** What a placer works with. */
struct PlacerContext {
    Clock &clock;
    EventLog &events;
    Metrics &metrics;
    JobStore &jobs;
    MemberDirectory &members;
    const SettingsPublisher &settings;
    IdSource &ids;
    GangLauncher &launcher;
    std::function<void(std::function<void()>)> runLater; ///< runs launches and stops, on other threads or at once
    std::string region;
};

/** Times of a placer. */
struct PlacerOptions {
    GangSchedulerOptions scheduler;
    WorkerHealthOptions health;
    Millis headLossWait = Millis(4000); ///< silence of a gang's head after which all its leases have surely lapsed
    Millis memberLossWait = Millis(8000); ///< the same for another member, which the head should notice first
};

/** One workspace's guarantees, for the status page. */
struct GuaranteeStatus {
    WorkspaceId workspace;
    Shape shape;
    bool isPlaced = false;
    std::optional<JobId> claimedBy;
};

/** What the status page shows of a placer. */
struct PlacerStatus {
    Epoch epoch = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::vector<GuaranteeStatus> guarantees;
    std::vector<NodeId> quarantined;
};

/**
 * Places the jobs of one region while its process holds the duty.
 *
 * Keeps nothing that a successor could not rebuild from the table and the agents' reports. Every
 * change of a job goes through its row; what the placer knows follows the rows. Thread safe.
 */
class Placer
{
public:
    Placer(const PlacerContext &context, PlacerOptions options);
    ~Placer();

    /** Looks at what changed, decides, and carries it out under @p epoch. Call often while the duty is held. */
    void step(Epoch epoch);

    /** Forgets everything; call when the duty is lost. */
    void resign();

    /** Says in words what a job waits for; empty when this placer does not know it. */
    std::string explain(const JobId &job) const;

    PlacerStatus status() const;

private:
    enum class Phase {
        Waiting,
        Launching,
        Running,
        Stopping,
    };

    struct Tracked {
        JobRecord record;
        Phase phase = Phase::Waiting;
        std::optional<Instant> lostSince; ///< since when one of its members is lost
        bool coordinatorIsLost = false;
    };

    /** Everything that belongs to one term of the duty. */
    struct LeadershipTerm {
        LeadershipTerm(const PlacerContext &context, const PlacerOptions &options, Epoch epoch);

        const Epoch epoch;
        FleetState fleet;
        BestFitPlanner planner;
        ReservationTable reservations;
        RuntimeLearner learner;
        GangScheduler scheduler;
        WorkerHealth health;
        std::unordered_map<JobId, Tracked> jobs;
        std::unordered_map<NodeId, Incarnation> incarnations;
        std::vector<std::pair<JobRecord, GangResult>> unrecorded;
        std::uint64_t jobsSince = 0;
        std::uint64_t membersGeneration = 0;
        SettingsVersion settingsVersion = 0;
    };

    using RowHandler = void (Placer::*)(LeadershipTerm &, const JobRecord &);
    static const std::array<RowHandler, NameTable<JobState>::names.size()> rowHandlers;

    void rebuild(Epoch epoch);
    void syncMembers(LeadershipTerm &term);
    void syncSettings(LeadershipTerm &term);
    void syncHealth(LeadershipTerm &term);
    void applyMember(LeadershipTerm &term, const Member &member);
    void onQueued(LeadershipTerm &term, const JobRecord &record);
    void onPlaced(LeadershipTerm &term, const JobRecord &record);
    void onEnded(LeadershipTerm &term, const JobRecord &record);
    void recordFailures(LeadershipTerm &term, const Tracked &tracked, const JobRecord &record);
    void adopt(LeadershipTerm &term, const JobRecord &record);
    void stopLostGangs(LeadershipTerm &term);
    void execute(LeadershipTerm &term, const GangDecision &decision);
    void launch(LeadershipTerm &term, const StartGangDecision &decision);
    void stop(LeadershipTerm &term, const JobId &job, Millis grace, const std::string &reason);
    void endWaiting(LeadershipTerm &term, const JobRecord &record, Outcome outcome, const std::string &detail);
    void retryUnrecorded(Epoch epoch);
    void recordResult(Epoch epoch, JobRecord record, const GangResult &result);
    void launchFailed(Epoch epoch, const JobId &job);
    std::optional<Placement> placementOf(const LeadershipTerm &term, const JobRecord &record) const;
    GangJob gangJobOf(const JobRecord &record) const;
    SettingsVersion teamVersion(const TeamId &team) const;

    PlacerContext context;
    const PlacerOptions options;
    mutable std::mutex mutex;
    std::unique_ptr<LeadershipTerm> term;
};

} // namespace waxwingloft

#endif
