#ifndef WAXWINGLOFT_VERSION_SETTINGSPARSER_H
#define WAXWINGLOFT_VERSION_SETTINGSPARSER_H

#include "waxwingloft/version/fieldreader.h"
#include "waxwingloft/version/settings.h"
#include "waxwingloft/version/settingstree.h"

#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace waxwingloft {

/** What parsing a tree gives: the settings, and every mistake found. */
struct ParsedSettings {
    Settings settings;
    std::vector<Mistake> mistakes;

    /** Whether any mistake forbids the settings to be used. */
    bool isUsable() const;
};

/** Parses @p tree. Never throws; unknown keys are warnings. */
ParsedSettings parseSettings(const SettingsTree &tree);

/** Parses a shape from a JSON object and reports mistakes under @p path. */
Shape parseShape(const nlohmann::json &object, const std::string &path, std::vector<Mistake> &mistakes);

/** Reads the fields of a shape from @p fields, which may hold other fields too. */
Shape readShape(FieldReader &fields);

} // namespace waxwingloft

#endif
