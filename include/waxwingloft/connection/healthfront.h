#ifndef WAXWINGLOFT_CONNECTION_HEALTHFRONT_H
#define WAXWINGLOFT_CONNECTION_HEALTHFRONT_H

#include "waxwingloft/connection/frontservice.h"
#include "waxwingloft/connection/httpserver.h"

#include <memory>
#include <string>

namespace waxwingloft {

/** Answers operators and monitors of a process on the users' platform: health, readiness and metrics. */
class HealthFront
{
public:
    /** Listens on @p address, an IP address and port, beside the other listeners of @p server. Throws std::runtime_error when it cannot. */
    HealthFront(const std::string &address, const HealthService &health, std::shared_ptr<HttpServer> server);
    ~HealthFront();
    HealthFront(const HealthFront &) = delete;
    HealthFront &operator=(const HealthFront &) = delete;

    /** Starts to answer. */
    void run();

    int port() const;

private:
    void serve(const HttpRequest &request, HttpResponse &response) const;

    const HealthService &health;
    const std::shared_ptr<HttpServer> server;
    const ListenerKey key;
};

} // namespace waxwingloft

#endif
