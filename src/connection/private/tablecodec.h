#ifndef WAXWINGLOFT_CONNECTION_PRIVATE_TABLECODEC_H
#define WAXWINGLOFT_CONNECTION_PRIVATE_TABLECODEC_H

#include "node.capnp.h"
#include "waxwingloft/connection/tablemessages.h"

namespace waxwingloft::codec {

void encode(const RelayTableCall &call, wire::RelayTableCall::Builder builder);
RelayTableCall decode(wire::RelayTableCall::Reader reader);
void encode(const RowNotice &notice, wire::Row::Builder builder);
RowNotice decodeRowNotice(wire::Row::Reader reader);
void encode(const RelayTableAnswer &answer, wire::RelayTableAnswer::Builder builder);
RelayTableAnswer decode(wire::RelayTableAnswer::Reader reader);

} // namespace waxwingloft::codec

#endif
