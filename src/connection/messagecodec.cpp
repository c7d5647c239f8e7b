#include "messagecodec.h"

#include "recordcodec.h"
#include "tablecodec.h"
#include "taskcodec.h"

#include <array>

namespace waxwingloft {

namespace {

using codec::decode;
using codec::encode;
using codec::textOf;
using codec::toText;

/** Writes each alternative into the union of the message. */
struct MessageEncoder {
    wire::Message::Builder builder;

    void operator()(const Ping &)
    {
        this->builder.setPing();
    }

    void operator()(const Ack &)
    {
        this->builder.setAck();
    }

    void operator()(const DrainNode &)
    {
        this->builder.setDrainNode();
    }

    void operator()(const RelayTableCall &message)
    {
        encode(message, this->builder.initRelayTableCall());
    }

    void operator()(const RelayTableAnswer &message)
    {
        encode(message, this->builder.initRelayTableAnswer());
    }

    void operator()(const RowNotice &message)
    {
        encode(message, this->builder.initRowNotice());
    }

    void operator()(const AgentReport &message)
    {
        encode(message, this->builder.initAgentReport());
    }

    void operator()(const AssignmentSync &message)
    {
        encode(message, this->builder.initAssignmentSync());
    }

    void operator()(const ErrorReply &message)
    {
        encode(message.error, this->builder.initErrorReply());
    }

    void operator()(const Dispatch &message)
    {
        encode(message, this->builder.initDispatch());
    }

    void operator()(const QueryAttempt &message)
    {
        encode(message, this->builder.initQueryAttempt());
    }

    void operator()(const AttemptReply &message)
    {
        encode(message, this->builder.initAttemptReply());
    }

    void operator()(const PrepareGang &message)
    {
        encode(message, this->builder.initPrepareGang());
    }

    void operator()(const StartGang &message)
    {
        encode(message, this->builder.initStartGang());
    }

    void operator()(const StopGang &message)
    {
        encode(message, this->builder.initStopGang());
    }

    void operator()(const RenewGang &message)
    {
        encode(message, this->builder.initRenewGang());
    }

    void operator()(const GangReply &message)
    {
        encode(message, this->builder.initGangReply());
    }

    void operator()(const AskReport &message)
    {
        encode(message, this->builder.initAskReport());
    }

    void operator()(const NodeReport &message)
    {
        encode(message, this->builder.initNodeReport());
    }

    void operator()(const Heartbeat &message)
    {
        encode(message, this->builder.initHeartbeat());
    }

    void operator()(const HeartbeatReply &message)
    {
        this->builder.initHeartbeatReply().setAccepted(message.accepted);
    }

    void operator()(const PushMembers &message)
    {
        encode(message.delta, this->builder.initPushMembers());
    }

    void operator()(const PushMembersReply &message)
    {
        auto reply = this->builder.initPushMembersReply();
        reply.setBook(message.book);
        reply.setRevision(message.revision);
    }

    void operator()(const FetchSettings &message)
    {
        this->builder.setFetchSettings(message.since);
    }

    void operator()(const SettingsUpdate &message)
    {
        encode(message.delta, this->builder.initSettingsUpdate());
    }

    void operator()(const FetchEvents &message)
    {
        auto fetch = this->builder.initFetchEvents();
        encode(message.since, fetch.initSince());
        fetch.setLimit(message.limit);
    }

    void operator()(const EventBatch &message)
    {
        encode(message, this->builder.initEventBatch(static_cast<unsigned>(message.events.size())));
    }

    void operator()(const NudgePlacer &message)
    {
        this->builder.setNudgePlacer(toText(message.region));
    }
};

using Decoder = Message (*)(wire::Message::Reader);

/** One decoder for each member of the union, in its order. */
constexpr std::array<Decoder, std::variant_size_v<Message>> Decoders = {
    [](wire::Message::Reader) -> Message { return Ping{}; },
    [](wire::Message::Reader) -> Message { return Ack{}; },
    [](wire::Message::Reader reader) -> Message { return ErrorReply{decode(reader.getErrorReply())}; },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getDispatch()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getQueryAttempt()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getAttemptReply()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getPrepareGang()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getStartGang()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getStopGang()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getRenewGang()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getGangReply()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getAskReport()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getNodeReport()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getHeartbeat()); },
    [](wire::Message::Reader reader) -> Message { return HeartbeatReply{reader.getHeartbeatReply().getAccepted()}; },
    [](wire::Message::Reader reader) -> Message { return PushMembers{decode(reader.getPushMembers())}; },
    [](wire::Message::Reader reader) -> Message {
        return PushMembersReply{reader.getPushMembersReply().getBook(), reader.getPushMembersReply().getRevision()};
    },
    [](wire::Message::Reader reader) -> Message { return FetchSettings{reader.getFetchSettings()}; },
    [](wire::Message::Reader reader) -> Message { return SettingsUpdate{decode(reader.getSettingsUpdate())}; },
    [](wire::Message::Reader reader) -> Message {
        return FetchEvents{decode(reader.getFetchEvents().getSince()), reader.getFetchEvents().getLimit()};
    },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getEventBatch()); },
    [](wire::Message::Reader reader) -> Message { return NudgePlacer{textOf(reader.getNudgePlacer())}; },
    [](wire::Message::Reader) -> Message { return DrainNode{}; },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getAgentReport()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getAssignmentSync()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getRelayTableCall()); },
    [](wire::Message::Reader reader) -> Message { return decode(reader.getRelayTableAnswer()); },
    [](wire::Message::Reader reader) -> Message { return codec::decodeRowNotice(reader.getRowNotice()); },
};

} // namespace

void encodeHeader(const Header &header, wire::Header::Builder builder)
{
    builder.setFrom(toText(header.from.value));
    builder.setAddress(toText(header.address));
    encode(header.time, builder.initTime());
    builder.setSettingsVersion(header.settingsVersion);
}

Header decodeHeader(wire::Header::Reader reader)
{
    return {NodeId{textOf(reader.getFrom())}, textOf(reader.getAddress()), decode(reader.getTime()), reader.getSettingsVersion()};
}

void encodeMessage(const Message &message, wire::Message::Builder builder)
{
    std::visit(MessageEncoder{builder}, message);
}

Message decodeMessage(wire::Message::Reader reader)
{
    const auto index = static_cast<std::size_t>(reader.which());
    if (index >= Decoders.size()) {
        return replyWith(makeError(ErrorKind::InvalidInput, "the peer sent a message that this version does not know", "upgrade this process"));
    }
    return Decoders[index](reader);
}

} // namespace waxwingloft
