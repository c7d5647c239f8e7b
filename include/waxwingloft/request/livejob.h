#ifndef WAXWINGLOFT_REQUEST_LIVEJOB_H
#define WAXWINGLOFT_REQUEST_LIVEJOB_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/request/jobprogress.h"

#include <cstdint>

namespace waxwingloft {

/** A job of the placer in office: its progress, and how much of it the table holds. */
struct LiveJob {
    JobSubmission submission;
    JobProgress progress;
    std::uint64_t change = 0; ///< rises with every change of the progress
    std::uint64_t stored = 0; ///< change that the row holds
    std::uint64_t revision = 0; ///< of the row
    bool isBeingWritten = false;
    Instant knownSince;

    /** Notes that the progress has changed and is to be written. */
    void markChanged();

    const JobStep &stepOf(const TaskKey &key) const;

    /** Derives the state from the tasks; returns whether it changed. A final state stays. */
    bool refreshState();

    /** Marks the members of a run of a gang as done: they are done together, and the end of one speaks for all. */
    void finishGang(const TaskRun &run);

    /** Counts a failed run of @p task, of a gang at its first member. Returns whether the task has failed for good. */
    bool countFailure(const TaskKey &key, TaskProgress &task);
};

} // namespace waxwingloft

#endif
