#include "echohandler.h"
#include "waxwingloft/connection/rpcnode.h"

#include <functional>
#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

constexpr auto CallTimeout = Millis(5000);

/** Called with each string of a message. */
using Visit = std::function<void(std::string &)>;

void visitTexts(Header &header, const Visit &visit)
{
    visit(header.from.value);
    visit(header.address);
}

void visitTexts(Error &error, const Visit &visit)
{
    visit(error.message);
    visit(error.remedy);
}

void visitTexts(Member &member, const Visit &visit)
{
    visit(member.node.value);
    visit(member.location.region);
    visit(member.location.dataCentre);
    visit(member.location.rack);
    visit(member.rpcAddress);
    member.kinds.resize(1);
    visit(member.kinds.front().value);
}

void visitTexts(Row &row, const Visit &visit)
{
    visit(row.key);
    visit(row.value);
    visit(row.operation);
}

void visitTexts(ErrorReply &message, const Visit &visit)
{
    visitTexts(message.error, visit);
}

void visitTexts(Dispatch &message, const Visit &visit)
{
    visit(message.attempt.value);
    visit(message.workspace.value);
    visit(message.request.value);
    visit(message.kind.value);
    visit(message.team.value);
    visit(message.payload);
}

void visitTexts(QueryAttempt &message, const Visit &visit)
{
    visit(message.attempt.value);
}

void visitTexts(AttemptReply &message, const Visit &visit)
{
    visit(message.attempt.value);
    visitTexts(message.error, visit);
    visit(message.payload);
}

void visitTexts(PrepareGang &message, const Visit &visit)
{
    visit(message.job.value);
    visit(message.attempt.value);
    visit(message.region);
    visit(message.workspace.value);
    visit(message.team.value);
    visit(message.kind.value);
    message.members.resize(1);
    visit(message.members.front().node.value);
    visit(message.members.front().address);
    visit(message.checkpoint);
    visit(message.payload);
}

void visitTexts(StartGang &message, const Visit &visit)
{
    visit(message.job.value);
    visit(message.attempt.value);
}

void visitTexts(StopGang &message, const Visit &visit)
{
    visit(message.job.value);
    visit(message.attempt.value);
}

void visitTexts(RenewGang &message, const Visit &visit)
{
    visit(message.job.value);
    visit(message.attempt.value);
    visit(message.member.value);
}

void visitTexts(GangReply &message, const Visit &visit)
{
    visit(message.job.value);
    visit(message.attempt.value);
    visit(message.checkpoint);
    visitTexts(message.error, visit);
}

void visitTexts(AskReport &message, const Visit &visit)
{
    visit(message.region);
}

void visitTexts(NodeReport &message, const Visit &visit)
{
    message.gangs.resize(1);
    visit(message.gangs.front().job.value);
    visit(message.gangs.front().attempt.value);
    visit(message.gangs.front().workspace.value);
}

void visitTexts(Heartbeat &message, const Visit &visit)
{
    visit(message.shard);
    visitTexts(message.member, visit);
}

void visitTexts(PushMembers &message, const Visit &visit)
{
    visit(message.delta.shard);
    message.delta.changed.resize(1);
    visitTexts(message.delta.changed.front(), visit);
}

void visitTexts(SettingsUpdate &message, const Visit &visit)
{
    message.delta.teams.resize(1);
    visit(message.delta.teams.front().team.value);
    visit(message.delta.teams.front().changedBy);
    auto note = message.delta.teams.front().value.is_string() ? message.delta.teams.front().value.get<std::string>() : std::string();
    visit(note);
    message.delta.teams.front().value = note;
}

void visitTexts(EventBatch &message, const Visit &visit)
{
    message.events.resize(1);
    visit(message.events.front().node);
    visit(message.events.front().subject);
    visit(message.events.front().workspace);
    visit(message.events.front().detail);
}

void visitTexts(NudgePlacer &message, const Visit &visit)
{
    visit(message.region);
}

void visitTexts(AgentReport &message, const Visit &visit)
{
    visit(message.node.value);
    visit(message.address);
    visit(message.incarnation.id);
    visit(message.service);
    visit(message.zone);
    message.labels.resize(1);
    visit(message.labels.front());
    message.runs.resize(1);
    visit(message.runs.front().run.task.job.value);
    visit(message.runs.front().checkpoint);
    message.ends.resize(1);
    visit(message.ends.front().run.task.job.value);
    visit(message.ends.front().checkpoint);
}

