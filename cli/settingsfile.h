#ifndef WAXWINGLOFT_CLI_SETTINGSFILE_H
#define WAXWINGLOFT_CLI_SETTINGSFILE_H

#include "waxwingloft/process/error.h"

#include <nlohmann/json.hpp>
#include <string>

namespace waxwingloft::cli {

/** Parses the text of a TOML file with [teams.NAME] tables. Errors name line and column. */
Result<nlohmann::json> parseSettingsFile(const std::string &text, const std::string &file);

/** Returns a JSON object as TOML text. */
std::string toToml(const nlohmann::json &object);

} // namespace waxwingloft::cli

#endif
