#include "waxwingloft/connection/rpcnode.h"

#include "nodeserver.h"
#include "peerlinks.h"

#include <future>
#include <stdexcept>
#include <thread>

namespace waxwingloft {

/** The event loop's thread and what it shares with other threads. */
struct RpcNode::Loop {
    Loop(std::string address, HeaderKeeper &headers, Metrics &metrics, RpcOptions options)
        : address(std::move(address))
        , headers(headers)
        , metrics(metrics)
        , options(options)
        , dispatcher(headers, options)
    {
        auto started = this->opened.get_future();
        this->thread = std::thread([this] { this->run(); });
        try {
            this->port = started.get();
        } catch (...) {
            this->thread.join();
            throw;
        }
    }

    ~Loop()
    {
        this->dispatcher.close();
        this->executor->executeSync([this] { this->stop->fulfill(); });
        this->thread.join();
    }

    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    void run()
    {
        bool isOpen = false;
        try {
            auto io = kj::setupAsyncIo();
            auto parsed = io.provider->getNetwork().parseAddress(this->address.c_str()).wait(io.waitScope);
            auto listener = parsed->listen();
            PeerLinks peers(io, this->headers, this->metrics, this->options);
            capnp::TwoPartyServer server(kj::heap<NodeServer>(this->dispatcher));
            auto listening = server.listen(*listener).eagerlyEvaluate([](kj::Exception &&) {});
            auto stopping = kj::newPromiseAndFulfiller<void>();
            this->links = &peers;
            this->stop = kj::mv(stopping.fulfiller);
            this->executor = kj::getCurrentThreadExecutor().addRef();
            isOpen = true;
            this->opened.set_value(listener->getPort());
            stopping.promise.wait(io.waitScope);
        } catch (const kj::Exception &exception) {
            if (!isOpen) {
                this->opened.set_exception(
                    std::make_exception_ptr(std::runtime_error("cannot listen on " + this->address + ": " + exception.getDescription().cStr())));
            }
        }
    }

    const std::string address;
    HeaderKeeper &headers;
    Metrics &metrics;
    const RpcOptions options;
    MessageDispatcher dispatcher;
    std::promise<unsigned> opened;
    unsigned port = 0;
    PeerLinks *links = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> stop;
    kj::Own<const kj::Executor> executor;
    std::thread thread;
};

RpcNode::RpcNode(const std::string &address, HeaderKeeper &headers, Metrics &metrics, RpcOptions options)
    : loop(std::make_unique<Loop>(address, headers, metrics, options))
{
}

RpcNode::~RpcNode() = default;

void RpcNode::serve(MessageHandler &handler)
{
    this->loop->dispatcher.setHandler(&handler);
}

void RpcNode::close()
{
    this->loop->dispatcher.setHandler(nullptr);
    this->loop->dispatcher.close();
}

unsigned RpcNode::port() const
{
    return this->loop->port;
}

Result<Message> RpcNode::call(const std::string &address, const Message &message, Millis timeout)
{
    try {
        const auto result = this->loop->executor->executeSync([&] { return this->loop->links->call(address, message, timeout); });
        return std::move(*result);
    } catch (const kj::Exception &exception) {
        return makeError(ErrorKind::Ambiguous, std::string("the event loop has stopped: ") + exception.getDescription().cStr());
    }
}

} // namespace waxwingloft
