#include "waxwingloft/process/resources.h"

#include <algorithm>

namespace waxwingloft {

Resources &Resources::operator+=(const Resources &other)
{
    this->processors += other.processors;
    this->memoryGb += other.memoryGb;
    this->accelerators += other.accelerators;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    this->processors -= other.processors;
    this->memoryGb -= other.memoryGb;
    this->accelerators -= other.accelerators;
    return *this;
}

Resources operator+(Resources left, const Resources &right)
{
    return left += right;
}

Resources operator-(Resources left, const Resources &right)
{
    return left -= right;
}

Resources operator*(Resources amount, std::int64_t times)
{
    return {amount.processors * times, amount.memoryGb * times, amount.accelerators * times};
}

Resources lesser(const Resources &left, const Resources &right)
{
    return {std::min(left.processors, right.processors), std::min(left.memoryGb, right.memoryGb), std::min(left.accelerators, right.accelerators)};
}

std::int64_t timesCovered(const Resources &amount, const Resources &unit, std::int64_t limit)
{
    std::int64_t times = limit;
    const auto bound = [&times](std::int64_t have, std::int64_t need) {
        if (need > 0) {
            times = std::min(times, std::max<std::int64_t>(have, 0) / need);
        }
    };
    bound(amount.processors, unit.processors);
    bound(amount.memoryGb, unit.memoryGb);
    bound(amount.accelerators, unit.accelerators);
    return times;
}

std::string toString(const Resources &amount)
{
    return std::to_string(amount.accelerators) + " accelerators, " + std::to_string(amount.processors) + " cores, " + std::to_string(amount.memoryGb) + " GiB";
}

} // namespace waxwingloft
