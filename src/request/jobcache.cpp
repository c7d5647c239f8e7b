#include "waxwingloft/request/jobcache.h"

#include "waxwingloft/request/jobrows.h"

#include <algorithm>
#include <set>
#include <utility>

namespace waxwingloft {

JobPhase visibleState(JobPhase stored, bool isCancelled)
{
    return isCancelled && !isFinal(stored) ? JobPhase::Cancelled : stored;
}

namespace {

/** Whether @p progress has a place for each task of @p graph and no others. */
bool matches(const JobProgress &progress, const JobGraph &graph)
{
    return progress.occurrences.size() == graph.occurrences
        && std::all_of(progress.occurrences.begin(), progress.occurrences.end(), [&graph](const OccurrenceProgress &steps) {
               return std::equal(steps.begin(), steps.end(), graph.steps.begin(), graph.steps.end(), [](const StepProgress &tasks, const JobStep &step) {
                   return tasks.size() == step.count;
               });
           });
}

/** Rows by key. */
using RowIndex = std::map<std::string, const Row *>;

/** Returns the progress whose head is @p row, with its parts, which the same transaction has written. */
Result<JobProgress> wholeProgressOf(const JobId &job, const Row &row, std::size_t count, const RowIndex &parts)
{
    std::string whole;
    for (std::size_t part = 0; part < count; ++part) {
        const auto found = parts.find(progressPartKey(job, part));
        if (found == parts.end() || found->second->revision != row.revision) {
            return makeError(ErrorKind::Damaged, "part " + std::to_string(part) + " of the progress is missing or of another write");
        }
        whole += found->second->value;
    }
    return parseProgress(whole);
}

/** Reads the progress in @p row into @p job, and notes how many parts it has. */
Status readProgress(const JobId &id, const Row &row, const RowIndex &parts, StoredJob &job)
{
    if (isSplitProgress(row.value)) {
        const auto head = parseProgressHead(row.value);
        if (!succeeded(head)) {
            return errorOf(head);
        }
        job.progressParts = valueOf(head).parts;
    }
    auto progress = job.progressParts == 0 ? parseProgress(row.value) : wholeProgressOf(id, row, job.progressParts, parts);
    if (!succeeded(progress)) {
        return errorOf(progress);
    }
    job.progress = std::move(valueOf(progress));
    return Done{};
}

} // namespace

bool hasProgressParts(const RowList &rows)
{
    return std::any_of(rows.rows.begin(), rows.rows.end(), [](const Row &row) { return isSplitProgress(row.value); });
}

std::vector<StoredJob> storedJobsOf(const RowList &rows, const RowList &parts, const Logger &log)
{
    RowIndex partIndex;
    for (const auto &part : parts.rows) {
        partIndex[part.key] = &part;
    }
    std::map<JobId, StoredJob> jobs;
    std::map<JobId, bool> hasSubmission;
    std::set<JobId> damaged;
    for (const auto &row : rows.rows) {
        const auto name = parseJobKey(row.key);
        if (!name) {
            log.warn("Row " + row.key + " is not a job row; skipped.");
            continue;
        }
        auto &job = jobs[name->job];
        if (name->kind == JobRowKind::Cancellation) {
            job.isCancelled = true;
        } else if (name->kind == JobRowKind::Submission) {
            const auto submission = parseSubmission(row.value);
            if (succeeded(submission)) {
                job.submission = valueOf(submission);
                hasSubmission[name->job] = true;
            } else {
                log.error("Row " + row.key + " skipped: " + toString(errorOf(submission)));
            }
        } else {
            const auto progress = readProgress(name->job, row, partIndex, job);
            job.progressRevision = row.revision;
            if (!succeeded(progress)) {
                damaged.insert(name->job);
                log.error("Row " + row.key + " skipped: " + toString(errorOf(progress)));
            }
        }
    }
    std::vector<StoredJob> stored;
    for (auto &[id, job] : jobs) {
        if (!hasSubmission[id]) {
            continue;
        }
        if (job.progress.occurrences.empty()) {
            job.progress = initialProgress(job.submission.graph);
        }
        // What has run of a job is not known without its progress, so nothing of it is started.
        if (damaged.contains(id) || !matches(job.progress, job.submission.graph)) {
            log.error("A job is left alone, as its progress does not fit its steps; remove its rows or upgrade this process.", {{"job", id.value}});
            continue;
        }
        stored.push_back(std::move(job));
    }
    return stored;
}

JobCache::JobCache(TaskPlacer &placer)
    : placer(placer)
    , log(LogPart::Requests)
{
}

void JobCache::reset(const RowList &rows)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    for (const auto &row : rows.rows) {
        this->applyRowLocked(row);
    }
    this->hasLoaded = true;
}

