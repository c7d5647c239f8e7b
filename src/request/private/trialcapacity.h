#ifndef WAXWINGLOFT_REQUEST_TRIALCAPACITY_H
#define WAXWINGLOFT_REQUEST_TRIALCAPACITY_H

#include "demand.h"

namespace waxwingloft {

/** Room on trial: keeps count of the tasks that fit while runs are taken out and put back. */
class TrialCapacity
{
public:
    TrialCapacity(const Demand &demand, const Group &group, std::vector<Capacity> available);

    /** Whether a part of @p running stands on the group. */
    bool overlaps(const RunningTasks &running) const;

    /** Whether all of the demand fits on the group now. */
    bool fitsAll() const;

    /** Gives the available of @p running back (@p sign 1) or takes it again (-1). */
    void change(const RunningTasks &running, std::int64_t sign);

    const std::vector<Capacity> &byWorker() const;

private:
    std::uint64_t fitsOn(std::size_t worker) const;

    const Demand &demand;
    std::vector<Capacity> available;
    std::vector<bool> isMember;
    std::uint64_t total = 0; ///< tasks that fit on the members one by one
};

} // namespace waxwingloft

#endif
