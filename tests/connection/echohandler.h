#ifndef WAXWINGLOFT_TESTS_CONNECTION_ECHOHANDLER_H
#define WAXWINGLOFT_TESTS_CONNECTION_ECHOHANDLER_H

#include "waxwingloft/connection/rpcnode.h"

namespace waxwingloft::tests {

/** Answers every message with itself. */
class EchoHandler : public MessageHandler
{
public:
    Message handle(const Header & /*header*/, const Message &message) override
    {
        return message;
    }
};

} // namespace waxwingloft::tests

#endif
