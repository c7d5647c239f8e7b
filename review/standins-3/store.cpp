#include "standins.h"

#include <algorithm>
#include <condition_variable>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr int Ok = 200;
constexpr int Conflict = 412;
constexpr std::size_t PageRows = 500;
constexpr std::size_t ServerThreads = 200; ///< each process of the system keeps a few questions to the feed open

struct RowKey {
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const RowKey &) const = default;
};

struct StoredRow {
    std::string value;
    std::uint64_t version = 0;
};

struct RowEvent {
    RowKey key;
    StoredRow row;
    bool isRemoved = false;
};

Json toJson(const RowKey &key, const StoredRow &row)
{
    return {{"table", key.table}, {"part", key.part}, {"key", key.key}, {"value", row.value}, {"ver", row.version}};
}

RowKey keyOf(const Json &json)
{
    return {json.at("table").get<std::string>(), json.value("part", ""), json.at("key").get<std::string>()};
}

/** The platform's store with tables, in memory. It answers at once and loses nothing. */
class Store
{
public:
    void serve(httplib::Server &http)
    {
        http.Post("/waxwingloft/rows-tx", [this](const httplib::Request &request, httplib::Response &response) { this->commit(request, response, false); });
        http.Post("/operator/rows-tx", [this](const httplib::Request &request, httplib::Response &response) { this->commit(request, response, true); });
        http.Get("/waxwingloft/rows-get", [this](const httplib::Request &request, httplib::Response &response) { this->read(request, response); });
        http.Get("/waxwingloft/rows-feed", [this](const httplib::Request &request, httplib::Response &response) { this->follow(request, response); });
    }

private:
    void commit(const httplib::Request &request, httplib::Response &response, bool isOperator)
    {
        const auto body = Json::parse(request.body);
        const std::lock_guard<std::mutex> guard(this->mutex);
        bool isMet = true;
        auto current = Json::array();
        for (const auto &condition : body.value("expected_rev", Json::array())) {
            const auto key = keyOf(condition);
            const auto found = this->rows.find(key);
            isMet = isMet && (found == this->rows.end() ? 0 : found->second.version) == condition.at("ver").get<std::uint64_t>();
            if (found != this->rows.end()) {
                current.push_back(toJson(key, found->second));
            }
        }
        if (!isMet) {
            response.status = Conflict;
            this->answer(response, {{"rows", current}});
            return;
        }
        const auto isForbidden = [isOperator](const Json &entry) { return !isOperator && (entry.at("table") == "op" || entry.at("table") == "servers"); };
        const auto writes = body.value("set_keys", Json::array());
        const auto removals = body.value("remove", Json::array());
        if (std::any_of(writes.begin(), writes.end(), isForbidden) || std::any_of(removals.begin(), removals.end(), isForbidden)) {
            response.status = 403;
            return;
        }
        ++this->version;
        for (const auto &write : writes) {
            const auto key = keyOf(write);
            this->rows[key] = {write.at("value").get<std::string>(), this->version};
            this->events.push_back({key, this->rows[key], false});
        }
        for (const auto &removal : removals) {
            const auto key = keyOf(removal);
            this->rows.erase(key);
            this->events.push_back({key, {"", this->version}, true});
        }
        this->changed.notify_all();
        this->answer(response, Json::object());
    }

    void read(const httplib::Request &request, httplib::Response &response)
    {
        const RowKey from{request.get_param_value("table"), request.get_param_value("part"), request.get_param_value("from")};
        const auto target = request.get_param_value("target");
        const auto limit = request.has_param("limit") ? std::min<std::size_t>(std::stoul(request.get_param_value("limit")), PageRows) : PageRows;
        const std::lock_guard<std::mutex> guard(this->mutex);
        auto found = Json::array();
        bool hasMore = false;
        for (auto row = this->rows.lower_bound(from); row != this->rows.end() && !hasMore; ++row) {
            const bool isInRange = row->first.table == from.table && row->first.part == from.part && (target.empty() || row->first.key < target);
            if (!isInRange) {
                break;
            }
            hasMore = found.size() == limit;
            if (!hasMore) {
                found.push_back(toJson(row->first, row->second));
            }
        }
        this->answer(response, {{"rows", found}, {"has_more", hasMore}});
    }

    void follow(const httplib::Request &request, httplib::Response &response)
    {
        const auto table = request.get_param_value("table");
        const auto after = std::stoull(request.get_param_value("after"));
        const auto wait = std::chrono::milliseconds(request.has_param("wait_ms") ? std::stol(request.get_param_value("wait_ms")) : 0);
        std::unique_lock<std::mutex> lock(this->mutex);
        auto found = Json::array();
        const auto collect = [&] {
            for (const auto &event : this->events) {
                if (event.key.table == table && event.row.version > after) {
                    auto row = toJson(event.key, event.row);
                    if (event.isRemoved) {
                        row["removed"] = true;
                    }
                    found.push_back(std::move(row));
                }
            }
            return !found.empty();
        };
        this->changed.wait_for(lock, wait, collect);
        this->answer(response, {{"rows", found}});
    }

    void answer(httplib::Response &response, Json body) const
    {
        body["ver"] = this->version;
        body["now_ms"] = nowMillis();
        response.set_content(body.dump(), "application/json");
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<RowKey, StoredRow> rows;
    std::vector<RowEvent> events;
    std::uint64_t version = 0;
};

} // namespace

int runStore(const std::vector<std::string> &arguments)
{
    const auto &address = arguments.at(0);
    Store store;
    httplib::Server http;
    http.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
    http.set_tcp_nodelay(true);
    store.serve(http);
    return http.listen(hostOf(address), portOf(address)) ? 0 : 1;
}

} // namespace waxwingloft::review
