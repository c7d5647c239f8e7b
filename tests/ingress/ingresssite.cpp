#include "ingresssite.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace waxwingloft::tests {

namespace {

using Json = nlohmann::json;

constexpr std::size_t StoreThreads = 128; ///< each connection of a process takes one
constexpr auto TryTime = Millis(2000); ///< a caller's own timeout; the next try comes at once
constexpr auto Look = Millis(20);
constexpr int StatusOk = 200;
constexpr auto Host = "queue.example";
constexpr auto Key = "key-1";
constexpr auto FrontPort = "8521";
constexpr auto ReadyPort = "8523";
constexpr auto ControlPort = "8526";
constexpr auto OperatorPort = "7001";
constexpr auto LoweredThreads = "http_threads = 8"; ///< so that a small crowd takes what a large one takes in production

/** Returns a loopback address of this test process; tests of other processes have others. */
std::string hostOf(int number)
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + process / 250 % 200) + "." + std::to_string(1 + process % 250) + "." + std::to_string(number);
}

std::string makeFolder()
{
    auto name = (std::filesystem::temp_directory_path() / "ingress-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no temporary folder can be made");
    }
    return name;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

Json operatorSettings()
{
    const Json route{{"name", "queue"},
                     {"host", Host},
                     {"path_prefix", "/queue/"},
                     {"service", "tune"},
                     {"priority", 1},
                     {"max_attempts", 4},
                     {"stretch", 3.0},
                     {"target_latency_ms", 1200},
                     {"timeout_ms", 3000}};
    const Json service{{"name", "tune"}, {"enforces_capacity", false}};
    const Json tenant{{"name", "tenant-1"}, {"api_keys", Json::array({Key})}, {"guaranteed", {{"gpu", 0}}}};
    return {{"version", 3},
            {"routes", Json::array({route})},
            {"services", Json::array({service})},
            {"tenants", Json::array({tenant})},
            {"limits", {{"max_body_bytes", 262'144}}}};
}

template<typename Check>
bool eventually(Millis patience, Check holds)
{
    SystemClock clock;
    const auto until = clock.now() + patience;
    while (!holds()) {
        if (clock.now() >= until) {
            return false;
        }
        clock.sleepFor(Look);
    }
    return true;
}

httplib::Client clientOf(const std::string &address, Millis timeout)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    return client;
}

} // namespace

DaemonProcess::DaemonProcess(const std::string &folder, const std::string &name, const std::string &settings)
{
    const auto file = folder + "/" + name + ".toml";
    std::ofstream(file) << settings;
    const auto log = folder + "/" + name + ".log";
    auto option = "--config=" + file;
    const char *const other = std::getenv("WAXWINGLOFT_TESTED_DAEMON");
    auto program = std::string(other == nullptr ? WAXWINGLOFT_DAEMON : other);
    std::array<char *, 3> arguments = {program.data(), option.data(), nullptr};
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT, 0600);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = ::posix_spawn(&this->process, program.c_str(), &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("the daemon cannot be started; build waxwingloftd first");
    }
}

DaemonProcess::~DaemonProcess()
{
    if (this->isAlive()) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
}

bool DaemonProcess::isAlive()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) != 0) {
        this->process = -1;
    }
    return this->process > 0;
}

void DaemonProcess::sendSignal(int number)
{
    if (this->isAlive()) {
        ::kill(this->process, number);
    }
}

std::size_t DaemonProcess::peakResidentKib() const
{
    const auto status = readFile("/proc/" + std::to_string(this->process) + "/status");
    const auto at = status.find("VmHWM:");
    return at == std::string::npos ? 0 : std::stoul(status.substr(at + 6));
}

std::size_t DaemonProcess::descriptors() const
{
    const std::filesystem::directory_iterator list("/proc/" + std::to_string(this->process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(list), end(list)));
}

IngressSite::IngressSite(Millis workTime)
    : folder(makeFolder())
    , entryHost(hostOf(1))
    , agentHost(hostOf(2))
    , store(StoreThreads)
    , executor(this->agentHost, this->heartbeatAddress(), workTime)
{
    this->store.feedWaits = true;
    this->store.put("op", "config", absl::Base64Escape(operatorSettings().dump()));
    this->agent = std::make_unique<DaemonProcess>(this->folder, "agent", this->settings("agent.toml", this->agentHost, "side-1"));
    this->entry = std::make_unique<DaemonProcess>(this->folder, "entry", this->settings("entry.toml", this->entryHost, "front-1"));
}

