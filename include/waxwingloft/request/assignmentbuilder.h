#ifndef WAXWINGLOFT_REQUEST_ASSIGNMENTBUILDER_H
#define WAXWINGLOFT_REQUEST_ASSIGNMENTBUILDER_H

#include "waxwingloft/connection/taskmessages.h"
#include "waxwingloft/request/liveworker.h"

#include <map>

namespace waxwingloft {

/** Builds the assignments of a worker, leaving out runs that are not yet written to their job's row. */
class AssignmentBuilder
{
public:
    AssignmentBuilder(const std::map<JobId, LiveJob> &jobs, Epoch epoch);

    /** Returns the next assignments of @p worker, and records in it which runs they contain and omit. */
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
