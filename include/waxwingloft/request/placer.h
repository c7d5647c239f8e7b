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

/** Dependencies of a Placer. */
struct PlacerContext {
    Clock &clock;
    EventLog &events;
    Metrics &metrics;
    JobStore &jobs;
    MemberDirectory &members;
    const SettingsPublisher &settings;
    IdSource &ids;
    GangLauncher &launcher;
    std::function<void(std::function<void()>)> runLater; ///< runs launches and stops, on other threads or synchronously
    std::string region;
};

/** Timing of a placer. */
struct PlacerOptions {
    GangSchedulerOptions scheduler;
    WorkerHealthOptions health;
    Millis coordinatorLossTimeout =
        Millis(4000); ///< time since the coordinator of a gang was lost, after which all leases of the gang are known to have expired
    Millis memberLossTimeout = Millis(8000); ///< the same for another member; longer, so that the coordinator normally detects the loss first
};

/** One guaranteed shape of a workspace, for the status page. */
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
 * Places the jobs of one region while its process is leader.
 *
 * Keeps no state that a new leader could not rebuild from the table and the agents' reports. Every
 * change of a job is written to its row; the state in memory follows the rows. Thread safe.
 */
class Placer
{
public:
    Placer(const PlacerContext &context, PlacerOptions options);
    ~Placer();

    /** Reads what changed, decides, and executes the decisions under @p epoch. Call often while leader. */
    void step(Epoch epoch);

    /** Discards all state; call when leadership is lost. */
    void resign();

    /** Describes what a job waits for; empty for a job that is unknown here or does not wait. */
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
        std::optional<Instant> lostSince; ///< when the first of its members was lost
        bool coordinatorIsLost = false;
    };

    /** State of one term of leadership; discarded when the epoch changes. */
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
