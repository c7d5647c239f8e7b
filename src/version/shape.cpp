#include "waxwingloft/version/shape.h"

namespace waxwingloft {

Status checkShape(const Shape &shape)
{
    if (shape.tasks == 0) {
        return makeError(ErrorKind::InvalidInput, "a gang of 0 tasks cannot run", "ask for 1 to " + std::to_string(MaxGangTasks) + " tasks");
    }
    if (shape.tasks > MaxGangTasks) {
        return makeError(ErrorKind::InvalidInput,
                         "a gang of " + std::to_string(shape.tasks) + " tasks is too large",
                         "ask for at most " + std::to_string(MaxGangTasks) + " tasks");
    }
    const auto inRange = [](std::int64_t amount) { return amount >= 0 && amount <= MaxTaskAmount; };
    if (!inRange(shape.perTask.processors) || !inRange(shape.perTask.memoryGb) || !inRange(shape.perTask.accelerators)) {
        return makeError(ErrorKind::InvalidInput,
                         "a resource of a task is negative or too large",
                         "give processors, memory_gb and accelerators between 0 and " + std::to_string(MaxTaskAmount));
    }
    if (shape.perTask.isZero()) {
        return makeError(ErrorKind::InvalidInput, "a task without resources cannot be placed", "give processors, memory_gb or accelerators");
    }
    return Done{};
}

bool fitsInside(const Shape &job, const Shape &reserved)
{
    if (job.adjacency < reserved.adjacency) {
        return false;
    }
    const auto jobTasksPerReservedTask = timesCovered(reserved.perTask, job.perTask, MaxGangTasks);
    return jobTasksPerReservedTask * static_cast<std::int64_t>(reserved.tasks) >= static_cast<std::int64_t>(job.tasks);
}

std::string toString(const Shape &shape)
{
    return std::to_string(shape.tasks) + " tasks of " + toString(shape.perTask) + " in one " + std::string(nameOf(shape.adjacency));
}

} // namespace waxwingloft
