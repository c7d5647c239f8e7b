#ifndef WAXWINGLOFT_CONNECTION_HTTPBACKEND_H
#define WAXWINGLOFT_CONNECTION_HTTPBACKEND_H

#include "waxwingloft/connection/backendport.h"

#include <memory>
#include <string>

namespace waxwingloft {

class HttpClients;

/** A backend server that takes requests as HTTP POST to /v1/run/KIND on the loopback of its host. Thread safe. */
class HttpBackend : public BackendPort
{
public:
    explicit HttpBackend(const std::string &base);
    ~HttpBackend() override;

    Result<std::string> run(const BackendRequest &request, Millis timeout) override;

private:
    std::unique_ptr<HttpClients> clients;
};

/** A worker runtime that takes tasks as JSON over HTTP on the loopback of its host. Thread safe. */
class HttpWorker : public WorkerPort
{
public:
    HttpWorker(const std::string &base, Millis timeout);
    ~HttpWorker() override;

    Status start(const TaskOrder &order) override;
    Result<TaskUsage> renew(const std::string &id, Millis lease) override;
    Result<std::string> checkpoint(const std::string &id) override;
    Status throttle(const std::string &id) override;
    Status stop(const std::string &id) override;

private:
    Result<std::string> post(const std::string &path, const std::string &body);

    std::unique_ptr<HttpClients> clients;
    const Millis timeout;
};

} // namespace waxwingloft

#endif
