#ifndef WAXWINGLOFT_REQUEST_ASSIGNMENTBUILDER_H
#define WAXWINGLOFT_REQUEST_ASSIGNMENTBUILDER_H

#include "waxwingloft/connection/taskmessages.h"
#include "waxwingloft/request/liveworker.h"

#include <map>

namespace waxwingloft {

/** Makes out what a worker is to run, from jobs whose rows hold it. */
class AssignmentBuilder
{
public:
    AssignmentBuilder(const std::map<JobId, LiveJob> &jobs, Epoch epoch);

    /** Returns the next assignments of @p worker, and notes in it what they hold and leave out. */
    AssignmentSync makeSync(LiveWorker &worker) const;

private:
    void advanceAcks(LiveWorker &worker) const;
    bool isStored(const TaskRun &run, const LiveRun &live) const;
    bool isWanted(const LiveWorker &worker, const TaskRun &run, const LiveRun &live) const;
    Assignment assignmentOf(const LiveWorker &worker, const TaskRun &run, const LiveRun &live, const LiveJob &job) const;

    const std::map<JobId, LiveJob> &jobs;
    const Epoch epoch;
};

} // namespace waxwingloft

#endif
