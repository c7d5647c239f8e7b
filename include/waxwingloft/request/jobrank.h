#ifndef WAXWINGLOFT_REQUEST_JOBRANK_H
#define WAXWINGLOFT_REQUEST_JOBRANK_H

#include "waxwingloft/process/capacity.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/request/jobprogress.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace waxwingloft {

/** What the ranking of jobs goes by. */
struct JobRankOptions {
    std::array<double, 3> valueByPriority = {4.0, 3.0, 1.0}; ///< of a mean job of each priority; the users' sheets
    double baseShare = 0.3; ///< of a job's worth that does not depend on its size; the users' rules
    double largestSize = 4.0; ///< of a job, in mean jobs of its queue, that still adds to its worth; the users' rules
    double lateShare = 0.3; ///< of the worth that is left between one and three objectives; about the mean of the users' sheets
    double expiredShare = 0.01; ///< weight of a job that can no longer earn; keeps it behind all others
    double lateFactor = 3.0; ///< objectives after which a job earns nothing; the users' rules
    double coresPerAccelerator = 8.0; ///< how work counts; the users' rules
};

/**
 * Ranks jobs by the worth that they can still earn for each share of the fleet's time that they need.
 *
 * Learns the mean size of a queue's jobs from those it is shown. Not thread safe.
 */
class JobRank
{
public:
    explicit JobRank(JobRankOptions options);

    /** Counts a job towards the mean of its queue. */
    void learn(const JobSubmission &submission);

    /** Returns the rank of a job at @p wallNow, higher first. @p fleet is the capacity of all executors. */
    double of(const JobSubmission &submission, const JobProgress &progress, const Capacity &fleet, std::int64_t wallNow) const;

    /** Whether a job that is started now can be expected to meet its objective. */
    bool isInTime(const JobSubmission &submission, const JobProgress &progress, std::int64_t wallNow) const;

    /** Returns @p capacity in cores, with an accelerator as so many as the options say. */
    double coresOf(const Capacity &capacity) const;

    /** Returns the work of a job in core seconds, by its caller's estimate. */
    double workOf(const JobSubmission &submission) const;

private:
    struct Mean {
        double total = 0.0;
        std::uint64_t count = 0;
    };

    const JobRankOptions options;
    std::map<std::string, Mean> meanByRoute;
};

} // namespace waxwingloft

#endif
