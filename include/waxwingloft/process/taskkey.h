#ifndef WAXWINGLOFT_PROCESS_TASKKEY_H
#define WAXWINGLOFT_PROCESS_TASKKEY_H

#include "waxwingloft/process/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace waxwingloft {

/** Names one task of a job: its occurrence, its step and its place in the step. */
struct TaskKey {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskKey &) const = default;
};

/** One start of a task. Runs of a task are numbered from one and only rise. */
struct TaskRun {
    TaskKey task;
    std::uint32_t run = 0;

    auto operator<=>(const TaskRun &) const = default;
};

/** Returns "JOB.OCCURRENCE.STEP.INDEX". */
std::string toString(const TaskKey &key);

/** Parses what toString() returns; nothing when @p text is anything else. */
std::optional<TaskKey> parseTaskKey(const std::string &text);

/** One life of an executor. After a restart under the same id it knows nothing of before. */
struct ExecutorIncarnation {
    std::string id;
    std::int64_t startedAt = 0; ///< Unix time in milliseconds

    bool operator==(const ExecutorIncarnation &) const = default;

    bool isKnown() const
    {
        return !this->id.empty();
    }
};

} // namespace waxwingloft

#endif
