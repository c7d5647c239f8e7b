#include "httppeer.h"

#include <chrono>
#include <stdexcept>

namespace waxwingloft::review {

namespace {

constexpr std::size_t Threads = 96; ///< each open connection of a process takes one
constexpr int KeepAliveSeconds = 60;
constexpr std::size_t KeepAliveRequests = 1'000'000;
constexpr auto BindRetry = std::chrono::milliseconds(20);
constexpr int BindTries = 100;

} // namespace

HttpPeer::HttpPeer(std::string host)
    : host(std::move(host))
{
}

HttpPeer::~HttpPeer()
{
    this->close();
}

httplib::Server &HttpPeer::open()
{
    this->server = std::make_unique<httplib::Server>();
    this->server->new_task_queue = [] { return new httplib::ThreadPool(Threads); };
    this->server->set_tcp_nodelay(true);
    this->server->set_keep_alive_max_count(KeepAliveRequests);
    this->server->set_keep_alive_timeout(KeepAliveSeconds);
    return *this->server;
}

void HttpPeer::run()
{
    for (int tryNumber = 0; tryNumber < BindTries; ++tryNumber) {
        if (this->port == 0) {
            this->port = this->server->bind_to_any_port(this->host);
        } else if (!this->server->bind_to_port(this->host, this->port)) {
            std::this_thread::sleep_for(BindRetry);
            continue;
        }
        this->thread = std::thread([this] { this->server->listen_after_bind(); });
        while (!this->server->is_running()) {
            std::this_thread::sleep_for(BindRetry);
        }
        return;
    }
    throw std::runtime_error("cannot listen on " + this->host);
}

void HttpPeer::close()
{
    if (!this->server) {
        return;
    }
    this->server->stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
    this->server.reset();
}

std::string HttpPeer::address() const
{
    return this->host + ":" + std::to_string(this->port);
}

} // namespace waxwingloft::review
