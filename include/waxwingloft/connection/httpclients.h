#ifndef WAXWINGLOFT_CONNECTION_HTTPCLIENTS_H
#define WAXWINGLOFT_CONNECTION_HTTPCLIENTS_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"

#include <httplib.h>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace waxwingloft {

/** An HTTP answer. */
struct HttpAnswer {
    int status = 0;
    std::string body;
};

/** What to ask for. An empty body with method GET sends none. */
struct HttpQuestion {
    std::string method; ///< GET, PUT, POST or DELETE
    std::string path;
    std::string body;
    httplib::Headers headers;
};

/** Keep-alive HTTP connections to one server, lent to one caller at a time. Thread safe. */
class HttpClients
{
public:
    /** @p base is such as "http://127.0.0.1:9000". */
    explicit HttpClients(std::string base);

    /**
     * Sends @p question and returns the whole answer.
     *
     * Unreachable when no connection could be made, Ambiguous when the answer was lost.
     */
    Result<HttpAnswer> ask(const HttpQuestion &question, Millis timeout);

private:
    using ClientPointer = std::unique_ptr<httplib::Client>;

    ClientPointer borrow();
    void dropIdle();
    void giveBack(ClientPointer client);

    const std::string base;
    std::mutex mutex;
    std::vector<ClientPointer> idle;
};

} // namespace waxwingloft

#endif
