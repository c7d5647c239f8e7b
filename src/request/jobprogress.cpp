#include "waxwingloft/request/jobprogress.h"

#include <algorithm>
#include <utility>

namespace waxwingloft {

JobProgress initialProgress(const JobGraph &graph)
{
    OccurrenceProgress occurrence;
    for (const auto &step : graph.steps) {
        occurrence.emplace_back(step.count);
    }
    JobProgress progress;
    progress.occurrences.assign(graph.occurrences, occurrence);
    return progress;
}

bool isDone(const StepProgress &step)
{
    return std::all_of(step.begin(), step.end(), [](const TaskProgress &task) { return task.state == TaskPhase::Done; });
}

bool isReady(const JobGraph &graph, const OccurrenceProgress &occurrence, std::uint32_t step)
{
    const auto &after = graph.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&occurrence](std::uint32_t earlier) { return isDone(occurrence[earlier]); });
}

const TaskProgress *findTask(const JobProgress &progress, const TaskKey &key)
{
    if (key.occurrence >= progress.occurrences.size()) {
        return nullptr;
    }
    const auto &steps = progress.occurrences[key.occurrence];
    if (key.step >= steps.size() || key.index >= steps[key.step].size()) {
        return nullptr;
    }
    return &steps[key.step][key.index];
}

TaskProgress *findTask(JobProgress &progress, const TaskKey &key)
{
    return const_cast<TaskProgress *>(findTask(std::as_const(progress), key));
}

} // namespace waxwingloft
