#include "waxwingloft/connection/httpfront.h"

#include "frontcodec.h"

#include <atomic>
#include <chrono>
#include <httplib.h>
#include <stdexcept>
#include <thread>

namespace waxwingloft {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusUnavailable = 503;
constexpr std::size_t LongestName = 128;
constexpr std::size_t KeepAliveRequests = 10'000; ///< requests on one connection
constexpr int StartTries = 1000; ///< the server cannot be stopped before its thread runs
constexpr auto StartPause = Millis(1);
const std::string JsonType = "application/json";

std::string bearerOf(const httplib::Request &request)
{
    const std::string prefix = "Bearer ";
    const auto header = request.get_header_value("Authorization");
    return header.starts_with(prefix) ? header.substr(prefix.size()) : std::string();
}

void answerError(httplib::Response &response, Outcome outcome, const Error &error)
{
    response.status = statusOf(error.kind);
    response.set_header("Outcome", std::string(nameOf(outcome)));
    if (response.status == 429 || response.status == StatusUnavailable) {
        response.set_header("Retry-After", "1");
    }
    response.set_content(encodeError(outcome, error), JsonType);
}

void answerJson(httplib::Response &response, const nlohmann::json &json, int status = StatusOk)
{
    response.status = status;
    response.set_content(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", JsonType);
}

/** Splits "127.0.0.1:8080" into host and port. */
std::pair<std::string, int> splitAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::runtime_error("the address \"" + address + "\" has no port; write it as IP:PORT");
    }
    return {address.substr(0, colon), std::stoi(address.substr(colon + 1))};
}

Millis deadlineOf(const httplib::Request &request)
{
    const auto text = request.get_header_value("Deadline-Ms");
    const bool isNumber = !text.empty() && text.size() < 10 && text.find_first_not_of("0123456789") == std::string::npos;
    return Millis(isNumber ? std::stol(text) : 0);
}

} // namespace

/** The server, its thread, and the handlers as members. */
struct HttpFront::Server {
    using Handler = void (Server::*)(const httplib::Request &, const std::string &body, httplib::Response &);

    Server(const std::string &address, const HealthService &health, HttpFrontOptions options)
        : health(health)
        , options(options)
    {
        this->http.new_task_queue = [options] { return new httplib::ThreadPool(options.threads); };
        this->http.set_read_timeout(options.readTimeout);
        this->http.set_write_timeout(options.readTimeout);
        this->http.set_keep_alive_timeout(std::chrono::duration_cast<std::chrono::seconds>(options.keepAlive).count());
        this->http.set_payload_max_length(options.maxBodyBytes);
        this->http.set_keep_alive_max_count(KeepAliveRequests);
        this->http.set_tcp_nodelay(true);
        this->http.set_exception_handler([](const httplib::Request &, httplib::Response &response, const std::exception_ptr &) {
            answerError(response, Outcome::Unknown, makeError(ErrorKind::Internal, "the request could not be handled"));
        });
        this->http.set_error_handler([](const httplib::Request &, httplib::Response &response) {
            if (response.body.empty()) {
                const auto kind = response.status == 404 ? ErrorKind::NotFound : response.status == 413 ? ErrorKind::TooLarge : ErrorKind::InvalidInput;
                const auto status = response.status;
                answerError(response, Outcome::NotRun, makeError(kind, "the request could not be understood", "compare it with the API page"));
                response.status = status;
            }
        });
        this->serveHealth();
        const auto [host, port] = splitAddress(address);
        this->boundPort = port == 0 ? this->http.bind_to_any_port(host) : (this->http.bind_to_port(host, port) ? port : -1);
        if (this->boundPort <= 0) {
            throw std::runtime_error("cannot listen on " + address + "; check that the address is this host's and the port is free");
        }
    }

