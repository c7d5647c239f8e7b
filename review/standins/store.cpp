// Stand-in for the platform's store, in memory. POST /control?mode=up|busy makes it refuse all calls of the system with 503;
// POST /control/put?table=T&key=K writes a row, its value in base64, as the operator does.

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <fcntl.h>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <vector>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

constexpr std::size_t LargestCall = 1'048'576;
constexpr std::size_t MostEntries = 100;
constexpr std::size_t LargestValue = 65'536;
constexpr std::size_t LargestPage = 500;
constexpr std::size_t LargestPageBytes = 1'000'000;
constexpr int LongestFeedMs = 30'000;
constexpr auto TransactionTime = std::chrono::milliseconds(5);
constexpr std::size_t Threads = 256;

struct RowKey {
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const RowKey &) const = default;
};

struct StoredRow {
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
};

RowKey keyOf(const Json &entry)
{
    return {entry.at("table").get<std::string>(), entry.value("part", ""), entry.at("key").get<std::string>()};
}

std::size_t decodedSize(const std::string &base64)
{
    const auto padding = static_cast<std::size_t>(std::count(base64.begin(), base64.end(), '='));
    return base64.size() / 4 * 3 - padding;
}

long numberOf(const httplib::Request &request, const char *name, long fallback)
{
    return request.has_param(name) ? std::stol(request.get_param_value(name)) : fallback;
}

