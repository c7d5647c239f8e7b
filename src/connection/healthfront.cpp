#include "waxwingloft/connection/healthfront.h"

namespace waxwingloft {

namespace {

constexpr std::size_t Threads = 2;
constexpr std::size_t Connections = 64; ///< operators and monitors have a few
constexpr std::size_t LargestBody = 4096; ///< the questions have none
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

} // namespace

HealthFront::HealthFront(const std::string &address, const HealthService &health, std::shared_ptr<HttpServer> server)
    : health(health)
    , server(std::move(server))
    , key(this->server->bind(address, {Threads, LargestBody, Connections, true}))
{
}

HealthFront::~HealthFront()
{
    this->server->stop(this->key);
}

void HealthFront::run()
{
    this->server->start(this->key, [this](const HttpRequest &request, HttpResponse &response) { this->serve(request, response); });
}

int HealthFront::port() const
{
    return this->server->port(this->key);
}

void HealthFront::serve(const HttpRequest &request, HttpResponse &response) const
{
    response.contentType = "text/plain";
    const bool isRead = request.method == "GET" || request.method == "HEAD";
    if (isRead && request.path == "/healthz") {
        response.body = "ok\n";
    } else if (isRead && request.path == "/readyz") {
        const auto reason = this->health.whyNotReady();
        response.status = reason ? StatusUnavailable : response.status;
        response.body = reason.value_or("ready") + "\n";
    } else if (isRead && request.path == "/metrics") {
        response.contentType = "text/plain; version=0.0.4";
        response.body = this->health.metricsText();
    } else {
        response.status = StatusNotFound;
    }
}

} // namespace waxwingloft
