#include "waxwingloft/connection/httptablestore.h"

#include "waxwingloft/connection/httpclients.h"

#include <nlohmann/json.hpp>

namespace waxwingloft {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusTimeout = 408;
constexpr int StatusConflict = 409;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;

std::string escaped(const std::string &text)
{
    return httplib::detail::encode_query_param(text);
}

Row rowOf(const nlohmann::json &json)
{
    return {json.value("key", ""), json.value("value", ""), json.value("revision", std::uint64_t(0)), json.value("operation", "")};
}

/** A read that fails has no effect, whatever the reason. */
Error readError(const Error &error)
{
    return makeError(ErrorKind::PlatformDown, error.message);
}

Error statusError(const HttpAnswer &answer)
{
    return makeError(ErrorKind::PlatformDown, "the platform answered with status " + std::to_string(answer.status));
}

/** Only 503 and refusals of the request say that a commit had no effect; most of the latter are final. */
Error commitError(const HttpAnswer &answer)
{
    if (answer.status == StatusUnavailable || answer.status == StatusTooMany || answer.status == StatusTimeout) {
        return statusError(answer);
    }
    const bool isFinal = answer.status >= 400 && answer.status < 500;
    return makeError(isFinal ? ErrorKind::Rejected : ErrorKind::Ambiguous, "the platform answered a commit with status " + std::to_string(answer.status));
}

nlohmann::json bodyOf(const Transaction &transaction)
{
    auto body = nlohmann::json{{"operation", transaction.operation}, {"conditions", nlohmann::json::array()}, {"writes", nlohmann::json::array()}};
    for (const auto &condition : transaction.conditions) {
        body["conditions"].push_back({{"key", condition.key}, {"revision", condition.revision}});
    }
    for (const auto &write : transaction.writes) {
        body["writes"].push_back({{"key", write.key}, {"value", write.value ? nlohmann::json(*write.value) : nlohmann::json()}});
    }
    return body;
}

} // namespace

HttpTableStore::HttpTableStore(const std::string &base, Millis timeout, Metrics &metrics)
    : clients(std::make_unique<HttpClients>(base))
    , timeout(timeout)
    , metrics(metrics)
{
}

HttpTableStore::~HttpTableStore() = default;

Result<std::optional<Row>> HttpTableStore::get(const std::string &key)
{
    this->metrics.add(Count::TableCalls);
    const auto answer = this->clients->ask({"GET", "/v1/row?key=" + escaped(key), "", {}}, this->timeout);
    if (!succeeded(answer)) {
        this->metrics.add(Count::TableFailures);
        return readError(errorOf(answer));
    }
    if (valueOf(answer).status == StatusNotFound) {
        return std::optional<Row>();
    }
    const auto json = nlohmann::json::parse(valueOf(answer).body, nullptr, false);
    if (valueOf(answer).status != StatusOk || !json.is_object()) {
        this->metrics.add(Count::TableFailures);
        return statusError(valueOf(answer));
    }
    return std::optional<Row>(rowOf(json));
}

Result<RowList> HttpTableStore::list(const std::string &prefix, std::uint64_t since)
{
    this->metrics.add(Count::TableCalls);
    const auto path = "/v1/rows?prefix=" + escaped(prefix) + "&since=" + std::to_string(since);
    const auto answer = this->clients->ask({"GET", path, "", {}}, this->timeout);
    if (!succeeded(answer)) {
        this->metrics.add(Count::TableFailures);
        return readError(errorOf(answer));
    }
    const auto json = nlohmann::json::parse(valueOf(answer).body, nullptr, false);
    if (valueOf(answer).status != StatusOk || !json.is_object() || !json.contains("rows")) {
        this->metrics.add(Count::TableFailures);
        return statusError(valueOf(answer));
    }
    RowList list{{}, json.value("revision", std::uint64_t(0))};
    for (const auto &row : json["rows"]) {
        list.rows.push_back(rowOf(row));
    }
    return list;
}

Result<Commit> HttpTableStore::commit(const Transaction &transaction)
{
    this->metrics.add(Count::TableCalls);
    const auto answer = this->clients->ask({"POST", "/v1/transactions", bodyOf(transaction).dump(), {}}, this->timeout);
    if (!succeeded(answer)) {
        this->metrics.add(Count::TableFailures);
        const auto kind = errorOf(answer).kind == ErrorKind::Unreachable ? ErrorKind::PlatformDown : ErrorKind::Ambiguous;
        return makeError(kind, errorOf(answer).message);
    }
    const auto json = nlohmann::json::parse(valueOf(answer).body, nullptr, false);
    if (valueOf(answer).status == StatusConflict && json.is_object()) {
        return makeError(ErrorKind::Conflict, "row " + json.value("key", "") + " was changed by another process");
    }
    if (valueOf(answer).status != StatusOk || !json.is_object()) {
        this->metrics.add(Count::TableFailures);
        return commitError(valueOf(answer));
    }
    return Commit{json.value("revision", std::uint64_t(0))};
}

HttpObjectStore::HttpObjectStore(const std::string &base, Millis timeout)
    : clients(std::make_unique<HttpClients>(base))
    , timeout(timeout)
{
}

HttpObjectStore::~HttpObjectStore() = default;

Status HttpObjectStore::put(const std::string &key, const std::string &bytes)
{
    const auto answer = this->clients->ask({"PUT", "/v1/objects/" + escaped(key), bytes, {}}, this->timeout);
    if (!succeeded(answer)) {
        return makeError(ErrorKind::PlatformDown, errorOf(answer).message);
    }
    return valueOf(answer).status == StatusOk ? Status(Done{}) : statusError(valueOf(answer));
}

Result<std::string> HttpObjectStore::fetch(const std::string &key)
{
    const auto answer = this->clients->ask({"GET", "/v1/objects/" + escaped(key), "", {}}, this->timeout);
    if (!succeeded(answer)) {
        return readError(errorOf(answer));
    }
    if (valueOf(answer).status == StatusNotFound) {
        return makeError(ErrorKind::NotFound, "there is no object " + key);
    }
    return valueOf(answer).status == StatusOk ? Result<std::string>(valueOf(answer).body) : statusError(valueOf(answer));
}

} // namespace waxwingloft
