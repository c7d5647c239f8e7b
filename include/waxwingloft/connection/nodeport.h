#ifndef WAXWINGLOFT_CONNECTION_NODEPORT_H
#define WAXWINGLOFT_CONNECTION_NODEPORT_H

#include "waxwingloft/connection/messages.h"

#include <string>

namespace waxwingloft {

/** Sends messages to other processes and waits for their answers. Fakes stand in for it in tests. */
class NodePort
{
public:
    virtual ~NodePort() = default;

    /**
     * Sends @p message to the process at @p address and returns its answer.
     *
     * Unreachable when the message was surely not delivered; Ambiguous when it may have been and
     * no answer came within @p timeout.
     */
    virtual Result<Message> call(const std::string &address, const Message &message, Millis timeout) = 0;
};

/** Answers messages of other processes. Called on pool threads; may block. */
class MessageHandler
{
public:
    virtual ~MessageHandler() = default;

    virtual Message handle(const Header &header, const Message &message) = 0;
};

/** Fills the header of outgoing messages and looks at that of incoming ones. */
class HeaderKeeper
{
public:
    virtual ~HeaderKeeper() = default;

    virtual Header outgoing() = 0;
    virtual void incoming(const Header &header) = 0;
};

} // namespace waxwingloft

#endif
