#include "waxwingloft/connection/settingssync.h"

namespace waxwingloft {

SettingsSync::SettingsSync(
    Clock &clock, EventLog &events, SettingsPublisher &settings, NodeId self, std::vector<std::string> peers, SettingsSyncOptions options, std::uint64_t seed)
    : clock(clock)
    , events(events)
    , settings(settings)
    , self(std::move(self))
    , peerAddresses(std::move(peers))
    , options(options)
    , random(seed)
{
}

void SettingsSync::setAddress(std::string address)
{
    this->address = std::move(address);
}

void SettingsSync::setWakeUp(std::function<void()> wakeUp)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->wakeUp = std::move(wakeUp);
}

Header SettingsSync::outgoing()
{
    return {this->self, this->address, this->events.tick(), this->settings.version()};
}

void SettingsSync::incoming(const Header &header)
{
    this->events.observe(header.time);
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->heardAt = this->clock.now();
    if (header.settingsVersion > this->settings.version() && !header.address.empty()) {
        this->newerAt = header.address;
        if (this->wakeUp) {
            this->wakeUp();
        }
    }
}

void SettingsSync::run(NodePort &peers)
{
    const auto source = this->chooseSource();
    if (source.empty()) {
        return;
    }
    const auto update = expectReply<SettingsUpdate>(peers.call(source, FetchSettings{this->settings.version()}, this->options.fetchTimeout));
    if (!succeeded(update)) {
        return;
    }
    this->settings.offer(valueOf(update).delta);
    if (this->settings.version() > 0) {
        this->markKnown();
    }
}

bool SettingsSync::isKnown() const
{
    return this->known.load(std::memory_order_acquire);
}

void SettingsSync::markKnown()
{
    this->known.store(true, std::memory_order_release);
}

SettingsUpdate SettingsSync::answer(const FetchSettings &fetch) const
{
    return {this->settings.changesSince(fetch.since)};
}

/** Returns the peer to fetch from: one known to be ahead, a random one after a quiet time or before the first version, or none. */
std::string SettingsSync::chooseSource()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto source = std::move(this->newerAt);
    this->newerAt.clear();
    const bool isQuiet = !this->isKnown() || this->clock.now() - this->heardAt >= this->options.quiet;
    if (source.empty() && isQuiet && !this->peerAddresses.empty()) {
        source = this->peerAddresses[this->random() % this->peerAddresses.size()];
    }
    return source;
}

} // namespace waxwingloft
