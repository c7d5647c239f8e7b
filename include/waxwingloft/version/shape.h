#ifndef WAXWINGLOFT_VERSION_SHAPE_H
#define WAXWINGLOFT_VERSION_SHAPE_H

#include "waxwingloft/process/error.h"
#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/resources.h"

#include <cstdint>
#include <string>

namespace waxwingloft {

/** The topology level that all tasks of a gang must share, from the narrowest to the widest. */
enum class Adjacency {
    Worker,
    Rack,
    DataCentre,
    Region,
};

template<>
struct NameTable<Adjacency> {
    static constexpr std::array<std::string_view, 4> names = {"worker", "rack", "data-centre", "region"};
};

/** Limit on the tasks of one gang. */
constexpr std::uint32_t MaxGangTasks = 512;

/** Limit on each resource of one task. */
constexpr std::int64_t MaxTaskAmount = 1'000'000;

/** The resources of a gang: equal tasks, each on one worker, all within one domain of the adjacency. */
struct Shape {
    std::uint32_t tasks = 1;
    Resources perTask;
    Adjacency adjacency = Adjacency::Region;

    bool operator==(const Shape &) const = default;

    Resources total() const
    {
        return this->perTask * this->tasks;
    }
};

/** Rejects shapes without tasks or resources, with more than MaxGangTasks tasks, or with amounts outside 0 to MaxTaskAmount. */
Status checkShape(const Shape &shape);

/** Whether a job of shape @p job fits into a reservation of shape @p reserved, whatever its placement. */
bool fitsInside(const Shape &job, const Shape &reserved);

/** Returns a description such as "4 tasks of 2 accelerators, 8 cores, 16 GiB in one rack". */
std::string toString(const Shape &shape);

} // namespace waxwingloft

#endif
