#ifndef WAXWINGLOFT_VERSION_SETTINGSPUBLISHER_H
#define WAXWINGLOFT_VERSION_SETTINGSPUBLISHER_H

#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/published.h"
#include "waxwingloft/version/settings.h"
#include "waxwingloft/version/settingsparser.h"

#include <atomic>
#include <mutex>

namespace waxwingloft {

/**
 * The settings version in force in this process.
 *
 * Versions only grow: whatever is not newer is ignored. A tree that does not parse is refused and
 * the last good version stays in force. Readers use read-copy-update.
 */
class SettingsPublisher
{
public:
    explicit SettingsPublisher(EventLog &events);

    /** Returns the settings in force; valid until @p section closes. */
    const Settings &read(const ReadSection &section) const;

    /** Returns the version in force; zero before the first one. */
    SettingsVersion version() const;

    /** Takes @p delta into force when it is newer. Returns whether the version grew. */
    bool offer(const SettingsDelta &delta);

    /** Returns what changed after @p since, to pass on. */
    SettingsDelta changesSince(SettingsVersion since) const;

    /** Returns a copy of the tree in force, for planning a change. */
    SettingsTree tree() const;

private:
    EventLog &events;
    Published<Settings> settings;
    std::atomic<SettingsVersion> publishedVersion = 0;
    mutable std::mutex mutex;
    SettingsTree current;
};

} // namespace waxwingloft

#endif
