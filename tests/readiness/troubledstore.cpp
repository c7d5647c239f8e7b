#include "troubledstore.h"

#include <algorithm>
#include <chrono>
#include <netinet/in.h>
#include <sys/socket.h>
#include <vector>

namespace waxwingloft::tests {

namespace {

using Json = nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

constexpr std::size_t Threads = 128; ///< each connection of a process takes one
constexpr std::size_t LargestCall = 1'048'576;
constexpr std::size_t MostEntries = 100;
constexpr std::size_t LargestPage = 500;
constexpr std::size_t LargestPageBytes = 1'000'000;
constexpr auto TransactionTime = Milliseconds(5);
constexpr auto SlowTransactionTime = Milliseconds(300);
constexpr auto LongestSilence = Milliseconds(5000); ///< above every time-out of a call
constexpr auto Look = Milliseconds(10);
constexpr int StatusBusy = 503;
constexpr int LargestDescriptor = 4096;

long numberOf(const httplib::Request &request, const char *name, long fallback)
{
    return request.has_param(name) ? std::stol(request.get_param_value(name)) : fallback;
}

} // namespace

TroubledStore::TroubledStore(const std::string &host)
    : host(host)
{
    this->server.Post("/waxwingloft/rows-tx", [this](const auto &request, auto &response) { this->call(request, response, &TroubledStore::transact); });
    this->server.Get("/waxwingloft/rows-get", [this](const auto &request, auto &response) { this->call(request, response, &TroubledStore::read); });
    this->server.Get("/waxwingloft/rows-feed", [this](const auto &request, auto &response) { this->call(request, response, &TroubledStore::feed); });
    this->server.set_tcp_nodelay(true);
    this->server.set_keep_alive_max_count(1'000'000);
    this->server.set_keep_alive_timeout(60);
    this->server.new_task_queue = [this] {
        this->isListening.count_down();
        return new httplib::ThreadPool(Threads);
    };
    this->port = this->server.bind_to_any_port(host);
    this->serving = std::thread([this] { this->server.listen_after_bind(); });
    this->isListening.wait();
}

TroubledStore::~TroubledStore()
{
    this->isOver = true;
    this->setTrouble(StoreTrouble::Busy);
    this->server.stop();
    this->serving.join();
}

std::string TroubledStore::address() const
{
    return this->host + ":" + std::to_string(this->port);
}

void TroubledStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->rows[{table, "", key}] = {value, ++this->version, false};
    this->changed.notify_all();
}

void TroubledStore::setTrouble(StoreTrouble trouble)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->trouble = trouble;
    this->changed.notify_all();
}

TroubledStore::RowKey TroubledStore::keyOf(const Json &entry)
{
    return {entry.at("table").get<std::string>(), entry.value("part", ""), entry.at("key").get<std::string>()};
}

Json TroubledStore::rowJson(const RowKey &key, const StoredRow &row)
{
    Json json{{"table", key.table}, {"part", key.part}, {"key", key.key}, {"ver", row.version}};
    if (row.isRemoved) {
        json["removed"] = true;
    } else {
        json["value"] = row.value;
    }
    return json;
}

void TroubledStore::call(const httplib::Request &request, httplib::Response &response, Handler handler)
{
    const auto trouble = this->trouble.load();
    if (trouble == StoreTrouble::Busy) {
        response.status = StatusBusy;
        return;
    }
    if (trouble == StoreTrouble::Resets) {
        this->closeConnection(request);
        return;
    }
    const bool isFeed = handler == &TroubledStore::feed;
    if (trouble == StoreTrouble::Silent || (trouble == StoreTrouble::LosesSome && !isFeed && ++this->calls % 4 == 0)) {
        if (!isFeed && this->calls++ % 2 == 0) {
            (this->*handler)(request, response);
        }
        this->stayUnanswered(request, trouble);
        return;
    }
    (this->*handler)(request, response);
}

void TroubledStore::stayUnanswered(const httplib::Request &request, StoreTrouble trouble)
{
    const auto until = std::chrono::steady_clock::now() + LongestSilence;
    while (std::chrono::steady_clock::now() < until && this->trouble == trouble && !this->isOver) {
        std::this_thread::sleep_for(Look);
    }
    this->closeConnection(request);
}

