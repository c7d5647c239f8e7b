#include "store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <chrono>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr auto TransactionTime = std::chrono::milliseconds(5);
constexpr auto ReadTime = std::chrono::milliseconds(4);
constexpr std::size_t MostEntries = 100;
constexpr std::size_t LargestCall = 1'000'000;
constexpr std::size_t LargestRow = 65'536; ///< row_bytes
constexpr std::size_t LargestPage = 500;
constexpr long LongestWaitMs = 30'000;
constexpr int StatusBadRequest = 400;
constexpr int StatusConditionFailed = 412;

long numberOf(const httplib::Request &request, const char *name, long fallback)
{
    return request.has_param(name) ? std::stol(request.get_param_value(name)) : fallback;
}

} // namespace

Store::Door::Door(const std::string &host)
    : peer(host)
{
}

Store::Store(const std::string &host)
{
    this->doors.push_back(std::make_unique<Door>(host));
    this->open(*this->doors.front());
}

Store::~Store()
{
    this->isOver = true;
    this->changed.notify_all();
    for (const auto &door : this->doors) {
        door->peer.close();
    }
}

std::string Store::address() const
{
    return this->doors.front()->peer.address();
}

std::string Store::openLink(const std::string &host, double bytesPerSecond)
{
    this->doors.push_back(std::make_unique<Door>(host));
    auto &door = *this->doors.back();
    door.bytesPerSecond = bytesPerSecond;
    this->open(door);
    return door.peer.address();
}

void Store::open(Door &door)
{
    auto &server = door.peer.open();
    const auto call = [this, &door](Handler handler) {
        return [this, &door, handler](const httplib::Request &request, httplib::Response &response) {
            (this->*handler)(request, response);
            transmit(door, response.body.size());
        };
    };
    server.Post("/waxwingloft/rows-tx", call(&Store::transact));
    server.Get("/waxwingloft/rows-get", call(&Store::read));
    server.Get("/waxwingloft/rows-feed", call(&Store::feed));
    door.peer.run();
}

/** Waits until the link has carried an answer after those before it. */
void Store::transmit(Door &door, std::size_t bytes)
{
    if (door.bytesPerSecond <= 0.0) {
        return;
    }
    const auto time = std::chrono::duration<double>(static_cast<double>(bytes) / door.bytesPerSecond);
    std::unique_lock<std::mutex> lock(door.mutex);
    door.busyUntil = std::max(door.busyUntil, std::chrono::steady_clock::now()) + std::chrono::duration_cast<std::chrono::nanoseconds>(time);
    const auto until = door.busyUntil;
    lock.unlock();
    std::this_thread::sleep_until(until);
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->rows[{table, key}] = {absl::Base64Escape(value), ++this->version, false};
    this->changed.notify_all();
}

void Store::copyJob(const std::string &job, const std::vector<std::string> &others)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    for (const auto &suffix : {std::string(), std::string("/progress")}) {
        std::string value;
        absl::Base64Unescape(this->rows.at({"jobs", job + suffix}).value, &value);
        for (const auto &other : others) {
            this->rows[{"jobs", other + suffix}] = {absl::Base64Escape(absl::StrReplaceAll(value, {{job, other}})), ++this->version, false};
        }
    }
}

Store::Place Store::placeOf(const Json &entry)
{
    return {entry.at("table").get<std::string>(), entry.at("key").get<std::string>()};
}

Json Store::toJson(const Place &place, const StoredRow &row)
{
    Json json{{"table", place.first}, {"part", ""}, {"key", place.second}, {"ver", row.version}};
    if (row.isRemoved) {
        json["removed"] = true;
    } else {
        json["value"] = row.value;
    }
    return json;
}

std::uint64_t Store::versionOf(const Place &place) const
{
    const auto found = this->rows.find(place);
    return found == this->rows.end() || found->second.isRemoved ? 0 : found->second.version;
}

/** Fills in the fields of all answers about rows. Call with the mutex held. */
void Store::answer(httplib::Response &response, Json body) const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    body["ver"] = this->version;
    body["now_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    response.set_content(body.dump(), "application/json");
}

void Store::transact(const httplib::Request &request, httplib::Response &response)
{
    std::this_thread::sleep_for(TransactionTime);
    const auto body = Json::parse(request.body, nullptr, false);
    const auto conditions = body.value("expected_rev", Json::array());
    const auto writes = body.value("set_keys", Json::array());
    const auto removals = body.value("remove", Json::array());
    const bool isAnyTooLarge = std::any_of(writes.begin(), writes.end(), [](const Json &entry) {
        std::string bytes;
        return !absl::Base64Unescape(entry.value("value", ""), &bytes) || bytes.size() > LargestRow;
    });
    if (isAnyTooLarge || request.body.size() > LargestCall || conditions.size() + writes.size() + removals.size() > MostEntries) {
        response.status = StatusBadRequest;
        return;
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto present = Json::array();
    bool isMet = true;
    for (const auto &condition : conditions) {
        const auto place = placeOf(condition);
        const auto version = this->versionOf(place);
        isMet = isMet && version == condition.value("ver", std::uint64_t(0));
        if (version != 0) {
            present.push_back(toJson(place, this->rows.at(place)));
        }
    }
    if (!isMet) {
        response.status = StatusConditionFailed;
        this->answer(response, {{"rows", present}});
        return;
    }
    ++this->version;
    for (const auto &entry : writes) {
        this->rows[placeOf(entry)] = {entry.value("value", ""), this->version, false};
    }
    for (const auto &entry : removals) {
        this->rows[placeOf(entry)] = {"", this->version, true};
    }
    this->changed.notify_all();
    this->answer(response, Json::object());
}

void Store::read(const httplib::Request &request, httplib::Response &response)
{
    std::this_thread::sleep_for(ReadTime);
    const auto table = request.get_param_value("table");
    const auto target = request.get_param_value("target");
    const auto limit = std::min(LargestPage, static_cast<std::size_t>(numberOf(request, "limit", LargestPage)));
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto list = Json::array();
    bool hasMore = false;
    for (auto row = this->rows.lower_bound({table, request.get_param_value("from")}); row != this->rows.end() && row->first.first == table; ++row) {
        if (!target.empty() && row->first.second >= target) {
            break;
        }
        if (row->second.isRemoved) {
            continue;
        }
        hasMore = list.size() == limit;
        if (hasMore) {
            break;
        }
        list.push_back(toJson(row->first, row->second));
    }
    this->answer(response, {{"rows", list}, {"has_more", hasMore}});
}

void Store::feed(const httplib::Request &request, httplib::Response &response)
{
    const auto table = request.get_param_value("table");
    const auto after = static_cast<std::uint64_t>(numberOf(request, "after", 0));
    const auto wait = std::chrono::milliseconds(std::min(LongestWaitMs, numberOf(request, "wait_ms", 0)));
    std::unique_lock<std::mutex> lock(this->mutex);
    std::vector<std::pair<Place, StoredRow>> newer;
    const auto collect = [this, &newer, &table, after] {
        newer.clear();
        for (auto row = this->rows.lower_bound({table, ""}); row != this->rows.end() && row->first.first == table; ++row) {
            if (row->second.version > after) {
                newer.emplace_back(*row);
            }
        }
        return !newer.empty() || this->isOver;
    };
    this->changed.wait_for(lock, wait, collect);
    std::sort(newer.begin(), newer.end(), [](const auto &left, const auto &right) { return left.second.version < right.second.version; });
    auto list = Json::array();
    for (const auto &[place, row] : newer) {
        list.push_back(toJson(place, row));
    }
    this->answer(response, {{"rows", list}});
}

} // namespace waxwingloft::review
