#ifndef WAXWINGLOFT_REVIEW_STORE_H
#define WAXWINGLOFT_REVIEW_STORE_H

#include "httppeer.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
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

    static Place placeOf(const nlohmann::json &entry);
    static nlohmann::json toJson(const Place &place, const StoredRow &row);
    std::uint64_t versionOf(const Place &place) const;
    void transact(const httplib::Request &request, httplib::Response &response);
    void read(const httplib::Request &request, httplib::Response &response);
    void feed(const httplib::Request &request, httplib::Response &response);
    void answer(httplib::Response &response, nlohmann::json body) const;

    HttpPeer peer;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t version = 0;
    std::map<Place, StoredRow> rows;
    std::atomic<bool> isOver = false;
};

} // namespace waxwingloft::review

#endif
