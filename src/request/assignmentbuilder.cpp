#include "waxwingloft/request/assignmentbuilder.h"

#include <algorithm>

namespace waxwingloft {

AssignmentBuilder::AssignmentBuilder(const std::map<JobId, LiveJob> &jobs, Epoch epoch)
    : jobs(jobs)
    , epoch(epoch)
{
}

void AssignmentBuilder::advanceAcks(LiveWorker &worker) const
{
    while (!worker.pendingAcks.empty()) {
        const auto &note = worker.pendingAcks.front();
        const auto job = this->jobs.find(note.job);
        if (job != this->jobs.end() && job->second.stored < note.change) {
            return;
        }
        worker.acknowledgedEnds = note.number;
        worker.pendingAcks.pop_front();
    }
}

bool AssignmentBuilder::isStored(const TaskRun &run, const LiveRun &live) const
{
    const auto job = this->jobs.find(run.task.job);
    return job == this->jobs.end() || job->second.stored >= live.change;
}

bool AssignmentBuilder::isWanted(const LiveWorker &worker, const TaskRun &run, const LiveRun &live) const
{
    const auto job = this->jobs.find(run.task.job);
    if (live.isStopping || job == this->jobs.end() || isFinal(job->second.progress.state)) {
        return false;
    }
    const auto *const task = findTask(job->second.progress, run.task);
    return task != nullptr && task->state == TaskPhase::Assigned && task->run == run.run && task->incarnation == worker.last.incarnation;
}

Assignment AssignmentBuilder::assignmentOf(const LiveWorker &worker, const TaskRun &run, const LiveRun &live, const LiveJob &job) const
{
    const auto &reported = worker.last.runs;
    const bool isKnown = std::any_of(reported.begin(), reported.end(), [&run](const RunReport &report) { return report.run == run; });
    Assignment assignment{run, live.needs, !isKnown, {}, {}};
    if (!isKnown) {
        const auto &step = job.progress.occurrences[run.task.occurrence][run.task.step];
        assignment.spec = job.submission.graph.spec;
        assignment.checkpoint = step[run.task.index].checkpoint;
    }
    return assignment;
}

AssignmentSync AssignmentBuilder::makeSync(LiveWorker &worker) const
{
    this->advanceAcks(worker);
    AssignmentSync sync;
    sync.epoch = this->epoch;
    sync.sequence = ++worker.syncSequence;
    sync.incarnation = worker.last.incarnation;
    sync.acknowledgedEnds = worker.acknowledgedEnds;
    sync.isZoneClosed = worker.isZoneClosed;
    for (auto &[run, live] : worker.runs) {
        if (this->isWanted(worker, run, live)) {
            if (this->isStored(run, live)) {
                live.isSent = true;
                sync.assignments.push_back(this->assignmentOf(worker, run, live, this->jobs.at(run.task.job)));
            }
        } else if (live.omittedSince == 0) {
            live.omittedSince = sync.sequence;
        }
    }
    worker.needsSync = false;
    return sync;
}

} // namespace waxwingloft