void visitTexts(AssignmentSync &message, const Visit &visit)
{
    visit(message.incarnation.id);
    message.assignments.resize(1);
    visit(message.assignments.front().run.task.job.value);
    visit(message.assignments.front().spec);
    visit(message.assignments.front().checkpoint);
}

void visitTexts(RelayTableCall &message, const Visit &visit)
{
    visit(message.key);
    visit(message.transaction.operation);
    message.transaction.conditions.resize(1);
    visit(message.transaction.conditions.front().key);
    message.transaction.writes.resize(1);
    auto &write = message.transaction.writes.front();
    visit(write.key);
    write.value = write.value.value_or(std::string());
    visit(*write.value);
}

void visitTexts(RelayTableAnswer &message, const Visit &visit)
{
    message.rows.resize(1);
    visitTexts(message.rows.front().row, visit);
}

void visitTexts(RowNotice &message, const Visit &visit)
{
    visitTexts(message.row, visit);
}

/** Of messages without strings. */
template<typename Record>
void visitTexts(Record & /*message*/, const Visit & /*visit*/)
{
    static_assert(
        std::is_same_v<
            Record,
            Ping> || std::is_same_v<Record, Ack> || std::is_same_v<Record, HeartbeatReply> || std::is_same_v<Record, PushMembersReply> || std::is_same_v<Record, FetchSettings> || std::is_same_v<Record, FetchEvents> || std::is_same_v<Record, DrainNode>);
}

/** Returns a string that differs for each @p number and holds zero bytes within, in a row, and at its end. */
std::string textOf(std::size_t number)
{
    using namespace std::string_literals;
    return "a\0\0b"s + std::to_string(number) + "\0"s;
}

/** Sends headers whose strings hold zero bytes, and keeps what it receives. */
class TextHeaders : public HeaderKeeper
{
public:
    Header outgoing() override
    {
        return {NodeId{textOf(0)}, textOf(1), {}, 0};
    }

    void incoming(const Header &header) override
    {
        this->last = header;
    }

    Header last;
};

/** Appends one message of each alternative from @p Index on. */
template<std::size_t Index = 0>
void appendMessages(std::vector<Message> &messages)
{
    if constexpr (Index < std::variant_size_v<Message>) {
        messages.emplace_back(std::in_place_index<Index>);
        appendMessages<Index + 1>(messages);
    }
}

} // namespace

// Texts were sent as C strings, so that a spec or a checkpoint ended at its first zero byte and the executor ran other work.
TEST(WholeTextTest, everyMessageCarriesAllBytesOfItsStrings)
{
    TextHeaders headers;
    Metrics metrics;
    EchoHandler echo;
    RpcNode server("127.0.0.1:0", headers, metrics, RpcOptions{});
    RpcNode client("127.0.0.1:0", headers, metrics, RpcOptions{});
    server.serve(echo);
    const auto address = "127.0.0.1:" + std::to_string(server.port());
    std::vector<Message> messages;
    appendMessages(messages);
    for (auto &message : messages) {
        std::size_t number = 0;
        std::visit([&number](auto &record) { visitTexts(record, [&number](std::string &text) { text = textOf(number++); }); }, message);
        if (number == 0) {
            continue;
        }
        const auto answer = client.call(address, message, CallTimeout);
        const bool isErrorReply = std::holds_alternative<ErrorReply>(message);
        ASSERT_TRUE(succeeded(answer) || isErrorReply) << "alternative " << message.index();
        auto received = succeeded(answer) ? valueOf(answer) : Message(ErrorReply{errorOf(answer)});
        ASSERT_EQ(received.index(), message.index());
        std::size_t expected = 0;
        std::visit(
            [&expected, &message](auto &record) {
                visitTexts(record, [&expected, &message](std::string &text) {
                    EXPECT_EQ(text, textOf(expected)) << "string " << expected << " of alternative " << message.index();
                    ++expected;
                });
            },
            received);
        EXPECT_EQ(expected, number) << "alternative " << message.index();
    }
    visitTexts(headers.last, [number = std::size_t(0)](std::string &text) mutable { EXPECT_EQ(text, textOf(number++)); });
}

} // namespace waxwingloft::tests
