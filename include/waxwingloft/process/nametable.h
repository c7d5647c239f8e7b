#ifndef WAXWINGLOFT_PROCESS_NAMETABLE_H
#define WAXWINGLOFT_PROCESS_NAMETABLE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingloft {

/**
 * Names of the enumerators of @p Enum, in order of declaration.
 *
 * Specialize with a static constexpr std::array<std::string_view, N> named "names". The enumerators
 * must be numbered from zero without gaps.
 */
template<typename Enum>
struct NameTable;

/** Returns the name of @p value as it appears in settings, messages, logs and metrics. */
template<typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < NameTable<Enum>::names.size() ? NameTable<Enum>::names[index] : std::string_view("invalid");
}

/** Returns the enumerator called @p name, or nothing when no enumerator has that name. */
template<typename Enum>
constexpr std::optional<Enum> fromName(std::string_view name)
{
    for (std::size_t index = 0; index < NameTable<Enum>::names.size(); ++index) {
        if (NameTable<Enum>::names[index] == name) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

/** Returns every name of @p Enum joined by ", ", for error messages. */
template<typename Enum>
std::string allNames()
{
    std::string joined;
    for (const auto name : NameTable<Enum>::names) {
        joined += joined.empty() ? "" : ", ";
        joined += name;
    }
    return joined;
}

} // namespace waxwingloft

#endif
