#include "entryclient.h"

#include <httplib.h>

namespace waxwingloft::cli {

namespace {

httplib::Client makeClient(const std::string &base, const std::string &token, int timeoutSeconds)
{
    httplib::Client client(base);
    client.set_read_timeout(timeoutSeconds, 0);
    client.set_connection_timeout(2, 0);
    client.set_tcp_nodelay(true);
    if (!token.empty()) {
        client.set_default_headers({{"Authorization", "Bearer " + token}});
    }
    return client;
}

Result<EntryAnswer> answerOf(const httplib::Result &result, const std::string &base)
{
    if (!result) {
        return makeError(ErrorKind::Unreachable, "no answer from " + base + ": " + httplib::to_string(result.error()), "check --entry, or try another entry");
    }
    return EntryAnswer{result->status, result->get_header_value("Outcome"), result->body};
}

} // namespace

nlohmann::json EntryAnswer::json() const
{
    auto parsed = nlohmann::json::parse(this->body, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json() : parsed;
}

EntryClient::EntryClient(std::string base, std::string token, int timeoutSeconds)
    : base(std::move(base))
    , token(std::move(token))
    , timeoutSeconds(timeoutSeconds)
{
}

Result<EntryAnswer> EntryClient::get(const std::string &path) const
{
    auto client = makeClient(this->base, this->token, this->timeoutSeconds);
    return answerOf(client.Get(path), this->base);
}

Result<EntryAnswer> EntryClient::post(const std::string &path, const std::string &body, const std::map<std::string, std::string> &headers) const
{
    auto client = makeClient(this->base, this->token, this->timeoutSeconds);
    httplib::Headers sent;
    for (const auto &[name, value] : headers) {
        if (!value.empty()) {
            sent.emplace(name, value);
        }
    }
    return answerOf(client.Post(path, sent, body, "application/json"), this->base);
}

std::string EntryClient::escape(const std::string &text)
{
    return httplib::detail::encode_query_param(text);
}

} // namespace waxwingloft::cli
