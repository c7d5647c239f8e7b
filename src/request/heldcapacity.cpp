#include "waxwingloft/request/heldcapacity.h"

namespace waxwingloft {

HeldCapacity::HeldCapacity(const std::map<TaskRun, AgentRun> &runs)
{
    for (const auto &[key, run] : runs) {
        if (run.mayHaveStarted()) {
            this->count(run);
        }
    }
}

StartFit HeldCapacity::fitOf(const AgentRun &run, const Capacity &capacity) const
{
    if (this->unknown > 0 || !run.needs()) {
        return StartFit::Unknown;
    }
    auto total = this->held;
    total += run.mayHaveStarted() ? Capacity() : *run.needs();
    return capacity.covers(total) ? StartFit::Fits : StartFit::Exceeds;
}

void HeldCapacity::add(const AgentRun &run)
{
    if (!run.mayHaveStarted()) {
        this->count(run);
    }
}

void HeldCapacity::count(const AgentRun &run)
{
    if (run.needs()) {
        this->held += *run.needs();
    } else {
        ++this->unknown;
    }
}

} // namespace waxwingloft
