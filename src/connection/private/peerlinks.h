#ifndef WAXWINGLOFT_CONNECTION_PRIVATE_PEERLINKS_H
#define WAXWINGLOFT_CONNECTION_PRIVATE_PEERLINKS_H

#include "node.capnp.h"
#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/connection/rpcnode.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <map>
#include <memory>
#include <string>

namespace waxwingloft {

/** The result of a call, shared so that it can cross threads. */
using CallResult = std::shared_ptr<Result<Message>>;

/** An answer, shared because a promise must hold it without a value at first. */
using MessagePointer = std::shared_ptr<Message>;

/** The outgoing connections of a process, one for each peer. Lives on the event loop's thread. */
class PeerLinks : private kj::TaskSet::ErrorHandler
{
public:
    PeerLinks(kj::AsyncIoContext &io, HeaderKeeper &headers, Metrics &metrics, const RpcOptions &options);

    /** Calls a peer; the promise never fails. */
    kj::Promise<CallResult> call(const std::string &address, Message message, Millis timeout);

private:
    struct Link {
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<capnp::TwoPartyClient> rpc;
        kj::Maybe<wire::Node::Client> node;
        kj::Canceler canceler;
        kj::TimePoint heardAt = kj::origin<kj::TimePoint>();
        kj::TimePoint usedAt = kj::origin<kj::TimePoint>();
        int inFlight = 0;
        bool isPinging = false;
    };
    using LinkPointer = std::shared_ptr<Link>;

    kj::Promise<LinkPointer> open(const std::string &address);
    kj::Promise<LinkPointer> connect(const std::string &address);
    kj::Promise<MessagePointer> send(const LinkPointer &link, const Message &message);
    kj::Promise<void> watch();
    void sweep();
    void ping(const std::string &address, const LinkPointer &link);
    void drop(const std::string &address, const LinkPointer &link, kj::StringPtr reason);
    void taskFailed(kj::Exception &&exception) override;

    kj::AsyncIoContext &io;
    kj::Timer &timer;
    HeaderKeeper &headers;
    Metrics &metrics;
    const RpcOptions options;
    std::map<std::string, LinkPointer> links;
    kj::TaskSet tasks;
};

} // namespace waxwingloft

#endif
