#include "waxwingloft/connection/httpclients.h"

#include <arpa/inet.h>
#include <array>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace waxwingloft::tests {

namespace {

constexpr auto Timeout = Millis(300); ///< of a call that is not answered
constexpr auto Patience = Millis(30'000); ///< of a call that prepares a connection, far above what it takes on a busy machine
constexpr std::size_t SmallBody = 10;
constexpr std::size_t LargeBody = 64'000'000; ///< more than the buffers of both sockets hold

/** What a server does with the next request. */
enum class RequestFate {
    Answered,
    AnsweredAndClosed, ///< the connection is closed without notice after the answer
    ReadThenReset,
    ReadThenResetByAServerThatEnds, ///< later connections are refused
    PartlyReadThenReset,
    ReadThenSilent,
    CutOffAnswer,
};

/** A server on a raw socket, which does to each request what its script says, and then ends. */
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<RequestFate> script)
        : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        EXPECT_EQ(::bind(this->listener, reinterpret_cast<const sockaddr *>(&address), size), 0);
        EXPECT_EQ(::listen(this->listener, 4), 0);
        EXPECT_EQ(::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size), 0);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this, script = std::move(script)] {
            for (const auto fate : script) {
                this->serve(fate);
            }
        });
    }

    ~ScriptedServer()
    {
        this->join();
        this->closeConnection();
        this->closeListener();
    }

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    /** Waits until the script is over. */
    void join()
    {
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    std::string base() const
    {
        return "http://127.0.0.1:" + std::to_string(this->port);
    }

    int requests = 0; ///< that were read, at least in part; valid after join()
    int connections = 0; ///< valid after join()

private:
    void serve(RequestFate fate)
    {
        if (this->connection < 0) {
            this->connection = ::accept(this->listener, nullptr, nullptr);
            ++this->connections;
        }
        this->readRequest(fate == RequestFate::PartlyReadThenReset);
        ++this->requests;
        switch (fate) {
        case RequestFate::Answered:
            this->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            break;
        case RequestFate::AnsweredAndClosed:
            this->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            this->closeConnection();
            break;
        case RequestFate::ReadThenResetByAServerThatEnds:
            this->closeListener();
            this->reset();
            break;
        case RequestFate::ReadThenReset:
        case RequestFate::PartlyReadThenReset:
            this->reset();
            break;
        case RequestFate::ReadThenSilent:
            std::this_thread::sleep_for(Timeout * 2);
            this->closeConnection();
            break;
        case RequestFate::CutOffAnswer:
            this->send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok");
            this->closeConnection();
            break;
        }
    }

    /** Reads up to the body, which has SmallBody bytes, or only the first bytes. */
    void readRequest(bool isPart)
    {
        std::string text;
        std::array<char, 4096> buffer{};
        while (true) {
            const auto count = ::recv(this->connection, buffer.data(), isPart ? 16 : buffer.size(), 0);
            if (count <= 0 || isPart) {
                return;
            }
            text.append(buffer.data(), static_cast<std::size_t>(count));
            const auto head = text.find("\r\n\r\n");
            if (head != std::string::npos && text.size() >= head + 4 + SmallBody) {
                return;
            }
        }
    }

    void send(const std::string &text) const
    {
        EXPECT_EQ(::send(this->connection, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    }

    void reset()
    {
        const linger atOnce{1, 0};
        ::setsockopt(this->connection, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        this->closeConnection();
    }

    void closeConnection()
    {
        if (this->connection >= 0) {
            ::close(this->connection);
            this->connection = -1;
        }
    }

    void closeListener()
    {
        if (this->listener >= 0) {
            ::close(this->listener);
            this->listener = -1;
        }
    }

    int listener = -1;
    int connection = -1;
    int port = 0;
    std::thread thread;
};

Result<HttpAnswer> post(HttpClients &clients, std::size_t bodyBytes = SmallBody, Millis timeout = Timeout)
{
    return clients.ask({"POST", "/order", std::string(bodyBytes, 'x'), {}}, timeout);
}

} // namespace

// Only an order that surely did not reach its executor may count as one without an effect.
TEST(HttpClients, ARequestThatAServerHasReadInPartMayTakeEffect)
{
    for (const auto fate : {RequestFate::ReadThenReset,
                            RequestFate::ReadThenResetByAServerThatEnds,
                            RequestFate::PartlyReadThenReset,
                            RequestFate::ReadThenSilent,
                            RequestFate::CutOffAnswer}) {
        for (const bool isReused : {false, true}) {
            ScriptedServer server(isReused ? std::vector{RequestFate::Answered, fate} : std::vector{fate});
            HttpClients clients(server.base());
            ASSERT_TRUE(!isReused || succeeded(post(clients, SmallBody, Patience)));
            const auto answer = post(clients, fate == RequestFate::PartlyReadThenReset ? LargeBody : SmallBody);
            ASSERT_FALSE(succeeded(answer));
            EXPECT_EQ(errorOf(answer).kind, ErrorKind::Ambiguous) << static_cast<int>(fate) << errorOf(answer).message;
            server.join();
            EXPECT_EQ(server.requests, isReused ? 2 : 1);
            EXPECT_EQ(server.connections, 1);
        }
    }
}

TEST(HttpClients, ARequestOnAConnectionThatItsServerClosedIsSentOnceOnANewOne)
{
    ScriptedServer server({RequestFate::AnsweredAndClosed, RequestFate::Answered});
    HttpClients clients(server.base());
    ASSERT_TRUE(succeeded(post(clients)));
    std::this_thread::sleep_for(Millis(50));
    EXPECT_TRUE(succeeded(post(clients)));
    server.join();
    EXPECT_EQ(server.connections, 2);
    EXPECT_EQ(server.requests, 2);
}

TEST(HttpClients, ARefusedConnectionCarriedNothing)
{
    HttpClients clients("http://127.0.0.1:1");
    EXPECT_EQ(errorOf(post(clients)).kind, ErrorKind::Unreachable);
}

} // namespace waxwingloft::tests
