#include "waxwingloft/process/runtimelearner.h"

#include <algorithm>
#include <vector>

namespace waxwingloft {

namespace {

constexpr std::size_t WindowSize = 64;
constexpr std::size_t RunsBeforeTrusted = 8;

} // namespace

void RuntimeLearner::observe(const WorkspaceId &workspace, const KindId &kind, Millis runTime)
{
    auto &window = this->windows[{workspace, kind}];
    window.push_back(runTime);
    if (window.size() > WindowSize) {
        window.pop_front();
    }
}

Millis RuntimeLearner::estimate(const WorkspaceId &workspace, const KindId &kind, Millis declared, double quantile) const
{
    const auto found = this->windows.find({workspace, kind});
    if (found == this->windows.end() || found->second.size() < RunsBeforeTrusted) {
        return declared;
    }
    std::vector<Millis> sorted(found->second.begin(), found->second.end());
    const auto rank = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
    return sorted[static_cast<std::size_t>(rank)];
}

} // namespace waxwingloft
