#include "waxwingloft/connection/httpbackend.h"

#include "waxwingloft/connection/httpclients.h"
#include "waxwingloft/process/nametable.h"

#include <nlohmann/json.hpp>

namespace waxwingloft {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

nlohmann::json toJson(const Resources &resources)
{
    return {{"processors", resources.processors}, {"memory_gb", resources.memoryGb}, {"accelerators", resources.accelerators}};
}

/** Whether @p text can be written into a JSON body. */
bool isUtf8(const std::string &text)
{
    try {
        static_cast<void>(nlohmann::json(text).dump());
        return true;
    } catch (const nlohmann::json::type_error &) {
        return false;
    }
}

Status statusOf(const Result<std::string> &answer)
{
    return succeeded(answer) ? Status(Done{}) : Status(errorOf(answer));
}

} // namespace

HttpBackend::HttpBackend(const std::string &base)
    : clients(std::make_unique<HttpClients>(base))
{
}

HttpBackend::~HttpBackend() = default;

Result<std::string> HttpBackend::run(const BackendRequest &request, Millis timeout)
{
    const httplib::Headers headers{{"Attempt-Id", request.attempt.value}, {"Content-Type", "application/octet-stream"}};
    const auto answer = this->clients->ask({"POST", "/v1/run/" + request.kind.value, request.payload, headers}, timeout);
    if (!succeeded(answer)) {
        return errorOf(answer);
    }
    const auto &[status, body] = valueOf(answer);
    if (status == StatusOk) {
        return body;
    }
    if (status == StatusUnavailable) {
        return makeError(ErrorKind::Unreachable, "the backend server has no free slot");
    }
    return makeError(ErrorKind::Internal, "the backend server failed with status " + std::to_string(status), "look at the log of the backend server");
}

HttpWorker::HttpWorker(const std::string &base, Millis timeout)
    : clients(std::make_unique<HttpClients>(base))
    , timeout(timeout)
{
}

HttpWorker::~HttpWorker() = default;

Status HttpWorker::start(const TaskOrder &order)
{
    const auto body = nlohmann::json{{"id", order.id},
                                     {"kind", order.kind.value},
                                     {"tasks", order.tasks},
                                     {"per_task", toJson(order.perTask)},
                                     {"lease_ms", order.lease.count()},
                                     {"resume_from", order.resumeFrom},
                                     {"payload", order.payload}};
    return statusOf(this->post("/v1/tasks", body.dump()));
}

Result<TaskUsage> HttpWorker::renew(const std::string &id, Millis lease)
{
    const auto answer = this->post("/v1/tasks/" + id + "/renew", nlohmann::json{{"lease_ms", lease.count()}}.dump());
    if (!succeeded(answer)) {
        return errorOf(answer);
    }
    const auto json = nlohmann::json::parse(valueOf(answer), nullptr, false);
    if (!json.is_object()) {
        return makeError(ErrorKind::Internal, "the worker answered with something other than JSON", "look at the log of the worker");
    }
    TaskUsage usage;
    usage.state = fromName<TaskState>(json.value("state", "")).value_or(TaskState::Unknown);
    const auto used = json.value("used", nlohmann::json::object());
    usage.used = {used.value("processors", std::int64_t(0)), used.value("memory_gb", std::int64_t(0)), used.value("accelerators", std::int64_t(0))};
    return usage;
}

Result<std::string> HttpWorker::checkpoint(const std::string &id)
{
    auto bytes = this->post("/v1/tasks/" + id + "/checkpoint", "{}");
    if (succeeded(bytes) && !isUtf8(valueOf(bytes))) {
        return makeError(ErrorKind::InvalidInput, "the checkpoint of task " + id + " is not UTF-8, so that no worker could go on from it", "encode it as text");
    }
    return bytes;
}

Status HttpWorker::throttle(const std::string &id)
{
    return statusOf(this->post("/v1/tasks/" + id + "/throttle", "{}"));
}

Status HttpWorker::stop(const std::string &id)
{
    return statusOf(this->post("/v1/tasks/" + id + "/stop", "{}"));
}

Result<std::string> HttpWorker::post(const std::string &path, const std::string &body)
{
    const auto answer = this->clients->ask({"POST", path, body, {{"Content-Type", "application/json"}}}, this->timeout);
    if (!succeeded(answer)) {
        return errorOf(answer);
    }
    if (valueOf(answer).status != StatusOk) {
        return makeError(ErrorKind::Internal, "the worker refused with status " + std::to_string(valueOf(answer).status) + ": " + valueOf(answer).body);
    }
    return valueOf(answer).body;
}

} // namespace waxwingloft
