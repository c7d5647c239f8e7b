#include "site.h"

#include <absl/strings/str_replace.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-identifier-naming): the name of the system

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr auto Program = "target/src/waxwingloftd";
constexpr auto RouteHost = "queue.example";
constexpr std::array<const char *, 3> Zones = {"vejle-a", "odense-a", "aalborg-a"};
constexpr std::array<const char *, 3> Regions = {"vejle", "odense", "aalborg"};
constexpr int FirstPort = 21'100;
constexpr std::size_t FirstMachine = 100; ///< last number of the address of the first agent's machine
constexpr auto ReadyTime = Millis(15'000);
constexpr auto CallTime = Millis(3000);
constexpr auto EndTime = Millis(3000);
constexpr auto LongestCase = Millis(110'000);
constexpr double BytesPerMegabit = 125'000.0;
constexpr int StatusOk = 200;

/** Returns a loopback address of this process; cases that run at the same time have others. */
std::string hostOf(std::size_t number)
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(30 + process / 250 % 200) + "." + std::to_string(1 + process % 250) + "." + std::to_string(number);
}

std::string textOf(const std::string &file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::string portOf(int offset)
{
    return std::to_string(FirstPort + offset);
}

/** Fills in a template of settings with what the platform gives a process. */
std::string
settingsOf(const std::string &file, const std::string &name, const std::string &host, std::size_t zone, const std::string &store, const std::string &app)
{
    return absl::StrReplaceAll(textOf(file),
                               {{"{{node_name}}", name},
                                {"{{ip}}", host},
                                {"{{port_range.0}}", portOf(0)},
                                {"{{port_range.1}}", portOf(1)},
                                {"{{region}}", Regions.at(zone)},
                                {"{{zone}}", Zones.at(zone)},
                                {"{{platform.address}}", store},
                                {"{{platform.writes_per_s}}", "800.0"},
                                {"{{listen.front}}", host + ":" + portOf(21)},
                                {"{{listen.ready}}", host + ":" + portOf(23)},
                                {"{{listen.control}}", host + ":" + portOf(26)},
                                {"{{app}}", app},
                                {"{{bounds.hold_max_ms}}", "6000"}});
}

/** The processes that were started and have not been waited for. */
class Children
{
public:
    void add(pid_t process)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->processes.insert(process);
    }

    void remove(pid_t process)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->processes.erase(process);
    }

    void killAll()
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        for (const auto process : this->processes) {
            ::kill(process, SIGKILL);
        }
    }

private:
    std::mutex mutex;
    std::set<pid_t> processes;
};

Children &children()
{
    static Children all;
    return all;
}

} // namespace

Daemon::Daemon(std::string name, const std::string &settings, const std::string &folder, std::string zoneClose)
    : name(std::move(name))
    , settingsFile(folder + "/" + this->name + ".toml")
    , logFile(folder + "/" + this->name + ".log")
    , zoneClose("--zone_close_ms=" + std::move(zoneClose))
{
    std::ofstream(this->settingsFile) << settings;
}

