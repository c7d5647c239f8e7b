#ifndef WAXWINGLOFT_TESTS_CONNECTION_RAWCLIENT_H
#define WAXWINGLOFT_TESTS_CONNECTION_RAWCLIENT_H

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace waxwingloft::tests {

/** A connection on loopback that sends bytes as they are. */
class RawClient
{
public:
    explicit RawClient(int port)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const timeval patience{10, 0};
        ::setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(port));
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(this->socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
            throw std::runtime_error("the server does not accept connections");
        }
    }

    ~RawClient()
    {
        ::close(this->socket);
    }

    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return;
            }
            sent += static_cast<std::size_t>(count);
        }
    }

    void endSending() const
    {
        ::shutdown(this->socket, SHUT_WR);
    }

    /** Reads until @p mark was received or the server closes; returns all that was received since the last call. */
    std::string readUntil(const std::string &mark) const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        while (mark.empty() || text.find(mark) == std::string::npos) {
            const auto count = ::recv(this->socket, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                break;
            }
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    /** Reads until the server closes. */
    std::string readAll() const
    {
        return this->readUntil("");
    }

private:
    const int socket;
};

} // namespace waxwingloft::tests

#endif
