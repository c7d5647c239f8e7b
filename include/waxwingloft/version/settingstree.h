#ifndef WAXWINGLOFT_VERSION_SETTINGSTREE_H
#define WAXWINGLOFT_VERSION_SETTINGSTREE_H

#include "waxwingloft/process/error.h"
#include "waxwingloft/process/ids.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace waxwingloft {

/** One team's subtree at one version. A null value says that the team was removed. */
struct TeamSubtree {
    TeamId team;
    SettingsVersion version = 0;
    nlohmann::json value;
    std::string changedBy; ///< operator who made the change
};

/** The subtrees that changed after a version. */
struct SettingsDelta {
    SettingsVersion since = 0;
    SettingsVersion version = 0;
    std::vector<TeamSubtree> teams;
};

/** A settings tree as stored and sent: subtrees of teams, removed ones included, and their versions. */
struct SettingsTree {
    SettingsVersion version = 0;
    std::map<TeamId, TeamSubtree> teams;

    /** Returns the subtrees changed after @p since. */
    SettingsDelta changesSince(SettingsVersion since) const;

    /** Takes @p delta over when it is newer and starts at or before this version; returns whether it did. */
    bool apply(const SettingsDelta &delta);

    /** Returns the value at @p path, such as "/teams/moulds/kinds". */
    Result<nlohmann::json> valueAt(const std::string &path) const;
};

/** What an operator wants done to one subtree. */
enum class SettingsAction {
    Set, ///< put the value at the path
    Remove, ///< remove the path
    Move, ///< give the team at the path the name in the value
};

template<>
struct NameTable<SettingsAction> {
    static constexpr std::array<std::string_view, 3> names = {"set", "remove", "move"};
};

/** One change of settings as an operator asks for it. */
struct SettingsChange {
    SettingsAction action = SettingsAction::Set;
    std::string path; ///< "/teams/NAME" or below
    nlohmann::json value;
    SettingsVersion expectedTeamVersion = 0; ///< version of the team that the operator saw; zero skips the comparison
    std::string changedBy;
};

/** Returns the team that @p path lies in, or an error for any other path. */
Result<TeamId> teamOfPath(const std::string &path);

/**
 * Works out the subtrees that @p change leaves behind, all at the version after that of @p tree.
 *
 * Conflict when the team has moved past the expected version; the message names the other change.
 */
Result<SettingsDelta> planChange(const SettingsTree &tree, const SettingsChange &change);

/** Returns a copy of @p value with every token replaced by "(hidden)". */
nlohmann::json hideTokens(nlohmann::json value);

} // namespace waxwingloft

#endif
