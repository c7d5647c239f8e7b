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

/** How much a mistake in settings matters. */
enum class DiagnosticSeverity {
    Warning, ///< kept and ignored, such as a key of a newer version
    Fatal,
};

template<>
struct NameTable<DiagnosticSeverity> {
    static constexpr std::array<std::string_view, 2> names = {"warning", "error"};
};

/** One mistake in a tree of settings. */
struct Mistake {
    DiagnosticSeverity severity = DiagnosticSeverity::Fatal;
    std::string path; ///< such as "/teams/moulds/kinds/simulation/urgency"
    std::string message;

    /** Returns "error: PATH: MESSAGE". */
    std::string text() const;
};

/**
 * Reads the fields of one JSON object and collects every mistake instead of stopping at the first.
 *
 * Fields that were never read count as unknown when finish() is called.
 */
class FieldReader
{
public:
    FieldReader(const nlohmann::json &object, std::string path, std::vector<Mistake> &mistakes);

    std::string text(const std::string &key, const std::string &fallback);
    bool flag(const std::string &key, bool fallback);
    std::int64_t whole(const std::string &key, std::int64_t fallback, std::int64_t lowest, std::int64_t highest);
    double number(const std::string &key, double fallback, double lowest, double highest);
    std::vector<std::string> texts(const std::string &key);

    /** Returns the child of any type, or null. */
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

    void fail(const std::string &key, std::string message);

    /** Reports fields that nothing has read. */
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
