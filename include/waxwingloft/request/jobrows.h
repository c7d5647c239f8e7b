#ifndef WAXWINGLOFT_REQUEST_JOBROWS_H
#define WAXWINGLOFT_REQUEST_JOBROWS_H

#include "waxwingloft/process/error.h"
#include "waxwingloft/request/jobgraph.h"
#include "waxwingloft/request/jobprogress.h"

#include <optional>
#include <string>

namespace waxwingloft {

/** Sorts of rows in the table of jobs. */
enum class JobRowKind {
    Submission, ///< written once, by the entry that accepted the job
    Cancellation, ///< written once, by the entry that was told to cancel
    Progress, ///< written by the placer in office only
};

template<>
struct NameTable<JobRowKind> {
    static constexpr std::array<std::string_view, 3> names = {"submission", "cancellation", "progress"};
};

/** Table that holds every row of jobs. */
constexpr std::string_view JobTable = "jobs";

std::string submissionKey(const JobId &job);
std::string cancellationKey(const JobId &job);
std::string progressKey(const JobId &job);

/** A key of the table of jobs, taken apart. */
struct JobRowName {
    JobRowKind kind = JobRowKind::Submission;
    JobId job;
};

/** Takes @p key apart; nothing when it is no key of the table of jobs. */
std::optional<JobRowName> parseJobKey(const std::string &key);

std::string encodeSubmission(const JobSubmission &submission);
Result<JobSubmission> parseSubmission(const std::string &value);
std::string encodeProgress(const JobProgress &progress);
Result<JobProgress> parseProgress(const std::string &value);

} // namespace waxwingloft

#endif
