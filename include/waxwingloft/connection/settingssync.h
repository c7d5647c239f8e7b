#ifndef WAXWINGLOFT_CONNECTION_SETTINGSSYNC_H
#define WAXWINGLOFT_CONNECTION_SETTINGSSYNC_H

#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/version/settingspublisher.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace waxwingloft {

/** Times of the spread of settings. */
struct SettingsSyncOptions {
    Millis quiet = Millis(2500); ///< time without a word from any peer after which one is asked
    Millis fetchTimeout = Millis(1000);
};

/**
 * Keeps a process's settings as new as those of the peers it exchanges messages with.
 *
 * The version rides on every message. A process that hears of a newer one fetches what changed
 * from the process it heard it from; one that hears nothing asks a random peer. Thread safe.
 */
class SettingsSync : public HeaderKeeper
{
public:
    SettingsSync(Clock &clock,
                 EventLog &events,
                 SettingsPublisher &settings,
                 NodeId self,
                 std::vector<std::string> peers,
                 SettingsSyncOptions options,
                 std::uint64_t seed);

    /** Sets the address that peers reach this process at; call before messages are exchanged. */
    void setAddress(std::string address);

    /** Sets what to call when there is something to fetch; it must not block. */
    void setWakeUp(std::function<void()> wakeUp);

    Header outgoing() override;
    void incoming(const Header &header) override;

    /** Fetches what is known to be missing, or asks around after a quiet time. Blocks. */
    void run(NodePort &peers);

    /** Whether a settings version, even an empty one, has been learnt from anyone. */
    bool isKnown() const;

    /** Notes that the settings were read from the table. */
    void markKnown();

    /** Answers a peer that fetches. */
    SettingsUpdate answer(const FetchSettings &fetch) const;

private:
    std::string chooseSource();

    Clock &clock;
    EventLog &events;
    SettingsPublisher &settings;
    const NodeId self;
    const std::vector<std::string> peerAddresses;
    const SettingsSyncOptions options;
    std::string address;
    std::function<void()> wakeUp;
    std::atomic<bool> known = false;
    std::mutex mutex;
    std::mt19937_64 random;
    std::string newerAt; ///< address of a peer with a newer version
    Instant heardAt;
};

} // namespace waxwingloft

#endif
