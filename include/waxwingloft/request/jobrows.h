#ifndef WAXWINGLOFT_REQUEST_JOBROWS_H
#define WAXWINGLOFT_REQUEST_JOBROWS_H

#include "waxwingloft/process/error.h"
#include "waxwingloft/request/jobgraph.h"
#include "waxwingloft/request/jobprogress.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

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

/** Table of the parts of progress that does not fit into one row; only a new leader reads it. */
constexpr std::string_view ProgressPartTable = "progress-parts";

/** Largest value of a row. The platform's rows hold 64 KiB in base64, with the id of the operation. */
constexpr std::size_t LargestRowBytes = 48'000;

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
std::string progressPartKey(const JobId &job, std::size_t part);

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

/** The progress of a job as rows that are written together. */
struct ProgressRows {
    std::string head; ///< under the job's progress key; holds the state, and everything else when there are no parts
    std::vector<std::string> parts; ///< under the keys of the parts
};

/** Encodes @p progress so that no row is larger than @p rowBytes. */
ProgressRows encodeProgressRows(const JobProgress &progress, std::size_t rowBytes);

/** Whether @p value is the head of progress that has parts. */
bool isSplitProgress(const std::string &value);

/** What the head of a job's progress says by itself. */
struct ProgressHead {
    JobPhase state = JobPhase::Pending;
    std::size_t parts = 0;
};

Result<ProgressHead> parseProgressHead(const std::string &value);

} // namespace waxwingloft

#endif
