#ifndef WAXWINGLOFT_CONNECTION_RPCNODE_H
#define WAXWINGLOFT_CONNECTION_RPCNODE_H

#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/process/metrics.h"

#include <memory>
#include <string>

namespace waxwingloft {

/** Bounds and times of the connections between processes. */
struct RpcOptions {
    std::size_t requestThreads = 32; ///< threads for messages that wait for work, such as dispatches
    std::size_t controlThreads = 4; ///< threads for all other messages
    std::size_t maxQueuedMessages = 1024; ///< messages that may wait for a thread, each kind of thread
    Millis pingInterval = Millis(2000); ///< quiet time after which a connection with calls in flight is pinged
    Millis pingTimeout = Millis(1500); ///< time without a pong after which a connection is closed
    Millis connectTimeout = Millis(1000);
    Millis idleClose = Millis(60000); ///< quiet time after which a connection is closed
};

/**
 * The Cap'n Proto side of a process: one event loop that serves peers and calls them.
 *
 * Messages of peers run on pool threads, so a handler may block. Connections that have gone silent
 * are found by application pings and opened anew; calls in flight on them end as Ambiguous.
 */
class RpcNode : public NodePort
{
public:
    /**
     * Listens on @p address, an IP address and port; port 0 takes a free one.
     *
     * Throws std::runtime_error when the address cannot be used.
     */
    RpcNode(const std::string &address, HeaderKeeper &headers, Metrics &metrics, RpcOptions options);
    ~RpcNode() override;
    RpcNode(const RpcNode &) = delete;
    RpcNode &operator=(const RpcNode &) = delete;

    /** Starts to answer peers. Until then they are told to retry. */
    void serve(MessageHandler &handler);

    /** Stops answering: waits until handlers in hand have returned. */
    void close();

    /** Returns the port that it listens on. */
    unsigned port() const;

    Result<Message> call(const std::string &address, const Message &message, Millis timeout) override;

private:
    struct Loop;
    std::unique_ptr<Loop> loop;
};

} // namespace waxwingloft

#endif
