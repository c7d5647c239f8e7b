#include "waxwingloft/process/ids.h"

#include <array>
#include <cstdio>
#include <random>
#include <xxhash.h>

namespace waxwingloft {

IdSource::IdSource(std::uint64_t seed)
    : seed(seed)
{
}

std::string IdSource::next()
{
    const std::uint64_t ordinal = this->drawn.fetch_add(1, std::memory_order_relaxed);
    const std::uint64_t mixed = XXH3_64bits_withSeed(&ordinal, sizeof(ordinal), this->seed);
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(mixed));
    return text.data();
}

std::uint64_t IdSource::entropySeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace waxwingloft
