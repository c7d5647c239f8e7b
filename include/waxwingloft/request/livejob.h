#ifndef WAXWINGLOFT_REQUEST_LIVEJOB_H
#define WAXWINGLOFT_REQUEST_LIVEJOB_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/request/jobprogress.h"

#include <cstdint>

namespace waxwingloft {

/** A job as known to the leading placer: its progress, and how much of it the table holds. */
struct LiveJob {
    JobSubmission submission;
    JobProgress progress;
    std::uint64_t change = 0; ///< incremented with every change of the progress
    std::uint64_t stored = 0; ///< last change that the row holds
    std::uint64_t revision = 0; ///< of the row
    std::size_t storedParts = 0; ///< rows in the table of parts that hold its progress
    bool isBeingWritten = false;
    bool isWrittenAlone = false; ///< a transaction with its rows was refused for good
    std::uint32_t refusals = 0; ///< of its rows by themselves, since they were last written, while the table took other writes
    Instant refusedAt; ///< the last time
    Instant writeAfter; ///< not written before
    std::uint32_t writesMissed = 0; ///< transactions that had no place for the row since it changed
    Instant knownSince;
    bool isHeldBack = false; ///< since its last start, workers have been avoided rather than used for its tasks
    bool isClosedOut = false; ///< tasks wait that executors in closed zones could run, which was logged

    /** Marks the progress as changed, so that it is written. */
    void markChanged();

    const JobStep &stepOf(const TaskKey &key) const;

    /** Derives the state of the job from its tasks. Returns whether it changed; a final state is kept. */
    bool refreshState();

    /** Whether an executor crashed as it started @p key, or for a gang any of its members, so that the next start is a trial. */
    bool isSuspect(const TaskKey &key) const;

    /**
     * Has @p task resume from @p checkpoint; an empty one changes nothing.
     *
     * Returns false, and keeps the earlier one, when it is too long: the checkpoints of all tasks of a job are stored in one transaction.
     */
    bool keepCheckpoint(TaskProgress &task, const std::string &checkpoint) const;

    /** Marks all members of a gang's run as done: they finish together, so the end of one applies to all. */
    void finishGang(const TaskRun &run);

    /**
     * Counts the current run of @p task as failed. A gang keeps one count, at its first member, and counts a run once however many members fail.
     *
     * Returns whether this was the last permitted attempt.
     */
    bool countFailure(const TaskRun &run, TaskProgress &task);
};

} // namespace waxwingloft

#endif
