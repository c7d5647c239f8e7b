#include "nodeserver.h"

#include "messagecodec.h"
#include "waxwingloft/process/guard.h"

#include <kj/async.h>

namespace waxwingloft {

namespace {

bool waitsForWork(const Message &message)
{
    return std::holds_alternative<Dispatch>(message) || std::holds_alternative<QueryAttempt>(message) || std::holds_alternative<StopGang>(message)
        || std::holds_alternative<RelayTableCall>(message);
}

} // namespace

MessageDispatcher::MessageDispatcher(HeaderKeeper &headers, const RpcOptions &options)
    : headers(headers)
    , requests("messages that wait for work", options.requestThreads, options.maxQueuedMessages)
    , control("messages", options.controlThreads, options.maxQueuedMessages)
{
}

void MessageDispatcher::setHandler(MessageHandler *handler)
{
    this->handler.store(handler, std::memory_order_release);
}

void MessageDispatcher::dispatch(const Header &header, Message message, const std::function<void(Message)> &answer)
{
    this->headers.incoming(header);
    auto *const current = this->handler.load(std::memory_order_acquire);
    if (std::holds_alternative<Ping>(message)) {
        answer(Ack{});
        return;
    }
    if (current == nullptr) {
        answer(replyWith(makeError(ErrorKind::Draining, "this process is not serving")));
        return;
    }
    auto &pool = waitsForWork(message) ? this->requests : this->control;
    const bool isPosted = pool.post([current, header, message = std::move(message), answer] {
        Message reply =
            replyWith(makeError(ErrorKind::Internal, "an unexpected error ended the handling of this message", "look for it in this process's log"));
        runGuarded("a message of " + header.from.value, [&] { reply = current->handle(header, message); });
        answer(std::move(reply));
    });
    if (!isPosted) {
        answer(replyWith(makeError(ErrorKind::LimitExceeded, "this process has too many messages waiting")));
    }
}

HeaderKeeper &MessageDispatcher::headerKeeper()
{
    return this->headers;
}

void MessageDispatcher::close()
{
    this->requests.close();
    this->control.close();
}

NodeServer::NodeServer(MessageDispatcher &dispatcher)
    : dispatcher(dispatcher)
{
}

kj::Promise<void> NodeServer::exchange(ExchangeContext context)
{
    const auto params = context.getParams();
    const auto header = decodeHeader(params.getHeader());
    auto message = decodeMessage(params.getMessage());
    context.releaseParams();

    using Reply = std::shared_ptr<Message>;
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Reply>();
    const auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Reply>>>(kj::mv(pair.fulfiller));
    this->dispatcher.dispatch(header, std::move(message), [fulfiller](Message reply) { (*fulfiller)->fulfill(std::make_shared<Message>(std::move(reply))); });
    return pair.promise.then([this, context](const Reply &reply) mutable {
        auto results = context.getResults();
        encodeHeader(this->dispatcher.headerKeeper().outgoing(), results.initHeader());
        encodeMessage(*reply, results.initMessage());
    });
}

} // namespace waxwingloft
