#ifndef WAXWINGLOFT_CONNECTION_HTTPSERVER_H
#define WAXWINGLOFT_CONNECTION_HTTPSERVER_H

#include "waxwingloft/connection/ingressgovernor.h"
#include "waxwingloft/process/metrics.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwingloft {

/** A whole request. */
struct HttpRequest {
    std::string method;
    std::string path; ///< decoded, without the query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /** Returns the value of the first header called @p name in any case; empty when there is none. */
    std::string header(std::string_view name) const;
};

/** The answer to a request. */
struct HttpResponse {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType;
    std::string body;
    bool endsConnection = false; ///< the client is told to send no further request on this connection
};

/** Answers a request; is called on worker threads of its listener. */
using HttpHandler = std::function<void(const HttpRequest &, HttpResponse &)>;

/** What one listener may take. */
struct HttpListenerOptions {
    std::size_t threads = 4; ///< requests run at once; a further one waits
    std::size_t maxBodyBytes = std::size_t(1) << 20U;
    std::size_t connections = 0; ///< zero: the bound of IngressLimits
    bool isReserved = false; ///< its requests are small and are never dropped for lack of memory
};

/** Names a listener of a server. */
using ListenerKey = std::size_t;

/**
 * Serves HTTP/1.0 and 1.1 on any number of addresses. One thread reads and writes all connections; a request takes one of its
 * listener's worker threads once it is whole. What clients may send and hold is decided by an IngressGovernor.
 *
 * Thread safe. Each listener must be stopped before the server ends.
 */
class HttpServer
{
public:
    /** Refusals are counted in @p metrics, which may be null and must outlive the server. */
    explicit HttpServer(IngressLimits limits, Metrics *metrics = nullptr);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Binds @p address, which is IP:PORT; port 0 takes a free one. Throws std::runtime_error when it cannot be used. */
    ListenerKey bind(const std::string &address, HttpListenerOptions options);
    int port(ListenerKey listener) const;

    /** Takes connections from now on and sends all requests to @p handler. */
    void start(ListenerKey key, HttpHandler handler);

    /** Waits until all requests that were read are answered, at most @p limit. Returns whether they are. */
    bool waitUntilIdle(ListenerKey key, Clock &clock, Millis limit);

    /** Takes no new connections, answers what has been read and closes all connections. */
    void stop(ListenerKey key);

private:
    struct Core;
    const std::unique_ptr<Core> core;
};

/** Returns the path of @p target, the second word of a request, decoded and without its query. */
std::string pathOfTarget(std::string_view target);

} // namespace waxwingloft

#endif
