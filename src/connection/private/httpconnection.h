#ifndef WAXWINGLOFT_CONNECTION_PRIVATE_HTTPCONNECTION_H
#define WAXWINGLOFT_CONNECTION_PRIVATE_HTTPCONNECTION_H

#include "waxwingloft/connection/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace waxwingloft {

namespace asio = boost::asio;

class HttpConnection;

/** What a connection needs of its server. Called on the loop thread. */
class HttpConnectionHost
{
public:
    virtual ~HttpConnectionHost() = default;

    virtual const IngressLimits &ingressLimits() const = 0;
    virtual void enter(ConnectionKey connection, IngressPhase phase) = 0;

    /** The request of a connection holds @p bytes now; closes connections where that is too much, perhaps this one. */
    virtual void hold(ConnectionKey connection, std::size_t bytes) = 0;

    /** Has a worker run @p request; returns false when too many wait. */
    virtual bool submit(const std::shared_ptr<HttpConnection> &connection, ListenerKey listener, HttpRequest request) = 0;

    /** A submitted request is answered, or its client is gone. */
    virtual void finishRequest(ListenerKey listener) = 0;
    virtual bool isStopping(ListenerKey listener) const = 0;
    virtual void note(IngressRefusal reason) = 0;
    virtual void forget(ConnectionKey connection, ListenerKey listener) = 0;
};

/** One connection of a client. Lives on the loop thread. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(HttpConnectionHost &host, ConnectionKey key, ListenerKey listener, std::size_t maxBodyBytes, asio::ip::tcp::socket socket);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    void start();

    /** Sends the answer to the request in hand. */
    void answer(HttpResponse answer);

    /** Tells the client why nothing was run, as far as that can be sent at once, and ends. Does nothing when a request is in hand. */
    void refuse(IngressRefusal reason);

    /** Closes the socket and forgets all. */
    void close();

    ListenerKey listenerKey() const;
    bool hasRequestInHand() const;

private:
    struct Message; ///< what was read and what is written
    using Step = void (HttpConnection::*)();

    void waitToRead(Step step);
    void readSome();
    void discardSome();
    void parse();
    bool takeHeaders();
    void continueBody();
    void run();
    void beginRequest();
    void send(HttpResponse answer);
    void finishAnswer(bool endsConnection);
    void lingerAfterAnswer();
    void enter(IngressPhase next);

    HttpConnectionHost &host;
    const ConnectionKey key;
    const ListenerKey listener;
    const std::size_t maxBodyBytes;
    asio::ip::tcp::socket socket;
    IngressPhase phase = IngressPhase::Idle;
    bool isOpen = true;
    std::size_t discarded = 0;
    std::string pending; ///< read and not parsed yet; bounded by the size of one read and the headers
    std::unique_ptr<Message> message;
};

} // namespace waxwingloft

#endif
