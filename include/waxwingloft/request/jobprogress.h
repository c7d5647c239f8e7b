#ifndef WAXWINGLOFT_REQUEST_JOBPROGRESS_H
#define WAXWINGLOFT_REQUEST_JOBPROGRESS_H

#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/taskkey.h"
#include "waxwingloft/request/jobgraph.h"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingloft {

/** State of a task. */
enum class TaskPhase {
    Waiting,
    Assigned, ///< a run may be under way on an executor
    Done,
    Failed, ///< permanently, without another attempt
};

template<>
struct NameTable<TaskPhase> {
    static constexpr std::array<std::string_view, 4> names = {"waiting", "assigned", "done", "failed"};
};

/** State of a job as callers see it. */
enum class JobPhase {
    Pending,
    Running,
    Completed,
    Failed,
    Cancelled,
};

template<>
struct NameTable<JobPhase> {
    static constexpr std::array<std::string_view, 5> names = {"pending", "running", "completed", "failed", "cancelled"};
};

/** Whether no more tasks are started for a job in @p state. */
constexpr bool isFinal(JobPhase state)
{
    return state == JobPhase::Completed || state == JobPhase::Failed || state == JobPhase::Cancelled;
}

/** Progress of one task. */
struct TaskProgress {
    TaskPhase state = TaskPhase::Waiting;
    std::uint32_t run = 0; ///< number of its latest run; zero before the first
    std::uint32_t failures = 0; ///< runs that ended as failed; a gang counts them at its first task
    std::string checkpoint; ///< to resume from; empty to start from the beginning
    NodeId worker; ///< agent of the latest run, while assigned
    ExecutorIncarnation incarnation; ///< executor of the latest run, while assigned
    std::uint32_t startCrashes = 0; ///< executors that crashed after they had begun it and are not known to have outlived that
    std::uint32_t crashes = 0; ///< executors that crashed under it
    std::uint32_t failedRun = 0; ///< the last run that failures counts; zero before the first, and in rows of earlier versions

    bool operator==(const TaskProgress &) const = default;
};

using StepProgress = std::vector<TaskProgress>;
using OccurrenceProgress = std::vector<StepProgress>;

/** Progress of a job: tasks by occurrence and step. */
struct JobProgress {
    JobPhase state = JobPhase::Pending;
    std::vector<OccurrenceProgress> occurrences;

    bool operator==(const JobProgress &) const = default;
};

/** Returns the progress of a job before any task has started. */
JobProgress initialProgress(const JobGraph &graph);

/** Whether every task of the step is done. */
bool isDone(const StepProgress &step);

/** Whether every step that @p step depends on is done in @p occurrence. */
bool isReady(const JobGraph &graph, const OccurrenceProgress &occurrence, std::uint32_t step);

/** Returns the task of @p key, or null when the job has no such task. */
TaskProgress *findTask(JobProgress &progress, const TaskKey &key);
const TaskProgress *findTask(const JobProgress &progress, const TaskKey &key);

} // namespace waxwingloft

#endif
