#include "announcer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "IP:PORT to serve the table service and the object store on");

namespace waxwingloft::standins {

namespace {

using nlohmann::json;

/** Faults of the platform, set with POST /control {"mode": NAME}. */
enum class Mode {
    Up,
    Down, ///< refuses before any effect
    Slow, ///< answers after a delay
    LoseAnswers, ///< takes effect, then answers with an error
};

constexpr std::array<std::string_view, 4> ModeNames = {"up", "down", "slow", "lose-answers"};
constexpr auto SlowDelay = std::chrono::milliseconds(300);

struct StoredRow {
    std::string value;
    std::uint64_t revision = 0;
    std::string operation;
};

/** A transactional table and an object store in memory. */
class Platform
{
public:
    void serve(httplib::Server &http)
    {
        this->on(http, "GET", "/v1/row", &Platform::getRow);
        this->on(http, "GET", "/v1/rows", &Platform::listRows);
        this->on(http, "POST", "/v1/transactions", &Platform::commit);
        this->on(http, "PUT", "/v1/objects/(.+)", &Platform::putObject);
        this->on(http, "GET", "/v1/objects/(.+)", &Platform::getObject);
        http.Post("/control", [this](const httplib::Request &request, httplib::Response &response) { this->control(request, response); });
    }

private:
    using Handler = void (Platform::*)(const httplib::Request &, httplib::Response &);

    void on(httplib::Server &http, const std::string &method, const std::string &pattern, Handler handler)
    {
        const auto call = [this, handler](const httplib::Request &request, httplib::Response &response) {
            const auto current = this->currentMode();
            if (current == Mode::Down) {
                response.status = 503;
                return;
            }
            if (current == Mode::Slow) {
                std::this_thread::sleep_for(SlowDelay);
            }
            (this->*handler)(request, response);
            if (current == Mode::LoseAnswers && request.method == "POST") {
                response.status = 500;
                response.body.clear();
            }
        };
        if (method == "GET") {
            http.Get(pattern, call);
        } else if (method == "PUT") {
            http.Put(pattern, call);
        } else {
            http.Post(pattern, call);
        }
    }

    Mode currentMode()
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        return this->mode;
    }

    void control(const httplib::Request &request, httplib::Response &response)
    {
        const auto body = json::parse(request.body, nullptr, false);
        const auto name = body.is_object() ? body.value("mode", "") : "";
        const auto found = std::find(ModeNames.begin(), ModeNames.end(), name);
        if (found == ModeNames.end()) {
            response.status = 400;
            return;
        }
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->mode = static_cast<Mode>(found - ModeNames.begin());
    }

    static json toJson(const std::string &key, const StoredRow &row)
    {
        return {{"key", key}, {"value", row.value}, {"revision", row.revision}, {"operation", row.operation}};
    }

    void getRow(const httplib::Request &request, httplib::Response &response)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto found = this->rows.find(request.get_param_value("key"));
        if (found == this->rows.end()) {
            response.status = 404;
            return;
        }
        response.set_content(toJson(found->first, found->second).dump(), "application/json");
    }

    void listRows(const httplib::Request &request, httplib::Response &response)
    {
        const auto prefix = request.get_param_value("prefix");
        const auto since = std::stoull(request.get_param_value("since"));
        const std::lock_guard<std::mutex> guard(this->mutex);
        auto list = json::array();
        for (auto row = this->rows.lower_bound(prefix); row != this->rows.end() && row->first.starts_with(prefix); ++row) {
            if (row->second.revision > since) {
                list.push_back(toJson(row->first, row->second));
            }
        }
        response.set_content(json{{"rows", list}, {"revision", this->revision}}.dump(), "application/json");
    }

    void commit(const httplib::Request &request, httplib::Response &response)
    {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            response.status = 400;
            return;
        }
        const std::lock_guard<std::mutex> guard(this->mutex);
        for (const auto &condition : body["conditions"]) {
            const auto key = condition.value("key", "");
            const auto found = this->rows.find(key);
            const auto present = found == this->rows.end() ? 0 : found->second.revision;
            if (present != condition.value("revision", std::uint64_t(0))) {
                response.status = 409;
                response.set_content(json{{"key", key}}.dump(), "application/json");
                return;
            }
        }
        ++this->revision;
        for (const auto &write : body["writes"]) {
            if (write["value"].is_null()) {
                this->rows.erase(write.value("key", ""));
            } else {
                this->rows[write.value("key", "")] = {write.value("value", ""), this->revision, body.value("operation", "")};
            }
        }
        response.set_content(json{{"revision", this->revision}}.dump(), "application/json");
    }

    void putObject(const httplib::Request &request, httplib::Response & /*response*/)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->objects[request.matches[1].str()] = request.body;
    }

    void getObject(const httplib::Request &request, httplib::Response &response)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto found = this->objects.find(request.matches[1].str());
        if (found == this->objects.end()) {
            response.status = 404;
            return;
        }
        response.set_content(found->second, "application/octet-stream");
    }

    std::mutex mutex;
    Mode mode = Mode::Up;
    std::uint64_t revision = 0;
    std::map<std::string, StoredRow> rows;
    std::map<std::string, std::string> objects;
};

} // namespace

} // namespace waxwingloft::standins

int main(int argc, char **argv)
{
    using namespace waxwingloft::standins;
    absl::ParseCommandLine(argc, argv);
    blockStopSignals();
    Platform platform;
    httplib::Server http;
    platform.serve(http);
    return serveUntilStopped(http, absl::GetFlag(FLAGS_listen), "", "");
}
