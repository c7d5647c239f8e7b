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
 * Holds the settings that this process uses. Readers use read-copy-update.
 *
 * Ignores deltas that are not newer, so the version never decreases. A version with fatal mistakes is
 * rejected and the last valid one stays in use.
 */
class SettingsPublisher
{
public:
    explicit SettingsPublisher(EventLog &events);

    /** Returns the current settings; the reference is valid until @p section closes. */
    const Settings &read(const ReadSection &section) const;

    /** Returns the current version; zero before the first one. */
    SettingsVersion version() const;

    /** Publishes the settings with @p delta applied if it is newer and valid. Returns whether it was published. */
    bool offer(const SettingsDelta &delta);

    /** Returns the subtrees changed after @p since, to send to peers. */
    SettingsDelta changesSince(SettingsVersion since) const;

    /** Returns a copy of the current tree, to plan a change on. */
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
