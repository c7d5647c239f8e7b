#ifndef WAXWINGLOFT_VERSION_SETTINGSSTORE_H
#define WAXWINGLOFT_VERSION_SETTINGSSTORE_H

#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/tablestore.h"
#include "waxwingloft/version/settingstree.h"

#include <functional>
#include <mutex>

namespace waxwingloft {

/** Validates a tree beyond what the parser checks; returns an error when it must be rejected. */
using SettingsCheck = std::function<Status(const SettingsTree &)>;

/**
 * Loads and commits settings in the platform's table: one row for the version and one for each team.
 *
 * A change is committed in one transaction, conditional on the revisions of the rows it was planned on. When
 * another change was committed first, it is loaded and the change is planned again. Thread safe.
 */
class SettingsStore
{
public:
    SettingsStore(TableStore &table, IdSource &ids);

    /** Loads the rows changed since the last load. The first call loads the whole tree. */
    Result<SettingsDelta> load();

    /** Returns the subtrees of the last loaded tree that changed after @p since. */
    SettingsDelta deltaSince(SettingsVersion since);

    /** Validates and commits @p change. Returns the committed delta, or Conflict when other changes kept winning. */
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