/** The library shows no handler its connection, so that it is looked for by its peer. */
void TroubledStore::closeConnection(const httplib::Request &request) const
{
    for (int descriptor = 3; descriptor < LargestDescriptor; ++descriptor) {
        sockaddr_in own{};
        sockaddr_in peer{};
        socklen_t ownSize = sizeof(own);
        socklen_t peerSize = sizeof(peer);
        if (::getsockname(descriptor, reinterpret_cast<sockaddr *>(&own), &ownSize) == 0
            && ::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &peerSize) == 0 && ntohs(own.sin_port) == this->port
            && ntohs(peer.sin_port) == request.remote_port) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
}

void TroubledStore::transact(const httplib::Request &request, httplib::Response &response)
{
    const auto body = Json::parse(request.body);
    const auto conditions = body.value("expected_rev", Json::array());
    const auto writes = body.value("set_keys", Json::array());
    const auto removals = body.value("remove", Json::array());
    if (request.body.size() > LargestCall || conditions.size() + writes.size() + removals.size() > MostEntries) {
        response.status = 413;
        return;
    }
    const std::lock_guard<std::mutex> turn(this->transactions);
    std::this_thread::sleep_for(this->trouble == StoreTrouble::Slow ? SlowTransactionTime : TransactionTime);
    const std::lock_guard<std::mutex> guard(this->mutex);
    bool holds = true;
    auto present = Json::array();
    for (const auto &condition : conditions) {
        const auto key = keyOf(condition);
        const auto version = this->versionOf(key);
        holds = holds && version == condition.at("ver").get<std::uint64_t>();
        if (version != 0) {
            present.push_back(rowJson(key, this->rows.at(key)));
        }
    }
    if (!holds) {
        response.status = 412;
        this->answer(response, {{"rows", present}});
        return;
    }
    ++this->version;
    for (const auto &write : writes) {
        this->rows[keyOf(write)] = {write.at("value").get<std::string>(), this->version, false};
    }
    for (const auto &removal : removals) {
        const auto found = this->rows.find(keyOf(removal));
        if (found != this->rows.end()) {
            found->second = {"", this->version, true};
        }
    }
    this->answer(response, Json::object());
    this->changed.notify_all();
}

void TroubledStore::read(const httplib::Request &request, httplib::Response &response)
{
    const auto table = request.get_param_value("table");
    const auto part = request.get_param_value("part");
    const auto target = request.get_param_value("target");
    const auto limit = std::min(LargestPage, static_cast<std::size_t>(numberOf(request, "limit", LargestPage)));
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto list = Json::array();
    bool hasMore = false;
    std::size_t bytes = 0;
    for (auto item = this->rows.lower_bound({table, part, request.get_param_value("from")}); item != this->rows.end(); ++item) {
        const auto &[key, row] = *item;
        if (key.table != table || key.part != part || (!target.empty() && key.key >= target)) {
            break;
        }
        if (row.isRemoved) {
            continue;
        }
        if (list.size() >= limit || (bytes + row.value.size() > LargestPageBytes && !list.empty())) {
            hasMore = true;
            break;
        }
        bytes += row.value.size();
        list.push_back(rowJson(key, row));
    }
    this->answer(response, {{"rows", list}, {"has_more", hasMore}});
}

void TroubledStore::feed(const httplib::Request &request, httplib::Response &response)
{
    const auto table = request.get_param_value("table");
    const auto after = static_cast<std::uint64_t>(numberOf(request, "after", 0));
    const auto isInTrouble = [this] {
        return this->trouble == StoreTrouble::Busy || this->trouble == StoreTrouble::Resets || this->trouble == StoreTrouble::Silent;
    };
    std::vector<std::pair<RowKey, StoredRow>> found;
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, Milliseconds(numberOf(request, "wait_ms", 0)), [&] {
        found.clear();
        std::copy_if(this->rows.begin(), this->rows.end(), std::back_inserter(found), [&](const auto &item) {
            return item.first.table == table && item.second.version > after;
        });
        return !found.empty() || isInTrouble();
    });
    if (isInTrouble()) {
        lock.unlock();
        this->call(request, response, &TroubledStore::feed);
        return;
    }
    std::sort(found.begin(), found.end(), [](const auto &left, const auto &right) { return left.second.version < right.second.version; });
    auto list = Json::array();
    for (const auto &[key, row] : found) {
        list.push_back(rowJson(key, row));
    }
    this->answer(response, {{"rows", list}});
}

void TroubledStore::answer(httplib::Response &response, Json body) const
{
    body["ver"] = this->version;
    body["now_ms"] = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    response.set_content(body.dump(), "application/json");
}

std::uint64_t TroubledStore::versionOf(const RowKey &key) const
{
    const auto found = this->rows.find(key);
    return found == this->rows.end() || found->second.isRemoved ? 0 : found->second.version;
}

} // namespace waxwingloft::tests
