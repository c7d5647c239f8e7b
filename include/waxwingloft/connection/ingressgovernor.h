#ifndef WAXWINGLOFT_CONNECTION_INGRESSGOVERNOR_H
#define WAXWINGLOFT_CONNECTION_INGRESSGOVERNOR_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/nametable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace waxwingloft {

/** Why a request was refused or a connection closed. In each case the request was not run, or its answer was not read. */
enum class IngressRefusal {
    HeadersTooLarge,
    BodyTooLarge,
    HeadersTooSlow,
    BodyTooSlow,
    AnswerNotRead,
    NoMemory, ///< unfinished requests hold what the process may spend on them
    NoConnections, ///< a newer connection takes the place of one without progress
    NoWorkers, ///< as many whole requests wait as may wait
    Malformed,
};

template<>
struct NameTable<IngressRefusal> {
    static constexpr std::array<std::string_view, 9> names = {"headers-too-large",
                                                              "body-too-large",
                                                              "headers-too-slow",
                                                              "body-too-slow",
                                                              "answer-not-read",
                                                              "no-memory",
                                                              "no-connections",
                                                              "no-workers",
                                                              "malformed"};
};

/** What a connection is doing. */
enum class IngressPhase {
    Idle, ///< between requests
    Headers,
    Body,
    Running, ///< the request is whole; it waits for a worker or is run
    Answering,
    Closing, ///< the last answer was sent; the client may read it before the connection closes
};

template<>
struct NameTable<IngressPhase> {
    static constexpr std::array<std::string_view, 6> names = {"idle", "headers", "body", "running", "answering", "closing"};
};

/** Bounds on what clients may take of a process. No client within the platform's limits reaches them. */
struct IngressLimits {
    std::size_t memoryBytes = std::size_t(20) << 20U; ///< of all requests that are not answered; an eighth of a machine of 160 MB
    std::size_t connections = 2000; ///< of one listener; a machine has 4,100 descriptors, of which 200 are for files
    std::size_t headerBytes = 16'384; ///< of one request; ordinary ones have a few hundred
    std::size_t headerFields = 100; ///< of one request
    std::size_t waitingRequests = 512; ///< whole requests of one listener that wait for a worker; a few hundred connections send one each
    Millis headerTime = Millis(3000); ///< the platform's usual bound on headers
    Millis bodyTime = Millis(3000); ///< for a body in addition to the time at the lowest rate, and the longest pause within it
    std::size_t bodyBytesPerSecond = 16'384; ///< lowest rate of a body; the slowest link of the platform has 10 Mbit/s
    Millis answerTime = Millis(5000); ///< for the client to read an answer
    Millis idleTime = Millis(15'000); ///< of a connection without requests; the platform's usual bound
    Millis closeTime = Millis(500); ///< for a client to read a refusal before the connection closes
};

/** What the governor knows of a listener. */
struct IngressListener {
    std::size_t key = 0;
    std::size_t connections = 0; ///< bound on its connections
    bool isReserved = false; ///< its requests do not count towards the bound on memory and are never dropped for it
};

/** Names a connection within the process. */
using ConnectionKey = std::uint64_t;

/** A connection to close, and why. Without a reason it was idle for long. */
struct IngressDrop {
    ConnectionKey connection = 0;
    std::optional<IngressRefusal> reason;

    bool operator==(const IngressDrop &) const = default;
};

/**
 * Decides which clients of a process's listeners may send, and which connections are closed.
 *
 * Addresses clients that send much, slowly or without end, and those that open many connections. The bound on memory is
 * one for the process; each listener has a bound on connections of its own, so that clients of one take nothing from another.
 * A whole request is never dropped before it is answered.
 *
 * Takes the time from its caller. Not thread safe.
 */
class IngressGovernor
{
public:
    explicit IngressGovernor(IngressLimits limits);

    /**
     * A client connected to @p listener. Returns the connection to close for it, if any: the one without progress for the longest
     * time, those that no request was answered on before others, or the new one when all others have whole requests.
     */
    std::optional<IngressDrop> open(ConnectionKey connection, const IngressListener &listener, Instant now);

    /** The connection is closed. Unknown ones are ignored. */
    void close(ConnectionKey connection);

    /** The connection has gone over to @p phase. */
    void enter(ConnectionKey connection, IngressPhase phase, Instant now);

    /**
     * The unanswered request of a connection holds @p bytes now. Returns the connections to close, so that the bound on memory is
     * kept: first those with the largest product of bytes and age of their unfinished request. It may be this one.
     */
    std::vector<IngressDrop> hold(ConnectionKey connection, std::size_t bytes, Instant now);

    /** Returns the connections that have taken too long in their phase. */
    std::vector<IngressDrop> collectExpired(Instant now) const;

    std::size_t heldBytes() const;
    std::size_t openConnections() const;

private:
    struct State {
        std::size_t listener = 0;
        bool isReserved = false;
        bool wasAnswered = false; ///< a request on it
        IngressPhase phase = IngressPhase::Idle;
        Instant enteredAt;
        Instant requestBegan; ///< first byte of the unfinished request
        Instant lastProgress;
        std::size_t bytes = 0;
    };

    void setBytes(State &state, std::size_t bytes);
    std::optional<ConnectionKey> heaviestUnfinished(Instant now) const;
    std::optional<ConnectionKey> stalest(std::size_t listener, ConnectionKey except) const;
    bool hasExpired(const State &state, Instant now) const;

    const IngressLimits limits;
    std::unordered_map<ConnectionKey, State> states;
    std::map<std::size_t, std::size_t> openByListener;
    std::size_t held = 0;
};

/** Returns the HTTP status of a refusal; zero where the connection is closed without an answer. */
int statusOf(IngressRefusal refusal);

/** Whether a later try can help. */
bool isWorthRetrying(IngressRefusal refusal);

} // namespace waxwingloft

#endif