IngressSite::~IngressSite()
{
    this->entry.reset();
    this->agent.reset();
    if (::testing::Test::HasFailure()) {
        std::printf("logs of the processes: %s\n", this->folder.c_str());
    } else {
        std::filesystem::remove_all(this->folder);
    }
}

std::string IngressSite::settings(const std::string &templateFile, const std::string &host, const std::string &name) const
{
    return absl::StrReplaceAll(readFile(std::string(WAXWINGLOFT_SOURCE) + "/deploy/" + templateFile),
                               {{"{{node_name}}", name},
                                {"{{ip}}", host},
                                {"{{port_range.0}}", "7000"},
                                {"{{port_range.1}}", OperatorPort},
                                {"{{region}}", "region-a"},
                                {"{{zone}}", "zone-a"},
                                {"{{platform.address}}", this->store.address()},
                                {"{{platform.writes_per_s}}", "800"},
                                {"{{listen.front}}", this->frontAddress()},
                                {"{{listen.ready}}", this->readyAddress()},
                                {"{{listen.control}}", this->heartbeatAddress()},
                                {"{{app}}", this->executor.address()},
                                {"{{bounds.hold_max_ms}}", "6000"},
                                {"http_threads = 64", LoweredThreads}});
}

bool IngressSite::waitUntilReady(Millis patience)
{
    return this->isReady(patience);
}

bool IngressSite::submit(const std::string &job, Millis patience)
{
    const Json step{{"count", 1}, {"cpu", 1000}, {"mem_mb", 256}, {"estimate_ms", 3000}};
    const auto body = Json{{"spec", "work"}, {"steps", Json::array({step})}}.dump();
    const httplib::Headers headers{{"Host", Host}, {"Api-Key", Key}, {"Waxwingloft-Timeout-Ms", std::to_string(TryTime.count())}};
    return eventually(patience, [&] {
        const auto answer = clientOf(this->frontAddress(), TryTime).Post(jobPath(job), headers, body, "application/json");
        return answer && answer->status == StatusOk;
    });
}

bool IngressSite::waitUntilDone(const std::string &job, Millis patience)
{
    const httplib::Headers headers{{"Host", Host}, {"Api-Key", Key}, {"Waxwingloft-Timeout-Ms", std::to_string(TryTime.count())}};
    return eventually(patience, [&] {
        const auto answer = clientOf(this->frontAddress(), TryTime).Get(jobPath(job), headers);
        return answer && answer->status == StatusOk && Json::parse(answer->body).value("state", "") == "completed";
    });
}

bool IngressSite::isReady(Millis patience)
{
    return eventually(patience, [&] {
        const auto answer = clientOf(this->readyAddress(), TryTime).Get("/waxwingloft/readyz");
        return answer && answer->status == StatusOk;
    });
}

bool IngressSite::takesHeartbeat(Millis patience)
{
    return eventually(patience, [&] { return this->executor.sendHeartbeat(TryTime); });
}

bool IngressSite::answersOperator(Millis patience)
{
    return eventually(patience, [&] {
        const auto answer = clientOf(this->operatorAddress(), TryTime).Get("/readyz");
        return answer && answer->status == StatusOk;
    });
}

std::string IngressSite::operatorAddress() const
{
    return this->entryHost + ":" + OperatorPort;
}

std::string IngressSite::frontAddress() const
{
    return this->entryHost + ":" + FrontPort;
}

std::string IngressSite::readyAddress() const
{
    return this->entryHost + ":" + ReadyPort;
}

std::string IngressSite::heartbeatAddress() const
{
    return this->agentHost + ":" + ControlPort;
}

std::string IngressSite::callerHeaders()
{
    return std::string("Host: ") + Host + "\r\nApi-Key: " + Key + "\r\nContent-Type: application/json\r\n";
}

std::string IngressSite::jobPath(const std::string &job)
{
    return "/queue/" + job;
}

} // namespace waxwingloft::tests
