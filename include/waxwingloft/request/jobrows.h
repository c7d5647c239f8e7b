#ifndef WAXWINGLOFT_REQUEST_JOBROWS_H
#define WAXWINGLOFT_REQUEST_JOBROWS_H

#include "waxwingloft/process/error.h"
#include "waxwingloft/request/jobgraph.h"
#include "waxwingloft/request/jobprogress.h"

#include <optional>
#include <string>

namespace waxwingloft {

/** Kinds of rows in the job table. */
enum class JobRowKind {
    Submission, ///< written once, by the entry that accepted the job
    Cancellation, ///< written once, by the entry that received the cancel call
    Progress, ///< written only by the leading placer
};

template<>
struct NameTable<JobRowKind> {
    static constexpr std::array<std::string_view, 3> names = {"submission", "cancellation", "progress"};
};

/** Table that holds all job rows. */
constexpr std::string_view JobTable = "jobs";

/** Table of the withdrawals; entries and placers do not follow it. */
constexpr std::string_view WithdrawalTable = "withdrawals";

/** A cancellation by @c workspace of a job that had not been submitted. */
struct Withdrawal {
    WorkspaceId workspace; ///< empty for routes that are open to all
    std::int64_t withdrawnAt = 0; ///< Unix time in milliseconds
};

/** Returns the key of a withdrawal. Workspaces have rows of their own, so that none can bar the jobs of another. */
std::string withdrawalKey(const JobId &job, const WorkspaceId &workspace);

std::string encodeWithdrawal(const Withdrawal &withdrawal);
Result<Withdrawal> parseWithdrawal(const std::string &value);

std::string submissionKey(const JobId &job);
std::string cancellationKey(const JobId &job);
std::string progressKey(const JobId &job);

/** A parsed key of the job table. */
struct JobRowName {
    JobRowKind kind = JobRowKind::Submission;
    JobId job;
};

/** Parses @p key; empty when it is not a key of the job table. */
std::optional<JobRowName> parseJobKey(const std::string &key);

std::string encodeSubmission(const JobSubmission &submission);
Result<JobSubmission> parseSubmission(const std::string &value);
std::string encodeProgress(const JobProgress &progress);
Result<JobProgress> parseProgress(const std::string &value);

} // namespace waxwingloft

#endif
