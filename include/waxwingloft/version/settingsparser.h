#ifndef WAXWINGLOFT_VERSION_SETTINGSPARSER_H
#define WAXWINGLOFT_VERSION_SETTINGSPARSER_H

#include "waxwingloft/version/fieldreader.h"
#include "waxwingloft/version/settings.h"
#include "waxwingloft/version/settingstree.h"

#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace waxwingloft {

/** The result of parsing a settings tree. */
struct ParsedSettings {
    Settings settings;
    std::vector<Mistake> mistakes;

    /** Returns true when no mistake is fatal. */
    bool isUsable() const;
};

/** Parses and validates @p tree. Does not throw; unknown keys give warnings. */
ParsedSettings parseSettings(const SettingsTree &tree);

/** Parses a shape from a JSON object and reports mistakes under @p path. */
Shape parseShape(const nlohmann::json &object, const std::string &path, std::vector<Mistake> &mistakes);

/** Reads the fields of a shape from an object that may have other fields as well. */
Shape readShape(FieldReader &fields);

} // namespace waxwingloft

#endif
