#ifndef WAXWINGLOFT_REQUEST_JOBRANK_H
#define WAXWINGLOFT_REQUEST_JOBRANK_H

#include "waxwingloft/process/capacity.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/request/jobprogress.h"
#include "waxwingloft/request/startworth.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace waxwingloft {

/** Parameters of the ranking of jobs. */
struct JobRankOptions {
    std::array<double, 3> valueByPriority = {4.0, 3.0, 1.0}; ///< value of a job of mean size for each priority; from the users' sheets
    double baseShare = 0.3; ///< share of a job's value that does not depend on its size; the users' rules
    double largestSize = 4.0; ///< size, in mean jobs of its queue, above which a job gains no more value; the users' rules
    double lateShare = 0.3; ///< share of the value left to a job that ends between one and three times its objective; about the mean of the users' sheets
    double expiredShare = 0.01; ///< weight of a job that can no longer earn any value; ranks it behind all others
    double lateFactor = 3.0; ///< multiple of its objective after which a job earns nothing; the users' rules
    double estimateError = 0.2; ///< share of its estimate by which a run is commonly longer or shorter; the users' sheets
    double coresPerAccelerator = 8.0; ///< cores that one accelerator counts as; the users' rules
};

/**
 * Ranks jobs by the value they can still earn per unit of fleet time they need.
 *
 * Learns the mean job size of each queue from the jobs passed to learn(). Not thread safe.
 */
class JobRank
{
public:
    explicit JobRank(JobRankOptions options);

    /** Adds a job to the mean size of its queue. */
    void learn(const JobSubmission &submission);

    /** Returns the rank of a job at @p wallNow (wall clock, ms); the highest rank goes first. @p fleet is the capacity of all executors. */
    double of(const JobSubmission &submission, const JobProgress &progress, const Capacity &fleet, std::int64_t wallNow) const;

    /** Returns what a job earns by the time from its acceptance to its end. */
    StartWorth worthByEnd(const JobSubmission &submission) const;

    /** Returns what a job earns by how long its waiting tasks take to start, from @p wallNow (wall clock, ms). */
    StartWorth worthByStart(const JobSubmission &submission, const JobProgress &progress, std::int64_t wallNow) const;

    /** Returns @p capacity in cores, counting each accelerator as coresPerAccelerator. */
    double coresOf(const Capacity &capacity) const;

    /** Returns the work of a job in core seconds, from the estimates in its submission. */
    double workOf(const JobSubmission &submission) const;

private:
    double valueOf(const JobSubmission &submission) const;

    struct Mean {
        double total = 0.0;
        std::uint64_t count = 0;
    };

    const JobRankOptions options;
    std::map<std::string, Mean> meanByRoute;
};

} // namespace waxwingloft

#endif
