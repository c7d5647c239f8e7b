#include "waxwingloft/connection/rpcnode.h"
#include "echohandler.h"

#include <arpa/inet.h>
#include <atomic>
#include <gtest/gtest.h>
#include <memory>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace waxwingloft::tests {

namespace {

class PlainHeaders : public HeaderKeeper
{
public:
    Header outgoing() override
    {
        return {NodeId{"n"}, "n:1", {5, 6}, 42};
    }

    void incoming(const Header &header) override
    {
        this->lastVersion = header.settingsVersion;
    }

    std::atomic<SettingsVersion> lastVersion = 0;
};

/** Throws on each message. */
class ThrowingHandler : public MessageHandler
{
public:
    Message handle(const Header & /*header*/, const Message & /*message*/) override
    {
        throw std::runtime_error("broken");
    }
};

/** A listener on loopback that takes connections and never says anything. */
class SilentListener
{
public:
    SilentListener()
        : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)), 0);
        listen(this->descriptor, 8);
        socklen_t length = sizeof(address);
        getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&address), &length);
        this->port = ntohs(address.sin_port);
    }

    ~SilentListener()
    {
        close(this->descriptor);
    }

    SilentListener(const SilentListener &) = delete;
    SilentListener &operator=(const SilentListener &) = delete;

    int descriptor;
    int port = 0;
};

class RpcNodeTest : public testing::Test
{
protected:
    RpcNodeTest()
    {
        this->server.serve(this->echo);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->server.port());
    }

    PlainHeaders headers;
    Metrics metrics;
    EchoHandler echo;
    RpcNode server{"127.0.0.1:0", this->headers, this->metrics, RpcOptions{}};
    RpcNode client{"127.0.0.1:0", this->headers, this->metrics, RpcOptions{}};
};

} // namespace

TEST_F(RpcNodeTest, carriesEveryFieldOfAMessageThereAndBack)
{
    Dispatch dispatch{AttemptId{"a"}, WorkspaceId{"w"}, RequestId{"r"}, KindId{"k"}, TeamId{"t"}, 3, 4, true, Millis(5), std::string("\0\xff", 2)};
    const auto echoed = expectReply<Dispatch>(this->client.call(this->address(), dispatch, Millis(5000)));
    ASSERT_TRUE(succeeded(echoed));
    EXPECT_EQ(valueOf(echoed).attempt, dispatch.attempt);
    EXPECT_EQ(valueOf(echoed).payload, dispatch.payload);
    EXPECT_EQ(valueOf(echoed).incarnation, 4U);
    EXPECT_TRUE(valueOf(echoed).idempotent);
    EXPECT_EQ(this->headers.lastVersion.load(), 42U);

    PrepareGang prepare;
    prepare.job.value = "j";
    prepare.perTask = {1, 2, 3};
    prepare.members = {{NodeId{"m"}, "m:1", 9, 8}};
    prepare.taskLease = Millis(77);
    const auto gang = expectReply<PrepareGang>(this->client.call(this->address(), prepare, Millis(5000)));
    ASSERT_TRUE(succeeded(gang));
    EXPECT_EQ(valueOf(gang).members.front().tasks, 8U);
    EXPECT_EQ(valueOf(gang).perTask, prepare.perTask);
    EXPECT_EQ(valueOf(gang).taskLease, Millis(77));

    const SettingsUpdate update{{1, 2, {{TeamId{"t"}, 2, {{"note", "x"}}, "who"}}}};
    const auto settings = expectReply<SettingsUpdate>(this->client.call(this->address(), update, Millis(5000)));
    ASSERT_TRUE(succeeded(settings));
    EXPECT_EQ(valueOf(settings).delta.teams.front().value["note"], "x");
}

TEST_F(RpcNodeTest, carriesANoticeOfARow)
{
    const auto notice = expectReply<RowNotice>(this->client.call(this->address(), RowNotice{{"jobs/1", std::string("\0\xff", 2), 7, "op"}}, Millis(5000)));
    ASSERT_TRUE(succeeded(notice));
    EXPECT_EQ(valueOf(notice).row.key, "jobs/1");
    EXPECT_EQ(valueOf(notice).row.value, std::string("\0\xff", 2));
    EXPECT_EQ(valueOf(notice).row.revision, 7U);
}

// An exception in the handling of one message took the whole process down.
TEST_F(RpcNodeTest, outlivesAHandlerThatThrows)
{
    ThrowingHandler throwing;
    RpcNode broken("127.0.0.1:0", this->headers, this->metrics, RpcOptions{});
    broken.serve(throwing);
    const auto address = "127.0.0.1:" + std::to_string(broken.port());
    for (int call = 0; call < 2; ++call) {
        const auto answer = expectReply<AssignmentSync>(this->client.call(address, AgentReport{}, Millis(5000)));
        ASSERT_FALSE(succeeded(answer));
        EXPECT_EQ(errorOf(answer).kind, ErrorKind::Internal) << "what it did is not known";
    }
}

TEST_F(RpcNodeTest, tellsNeverSentFromNoAnswer)
{
    EXPECT_EQ(errorOf(this->client.call("127.0.0.1:1", Ping{}, Millis(2000))).kind, ErrorKind::Unreachable);
    const SilentListener silent;
    const auto lost = this->client.call("127.0.0.1:" + std::to_string(silent.port), Ping{}, Millis(200));
    EXPECT_EQ(errorOf(lost).kind, ErrorKind::Ambiguous);
}

TEST_F(RpcNodeTest, opensASilentConnectionAnew)
{
    auto second = std::make_unique<RpcNode>("127.0.0.1:0", this->headers, this->metrics, RpcOptions{});
    second->serve(this->echo);
    const auto address = "127.0.0.1:" + std::to_string(second->port());
    EXPECT_TRUE(succeeded(this->client.call(address, Ping{}, Millis(5000))));
    second.reset();
    EXPECT_FALSE(succeeded(this->client.call(address, Ping{}, Millis(2000))));
    second = std::make_unique<RpcNode>(address, this->headers, this->metrics, RpcOptions{});
    second->serve(this->echo);
    EXPECT_TRUE(succeeded(this->client.call(address, Ping{}, Millis(5000))));
}

} // namespace waxwingloft::tests
