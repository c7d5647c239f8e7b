#ifndef WAXWINGLOFT_TESTS_READINESS_TROUBLEDSTORE_H
#define WAXWINGLOFT_TESTS_READINESS_TROUBLEDSTORE_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <httplib.h>
#include <latch>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace waxwingloft::tests {

/** How the troubled store treats calls. */
enum class StoreTrouble {
    None,
    Busy, ///< 503, nothing is done
    Resets, ///< connections are closed unanswered, nothing is done
    Silent, ///< no answer; every second transaction is carried out
    Slow, ///< a transaction takes 300 ms, one after another
    LosesSome, ///< every fourth call but those to the feed gets no answer, and every second of these is carried out
};

/** The platform's store in memory with its parts, removals and limits, spoken to over HTTP on loopback, which fails as it is told. */
class TroubledStore
{
public:
    explicit TroubledStore(const std::string &host);
    ~TroubledStore();
    TroubledStore(const TroubledStore &) = delete;
    TroubledStore &operator=(const TroubledStore &) = delete;

    std::string address() const;

    /** Writes a row as the operator does; @p value is in base64. */
    void put(const std::string &table, const std::string &key, const std::string &value);

    void setTrouble(StoreTrouble trouble);

private:
    using Handler = void (TroubledStore::*)(const httplib::Request &, httplib::Response &);

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

    static RowKey keyOf(const nlohmann::json &entry);
    static nlohmann::json rowJson(const RowKey &key, const StoredRow &row);

    /** Lets the trouble of the moment decide on the call. */
    void call(const httplib::Request &request, httplib::Response &response, Handler handler);
    void stayUnanswered(const httplib::Request &request, StoreTrouble trouble);
    void closeConnection(const httplib::Request &request) const;
    void transact(const httplib::Request &request, httplib::Response &response);
    void read(const httplib::Request &request, httplib::Response &response);
    void feed(const httplib::Request &request, httplib::Response &response);
    void answer(httplib::Response &response, nlohmann::json body) const;
    std::uint64_t versionOf(const RowKey &key) const;

    const std::string host;
    httplib::Server server;
    std::latch isListening{1}; ///< the library ignores a stop that comes earlier
    int port = 0;
    std::atomic<StoreTrouble> trouble = StoreTrouble::None;
    std::atomic<std::uint64_t> calls = 0; ///< that may go unanswered
    std::atomic<bool> isOver = false;
    std::mutex transactions; ///< one after another
    std::mutex mutex; ///< guards the rows
    std::condition_variable changed; ///< when a row has been written or removed, or the trouble is another
    std::uint64_t version = 0;
    std::map<RowKey, StoredRow> rows;
    std::thread serving;
};

} // namespace waxwingloft::tests

#endif
