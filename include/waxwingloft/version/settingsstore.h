#ifndef WAXWINGLOFT_VERSION_SETTINGSSTORE_H
#define WAXWINGLOFT_VERSION_SETTINGSSTORE_H

#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/tablestore.h"
#include "waxwingloft/version/settingstree.h"

#include <functional>
#include <mutex>

namespace waxwingloft {

/** Says why a tree must not be accepted, beyond what parsing finds; Done when it may be. */
using SettingsCheck = std::function<Status(const SettingsTree &)>;

/**
 * The settings as the platform's table keeps them: one row for the version, one for each team.
 *
 * A change is one transaction, conditional on the rows it was planned on. Changes of other teams in
 * between are taken over and the change is planned again. Thread safe.
 */
class SettingsStore
{
public:
    SettingsStore(TableStore &table, IdSource &ids);

    /** Reads what changed since the last load; the whole tree at first. */
    Result<SettingsDelta> load();

    /** Returns what the last loaded tree has changed after @p since. */
    SettingsDelta deltaSince(SettingsVersion since);

    /** Checks and commits @p change. Returns the delta that is now accepted. */
    Result<SettingsDelta> commit(const SettingsChange &change, const SettingsCheck &check);

private:
    Result<SettingsDelta> loadLocked();
    Result<SettingsDelta> writeLocked(const SettingsDelta &delta);

    TableStore &table;
    IdSource &ids;
    std::mutex mutex;
    SettingsTree tree;
    std::uint64_t loadedRevision = 0;
    std::uint64_t headRevision = 0;
    std::map<TeamId, std::uint64_t> rowRevisions;
};

} // namespace waxwingloft

#endif
