#include "crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace waxwingloft::tests {

namespace {

constexpr auto Quiet = Millis(1000); ///< without progress, a server that reads at all has stopped reading
constexpr auto Look = Millis(5);
constexpr std::size_t WritesPerTurn = 8;

sockaddr_in socketAddressOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return result;
}

} // namespace

Crowd::Crowd(const std::string &address, std::size_t size, ClientScript script)
    : address(address)
    , script(std::move(script))
    , connections(size)
    , lastProgress(this->clock.now())
    , unfinished(size)
{
    this->thread = std::thread([this] { this->run(); });
}

Crowd::~Crowd()
{
    this->isEnding = true;
    this->thread.join();
    for (const auto &connection : this->connections) {
        ::close(connection.socket);
    }
}

void Crowd::waitUntilQuiet(Millis limit)
{
    const auto until = this->clock.now() + limit;
    while (this->clock.now() < until && this->unfinished > 0 && this->clock.now() - this->lastProgress.load() < Quiet) {
        this->clock.sleepFor(Look);
    }
}

void Crowd::run()
{
    for (auto &connection : this->connections) {
        this->open(connection);
    }
    while (!this->isEnding) {
        bool hasMoved = false;
        std::size_t open = 0;
        for (auto &connection : this->connections) {
            hasMoved = this->advance(connection, this->clock.now()) || hasMoved;
            open += connection.isOver || connection.sent >= this->script.bytes() ? 0 : 1;
        }
        this->unfinished = open;
        if (hasMoved) {
            this->lastProgress = this->clock.now();
        } else {
            this->clock.sleepFor(Look);
        }
    }
}

void Crowd::open(Connection &connection)
{
    const auto target = socketAddressOf(this->address);
    connection.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    connection.isOver =
        connection.socket < 0 || (::connect(connection.socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0 && errno != EINPROGRESS);
}

bool Crowd::advance(Connection &connection, Instant now)
{
    if (connection.isOver) {
        return false;
    }
    const bool hasRead = this->read(connection, now);
    return this->write(connection, now) || hasRead;
}

bool Crowd::read(Connection &connection, Instant now)
{
    if (this->script.reading == Reading::None || (this->script.reading == Reading::Slow && now < connection.nextWrite)) {
        return false;
    }
    std::array<char, 16'384> buffer{};
    const auto count = ::recv(connection.socket, buffer.data(), this->script.reading == Reading::Slow ? 1 : buffer.size(), 0);
    connection.isOver = count == 0 || (count < 0 && errno != EAGAIN && errno != ENOTCONN);
    return count > 0;
}

bool Crowd::write(Connection &connection, Instant now)
{
    bool hasMoved = false;
    for (std::size_t turn = 0; turn < WritesPerTurn && !connection.isOver && now >= connection.nextWrite; ++turn) {
        if (connection.sent >= this->script.bytes()) {
            connection.nextWrite = now + this->script.pause;
            break;
        }
        const auto piece = this->pieceAt(connection.sent);
        const auto count = ::send(connection.socket, piece.data(), piece.size(), MSG_NOSIGNAL);
        if (count < 0) {
            connection.isOver = errno != EAGAIN && errno != ENOTCONN;
            break;
        }
        connection.sent += static_cast<std::size_t>(count);
        connection.nextWrite = now + this->script.pause;
        hasMoved = true;
        if (connection.sent >= this->script.bytes() && this->script.halfCloses) {
            ::shutdown(connection.socket, SHUT_WR);
        }
    }
    return hasMoved;
}

std::string Crowd::pieceAt(std::size_t offset) const
{
    const auto &head = this->script.head;
    const auto body = this->script.part.size() * this->script.repeats;
    std::string piece;
    if (offset < head.size()) {
        piece = head.substr(offset, this->script.pieceBytes);
        offset = head.size();
    }
    while (piece.size() < this->script.pieceBytes && offset < head.size() + body) {
        const auto at = (offset - head.size()) % this->script.part.size();
        const auto chunk = this->script.part.substr(at, this->script.pieceBytes - piece.size());
        piece += chunk;
        offset += chunk.size();
    }
    if (piece.size() < this->script.pieceBytes && offset >= head.size() + body) {
        piece += this->script.tail.substr(offset - head.size() - body, this->script.pieceBytes - piece.size());
    }
    return piece;
}

} // namespace waxwingloft::tests
