#include "waxwingloft/connection/httpclients.h"

namespace waxwingloft {

namespace {

constexpr auto ConnectTimeout = Millis(1000);
constexpr std::size_t MaxIdleClients = 64;

bool surelyNotSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout || error == httplib::Error::BindIPAddress;
}

} // namespace

HttpClients::HttpClients(std::string base)
    : base(std::move(base))
{
}

Result<HttpAnswer> HttpClients::ask(const HttpQuestion &question, Millis timeout)
{
    auto client = this->borrow();
    client->set_connection_timeout(ConnectTimeout);
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);
    httplib::Request request;
    request.method = question.method;
    request.path = question.path;
    request.headers = question.headers;
    request.body = question.body;
    const auto result = client->send(request);
    if (!result) {
        this->dropIdle();
        const auto kind = surelyNotSent(result.error()) ? ErrorKind::Unreachable : ErrorKind::Ambiguous;
        return makeError(kind, this->base + question.path.substr(0, question.path.find('?')) + ": " + httplib::to_string(result.error()));
    }
    HttpAnswer answer{result->status, result->body};
    this->giveBack(std::move(client));
    return answer;
}

/** After one connection has failed the idle ones may be silent as well. */
void HttpClients::dropIdle()
{
    std::vector<ClientPointer> dropped;
    const std::lock_guard<std::mutex> guard(this->mutex);
    dropped.swap(this->idle);
}

HttpClients::ClientPointer HttpClients::borrow()
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (!this->idle.empty()) {
            auto client = std::move(this->idle.back());
            this->idle.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>(this->base);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return client;
}

void HttpClients::giveBack(ClientPointer client)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->idle.size() < MaxIdleClients) {
        this->idle.push_back(std::move(client));
    }
}

} // namespace waxwingloft
