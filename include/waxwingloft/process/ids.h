#ifndef WAXWINGLOFT_PROCESS_IDS_H
#define WAXWINGLOFT_PROCESS_IDS_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace waxwingloft {

/** A name that cannot be mixed up with a name of another sort. */
template<typename Tag>
struct Id {
    std::string value;

    auto operator<=>(const Id &) const = default;

    bool isEmpty() const
    {
        return this->value.empty();
    }
};

using NodeId = Id<struct NodeTag>; ///< a process of the system; an agent stands for its backend server or worker
using TeamId = Id<struct TeamTag>;
using WorkspaceId = Id<struct WorkspaceTag>; ///< unique over all teams
using CallerId = Id<struct CallerTag>; ///< one caller inside a workspace
using KindId = Id<struct KindTag>; ///< a kind of work, unique inside its team
using RequestId = Id<struct RequestTag>; ///< chosen by the caller, unique inside its workspace
using AttemptId = Id<struct AttemptTag>; ///< one try to run a request or a gang
using JobId = Id<struct JobTag>;

/** One life of a process; differs after every start. Zero is no incarnation. */
using Incarnation = std::uint64_t;

/** A counter that grows with every new holder of a duty. */
using Epoch = std::uint64_t;

/** The number of a settings version. Grows by one with every accepted change. */
using SettingsVersion = std::uint64_t;

/** Draws fresh identifiers. Thread safe; two sources with different seeds do not collide in practice. */
class IdSource
{
public:
    /** @p seed must differ between processes; tests pass a constant. */
    explicit IdSource(std::uint64_t seed);

    /** Returns a fresh 16-digit hexadecimal identifier. */
    std::string next();

    /** Returns a seed from the machine's entropy. */
    static std::uint64_t entropySeed();

private:
    const std::uint64_t seed;
    std::atomic<std::uint64_t> drawn = 0;
};

} // namespace waxwingloft

template<typename Tag>
struct std::hash<waxwingloft::Id<Tag>> {
    std::size_t operator()(const waxwingloft::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};

#endif