    void serveHealth()
    {
        this->http.Get("/healthz", [](const httplib::Request &, httplib::Response &response) { response.set_content("ok\n", "text/plain"); });
        this->http.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
            const auto reason = this->health.whyNotReady();
            response.status = reason ? StatusUnavailable : StatusOk;
            response.set_content(reason.value_or("ready") + "\n", "text/plain");
        });
        this->http.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
            response.set_content(this->health.metricsText(), "text/plain; version=0.0.4");
        });
    }

    /** Registers a handler that gets the whole body, or none when it comes too slowly. */
    void onPost(const std::string &pattern, Handler handler)
    {
        this->http.Post(pattern, [this, handler](const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader) {
            std::string body;
            const auto startedAt = std::chrono::steady_clock::now();
            const bool isWhole = reader([&](const char *data, std::size_t length) {
                body.append(data, length);
                return body.size() <= this->options.maxBodyBytes && std::chrono::steady_clock::now() - startedAt < this->options.bodyDeadline;
            });
            if (!isWhole) {
                const auto kind = body.size() > this->options.maxBodyBytes || response.status == 413 ? ErrorKind::TooLarge : ErrorKind::InvalidInput;
                answerError(response, Outcome::NotRun, makeError(kind, "the body is too large, cut short, or came too slowly"));
                return;
            }
            (this->*handler)(request, body, response);
        });
    }

    void onGet(const std::string &pattern, Handler handler)
    {
        this->http.Get(pattern, [this, handler](const httplib::Request &request, httplib::Response &response) { (this->*handler)(request, {}, response); });
    }

    void call(const httplib::Request &request, const std::string &body, httplib::Response &response)
    {
        const CallRequest question{bearerOf(request),
                                   CallerId{request.get_header_value("Caller").substr(0, LongestName)},
                                   RequestId{request.get_header_value("Request-Id").substr(0, LongestName)},
                                   KindId{request.matches[1].str()},
                                   deadlineOf(request),
                                   body};
        const auto answer = this->front->call(question);
        if (answer.outcome != Outcome::Done) {
            answerError(response, answer.outcome, answer.error);
            return;
        }
        response.set_header("Outcome", std::string(nameOf(Outcome::Done)));
        response.set_content(answer.payload, "application/octet-stream");
    }

    void submitJob(const httplib::Request &request, const std::string &body, httplib::Response &response)
    {
        auto question = parseJobQuestion(body);
        if (!succeeded(question)) {
            answerError(response, Outcome::NotRun, errorOf(question));
            return;
        }
        valueOf(question).token = bearerOf(request);
        valueOf(question).request = RequestId{request.get_header_value("Request-Id").substr(0, LongestName)};
        const auto id = this->front->submitJob(valueOf(question));
        if (!succeeded(id)) {
            answerError(response, errorOf(id).kind == ErrorKind::Ambiguous ? Outcome::Unknown : Outcome::NotRun, errorOf(id));
            return;
        }
        answerJson(response, {{"id", valueOf(id).value}}, StatusAccepted);
    }

    void showJob(const httplib::Request &request, const std::string & /*body*/, httplib::Response &response)
    {
        const auto job = this->front->showJob(bearerOf(request), JobId{request.matches[1].str()});
        this->answer(response, job, [](const JobView &view) { return toJson(view); });
    }

    void listJobs(const httplib::Request &request, const std::string & /*body*/, httplib::Response &response)
    {
        this->answer(response, this->front->listJobs(bearerOf(request)), [](const std::vector<JobView> &jobs) {
            auto list = nlohmann::json::array();
            for (const auto &job : jobs) {
                list.push_back(toJson(job));
            }
            return nlohmann::json{{"jobs", list}};
        });
    }

    void cancelJob(const httplib::Request &request, const std::string & /*body*/, httplib::Response &response)
    {
        this->answer(response, this->front->cancelJob(bearerOf(request), JobId{request.matches[1].str()}), [](const Done &) {
            return nlohmann::json{{"cancel", "requested"}};
        });
    }

    void getSettings(const httplib::Request &request, const std::string & /*body*/, httplib::Response &response)
    {
        const auto path = request.get_param_value("path");
        const auto value = this->front->settingsAt(bearerOf(request), path, request.get_param_value("reveal") == "true");
        this->answer(response, value, [this, &request, &path](const nlohmann::json &settings) {
            const auto version = this->front->teamVersion(bearerOf(request), path);
            return nlohmann::json{{"path", path}, {"value", settings}, {"team_version", succeeded(version) ? valueOf(version) : 0}};
        });
    }

    void changeSettings(const httplib::Request &request, const std::string &body, httplib::Response &response)
    {
        const auto change = parseSettingsChange(body);
        if (!succeeded(change)) {
            answerError(response, Outcome::NotRun, errorOf(change));
            return;
        }
        this->answer(response, this->front->changeSettings(bearerOf(request), valueOf(change)), [](const SettingsVersion &version) {
            return nlohmann::json{{"version", version}};
        });
    }

    void getStatus(const httplib::Request &request, const std::string & /*body*/, httplib::Response &response)
    {
        this->answer(response, this->front->status(bearerOf(request)), [](const StatusView &view) { return toJson(view); });
    }

    void drain(const httplib::Request &request, const std::string & /*body*/, httplib::Response &response)
    {
        this->answer(response, this->front->drain(bearerOf(request), NodeId{request.matches[1].str()}), [](const Done &) {
            return nlohmann::json{{"drain", "started"}};
        });
    }

    void getTimeline(const httplib::Request &request, const std::string & /*body*/, httplib::Response &response)
    {
        const auto text = request.get_param_value("since_ms");
        const bool isNumber = !text.empty() && text.size() < 18 && text.find_first_not_of("0123456789") == std::string::npos;
        std::vector<std::string> silent;
        const auto events = this->front->timeline(bearerOf(request), HybridTime{isNumber ? std::stoll(text) : 0, 0}, silent);
        this->answer(response, events, [&silent](const std::vector<Event> &list) {
            auto json = nlohmann::json::array();
            for (const auto &event : list) {
                json.push_back(toJson(event));
            }
            return nlohmann::json{{"events", json}, {"silent", silent}};
        });
    }

    void announce(const httplib::Request & /*request*/, const std::string &body, httplib::Response &response)
    {
        const auto announcement = parseAnnouncement(body);
        if (!succeeded(announcement)) {
            answerError(response, Outcome::NotRun, errorOf(announcement));
            return;
        }
        this->answer(response, this->announcements->announce(valueOf(announcement)), [](const Done &) { return nlohmann::json{{"announced", true}}; });
    }

    template<typename T, typename Encode>
    void answer(httplib::Response &response, const Result<T> &result, Encode encode)
    {
        if (succeeded(result)) {
            answerJson(response, encode(valueOf(result)));
        } else {
            answerError(response, Outcome::NotRun, errorOf(result));
        }
    }

    const HealthService &health;
    const HttpFrontOptions options;
    FrontService *front = nullptr;
    AnnouncementService *announcements = nullptr;
    httplib::Server http;
    int boundPort = 0;
    std::thread thread;
};

