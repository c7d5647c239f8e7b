#ifndef WAXWINGLOFT_REVIEW_STORE_H
#define WAXWINGLOFT_REVIEW_STORE_H

#include "httppeer.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace waxwingloft::review {

/** The platform's metadata store as its pages tell it, in memory and without parts; it keeps its whole history. */
class Store
{
public:
    explicit Store(const std::string &host);
    ~Store();

    std::string address() const;

    /** Opens a further address for a machine whose own link carries so many bytes a second, all its connections together. Returns the address. */
    std::string openLink(const std::string &host, double bytesPerSecond);

    /** Writes a row as the operator does. Returns once it is written, which is the operator's acknowledgement. */
    void put(const std::string &table, const std::string &key, const std::string &value);

    /** Copies the rows of a job to as many others, whose ids replace the job's in key and value, as if they had been written one after the other. */
    void copyJob(const std::string &job, const std::vector<std::string> &others);

private:
    struct StoredRow {
        std::string value; ///< base64
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    using Place = std::pair<std::string, std::string>;
    using Handler = void (Store::*)(const httplib::Request &, httplib::Response &);

    /** An address of the store and the link behind it. */
    struct Door {
        explicit Door(const std::string &host);

        HttpPeer peer;
        double bytesPerSecond = 0.0; ///< zero for a link that is not felt
        std::mutex mutex;
        std::chrono::steady_clock::time_point busyUntil;
    };

    static Place placeOf(const nlohmann::json &entry);
    static nlohmann::json toJson(const Place &place, const StoredRow &row);
    std::uint64_t versionOf(const Place &place) const;
    void open(Door &door);
    static void transmit(Door &door, std::size_t bytes);
    void transact(const httplib::Request &request, httplib::Response &response);
    void read(const httplib::Request &request, httplib::Response &response);
    void feed(const httplib::Request &request, httplib::Response &response);
    void answer(httplib::Response &response, nlohmann::json body) const;

    std::vector<std::unique_ptr<Door>> doors;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t version = 0;
    std::map<Place, StoredRow> rows;
    std::atomic<bool> isOver = false;
};

} // namespace waxwingloft::review

#endif
