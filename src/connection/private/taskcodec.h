#ifndef WAXWINGLOFT_CONNECTION_PRIVATE_TASKCODEC_H
#define WAXWINGLOFT_CONNECTION_PRIVATE_TASKCODEC_H

#include "node.capnp.h"
#include "waxwingloft/connection/taskmessages.h"

namespace waxwingloft::codec {

void encode(const AgentReport &report, wire::AgentReport::Builder builder);
AgentReport decode(wire::AgentReport::Reader reader);
void encode(const AssignmentSync &sync, wire::AssignmentSync::Builder builder);
AssignmentSync decode(wire::AssignmentSync::Reader reader);

} // namespace waxwingloft::codec

#endif
