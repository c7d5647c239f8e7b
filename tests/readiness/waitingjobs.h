#ifndef WAXWINGLOFT_TESTS_READINESS_WAITINGJOBS_H
#define WAXWINGLOFT_TESTS_READINESS_WAITINGJOBS_H

#include "connection/fakeexecutor.h"
#include "troubleplan.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwingloft::tests {

/** What the jobs' submitters and the executors see, from which the waits of jobs beside room follow. Knows nothing of what the placer believes. */
class WaitingJobs : public RunObserver
{
public:
    /** A job that has nothing running beside room for it. */
    struct Wait {
        std::string job;
        Instant since;
        Millis waited = Millis(0);
        std::string room; ///< how many of its tasks fit, for the report
    };

    void addExecutor(const std::string &executor, const Capacity &capacity);

    /** The executor and all it knew are gone. */
    void removeExecutor(const std::string &executor);

    /** An executor that cannot be used at the moment has no room, but what runs there runs. */
    void setUsable(const std::string &executor, bool isUsable);

    /** The job is about to be sent; it may run even if no answer says that it was accepted. */
    void expect(const PlannedJob &job);

    /** The job's submitter was told that it was accepted. */
    void accept(const std::string &job);

    /** The job has an end that its callers are shown. */
    void finish(const std::string &job);

    /** Returns the waits of the moment. */
    std::vector<Wait> look(Instant now);

    /** Returns whether less than half of each resource is in use; there are no waits at other times. */
    bool isMostlyFree();

    /** Returns how many accepted jobs have not finished as far as the executors know. */
    std::size_t unfinished();

    void started(const std::string &executor, const TaskRun &run, const std::string &spec) override;
    void ended(const std::string &executor, const TaskRun &run, RunEnd how) override;
    void noted(const std::string &executor, const TaskRun &run, RunEnd how) override;

private:
    struct Job {
        PlannedJob plan;
        Capacity needs;
        std::set<std::uint32_t> done;
        bool isAccepted = false;
        bool isFinished = false;
        std::size_t running = 0; ///< on all executors
        std::optional<Instant> waitsSince;
    };

    struct Executor {
        Capacity capacity;
        bool isUsable = true;
        std::set<TaskRun> runs;
        std::set<TaskRun> unnotedEnds; ///< tasks done, which are lost with the executor
    };

    Capacity freeOf(const Executor &executor) const;
    bool hasHalfFree() const;
    std::int64_t timesInRoom(const Capacity &needs) const;

    std::mutex mutex;
    std::map<std::string, Job> jobs;
    std::map<std::string, Executor> executors;
};

/** Returns what each task of the job takes. */
Capacity needsOf(const PlannedJob &job);

} // namespace waxwingloft::tests

#endif
