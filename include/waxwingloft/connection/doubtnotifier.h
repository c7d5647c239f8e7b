#ifndef WAXWINGLOFT_CONNECTION_DOUBTNOTIFIER_H
#define WAXWINGLOFT_CONNECTION_DOUBTNOTIFIER_H

#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/threadpool.h"

#include <functional>
#include <string>
#include <vector>

namespace waxwingloft {

/** Bounds of DoubtNotifier. */
struct DoubtNotifierOptions {
    Millis timeout = Millis(300); ///< of a message; far above the way between zones
    Millis wait = Millis(200); ///< for which an answer to a caller is held until the peers know; small beside the time of a call
    std::size_t threads = 4;
    std::size_t maxQueued = 512; ///< messages; the calls in hand at the beginning of an outage times a few peers
};

/**
 * Tells the other entries of a call whose write is in doubt, so that none of them refuses its repetition as not run.
 *
 * Addresses outages of the table in which callers try again at another entry. Thread safe.
 */
class DoubtNotifier
{
public:
    /** Returns the RPC addresses of the other entries. */
    using PeerSource = std::function<std::vector<std::string>()>;

    DoubtNotifier(NodePort &nodes, Clock &clock, PeerSource peers, DoubtNotifierOptions options);

    /** Tells all peers of @p call; returns when they have answered, or after the bound on the wait. */
    void notify(const std::string &call);

private:
    NodePort &nodes;
    Clock &clock;
    const PeerSource peers;
    const DoubtNotifierOptions options;
    const Logger log;
    ThreadPool pool; ///< last, so that its tasks end before what they use
};

} // namespace waxwingloft

#endif
