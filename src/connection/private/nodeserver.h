#ifndef WAXWINGLOFT_CONNECTION_PRIVATE_NODESERVER_H
#define WAXWINGLOFT_CONNECTION_PRIVATE_NODESERVER_H

#include "node.capnp.h"
#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/connection/rpcnode.h"
#include "waxwingloft/process/threadpool.h"

#include <atomic>

namespace waxwingloft {

/** Runs handlers on pool threads: one pool for messages that wait for work, one for all others. */
class MessageDispatcher
{
public:
    MessageDispatcher(HeaderKeeper &headers, const RpcOptions &options);

    void setHandler(MessageHandler *handler);

    /** Calls @p answer once with the reply, on a pool thread or at once. */
    void dispatch(const Header &header, Message message, const std::function<void(Message)> &answer);

    HeaderKeeper &headerKeeper();

    /** Returns when every handler in hand has returned. */
    void close();

private:
    HeaderKeeper &headers;
    std::atomic<MessageHandler *> handler = nullptr;
    ThreadPool requests;
    ThreadPool control;
};

/** The capability that peers call. Lives on the event loop's thread. */
class NodeServer final : public wire::Node::Server
{
public:
    explicit NodeServer(MessageDispatcher &dispatcher);

protected:
    kj::Promise<void> exchange(ExchangeContext context) override;

private:
    MessageDispatcher &dispatcher;
};

} // namespace waxwingloft

#endif
