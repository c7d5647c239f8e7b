#include "waxwingloft/version/settingspublisher.h"

namespace waxwingloft {

SettingsPublisher::SettingsPublisher(EventLog &events)
    : events(events)
    , settings(Settings{})
{
}

const Settings &SettingsPublisher::read(const ReadSection &section) const
{
    return this->settings.read(section);
}

SettingsVersion SettingsPublisher::version() const
{
    return this->publishedVersion.load(std::memory_order_acquire);
}

bool SettingsPublisher::offer(const SettingsDelta &delta)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto next = this->current;
    if (!next.apply(delta)) {
        return false;
    }
    auto parsed = parseSettings(next);
    if (!parsed.isUsable()) {
        this->events.record(EventKind::Degraded,
                            "settings",
                            {},
                            "version " + std::to_string(delta.version) + " is invalid and was rejected; the previous version stays in use");
        return false;
    }
    this->current = std::move(next);
    this->settings.update([&parsed](Settings &settings) { settings = std::move(parsed.settings); });
    this->publishedVersion.store(this->current.version, std::memory_order_release);
    this->events.record(EventKind::SettingsInForce, "settings", {}, "version " + std::to_string(this->current.version));
    return true;
}

SettingsDelta SettingsPublisher::changesSince(SettingsVersion since) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->current.changesSince(since);
}

SettingsTree SettingsPublisher::tree() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->current;
}

} // namespace waxwingloft
