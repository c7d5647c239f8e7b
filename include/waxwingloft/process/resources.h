#ifndef WAXWINGLOFT_PROCESS_RESOURCES_H
#define WAXWINGLOFT_PROCESS_RESOURCES_H

#include <cstdint>
#include <string>

namespace waxwingloft {

/** An amount of each resource of a worker. Signed, so that differences can be checked. */
struct Resources {
    std::int64_t processors = 0; ///< cores
    std::int64_t memoryGb = 0; ///< GiB
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);

    /** Whether this amount holds @p other in every resource. */
    bool covers(const Resources &other) const
    {
        return this->processors >= other.processors && this->memoryGb >= other.memoryGb && this->accelerators >= other.accelerators;
    }

    /** Whether every resource is zero. */
    bool isZero() const
    {
        return *this == Resources{};
    }
};

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);
Resources operator*(Resources amount, std::int64_t times);

/** Returns the smaller amount of each resource. */
Resources lesser(const Resources &left, const Resources &right);

/** Returns how many times @p unit fits into @p amount, at most @p limit. A zero unit fits @p limit times. */
std::int64_t timesCovered(const Resources &amount, const Resources &unit, std::int64_t limit);

/** Returns a short text such as "8 accelerators, 16 cores, 64 GiB". */
std::string toString(const Resources &amount);

/** Where a worker or backend server stands, from the outside in. */
struct Location {
    std::string region;
    std::string dataCentre;
    std::string rack;

    auto operator<=>(const Location &) const = default;
};

} // namespace waxwingloft

#endif
