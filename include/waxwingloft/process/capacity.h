#ifndef WAXWINGLOFT_PROCESS_CAPACITY_H
#define WAXWINGLOFT_PROCESS_CAPACITY_H

#include <cstdint>
#include <string>

namespace waxwingloft {

/** What an executor offers and a task needs, in the fine units that executors count in. Signed, so that differences can be checked. */
struct Capacity {
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Capacity &) const = default;

    Capacity &operator+=(const Capacity &other)
    {
        this->milliCores += other.milliCores;
        this->memoryMb += other.memoryMb;
        this->accelerators += other.accelerators;
        return *this;
    }

    Capacity &operator-=(const Capacity &other)
    {
        this->milliCores -= other.milliCores;
        this->memoryMb -= other.memoryMb;
        this->accelerators -= other.accelerators;
        return *this;
    }

    /** Whether this amount holds @p other in every resource. */
    bool covers(const Capacity &other) const
    {
        return this->milliCores >= other.milliCores && this->memoryMb >= other.memoryMb && this->accelerators >= other.accelerators;
    }
};

/** Returns a short text such as "52000 mcores, 140000 MB, 8 accelerators". */
inline std::string toString(const Capacity &capacity)
{
    return std::to_string(capacity.milliCores) + " mcores, " + std::to_string(capacity.memoryMb) + " MB, " + std::to_string(capacity.accelerators)
        + " accelerators";
}

} // namespace waxwingloft

#endif
