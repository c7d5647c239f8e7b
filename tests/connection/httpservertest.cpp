#include "rawclient.h"

#include "waxwingloft/connection/httpserver.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <gtest/gtest.h>
#include <latch>
#include <random>
#include <stdexcept>
#include <thread>

namespace waxwingloft::tests {

namespace {

const std::string Get = "GET /a%20b?x=1 HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr auto Ok = "HTTP/1.1 200 OK\r\n";

/** Answers with method, path and body, and counts what it runs. */
struct Echo {
    explicit Echo(IngressLimits limits = IngressLimits(), HttpListenerOptions options = HttpListenerOptions())
        : server(limits)
        , key(this->server.bind("127.0.0.1:0", options))
    {
        this->server.start(this->key, [this](const HttpRequest &request, HttpResponse &response) {
            ++this->runs;
            if (request.path == "/throws") {
                throw std::runtime_error("a fault");
            }
            if (request.path == "/waits") {
                this->isRunning.count_down();
                this->mayEnd.wait();
            }
            response.body = request.method + " " + request.path + " " + request.body + ".";
        });
    }

    ~Echo()
    {
        this->server.stop(this->key);
    }

    Echo(const Echo &) = delete;
    Echo &operator=(const Echo &) = delete;

    int port() const
    {
        return this->server.port(this->key);
    }

