#ifndef WAXWINGLOFT_CONNECTION_PRIVATE_RECORDCODEC_H
#define WAXWINGLOFT_CONNECTION_PRIVATE_RECORDCODEC_H

#include "node.capnp.h"
#include "waxwingloft/connection/messages.h"

namespace waxwingloft::codec {

/** Returns a copy of a text on the wire. */
std::string textOf(capnp::Text::Reader text);

/** Returns a view of @p text for the wire. Without it Cap'n Proto takes a std::string as a C string, which ends at the first zero byte. */
capnp::Text::Reader toText(const std::string &text);

/** Returns a view of @p bytes for the wire. */
capnp::Data::Reader bytesOf(const std::string &bytes);

/** Returns a copy of bytes on the wire. */
std::string stringOf(capnp::Data::Reader data);

/** Reads an enumerator; a number of a newer version becomes @p fallback. */
template<typename Enum>
Enum enumOf(std::uint8_t number, Enum fallback, std::size_t count)
{
    return number < count ? static_cast<Enum>(number) : fallback;
}

template<typename Enum>
Enum enumOf(std::uint8_t number, Enum fallback)
{
    return enumOf(number, fallback, NameTable<Enum>::names.size());
}

// One pair for each record: encode() writes its Cap'n Proto form, decode() reads it.

void encode(const HybridTime &time, wire::HybridTime::Builder builder);
HybridTime decode(wire::HybridTime::Reader reader);
void encode(const Error &error, wire::Error::Builder builder);
Error decode(wire::Error::Reader reader);
void encode(const Resources &resources, wire::Resources::Builder builder);
Resources decode(wire::Resources::Reader reader);
void encode(const Dispatch &dispatch, wire::Dispatch::Builder builder);
Dispatch decode(wire::Dispatch::Reader reader);
void encode(const QueryAttempt &query, wire::QueryAttempt::Builder builder);
QueryAttempt decode(wire::QueryAttempt::Reader reader);
void encode(const AttemptReply &reply, wire::AttemptReply::Builder builder);
AttemptReply decode(wire::AttemptReply::Reader reader);
void encode(const GangMember &member, wire::GangMember::Builder builder);
GangMember decode(wire::GangMember::Reader reader);
void encode(const PrepareGang &prepare, wire::PrepareGang::Builder builder);
PrepareGang decode(wire::PrepareGang::Reader reader);
void encode(const StartGang &start, wire::StartGang::Builder builder);
StartGang decode(wire::StartGang::Reader reader);
void encode(const StopGang &stop, wire::StopGang::Builder builder);
StopGang decode(wire::StopGang::Reader reader);
void encode(const RenewGang &renew, wire::RenewGang::Builder builder);
RenewGang decode(wire::RenewGang::Reader reader);
void encode(const GangReply &reply, wire::GangReply::Builder builder);
GangReply decode(wire::GangReply::Reader reader);
void encode(const AskReport &ask, wire::AskReport::Builder builder);
AskReport decode(wire::AskReport::Reader reader);
void encode(const NodeReport &report, wire::NodeReport::Builder builder);
NodeReport decode(wire::NodeReport::Reader reader);
void encode(const Member &member, wire::Member::Builder builder);
Member decode(wire::Member::Reader reader);
void encode(const Heartbeat &heartbeat, wire::Heartbeat::Builder builder);
Heartbeat decode(wire::Heartbeat::Reader reader);
void encode(const MembersDelta &delta, wire::MembersDelta::Builder builder);
MembersDelta decode(wire::MembersDelta::Reader reader);
void encode(const SettingsDelta &delta, wire::SettingsDelta::Builder builder);
SettingsDelta decode(wire::SettingsDelta::Reader reader);
void encode(const EventBatch &batch, capnp::List<wire::Event>::Builder builder);
EventBatch decode(capnp::List<wire::Event>::Reader reader);

} // namespace waxwingloft::codec

#endif