class Store
{
public:
    explicit Store(const std::string &record)
        : record(::open(record.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    {
    }

    void serve(httplib::Server &http)
    {
        http.Post("/waxwingloft/rows-tx", [this](const auto &request, auto &response) { this->guarded(request, response, &Store::transact); });
        http.Get("/waxwingloft/rows-get", [this](const auto &request, auto &response) { this->guarded(request, response, &Store::get); });
        http.Get("/waxwingloft/rows-feed", [this](const auto &request, auto &response) { this->guarded(request, response, &Store::feed); });
        http.Post("/control/put", [this](const auto &request, auto &response) { this->put(request, response); });
        http.Post("/control", [this](const auto &request, auto &response) { this->control(request, response); });
    }

private:
    using Handler = void (Store::*)(const httplib::Request &, httplib::Response &);

    void guarded(const httplib::Request &request, httplib::Response &response, Handler handler)
    {
        {
            const std::lock_guard<std::mutex> guard(this->mutex);
            if (this->isBusy) {
                response.status = 503;
                return;
            }
        }
        (this->*handler)(request, response);
    }

    void note(const std::string &text) const
    {
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        const auto line = std::to_string(now) + " store " + text + "\n";
        if (::write(this->record, line.data(), line.size()) < 0) {
            std::cerr << "the record cannot be written\n";
        }
    }

    void answer(httplib::Response &response, Json body, std::uint64_t version) const
    {
        body["ver"] = version;
        body["now_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now().time_since_epoch()).count();
        response.set_content(body.dump(), "application/json");
    }

    static Json rowJson(const RowKey &key, const StoredRow &row)
    {
        Json json{{"table", key.table}, {"part", key.part}, {"key", key.key}, {"ver", row.version}};
        if (row.isRemoved) {
            json["removed"] = true;
        } else {
            json["value"] = row.value;
        }
        return json;
    }

    std::uint64_t versionOf(const RowKey &key) const
    {
        const auto found = this->rows.find(key);
        return found == this->rows.end() || found->second.isRemoved ? 0 : found->second.version;
    }

    void refuse(httplib::Response &response, int status, const std::string &reason) const
    {
        response.status = status;
        this->note("refuses a transaction with " + std::to_string(status) + ": " + reason);
    }

    void transact(const httplib::Request &request, httplib::Response &response)
    {
        const auto body = Json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            this->refuse(response, 400, "not an object");
            return;
        }
        const auto conditions = body.value("expected_rev", Json::array());
        const auto writes = body.value("set_keys", Json::array());
        const auto removals = body.value("remove", Json::array());
        const auto entries = conditions.size() + writes.size() + removals.size();
        if (request.body.size() > LargestCall || entries > MostEntries) {
            this->refuse(response, 413, std::to_string(entries) + " entries, " + std::to_string(request.body.size()) + " bytes");
            return;
        }
        for (const auto &write : writes) {
            if (decodedSize(write.at("value").get<std::string>()) > LargestValue) {
                this->refuse(response, 413, "a value of more than row_bytes");
                return;
            }
            if (write.at("table") == "op" || write.at("table") == "servers") {
                this->refuse(response, 403, "a table of others");
                return;
            }
        }
        const std::lock_guard<std::mutex> turn(this->transactions);
        std::this_thread::sleep_for(TransactionTime);
        const std::lock_guard<std::mutex> guard(this->mutex);
        bool holds = true;
        Json present = Json::array();
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
            this->answer(response, {{"rows", present}}, this->version);
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
        this->answer(response, Json::object(), this->version);
        this->changed.notify_all();
    }

    void get(const httplib::Request &request, httplib::Response &response)
    {
        const auto table = request.get_param_value("table");
        const auto part = request.get_param_value("part");
        const auto target = request.get_param_value("target");
        const auto limit = std::min<std::size_t>(LargestPage, static_cast<std::size_t>(numberOf(request, "limit", LargestPage)));
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
        this->answer(response, {{"rows", list}, {"has_more", hasMore}}, this->version);
    }

    void feed(const httplib::Request &request, httplib::Response &response)
    {
        const auto table = request.get_param_value("table");
        const auto after = static_cast<std::uint64_t>(numberOf(request, "after", 0));
        const auto wait = std::chrono::milliseconds(std::min<long>(numberOf(request, "wait_ms", 0), LongestFeedMs));
        std::unique_lock<std::mutex> lock(this->mutex);
        std::vector<std::pair<RowKey, StoredRow>> found;
        const auto collect = [&] {
            found.clear();
            for (const auto &[key, row] : this->rows) {
                if (key.table == table && row.version > after) {
                    found.emplace_back(key, row);
                }
            }
            return !found.empty() || this->isBusy;
        };
        this->changed.wait_for(lock, wait, collect);
        if (this->isBusy) {
            response.status = 503;
            return;
        }
        std::sort(found.begin(), found.end(), [](const auto &left, const auto &right) { return left.second.version < right.second.version; });
        auto list = Json::array();
        for (const auto &[key, row] : found) {
            list.push_back(rowJson(key, row));
        }
        this->answer(response, {{"rows", list}}, this->version);
    }

    void put(const httplib::Request &request, httplib::Response &response)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        ++this->version;
        this->rows[{request.get_param_value("table"), "", request.get_param_value("key")}] = {request.body, this->version, false};
        this->note("acknowledges " + request.get_param_value("table") + "/" + request.get_param_value("key"));
        this->answer(response, Json::object(), this->version);
        this->changed.notify_all();
    }

    void control(const httplib::Request &request, httplib::Response &response)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->isBusy = request.get_param_value("mode") == "busy";
        this->note(this->isBusy ? "answers 503 to every call from now on" : "answers again");
        response.set_content("{}", "application/json");
        this->changed.notify_all();
    }

    const int record;
    std::mutex transactions; ///< one after another
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t version = 0;
    std::map<RowKey, StoredRow> rows;
    bool isBusy = false;
};

} // namespace

} // namespace waxwingloft::review

int main(int argc, char **argv)
{
    using namespace waxwingloft::review;
    if (argc != 4) {
        std::cerr << "usage: store IP PORT RECORD\n";
        return 2;
    }
    Store store(argv[3]);
    httplib::Server http;
    http.new_task_queue = [] { return new httplib::ThreadPool(Threads); };
    http.set_tcp_nodelay(true);
    http.set_keep_alive_max_count(1'000'000);
    http.set_keep_alive_timeout(60);
    store.serve(http);
    return http.listen(argv[1], std::stoi(argv[2])) ? 0 : 2;
}
