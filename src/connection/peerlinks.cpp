#include "peerlinks.h"

#include "messagecodec.h"

#include <vector>

namespace waxwingloft {

namespace {

constexpr double BytesPerWord = 8.0;

kj::Duration durationOf(Millis millis)
{
    return millis.count() * kj::MILLISECONDS;
}

CallResult failure(ErrorKind kind, const std::string &address, kj::StringPtr reason)
{
    const std::string what = kind == ErrorKind::Unreachable ? "no connection to " : "no answer from ";
    return std::make_shared<Result<Message>>(makeError(kind, what + address + ": " + reason.cStr()));
}

} // namespace

PeerLinks::PeerLinks(kj::AsyncIoContext &io, HeaderKeeper &headers, Metrics &metrics, const RpcOptions &options)
    : io(io)
    , timer(io.provider->getTimer())
    , headers(headers)
    , metrics(metrics)
    , options(options)
    , tasks(*this)
{
    this->tasks.add(this->watch());
}

kj::Promise<CallResult> PeerLinks::call(const std::string &address, Message message, Millis timeout)
{
    this->metrics.add(Count::RpcCalls);
    const auto isSent = std::make_shared<bool>(false);
    const auto current = std::make_shared<LinkPointer>();
    auto answered = this->open(address).then([this, message = std::move(message), isSent, current](const LinkPointer &link) {
        *isSent = true;
        *current = link;
        return this->send(link, message);
    });
    const auto startedAt = this->timer.now();
    return this->timer.timeoutAfter(durationOf(timeout), kj::mv(answered))
        .then([](const MessagePointer &reply) { return std::make_shared<Result<Message>>(std::move(*reply)); },
              [this, address, isSent, current, startedAt](kj::Exception &&exception) {
                  this->metrics.add(Count::RpcFailures);
                  if (!*isSent) {
                      return failure(ErrorKind::Unreachable, address, exception.getDescription());
                  }
                  if (exception.getType() == kj::Exception::Type::DISCONNECTED || (*current)->heardAt < startedAt) {
                      this->drop(address, *current, "the connection is silent or broken");
                  }
                  return failure(ErrorKind::Ambiguous, address, exception.getDescription());
              });
}

kj::Promise<PeerLinks::LinkPointer> PeerLinks::open(const std::string &address)
{
    const auto found = this->links.find(address);
    if (found != this->links.end()) {
        return found->second;
    }
    return this->timer.timeoutAfter(durationOf(this->options.connectTimeout), this->connect(address));
}

kj::Promise<PeerLinks::LinkPointer> PeerLinks::connect(const std::string &address)
{
    return this->io.provider->getNetwork()
        .parseAddress(kj::StringPtr(address.c_str(), address.size()))
        .then([](kj::Own<kj::NetworkAddress> &&parsed) {
            auto connecting = parsed->connect();
            return connecting.attach(kj::mv(parsed));
        })
        .then([this, address](kj::Own<kj::AsyncIoStream> &&stream) -> LinkPointer {
            const auto known = this->links.find(address);
            if (known != this->links.end()) {
                return known->second;
            }
            const auto link = std::make_shared<Link>();
            link->stream = kj::mv(stream);
            link->rpc = kj::heap<capnp::TwoPartyClient>(*link->stream);
            link->node = link->rpc->bootstrap().castAs<wire::Node>();
            link->heardAt = this->timer.now();
            link->usedAt = this->timer.now();
            this->links.emplace(address, link);
            return link;
        });
}

kj::Promise<MessagePointer> PeerLinks::send(const LinkPointer &link, const Message &message)
{
    auto request = KJ_ASSERT_NONNULL(link->node).exchangeRequest();
    encodeHeader(this->headers.outgoing(), request.initHeader());
    encodeMessage(message, request.initMessage());
    this->metrics.add(Count::RpcSentBytes, static_cast<double>(request.totalSize().wordCount) * BytesPerWord);
    ++link->inFlight;
    link->usedAt = this->timer.now();
    auto answered = request.send().then([this, link](capnp::Response<wire::Node::ExchangeResults> &&response) {
        link->heardAt = this->timer.now();
        this->metrics.add(Count::RpcReceivedBytes, static_cast<double>(response.totalSize().wordCount) * BytesPerWord);
        this->headers.incoming(decodeHeader(response.getHeader()));
        return std::make_shared<Message>(decodeMessage(response.getMessage()));
    });
    return link->canceler.wrap(kj::mv(answered)).attach(kj::defer([link] { --link->inFlight; }));
}

kj::Promise<void> PeerLinks::watch()
{
    return this->timer.afterDelay(durationOf(this->options.pingInterval)).then([this] {
        this->sweep();
        return this->watch();
    });
}

void PeerLinks::sweep()
{
    const auto now = this->timer.now();
    std::vector<std::pair<std::string, LinkPointer>> current(this->links.begin(), this->links.end());
    for (const auto &[address, link] : current) {
        if (link->inFlight == 0 && now - link->usedAt >= durationOf(this->options.idleClose)) {
            this->drop(address, link, "idle");
        } else if (link->inFlight > 0 && now - link->heardAt >= durationOf(this->options.pingInterval)) {
            this->ping(address, link);
        }
    }
}

void PeerLinks::ping(const std::string &address, const LinkPointer &link)
{
    if (link->isPinging) {
        return;
    }
    link->isPinging = true;
    auto pong = this->timer.timeoutAfter(durationOf(this->options.pingTimeout), this->send(link, Ping{}));
    this->tasks.add(pong.then([link](const MessagePointer &) { link->isPinging = false; },
                              [this, address, link](kj::Exception &&) { this->drop(address, link, "no pong in time"); }));
}

void PeerLinks::drop(const std::string &address, const LinkPointer &link, kj::StringPtr reason)
{
    const auto found = this->links.find(address);
    if (found != this->links.end() && found->second == link) {
        this->links.erase(found);
    }
    link->canceler.cancel(reason);
}

void PeerLinks::taskFailed(kj::Exception && /*exception*/)
{
    this->metrics.add(Count::RpcFailures);
}

} // namespace waxwingloft
