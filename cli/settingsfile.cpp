#include "settingsfile.h"

#include <sstream>
#include <toml++/toml.h>

namespace waxwingloft::cli {

namespace {

toml::table tableOf(const nlohmann::json &object);

toml::array arrayOf(const nlohmann::json &list)
{
    toml::array array;
    for (const auto &item : list) {
        if (item.is_object()) {
            array.push_back(tableOf(item));
        } else if (item.is_string()) {
            array.push_back(item.get<std::string>());
        } else if (item.is_number_integer()) {
            array.push_back(item.get<std::int64_t>());
        }
    }
    return array;
}

toml::table tableOf(const nlohmann::json &object)
{
    toml::table table;
    for (const auto &[key, value] : object.items()) {
        if (value.is_object()) {
            table.insert(key, tableOf(value));
        } else if (value.is_array()) {
            table.insert(key, arrayOf(value));
        } else if (value.is_string()) {
            table.insert(key, value.get<std::string>());
        } else if (value.is_boolean()) {
            table.insert(key, value.get<bool>());
        } else if (value.is_number_integer()) {
            table.insert(key, value.get<std::int64_t>());
        } else if (value.is_number()) {
            table.insert(key, value.get<double>());
        }
    }
    return table;
}

} // namespace

Result<nlohmann::json> parseSettingsFile(const std::string &text, const std::string &file)
{
    try {
        const auto table = toml::parse(text);
        std::ostringstream stream;
        stream << toml::json_formatter(table);
        auto json = nlohmann::json::parse(stream.str());
        if (!json.contains("teams") || !json["teams"].is_object()) {
            return makeError(ErrorKind::InvalidInput, file + " has no [teams.NAME] table", "export a team to see the form");
        }
        return json;
    } catch (const toml::parse_error &error) {
        const auto where = error.source().begin;
        return makeError(ErrorKind::InvalidInput,
                         file + ":" + std::to_string(where.line) + ":" + std::to_string(where.column) + ": " + std::string(error.description()),
                         "correct the file and import it again");
    }
}

std::string toToml(const nlohmann::json &object)
{
    std::ostringstream stream;
    stream << tableOf(object) << "\n";
    return stream.str();
}

} // namespace waxwingloft::cli