Daemon::~Daemon()
{
    if (this->process != 0 && !this->hasEnded()) {
        this->signal(SIGCONT);
        this->signal(SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        children().remove(this->process);
    }
}

void Daemon::start()
{
    const auto variable = "WAXWINGLOFT_CONFIG=" + this->settingsFile;
    std::vector<char *> environment;
    for (char **item = environ; *item != nullptr; ++item) {
        environment.push_back(*item);
    }
    environment.push_back(const_cast<char *>(variable.c_str()));
    environment.push_back(nullptr);
    std::array<char *, 3> arguments = {const_cast<char *>(Program), const_cast<char *>(this->zoneClose.c_str()), nullptr};
    posix_spawn_file_actions_t files{};
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, this->logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    pid_t started = 0;
    const int error = ::posix_spawn(&started, Program, &files, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&files);
    this->process = error == 0 ? started : 0;
    if (error != 0) {
        throw std::runtime_error(std::string("cannot start ") + Program);
    }
    children().add(this->process);
}

void Daemon::signal(int number) const
{
    if (this->process != 0) {
        ::kill(this->process, number);
    }
}

std::size_t Daemon::memoryMb() const
{
    constexpr std::size_t BytesPerMb = 1U << 20U;
    std::ifstream stream("/proc/" + std::to_string(this->process) + "/statm");
    std::size_t whole = 0;
    std::size_t resident = 0;
    stream >> whole >> resident;
    return this->process == 0 ? 0 : resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / BytesPerMb;
}

bool Daemon::hasEnded()
{
    if (this->process != 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
        children().remove(this->process);
        this->process = 0;
    }
    return this->process == 0;
}

Site::Site(Record &record, const SiteOptions &options)
    : store(hostOf(1))
    , runs(record)
    , record(record)
{
    const char *const kept = std::getenv("KEEP_LOGS");
    auto pattern = std::filesystem::temp_directory_path().string() + "/waxwingloft-review-XXXXXX";
    this->folder = kept != nullptr ? std::string(kept) : std::string(::mkdtemp(pattern.data()));
    this->store.put("op", "config", options.settings.dump());
    for (std::size_t number = 0; number < options.entries; ++number) {
        const auto host = hostOf(10 + number);
        const auto name = "front-" + std::to_string(number + 1);
        const auto address = options.linkMbps > 0.0 ? this->store.openLink(hostOf(2 + number), options.linkMbps * BytesPerMegabit) : this->store.address();
        const auto settings = settingsOf("deploy/entry.toml", name, host, number % Zones.size(), address, "");
        this->front.push_back(std::make_unique<Daemon>(name, settings, this->folder, options.zoneCloseMs));
        this->frontAddresses.push_back(host + ":" + portOf(21));
        this->readyAddresses.push_back(host + ":" + portOf(23));
    }
    for (std::size_t number = 0; number < options.labels.size(); ++number) {
        const auto host = hostOf(FirstMachine + number);
        const auto zone = number % Zones.size();
        Machine machine;
        machine.executor =
            std::make_unique<Executor>(ExecutorTraits{host, Zones.at(zone), "tune", options.labels[number], options.checkpointBytes}, record, this->runs);
        machine.control = host + ":" + portOf(26);
        const auto name = "side-" + std::to_string(number + 1);
        const auto settings = settingsOf("deploy/agent.toml", name, host, zone, this->store.address(), machine.executor->address());
        machine.agent = std::make_unique<Daemon>(name, settings, this->folder, options.zoneCloseMs);
        this->machines.push_back(std::move(machine));
    }
    for (std::size_t number = 0; number < std::min(options.startedEntries, this->front.size()); ++number) {
        this->front[number]->start();
    }
    for (const auto &machine : this->machines) {
        machine.agent->start();
    }
    for (std::size_t number = 0; number < this->machines.size(); ++number) {
        this->beginExecutor(number);
    }
}

Site::~Site()
{
    this->runs.close();
    this->record.line("end       of the case; all processes are ended");
    std::vector<Daemon *> all;
    for (const auto &entry : this->front) {
        all.push_back(entry.get());
    }
    for (const auto &machine : this->machines) {
        all.push_back(machine.agent.get());
    }
    for (auto *const daemon : all) {
        if (!daemon->hasEnded()) {
            daemon->signal(SIGKILL);
        }
    }
    waitFor(EndTime, [&all] { return std::all_of(all.begin(), all.end(), [](Daemon *daemon) { return daemon->hasEnded(); }); });
    for (const auto &machine : this->machines) {
        machine.executor->crash();
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
}

bool Site::waitUntilReady()
{
    return this->waitUntilReady(this->front.size(), ReadyTime);
}

bool Site::waitUntilReady(std::size_t entries, Millis limit)
{
    const auto isReady = [](const std::string &address) {
        httplib::Client client("http://" + address);
        client.set_connection_timeout(CallTime);
        client.set_read_timeout(CallTime);
        const auto answer = client.Get("/waxwingloft/readyz");
        return answer && answer->status == StatusOk;
    };
    for (std::size_t number = 0; number < entries; ++number) {
        if (!waitFor(limit, [&] { return isReady(this->readyAddresses.at(number)); })) {
            this->record.line("an entry is not ready in time");
            return false;
        }
    }
    for (const auto &machine : this->machines) {
        if (!waitFor(ReadyTime, [&] { return machine.executor->reports() >= 2; })) {
            this->record.line("an executor has not reported in time");
            return false;
        }
    }
    return true;
}

Answer Site::ask(std::size_t entry, const std::string &method, const std::string &path, const std::string &body, const std::string &key)
{
    httplib::Client client("http://" + this->frontAddresses.at(entry));
    client.set_connection_timeout(CallTime);
    client.set_read_timeout(CallTime);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = {{"Host", RouteHost}, {"Waxwingloft-Timeout-Ms", std::to_string(CallTime.count())}, {"Content-Type", "application/json"}};
    if (!key.empty()) {
        request.headers.emplace("Api-Key", key);
    }
    request.body = body;
    const auto result = client.send(request);
    if (!result) {
        return {};
    }
    return {result->status, Json::parse(result->body, nullptr, false)};
}

bool Site::submit(const std::string &path, const Json &job, const std::string &key)
{
    constexpr std::size_t Tries = 5;
    for (std::size_t number = 0; number < Tries; ++number) {
        const auto entry = number % this->front.size();
        const auto answer = this->ask(entry, "POST", path, job.dump(), key);
        this->record.line("POST      " + path + " at front-" + std::to_string(entry + 1) + ": " + std::to_string(answer.status));
        if (answer.status / 100 == 2) {
            return true;
        }
        std::this_thread::sleep_for(Millis(500));
    }
    return false;
}

std::string Site::stateOf(const std::string &path)
{
    for (std::size_t entry = 0; entry < this->front.size(); ++entry) {
        const auto answer = this->ask(entry, "GET", path);
        if (answer.status == StatusOk && answer.body.is_object()) {
            return answer.body.value("state", "");
        }
    }
    return {};
}

Executor &Site::executor(std::size_t number)
{
    return *this->machines.at(number).executor;
}

std::size_t Site::executors() const
{
    return this->machines.size();
}

void Site::beginExecutor(std::size_t number)
{
    auto &machine = this->machines.at(number);
    machine.executor->begin(machine.control);
}

Daemon &Site::agent(std::size_t number)
{
    return *this->machines.at(number).agent;
}

Daemon &Site::entry(std::size_t number)
{
    return *this->front.at(number);
}

std::size_t Site::entries() const
{
    return this->front.size();
}

std::vector<std::string> Site::endedProcesses()
{
    std::vector<std::string> ended;
    for (const auto &entry : this->front) {
        if (entry->hasEnded()) {
            ended.push_back(entry->name);
        }
    }
    for (const auto &machine : this->machines) {
        if (machine.agent->hasEnded()) {
            ended.push_back(machine.agent->name);
        }
    }
    return ended;
}

Json settingsWithOneRoute()
{
    const Json route{{"name", "queue"},
                     {"host", RouteHost},
                     {"path_prefix", "/queue/"},
                     {"service", "tune"},
                     {"priority", 1},
                     {"max_attempts", 4},
                     {"stretch", 3.0},
                     {"target_latency_ms", 1200},
                     {"timeout_ms", 3000}};
    const Json service{{"name", "tune"}, {"enforces_capacity", false}};
    const Json tenant{{"name", "tenant-1"}, {"api_keys", Json::array({"key-1"})}, {"guaranteed", {{"gpu", 0}}}};
    return {{"version", 3},
            {"routes", Json::array({route})},
            {"services", Json::array({service})},
            {"tenants", Json::array({tenant})},
            {"limits", {{"max_body_bytes", 262'144}}}};
}

bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int runCase(int argc, char **argv, int (*play)(Record &record))
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return CouldNotRun;
    }
    ::signal(SIGPIPE, SIG_IGN);
    Record record(argv[1]);
    std::thread([&record] {
        std::this_thread::sleep_for(LongestCase);
        record.line("the case took too long");
        children().killAll();
        std::_Exit(CouldNotRun);
    }).detach();
    try {
        const int code = play(record);
        record.line(code == RuleBroken ? "the rule was broken" : code == RuleHeld ? "the rule held" : "the case could not run");
        return code;
    } catch (const std::exception &error) {
        record.line(std::string("the case could not run: ") + error.what());
        return CouldNotRun;
    }
}

} // namespace waxwingloft::review
