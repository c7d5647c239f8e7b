#ifndef WAXWINGLOFT_REVIEW_HTTPPEER_H
#define WAXWINGLOFT_REVIEW_HTTPPEER_H

#include <httplib.h>
#include <memory>
#include <string>
#include <thread>

namespace waxwingloft::review {

/** An HTTP server on a loopback address that can be closed and opened again on the same address. */
class HttpPeer
{
public:
    explicit HttpPeer(std::string host);
    ~HttpPeer();
    HttpPeer(const HttpPeer &) = delete;
    HttpPeer &operator=(const HttpPeer &) = delete;

    /** Opens a server without handlers; call run() once they are set. */
    httplib::Server &open();
    void run();
    void close();

    /** IP:PORT; the port is picked by the first open(). */
    std::string address() const;

private:
    const std::string host;
    int port = 0;
    std::unique_ptr<httplib::Server> server;
    std::thread thread;
};

} // namespace waxwingloft::review

#endif
