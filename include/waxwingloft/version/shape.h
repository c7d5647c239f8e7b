#ifndef WAXWINGLOFT_VERSION_SHAPE_H
#define WAXWINGLOFT_VERSION_SHAPE_H

#include "waxwingloft/process/error.h"
#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/resources.h"

#include <cstdint>
#include <string>

namespace waxwingloft {

/** How near to each other the tasks of a gang must stand. */
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

/** Largest gang that can be asked for. */
constexpr std::uint32_t MaxGangTasks = 512;

/** Largest amount of any one resource that a task can ask for. */
constexpr std::int64_t MaxTaskAmount = 1'000'000;

/** The form of a gang: equal tasks, each on one worker, within one domain of adjacency. */
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

/** Refuses shapes with no task, too many tasks, negative or enormous amounts, or no resource at all. */
Status checkShape(const Shape &shape);

/** Whether a job of shape @p job fits into a reservation of shape @p reserved wherever that stands. */
bool fitsInside(const Shape &job, const Shape &reserved);

/** Returns a short text such as "4 tasks of 2 accelerators, 8 cores, 16 GiB in one rack". */
std::string toString(const Shape &shape);

} // namespace waxwingloft

#endif
