#include "waxwingloft/connection/doubtnotifier.h"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace waxwingloft {

namespace {

/** Messages about one call; outlives the wait for them. */
struct OpenMessages {
    std::mutex mutex;
    std::condition_variable wakeUp;
    std::size_t open = 0;
};

} // namespace

DoubtNotifier::DoubtNotifier(NodePort &nodes, Clock &clock, PeerSource peers, DoubtNotifierOptions options)
    : nodes(nodes)
    , clock(clock)
    , peers(std::move(peers))
    , options(options)
    , log(LogPart::Requests)
    , pool("notices of calls in doubt", options.threads, options.maxQueued)
{
}

void DoubtNotifier::notify(const std::string &call)
{
    const auto addresses = this->peers();
    const auto messages = std::make_shared<OpenMessages>();
    messages->open = addresses.size();
    for (const auto &address : addresses) {
        const auto send = [this, messages, address, call] {
            const auto reply = this->nodes.call(address, RelayTableCall{TableCallKind::NoteDoubt, call, 0, {}}, this->options.timeout);
            if (!succeeded(reply)) {
                this->log.info("An entry was not told of a call in doubt.", {{"call", call}, {"entry", address}, {"reason", errorOf(reply).message}});
            }
            {
                const std::lock_guard<std::mutex> guard(messages->mutex);
                --messages->open;
            }
            messages->wakeUp.notify_all();
        };
        if (!this->pool.post(send)) {
            this->log.info("An entry was not told of a call in doubt.", {{"call", call}, {"entry", address}, {"reason", "too many messages wait"}});
            const std::lock_guard<std::mutex> guard(messages->mutex);
            --messages->open;
        }
    }
    std::unique_lock<std::mutex> lock(messages->mutex);
    this->clock.waitFor(lock, messages->wakeUp, this->options.wait, [&messages] { return messages->open == 0; });
}

} // namespace waxwingloft
