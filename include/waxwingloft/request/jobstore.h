#ifndef WAXWINGLOFT_REQUEST_JOBSTORE_H
#define WAXWINGLOFT_REQUEST_JOBSTORE_H

#include "waxwingloft/connection/messages.h"
#include "waxwingloft/process/fleetstate.h"
#include "waxwingloft/process/tablestore.h"
#include "waxwingloft/request/gangcoordinator.h"
#include "waxwingloft/version/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

enum class JobState {
    Queued,
    Placed,
    Ended,
};

template<>
struct NameTable<JobState> {
    static constexpr std::array<std::string_view, 3> names = {"queued", "placed", "ended"};
};

/** A gang job as stored in the table. */
struct JobRecord {
    JobId id;
    WorkspaceId workspace;
    TeamId team;
    KindOfWork kind; ///< id, urgency, worth, idempotent and checkpointable, as of submission
    Shape shape;
    Millis declaredRunTime = Millis(0);
    std::string region;
    std::string payload;
    std::int64_t submittedAtWallMillis = 0;
    std::int64_t endedAtWallMillis = 0;
    JobState state = JobState::Queued;
    Outcome outcome = Outcome::NotRun; ///< valid only in state Ended
    std::string detail; ///< why it ended or waits
    AttemptId attempt; ///< of the placement; empty while queued
    Epoch epoch = 0;
    PreemptionClass preemptionClass = PreemptionClass::Preemptible;
    std::vector<GangMember> members;
    std::string checkpoint; ///< key of the latest checkpoint
    std::string earlierCheckpoint; ///< key of the previous one, used when the latest is damaged
    std::vector<NodeId> failedOn; ///< coordinators of the attempts that failed
    bool cancelRequested = false;
    bool hasStarted = false; ///< whether an earlier attempt may have run partly
    std::uint64_t revision = 0; ///< of its row
};

/** Returns the row value of @p record. */
std::string encodeJob(const JobRecord &record);

/** Parses the row of a job. */
Result<JobRecord> parseJob(const Row &row);

/** Stores jobs as rows of the table. Every write is conditional on the revision that was read. Thread safe. */
class JobStore
{
public:
    JobStore(TableStore &table, IdSource &ids);

    /** Writes a new job. Ambiguous when it may or may not have been written. */
    Result<std::uint64_t> create(const JobRecord &record);

    /** Writes @p record if its row still has the revision that was read. Returns the new revision. */
    Result<std::uint64_t> update(const JobRecord &record);

    Result<std::optional<JobRecord>> find(const JobId &id);

    Result<std::vector<JobRecord>> listOf(const WorkspaceId &workspace);

    /** Returns the jobs that changed after the table's revision @p since, and sets @p since to the current revision. */
    Result<std::vector<JobRecord>> changes(std::uint64_t &since);

    /** Requests the cancellation of a job. Succeeds without effect when the job has already ended. */
    Status requestCancel(const JobId &id);

private:
    Result<std::uint64_t> write(const JobRecord &record, std::uint64_t revision);

    TableStore &table;
    IdSource &ids;
};

/** Applies the end of an attempt to its job and writes the job to the table. Thread safe. */
class TableGangRecorder : public GangRecorder
{
public:
    TableGangRecorder(JobStore &jobs, Clock &clock);

    bool recordEnd(const JobId &job, const AttemptId &attempt, const GangResult &result) override;
    bool recordCheckpoint(const JobId &job, const AttemptId &attempt, const std::string &key) override;

private:
    JobStore &jobs;
    Clock &clock;
};

/** Makes @p key the latest checkpoint of @p record and keeps the previous one. */
void setCheckpoint(JobRecord &record, const std::string &key);

/**
 * Returns @p record after its attempt ended with @p result; all members must be known to have stopped.
 *
 * Done ends the job. A damaged checkpoint is replaced by the previous one. An interrupted job is queued again when it is idempotent or has a
 * checkpoint; otherwise it ends as Unknown and is never rerun automatically.
 */
JobRecord applyAttemptResult(JobRecord record, const GangResult &result, std::int64_t wallMillis);

/** Ends @p record; @p wallMillis is the current wall-clock time. */
void endJob(JobRecord &record, Outcome outcome, std::string detail, std::int64_t wallMillis);

} // namespace waxwingloft

#endif
