#ifndef WAXWINGLOFT_VERSION_SETTINGSTREE_H
#define WAXWINGLOFT_VERSION_SETTINGSTREE_H

#include "waxwingloft/process/error.h"
#include "waxwingloft/process/ids.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace waxwingloft {

/** One team's subtree at one version. A null value marks a removed team (tombstone). */
struct TeamSubtree {
    TeamId team;
    SettingsVersion version = 0;
    nlohmann::json value;
    std::string changedBy; ///< operator who made the change
};

/** The subtrees changed after version @c since, up to @c version. */
struct SettingsDelta {
    SettingsVersion since = 0;
    SettingsVersion version = 0;
    std::vector<TeamSubtree> teams;
};

/** The unparsed settings as stored and sent: the subtrees of all teams with their versions, tombstones included. */
struct SettingsTree {
    SettingsVersion version = 0;
    std::map<TeamId, TeamSubtree> teams;

    /** Returns the subtrees changed after @p since. */
    SettingsDelta changesSince(SettingsVersion since) const;

    /** Applies @p delta when it is newer and leaves no gap after this version. Returns whether it was applied. */
    bool apply(const SettingsDelta &delta);

    /** Returns the value at @p path, such as "/teams/moulds/kinds". */
    Result<nlohmann::json> valueAt(const std::string &path) const;
};

/** What a change does at its path. */
enum class SettingsAction {
    Set, ///< set the value at the path
    Remove, ///< remove the value at the path
    Move, ///< rename the team at the path; the value is its new name
};

template<>
struct NameTable<SettingsAction> {
    static constexpr std::array<std::string_view, 3> names = {"set", "remove", "move"};
};

/** A change of settings requested by an operator. */
struct SettingsChange {
    SettingsAction action = SettingsAction::Set;
    std::string path; ///< "/teams/NAME" or below
    nlohmann::json value;
    SettingsVersion expectedTeamVersion = 0; ///< team version that the change is based on; zero skips the conflict check
    std::string changedBy;
};

/** Returns the team that @p path belongs to, or an error when it is not inside a team. */
Result<TeamId> teamOfPath(const std::string &path);

/**
 * Computes the subtrees that @p change modifies, at the version that follows that of @p tree.
 *
 * Returns Conflict when the team is not at the expected version; the message names the change that came first.
 */
Result<SettingsDelta> planChange(const SettingsTree &tree, const SettingsChange &change);

/** Returns a copy of @p value with every token replaced by "(hidden)". */
nlohmann::json hideTokens(nlohmann::json value);

} // namespace waxwingloft

#endif
