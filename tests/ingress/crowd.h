#ifndef WAXWINGLOFT_TESTS_INGRESS_CROWD_H
#define WAXWINGLOFT_TESTS_INGRESS_CROWD_H

#include "waxwingloft/process/clock.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace waxwingloft::tests {

/** What a connection of a crowd does with answers. */
enum class Reading {
    All,
    None,
    Slow, ///< a byte in each pause
};

/** What each connection of a crowd sends: a head, then a part many times, then a tail. It stays open afterwards. */
struct ClientScript {
    std::string head;
    std::string part;
    std::size_t repeats = 0;
    std::string tail;
    std::size_t pieceBytes = 65'536; ///< largest write
    Millis pause = Millis(0); ///< between two writes
    Reading reading = Reading::All;
    bool halfCloses = false; ///< ends its sending side after the tail

    std::size_t bytes() const
    {
        return this->head.size() + this->part.size() * this->repeats + this->tail.size();
    }
};

/** Misbehaving clients on one address, driven by one thread. */
class Crowd
{
public:
    /** Opens @p size connections to @p address, which is IP:PORT. */
    Crowd(const std::string &address, std::size_t size, ClientScript script);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /** Waits until no connection sends any more, as it is done, closed or not read; at most @p limit. */
    void waitUntilQuiet(Millis limit);

private:
    struct Connection {
        int socket = -1;
        std::size_t sent = 0;
        Instant nextWrite{};
        bool isOver = false; ///< closed by the server
    };

    void run();
    void open(Connection &connection);
    bool advance(Connection &connection, Instant now);
    bool read(Connection &connection, Instant now);
    bool write(Connection &connection, Instant now);
    std::string pieceAt(std::size_t offset) const;

    const std::string address;
    const ClientScript script;
    SystemClock clock;
    std::vector<Connection> connections;
    std::atomic<bool> isEnding = false;
    std::atomic<Instant> lastProgress;
    std::atomic<std::size_t> unfinished;
    std::thread thread;
};

} // namespace waxwingloft::tests

#endif
