#ifndef WAXWINGLOFT_REQUEST_TRIALCAPACITY_H
#define WAXWINGLOFT_REQUEST_TRIALCAPACITY_H

#include "demand.h"

namespace waxwingloft {

/** Counts the tasks that would fit on a group of workers while running entries are removed and restored on trial. */
class TrialCapacity
{
public:
    TrialCapacity(const Demand &demand, const Group &group, std::vector<Capacity> available);

    /** Whether @p running uses a worker of the group. */
    bool overlaps(const RunningTasks &running) const;

    /** Whether the whole demand currently fits on the group. */
    bool fitsAll() const;

    /** Releases the capacity of @p running (@p sign 1) or allocates it again (-1). */
    void change(const RunningTasks &running, std::int64_t sign);

    const std::vector<Capacity> &byWorker() const;

private:
    std::uint64_t fitsOn(std::size_t worker) const;

    const Demand &demand;
    std::vector<Capacity> available;
    std::vector<bool> isMember;
    std::uint64_t total = 0; ///< sum of the tasks that fit on each member
};

} // namespace waxwingloft

#endif
