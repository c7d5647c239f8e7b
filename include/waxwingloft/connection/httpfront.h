#ifndef WAXWINGLOFT_CONNECTION_HTTPFRONT_H
#define WAXWINGLOFT_CONNECTION_HTTPFRONT_H

#include "waxwingloft/connection/frontservice.h"

#include <memory>
#include <string>

namespace waxwingloft {

/** Bounds of an HTTP server. */
struct HttpFrontOptions {
    std::size_t threads = 64; ///< connections served at once
    std::size_t maxBodyBytes = std::size_t(8) << 20;
    Millis readTimeout = Millis(5000); ///< for each read of a request
    Millis keepAlive = Millis(5000); ///< how long an idle connection is kept
    Millis bodyDeadline = Millis(20000); ///< for a whole body, however slowly it comes
};

/**
 * The HTTP side of a process: what callers, operators, backend servers and monitors ask.
 *
 * Maps requests onto the services and their answers back; decides nothing.
 */
class HttpFront
{
public:
    /** Listens on @p address, an IP address and port. Throws std::runtime_error when it cannot. */
    HttpFront(const std::string &address, const HealthService &health, HttpFrontOptions options);
    ~HttpFront();
    HttpFront(const HttpFront &) = delete;
    HttpFront &operator=(const HttpFront &) = delete;

    /** Serves callers and operators. Call before run(). */
    void serveFront(FrontService &service);

    /** Serves announcements of what stands behind an agent. Call before run(). */
    void serveAnnouncements(AnnouncementService &service);

    /** Starts to answer on threads of its own. */
    void run();

    /** Stops taking connections and waits until requests in hand are answered. */
    void stop();

    int port() const;

private:
    struct Server;
    std::unique_ptr<Server> server;
};

} // namespace waxwingloft

#endif