HttpFront::HttpFront(const std::string &address, const HealthService &health, HttpFrontOptions options)
    : server(std::make_unique<Server>(address, health, options))
{
}

HttpFront::~HttpFront()
{
    this->stop();
}

void HttpFront::serveFront(FrontService &service)
{
    auto &http = *this->server;
    http.front = &service;
    http.onPost("/v1/work/([a-z0-9_-]+)", &Server::call);
    http.onPost("/v1/jobs", &Server::submitJob);
    http.onGet("/v1/jobs", &Server::listJobs);
    http.onGet("/v1/jobs/([A-Za-z0-9._-]+)", &Server::showJob);
    http.onPost("/v1/jobs/([A-Za-z0-9._-]+)/cancel", &Server::cancelJob);
    http.onGet("/v1/settings", &Server::getSettings);
    http.onPost("/v1/settings", &Server::changeSettings);
    http.onGet("/v1/status", &Server::getStatus);
    http.onPost("/v1/nodes/([A-Za-z0-9._-]+)/drain", &Server::drain);
    http.onGet("/v1/timeline", &Server::getTimeline);
}

void HttpFront::serveAnnouncements(AnnouncementService &service)
{
    this->server->announcements = &service;
    this->server->onPost("/v1/announce", &Server::announce);
}

void HttpFront::run()
{
    this->server->thread = std::thread([this] { this->server->http.listen_after_bind(); });
    for (int tries = 0; tries < StartTries && !this->server->http.is_running(); ++tries) {
        std::this_thread::sleep_for(StartPause);
    }
}

void HttpFront::stop()
{
    this->server->http.stop();
    if (this->server->thread.joinable()) {
        this->server->thread.join();
    }
}

int HttpFront::port() const
{
    return this->server->boundPort;
}

} // namespace waxwingloft
