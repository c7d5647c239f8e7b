#ifndef WAXWINGLOFT_TESTS_PLATFORM_FAKESTORE_H
#define WAXWINGLOFT_TESTS_PLATFORM_FAKESTORE_H

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <httplib.h>
#include <latch>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace waxwingloft::tests {

/** How the fake store treats calls. */
enum class StoreMood {
    Fine,
    Busy, ///< 503, nothing is done
    Refusing, ///< transactions are refused with the status set, nothing is done
    LosesAnswers, ///< transactions are done and answered with rubbish
    ForgotHistory, ///< 410 for the feed
};

/** The platform's store in memory, spoken to over HTTP on loopback. */
class FakeStore
{
public:
    /** @p threads bounds the connections that are served at once. */
    explicit FakeStore(std::size_t threads = CPPHTTPLIB_THREAD_POOL_COUNT)
    {
        this->server.Post("/waxwingloft/rows-tx", [this](const httplib::Request &request, httplib::Response &response) { this->transact(request, response); });
        this->server.Get("/waxwingloft/rows-get", [this](const httplib::Request &request, httplib::Response &response) { this->read(request, response); });
        this->server.Get("/waxwingloft/rows-feed", [this](const httplib::Request &request, httplib::Response &response) { this->feed(request, response); });
        this->server.new_task_queue = [this, threads] {
            this->isListening.count_down();
            return new httplib::ThreadPool(threads);
        };
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        this->isListening.wait();
    }

    ~FakeStore()
    {
        this->server.stop();
        this->thread.join();
    }

    FakeStore(const FakeStore &) = delete;
    FakeStore &operator=(const FakeStore &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }

    /** Writes a row as another writer does; @p value is in base64. */
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->rows[{table, key}] = {value, ++this->version};
        this->changed.notify_all();
    }

    std::atomic<StoreMood> mood = StoreMood::Fine;
    std::atomic<int> refusal = 400;
    std::atomic<int> transactions = 0;
    int pageRows = 500;
    bool feedWaits = false; ///< answers of the feed wait for a change, as the platform's do

private:
    struct StoredRow {
        std::string value;
        std::uint64_t version = 0;
    };

    using Place = std::pair<std::string, std::string>;

    static Place placeOf(const nlohmann::json &json)
    {
        return {json.at("table").get<std::string>(), json.at("key").get<std::string>()};
    }

    void transact(const httplib::Request &request, httplib::Response &response)
    {
        if (this->mood == StoreMood::Busy) {
            response.status = 503;
            return;
        }
        if (this->mood == StoreMood::Refusing) {
            response.status = this->refusal;
            return;
        }
        const std::lock_guard<std::mutex> guard(this->mutex);
        ++this->transactions;
        const auto body = nlohmann::json::parse(request.body);
        for (const auto &condition : body.at("expected_rev")) {
            const auto found = this->rows.find(placeOf(condition));
            if ((found == this->rows.end() ? 0 : found->second.version) != condition.at("ver").get<std::uint64_t>()) {
                response.status = 412;
                response.set_content(R"({"rows":[]})", "application/json");
                return;
            }
        }
        ++this->version;
        for (const auto &entry : body.at("set_keys")) {
            this->rows[placeOf(entry)] = {entry.at("value").get<std::string>(), this->version};
        }
        for (const auto &entry : body.at("remove")) {
            this->rows.erase(placeOf(entry));
        }
        this->changed.notify_all();
        const auto answer = nlohmann::json{{"ver", this->version}, {"now_ms", 1}};
        response.set_content(this->mood == StoreMood::LosesAnswers ? "rubbish" : answer.dump(), "application/json");
    }

    void read(const httplib::Request &request, httplib::Response &response)
    {
        if (this->mood == StoreMood::Busy) {
            response.status = 503;
            return;
        }
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto limit = std::min(this->pageRows, std::stoi(request.get_param_value("limit")));
        auto list = nlohmann::json::array();
        bool hasMore = false;
        for (auto row = this->rows.lower_bound({request.get_param_value("table"), request.get_param_value("from")}); row != this->rows.end(); ++row) {
            if (row->first.first != request.get_param_value("table")) {
                break;
            }
            if (static_cast<int>(list.size()) == limit) {
                hasMore = true;
                break;
            }
            list.push_back(this->toJson(row->first, row->second));
        }
        response.set_content(nlohmann::json{{"rows", list}, {"has_more", hasMore}, {"ver", this->version}, {"now_ms", 1}}.dump(), "application/json");
    }

    void feed(const httplib::Request &request, httplib::Response &response)
    {
        if (this->mood == StoreMood::ForgotHistory) {
            response.status = 410;
            return;
        }
        std::unique_lock<std::mutex> lock(this->mutex);
        if (this->feedWaits) {
            const auto after = std::stoull(request.get_param_value("after"));
            const auto wait = std::chrono::milliseconds(std::stol(request.get_param_value("wait_ms")));
            this->changed.wait_for(lock, wait, [this, &request, after] { return this->hasNewer(request.get_param_value("table"), after); });
        }
        auto list = nlohmann::json::array();
        for (const auto &[place, row] : this->rows) {
            if (place.first == request.get_param_value("table") && row.version > std::stoull(request.get_param_value("after"))) {
                list.push_back(this->toJson(place, row));
            }
        }
        response.set_content(nlohmann::json{{"rows", list}, {"ver", this->version}, {"now_ms", 1}}.dump(), "application/json");
    }

    bool hasNewer(const std::string &table, std::uint64_t after) const
    {
        return std::any_of(this->rows.begin(), this->rows.end(), [&](const auto &item) { return item.first.first == table && item.second.version > after; });
    }

    nlohmann::json toJson(const Place &place, const StoredRow &row) const
    {
        return {{"table", place.first}, {"part", ""}, {"key", place.second}, {"value", row.value}, {"ver", row.version}};
    }

    httplib::Server server;
    std::latch isListening{1}; ///< the library ignores a stop that comes earlier
    int port = 0;
    std::thread thread;
    std::mutex mutex;
    std::condition_variable changed; ///< when a row has been written or removed
    std::uint64_t version = 0;
    std::map<Place, StoredRow> rows;
};

} // namespace waxwingloft::tests

#endif
