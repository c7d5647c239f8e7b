#ifndef WAXWINGLOFT_CONNECTION_PRIVATE_MESSAGECODEC_H
#define WAXWINGLOFT_CONNECTION_PRIVATE_MESSAGECODEC_H

#include "node.capnp.h"
#include "waxwingloft/connection/messages.h"

namespace waxwingloft {

/** Writes @p header in its Cap'n Proto form. */
void encodeHeader(const Header &header, wire::Header::Builder builder);

Header decodeHeader(wire::Header::Reader reader);

/** Writes @p message in its Cap'n Proto form. */
void encodeMessage(const Message &message, wire::Message::Builder builder);

/** Reads a message. One of a newer version that this one does not know becomes an error reply. */
Message decodeMessage(wire::Message::Reader reader);

} // namespace waxwingloft

#endif
