#ifndef WAXWINGLOFT_VERSION_FIELDREADER_H
#define WAXWINGLOFT_VERSION_FIELDREADER_H

#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/nearestname.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

/** Whether a mistake in settings prevents their use. */
enum class DiagnosticSeverity {
    Warning, ///< the value is stored but has no effect, such as a key of a newer version
    Fatal, ///< the settings cannot be used
};

template<>
struct NameTable<DiagnosticSeverity> {
    static constexpr std::array<std::string_view, 2> names = {"warning", "error"};
};

/** One mistake found while parsing JSON, and where it is. */
struct Mistake {
    DiagnosticSeverity severity = DiagnosticSeverity::Fatal;
    std::string path; ///< JSON pointer, such as "/teams/moulds/kinds/simulation/urgency"
    std::string message;

    /** Returns "error: PATH: MESSAGE". */
    std::string text() const;
};

/**
 * Reads typed fields from a JSON object and collects all mistakes instead of stopping at the first.
 *
 * A missing or invalid field yields the fallback. finish() reports every field that was not read as unknown.
 */
class FieldReader
{
public:
    FieldReader(const nlohmann::json &object, std::string path, std::vector<Mistake> &mistakes);

    std::string text(const std::string &key, const std::string &fallback);
    bool flag(const std::string &key, bool fallback);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t lowest, std::int64_t highest);
    double number(const std::string &key, double fallback, double lowest, double highest);
    std::vector<std::string> stringList(const std::string &key);

    /** Returns the value of @p key whatever its type, or null when it is missing. */
    const nlohmann::json *child(const std::string &key);

    template<typename Enum>
    Enum name(const std::string &key, Enum fallback)
    {
        const auto word = this->text(key, std::string(nameOf(fallback)));
        const auto value = fromName<Enum>(word);
        if (!value) {
            this->fail(key, "\"" + word + "\" is not one of " + allNames<Enum>());
        }
        return value.value_or(fallback);
    }

    /** Adds a fatal mistake at @p key. */
    void fail(const std::string &key, std::string message);

    /** Adds a warning for every field that was not read. */
    void finish();

private:
    const nlohmann::json *find(const std::string &key);

    const nlohmann::json &object;
    const std::string path;
    std::vector<Mistake> &mistakes;
    std::vector<std::string> readKeys;
};

} // namespace waxwingloft

#endif