    std::atomic<int> runs = 0;
    std::latch isRunning{1};
    std::latch mayEnd{1};
    HttpServer server;
    const ListenerKey key;
};

} // namespace

TEST(HttpServer, KeepsConnectionsOpenAndAnswersPipelinedRequestsInOrder)
{
    Echo echo;
    const RawClient client(echo.port());
    client.send(Get);
    EXPECT_NE(client.readUntil("GET /a b .").find(Ok), std::string::npos);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto both = client.readUntil("GET /2 .");
    EXPECT_LT(both.find("GET /1 ."), both.find("GET /2 ."));
}

TEST(HttpServer, ReadsBodiesWithALengthInChunksAndAfterItsConsent)
{
    Echo echo;
    const RawClient client(echo.port());
    client.send("POST /l HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    EXPECT_NE(client.readUntil("POST /l abc.").find(Ok), std::string::npos);
    client.send("POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    EXPECT_NE(client.readUntil("POST /c abc.").find(Ok), std::string::npos);
    client.send("POST /e HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
    EXPECT_EQ(client.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    client.send("abc");
    EXPECT_NE(client.readUntil("POST /e abc.").find(Ok), std::string::npos);
}

TEST(HttpServer, EndsConnectionsOfOldClientsAndOfThoseThatAskForIt)
{
    Echo echo;
    const RawClient old(echo.port());
    old.send("GET /o HTTP/1.0\r\n\r\n");
    EXPECT_NE(old.readAll().find("GET /o ."), std::string::npos);
    const RawClient polite(echo.port());
    polite.send("GET /p HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto answer = polite.readAll();
    EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos);
    EXPECT_NE(answer.find("GET /p ."), std::string::npos);
}

/** Guards against refusals of requests that were run, and against oversized ones that are read to their end. */
TEST(HttpServer, RefusesWhatIsTooLargeBeforeItIsRun)
{
    HttpListenerOptions options;
    options.maxBodyBytes = 100;
    Echo echo(IngressLimits(), options);
    const auto statusOf = [&echo](const std::string &request) {
        const RawClient client(echo.port());
        client.send(request);
        return client.readAll().substr(9, 3);
    };
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"), "413");
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'a')), "413");
    EXPECT_EQ(statusOf("GET / HTTP/1.1\r\n" + std::string(20'000, 'a')), "431");
    std::string fields;
    for (int field = 0; field < 101; ++field) {
        fields += "a: b\r\n";
    }
    EXPECT_EQ(statusOf("GET / HTTP/1.1\r\n" + fields + "\r\n"), "431");
    EXPECT_EQ(statusOf("rubbish\r\n\r\n"), "400");
    EXPECT_EQ(echo.runs, 0);
}

/** Guards against clients that stop half-way and stay. */
TEST(HttpServer, EndsRequestsThatDoNotComeToTheirEnd)
{
    IngressLimits limits;
    limits.headerTime = Millis(50);
    limits.bodyTime = Millis(50);
    Echo echo(limits);
    for (const auto *const part : {"GET / HT", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"}) {
        const RawClient client(echo.port());
        client.send(part);
        const auto answer = client.readAll();
        EXPECT_EQ(answer.substr(9, 3), "408");
        EXPECT_NE(answer.find("Retry-After: 1\r\n"), std::string::npos);
    }
    EXPECT_EQ(echo.runs, 0);
}

TEST(HttpServer, SaysThatARequestWasNotRunWhenTooManyWait)
{
    IngressLimits limits;
    limits.waitingRequests = 1;
    HttpListenerOptions options;
    options.threads = 1;
    Echo echo(limits, options);
    const RawClient first(echo.port());
    first.send("GET /waits HTTP/1.1\r\n\r\n");
    echo.isRunning.wait();
    std::vector<std::unique_ptr<RawClient>> others;
    for (int number = 0; number < 2; ++number) {
        others.push_back(std::make_unique<RawClient>(echo.port()));
        others.back()->send("GET /other HTTP/1.1\r\nConnection: close\r\n\r\n");
    }
    // One of the two waits and one is refused; their connections may be read in any order.
    std::thread release([&echo] {
        std::this_thread::sleep_for(Millis(300));
        echo.mayEnd.count_down();
    });
    std::string answers;
    for (const auto &other : others) {
        answers += other->readAll();
    }
    release.join();
    EXPECT_NE(answers.find("503"), std::string::npos);
    EXPECT_NE(answers.find("Retry-After: 1\r\n"), std::string::npos);
    EXPECT_NE(answers.find("GET /other ."), std::string::npos);
    EXPECT_EQ(echo.runs, 2);
}

TEST(HttpServer, AnswersWithAnErrorWhenAHandlerThrows)
{
    Echo echo;
    const RawClient client(echo.port());
    client.send("GET /throws HTTP/1.1\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(client.readAll().substr(9, 3), "500");
}

/** Guards against a stop that hangs on clients that stay, and against answers that get lost in it. */
TEST(HttpServer, StopsWithClientsThatStayAndDeliversTheAnswersInHand)
{
    Echo echo;
    const RawClient idle(echo.port());
    const RawClient halfway(echo.port());
    halfway.send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab");
    const RawClient waiting(echo.port());
    waiting.send("GET /waits HTTP/1.1\r\n\r\n");
    echo.isRunning.wait();
    std::thread stopping([&echo] { echo.server.stop(echo.key); });
    EXPECT_EQ(idle.readAll(), "");
    echo.mayEnd.count_down();
    const auto answer = waiting.readAll();
    EXPECT_NE(answer.find("GET /waits ."), std::string::npos);
    EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos);
    stopping.join();
}

/** Guards against bytes that end the process or its loop: requests with bytes changed, left out, repeated and cut off. */
TEST(HttpServerFuzz, ServesOthersWhateverBytesCome)
{
    const char *const given = std::getenv("FUZZ_SEED");
    const auto seed = given == nullptr ? 20261206UL : std::stoul(given);
    std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
    const auto below = [&random](std::size_t bound) { return random() % std::max<std::size_t>(1, bound); };
    const std::array<std::string, 4> requests = {
        "GET /a%2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
        "POST /b HTTP/1.1\r\nContent-Length: 10\r\n\r\n0123456789",
        "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: t\r\n\r\n5;e=f\r\nabcde\r\n0\r\nt: u\r\n\r\n",
        "PUT /d HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
    };
    Echo echo;
    for (int round = 0; round < 1500; ++round) {
        std::string bytes = requests.at(below(requests.size())) + requests.at(below(requests.size()));
        const auto changes = below(6);
        for (std::size_t change = 0; change < changes; ++change) {
            const auto at = below(bytes.size());
            const auto action = below(4);
            const auto value = static_cast<char>(below(256));
            if (action == 0) {
                bytes[at] = value;
            } else if (action == 1) {
                bytes.erase(at, 1 + below(8));
            } else if (action == 2) {
                bytes.insert(at, 1 + below(40), value);
            } else {
                bytes.resize(at);
            }
            bytes += bytes.empty() ? "x" : "";
        }
        const RawClient client(echo.port());
        const auto cut = below(bytes.size());
        client.send(bytes.substr(0, cut));
        client.send(bytes.substr(cut));
        client.endSending();
        client.readAll();
    }
    const RawClient ordinary(echo.port());
    ordinary.send(Get);
    EXPECT_NE(ordinary.readUntil("GET /a b .").find(Ok), std::string::npos) << "seed " << seed;
}

} // namespace waxwingloft::tests
