#include "waxwingloft/connection/messages.h"

namespace waxwingloft {

Message replyWith(Error error)
{
    return ErrorReply{std::move(error)};
}

} // namespace waxwingloft