void JobCache::apply(const ChangeBatch &batch)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    for (const auto &change : batch.changes) {
        if (!change.isRemoved) {
            this->applyRowLocked(change.row);
            continue;
        }
        const auto name = parseJobKey(change.row.key);
        if (name && name->kind == JobRowKind::Submission) {
            this->jobs.erase(name->job);
        }
    }
}

void JobCache::applyRow(const Row &row)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->applyRowLocked(row);
}

void JobCache::applyRowLocked(const Row &row)
{
    const auto name = parseJobKey(row.key);
    if (!name) {
        return;
    }
    switch (name->kind) {
    case JobRowKind::Submission:
        this->applySubmission(name->job, row);
        return;
    case JobRowKind::Cancellation:
        this->applyCancellation(name->job);
        return;
    case JobRowKind::Progress:
        this->applyProgress(name->job, row);
        return;
    }
}

void JobCache::applySubmission(const JobId &job, const Row &row)
{
    auto &entry = this->jobs[job];
    if (entry.submission) {
        return;
    }
    auto submission = parseSubmission(row.value);
    if (!succeeded(submission)) {
        this->log.error("Job " + job.value + " skipped: " + toString(errorOf(submission)));
        return;
    }
    entry.submission = std::move(valueOf(submission));
    entry.submissionRevision = row.revision;
    this->placer.submit(*entry.submission);
}

void JobCache::applyCancellation(const JobId &job)
{
    auto &entry = this->jobs[job];
    if (entry.isCancelled) {
        return;
    }
    entry.isCancelled = true;
    this->placer.cancel(job);
}

void JobCache::applyProgress(const JobId &job, const Row &row)
{
    auto &entry = this->jobs[job];
    if (row.revision <= entry.progressRevision) {
        return;
    }
    const auto head = parseProgressHead(row.value);
    if (!succeeded(head)) {
        this->log.error("Progress of job " + job.value + " skipped: " + toString(errorOf(head)));
        return;
    }
    entry.state = valueOf(head).state;
    entry.progressRevision = row.revision;
}

std::optional<JobPhase> JobCache::stateOf(const JobId &job) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto found = this->jobs.find(job);
    if (found == this->jobs.end() || !found->second.submission) {
        return std::nullopt;
    }
    return visibleState(found->second.state, found->second.isCancelled);
}

std::optional<WorkspaceId> JobCache::workspaceOf(const JobId &job) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() || !found->second.submission ? std::nullopt : std::optional(found->second.submission->workspace);
}

std::size_t JobCache::pendingCount(const std::string &route) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return static_cast<std::size_t>(std::count_if(this->jobs.begin(), this->jobs.end(), [&route](const auto &item) {
        const auto &job = item.second;
        return job.submission && job.submission->route == route && visibleState(job.state, job.isCancelled) == JobPhase::Pending;
    }));
}

bool JobCache::contains(const JobId &job) const
{
    return this->stateOf(job).has_value();
}

bool JobCache::isLoaded() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->hasLoaded;
}

void JobCache::forwardAll()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    for (const auto &[id, job] : this->jobs) {
        if (!job.submission) {
            continue;
        }
        this->placer.submit(*job.submission);
        if (job.isCancelled) {
            this->placer.cancel(id);
        }
    }
}

} // namespace waxwingloft
