#ifndef WAXWINGLOFT_TESTS_REQUEST_READYJOBS_H
#define WAXWINGLOFT_TESTS_REQUEST_READYJOBS_H

#include "jobsite.h"

#include <map>
#include <string>
#include <vector>

namespace waxwingloft::tests {

/**
 * Checks the users' rule on what really runs: no job with a task whose turn has come has nothing running for the limit, while the executors
 * have room for one of its tasks twice over, and for a gang as a whole, and less than half of each resource is in use. Knows nothing of what the placer
 * believes.
 */
class ReadyJobs
{
public:
    ReadyJobs(JobSite &site, Millis limit);

    /** Registers a job of the site with the graph that it was submitted with. */
    void expect(const JobId &job, const JobGraph &graph);

    /** Lets time pass on the site, and looks after each step. */
    void advance(Millis duration);

    /** Fails the test with each job that stood for too long, which is reported once for each time that it stands. */
    void expectNone() const;

    /** Returns the longest time for which any job has stood. */
    Millis longest() const;

private:
    struct Stand {
        Instant since;
        bool isReported = false;
    };

    void look();
    bool isMostlyFree() const;
    bool hasRoom(const JobStep &step) const;
    bool isRunning(const JobId &job) const;
    std::optional<std::uint32_t> readyStep(const JobId &job, const JobGraph &graph) const;

    JobSite &site;
    const Millis limit;
    std::map<JobId, JobGraph> graphs;
    std::map<JobId, Stand> stands;
    std::vector<std::string> reports;
    Millis longestStand = Millis(0);
};

} // namespace waxwingloft::tests

#endif
