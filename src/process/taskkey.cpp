#include "waxwingloft/process/taskkey.h"

#include <array>
#include <charconv>

namespace waxwingloft {

std::string toString(const TaskKey &key)
{
    return key.job.value + "." + std::to_string(key.occurrence) + "." + std::to_string(key.step) + "." + std::to_string(key.index);
}

std::optional<TaskKey> parseTaskKey(const std::string &text)
{
    const auto dot = text.find('.');
    if (dot == std::string::npos || dot == 0) {
        return std::nullopt;
    }
    std::array<std::uint32_t, 3> numbers{};
    const char *at = text.data() + dot;
    const char *const end = text.data() + text.size();
    for (auto &number : numbers) {
        if (at == end || *at != '.') {
            return std::nullopt;
        }
        const auto parsed = std::from_chars(at + 1, end, number);
        if (parsed.ec != std::errc()) {
            return std::nullopt;
        }
        at = parsed.ptr;
    }
    if (at != end) {
        return std::nullopt;
    }
    return TaskKey{JobId{text.substr(0, dot)}, numbers[0], numbers[1], numbers[2]};
}

} // namespace waxwingloft
