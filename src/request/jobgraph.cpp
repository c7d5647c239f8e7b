#include "waxwingloft/request/jobgraph.h"

#include <algorithm>

namespace waxwingloft {

namespace {

Error invalidInput(const std::string &what, const std::string &remedy)
{
    return makeError(ErrorKind::InvalidInput, what, remedy);
}

Status checkStep(const JobStep &step, std::size_t index, const JobBounds &bounds)
{
    const auto name = "step " + std::to_string(index);
    if (step.count == 0 || step.count > bounds.tasks) {
        return invalidInput(name + " has a count of " + std::to_string(step.count), "give a count from 1 to " + std::to_string(bounds.tasks));
    }
    if (step.needs.milliCores < 0 || step.needs.memoryMb < 0 || step.needs.accelerators < 0) {
        return invalidInput(name + " needs a negative amount", "give amounts of zero or more");
    }
    for (const auto earlier : step.after) {
        if (earlier >= index) {
            return invalidInput(name + " depends on step " + std::to_string(earlier), "let steps depend on earlier steps only");
        }
    }
    return Done{};
}

} // namespace

Status checkGraph(const JobGraph &graph, const JobBounds &bounds)
{
    if (graph.spec.size() > bounds.specBytes) {
        return invalidInput("the spec has " + std::to_string(graph.spec.size()) + " bytes", "keep it to " + std::to_string(bounds.specBytes));
    }
    if (graph.steps.empty() || graph.steps.size() > bounds.steps) {
        return invalidInput("the job has " + std::to_string(graph.steps.size()) + " steps", "give 1 to " + std::to_string(bounds.steps));
    }
    std::uint64_t tasks = 0;
    for (std::size_t index = 0; index < graph.steps.size(); ++index) {
        const auto checked = checkStep(graph.steps[index], index, bounds);
        if (!succeeded(checked)) {
            return checked;
        }
        tasks += graph.steps[index].count;
    }
    if (graph.occurrences == 0 || tasks * graph.occurrences > bounds.tasks) {
        return invalidInput("the job has " + std::to_string(tasks) + " tasks in each of " + std::to_string(graph.occurrences) + " occurrences",
                            "keep the total to " + std::to_string(bounds.tasks));
    }
    return Done{};
}

std::uint64_t taskCount(const JobGraph &graph)
{
    std::uint64_t tasks = 0;
    for (const auto &step : graph.steps) {
        tasks += step.count;
    }
    return tasks * graph.occurrences;
}

Millis criticalPath(const JobGraph &graph)
{
    std::vector<Millis> ends(graph.steps.size(), Millis(0));
    auto longest = Millis(0);
    for (std::size_t index = 0; index < graph.steps.size(); ++index) {
        auto begin = Millis(0);
        for (const auto earlier : graph.steps[index].after) {
            begin = std::max(begin, ends[earlier]);
        }
        ends[index] = begin + graph.steps[index].estimate;
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

std::vector<Millis> chainsAfter(const JobGraph &graph)
{
    std::vector<Millis> chains(graph.steps.size(), Millis(0));
    for (std::size_t index = graph.steps.size(); index-- > 0;) {
        for (const auto earlier : graph.steps[index].after) {
            chains[earlier] = std::max(chains[earlier], graph.steps[index].estimate + chains[index]);
        }
    }
    return chains;
}

} // namespace waxwingloft
