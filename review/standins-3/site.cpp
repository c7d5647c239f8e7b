#include "site.h"

#include "standins.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <httplib.h>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <toml++/toml.h>
#include <unistd.h>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t Entries = 3;
constexpr std::size_t Sides = 11;
constexpr std::size_t SidesInRack = 3;
constexpr int CallSeconds = 3; ///< for which callers wait for an answer
constexpr std::int64_t ReadyLimitMs = 20'000;
constexpr std::int64_t PauseMs = 100;
const std::array<std::string, 3> Zones = {"vejle-a", "odense-a", "aalborg-a"};
const std::string Host = "jobs.example";
const std::string Prefix = "/colour/";
const std::string Key = "key-1";

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string fill(std::string text, const std::map<std::string, std::string> &settings)
{
    for (const auto &[name, value] : settings) {
        absl::StrReplaceAll({{"{{" + name + "}}", value}}, &text);
    }
    return text;
}

std::vector<std::string> wordsOf(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

/** Returns a setting of a role in the deploy file. */
std::string deployed(const std::string &role, const std::string &name)
{
    const auto file = toml::parse_file("deploy/system.toml");
    return file["roles"][role][name].value_or(std::string());
}

} // namespace

std::int64_t nowMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

int portOf(const std::string &address)
{
    return std::stoi(address.substr(address.rfind(':') + 1));
}

Site::Site(std::string self, const std::string &record)
    : self(std::move(self))
    , record(record)
    , zero(nowMillis())
{
    std::string name = (std::filesystem::temp_directory_path() / "waxwingloft-review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = name;
    this->store = this->freeAddress("127.0.3.1");
    this->startProcess("store", {this->self, "store", this->store}, "");
    for (std::size_t index = 0; index < Entries; ++index) {
        this->entries.push_back(this->makeMachine("front-" + std::to_string(index), Zones.at(index % Zones.size()), true));
    }
    for (std::size_t index = 0; index < Sides; ++index) {
        this->sides.push_back(this->makeMachine("side-" + std::to_string(index), Zones.at(index % Zones.size()), false));
    }
    this->writeRoutes();
    for (const auto &entry : this->entries) {
        this->startDaemon(entry, "entry");
    }
    for (std::size_t index = 0; index < Sides; ++index) {
        this->startDaemon(this->sides[index], "agent");
        this->startExecutor(index);
    }
}

Site::~Site()
{
    for (const auto &[name, process] : this->processes) {
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(this->folder);
    } else {
        this->say("logs are in the temporary folder " + std::filesystem::path(this->folder).filename().string());
    }
}

/** Returns an address on @p ip whose port was free a moment ago. */
std::string Site::freeAddress(const std::string &ip) const
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof(address);
    const bool isBound =
        bind(socket, reinterpret_cast<sockaddr *>(&address), size) == 0 && getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    close(socket);
    if (!isBound) {
        throw std::runtime_error("no free port on " + ip);
    }
    return ip + ":" + std::to_string(ntohs(address.sin_port));
}

Site::Machine Site::makeMachine(const std::string &name, const std::string &zone, bool isEntry)
{
    Machine machine;
    machine.name = name;
    machine.zone = zone;
    machine.ip = std::string(isEntry ? "127.0.1." : "127.0.2.") + std::to_string((isEntry ? this->entries : this->sides).size() + 1);
    const auto rpc = this->freeAddress(machine.ip);
    const auto http = this->freeAddress(machine.ip);
    machine.app = isEntry ? std::string() : this->freeAddress(machine.ip);
    machine.control = isEntry ? std::string() : this->freeAddress(machine.ip);
    machine.settings = {{"node_name", name},
                        {"ip", machine.ip},
                        {"port_range.0", std::to_string(portOf(rpc))},
                        {"port_range.1", std::to_string(portOf(http))},
                        {"zone", zone},
                        {"region", zone.substr(0, zone.find('-'))},
                        {"platform.address", this->store},
                        {"platform.writes_per_s", "800"},
                        {"bounds.hold_max_ms", "6000"},
                        {"bounds.evacuate_ms", ""},
                        {"listen.control", machine.control},
                        {"app", machine.app}};
    if (isEntry) {
        machine.settings["listen.front"] = this->freeAddress(machine.ip);
        machine.settings["listen.ready"] = this->freeAddress(machine.ip);
    }
    return machine;
}

void Site::startDaemon(const Machine &machine, const std::string &role)
{
    const auto config = this->folder + "/" + machine.name + ".toml";
    std::ofstream(config) << fill(readFile(deployed(role, "template")), machine.settings);
    this->startProcess(machine.name, wordsOf(fill(deployed(role, "run"), machine.settings)), config);
}

void Site::startExecutor(std::size_t index)
{
    auto &machine = this->sides.at(index);
    const auto id = "i-" + std::to_string(index) + "-" + std::to_string(++machine.lives);
    const auto rack = "r1-" + std::to_string(index / SidesInRack);
    this->startProcess(
        "executor-" + std::to_string(index), {this->self, "executor", machine.app, machine.control, id, machine.zone, rack, this->folder + "/notes"}, "");
    this->say("executor " + id + " starts beside " + machine.name);
}

void Site::startProcess(const std::string &name, const std::vector<std::string> &command, const std::string &config)
{
    const auto log = this->folder + "/" + name + ".log";
    std::vector<char *> words;
    for (const auto &word : command) {
        words.push_back(const_cast<char *>(word.c_str()));
    }
    words.push_back(nullptr);
    const auto process = fork();
    if (process == 0) {
        // Nothing is left behind, also when this process is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        if (!config.empty()) {
            setenv("WAXWINGLOFT_CONFIG", config.c_str(), 1);
        }
        execv(words.front(), words.data());
        _exit(127);
    }
    this->processes[name] = process;
}

void Site::signal(const std::string &name, int number, bool ends)
{
    const auto process = this->processes.at(name);
    kill(process, number);
    if (ends) {
        waitpid(process, nullptr, 0);
        this->processes.erase(name);
    }
}

void Site::writeRoutes()
{
    const Json config{{"version", 3},
                      {"routes",
                       {{{"name", "colour"},
                         {"host", Host},
                         {"path_prefix", Prefix},
                         {"service", "mould-tune"},
                         {"priority", 1},
                         {"max_attempts", 4},
                         {"stretch", 3.0},
                         {"target_latency_ms", 1200},
                         {"timeout_ms", 3000}}}},
                      {"services", {{{"name", "mould-tune"}}}},
                      {"tenants", {{{"name", "tenant-1"}, {"api_keys", {Key}}, {"guaranteed", {{"gpu", 8}}}}}},
                      {"limits", {{"max_body_bytes", 262'144}}}};
    const Json row{{"table", "op"}, {"part", ""}, {"key", "config"}, {"value", absl::Base64Escape(config.dump())}};
    httplib::Client client(hostOf(this->store), portOf(this->store));
    const auto until = nowMillis() + ReadyLimitMs;
    while (!client.Post("/operator/rows-tx", Json{{"set_keys", {row}}}.dump(), "application/json")) {
        if (nowMillis() > until) {
            throw std::runtime_error("the store does not answer");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(PauseMs));
    }
}

void Site::copyEndedJob(const std::string &job, std::size_t count)
{
    constexpr std::size_t JobsInTransaction = 40;
    httplib::Client client(hostOf(this->store), portOf(this->store));
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    const auto answer = client.Get("/waxwingloft/rows-get?table=jobs&part=&from=" + job + "&limit=3");
    const auto rows = Json::parse(answer->body).at("rows");
    std::map<std::string, std::string> originals;
    std::size_t bytes = 0;
    for (const auto &row : rows) {
        const auto key = row.at("key").get<std::string>();
        if (key.starts_with(job)) {
            absl::Base64Unescape(row.at("value").get<std::string>(), &originals[key]);
            bytes += originals[key].size();
        }
    }
    for (std::size_t done = 0; done < count;) {
        auto copies = Json::array();
        for (std::size_t end = std::min(count, done + JobsInTransaction); done < end; ++done) {
            std::ostringstream id;
            id << std::hex << std::setw(16) << std::setfill('0') << done + 1;
            for (const auto &[key, value] : originals) {
                const auto copy = absl::StrReplaceAll(value, {{job, id.str()}});
                copies.push_back({{"table", "jobs"}, {"part", ""}, {"key", absl::StrReplaceAll(key, {{job, id.str()}})}, {"value", absl::Base64Escape(copy)}});
            }
        }
        client.Post("/operator/rows-tx", Json{{"set_keys", copies}}.dump(), "application/json");
    }
    this->say("the rows of a job that has ended, " + std::to_string(originals.size()) + " of " + std::to_string(bytes) + " bytes in all, were written "
              + std::to_string(count) + " times under other ids");
}

void Site::killEntry(std::size_t index)
{
    this->say("entry " + this->entries.at(index).name + " is killed");
    this->signal(this->entries.at(index).name, SIGKILL, true);
}

void Site::startEntry(std::size_t index)
{
    this->say("entry " + this->entries.at(index).name + " starts");
    this->startDaemon(this->entries.at(index), "entry");
}

std::int64_t Site::memoryOf(std::size_t index) const
{
    constexpr std::string_view Field = "VmRSS:";
    const auto status = readFile("/proc/" + std::to_string(this->processes.at(this->entries.at(index).name)) + "/status");
    const auto at = status.find(Field);
    return at == std::string::npos ? 0 : std::strtol(status.c_str() + at + Field.size(), nullptr, 10);
}

bool Site::isReady(const Machine &entry) const
{
    const auto &address = entry.settings.at("listen.ready");
    httplib::Client client(hostOf(address), portOf(address));
    client.set_read_timeout(1);
    const auto answer = client.Get("/waxwingloft/readyz");
    return answer && answer->status == 200;
}

bool Site::waitUntilReady()
{
    const auto until = nowMillis() + ReadyLimitMs;
    while (nowMillis() < until) {
        const bool areReady = std::all_of(this->entries.begin(), this->entries.end(), [this](const Machine &entry) { return this->isReady(entry); });
        std::size_t joined = 0;
        for (const auto &side : this->sides) {
            joined += std::any_of(this->entries.begin(),
                                  this->entries.end(),
                                  [this, &side](const Machine &entry) {
                                      return readFile(this->folder + "/" + entry.name + ".log").find("agent=\"" + side.name + "\"") != std::string::npos;
                                  })
                ? 1
                : 0;
        }
        if (areReady && joined == Sides) {
            this->say("all entries are ready and all executors have joined");
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(PauseMs));
    }
    this->say("the deployment was not ready in time");
    return false;
}

Answer Site::call(const Machine &entry, const std::string &method, const std::string &path, const std::string &body)
{
    const auto &address = entry.settings.at("listen.front");
    httplib::Client client(hostOf(address), portOf(address));
    client.set_connection_timeout(1);
    client.set_read_timeout(CallSeconds);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = {{"Host", Host}, {"Api-Key", Key}, {"Waxwingloft-Timeout-Ms", std::to_string(CallSeconds * 1000)}, {"Content-Type", "application/json"}};
    const auto sentAt = this->elapsed();
    const auto result = client.send(request);
    Answer answer;
    if (result) {
        answer.status = result->status;
        answer.body = Json::parse(result->body, nullptr, false);
    }
    this->record << sentAt << " ms: " << method << " " << path << " at " << entry.name << (body.empty() ? "" : " " + body) << " -> "
                 << (result ? std::to_string(result->status) + " " + result->body : "no answer") << " after " << this->elapsed() - sentAt << " ms" << std::endl;
    return answer;
}

Answer Site::submit(const std::string &job, const Json &body)
{
    Answer answer;
    for (const auto &entry : this->entries) {
        answer = this->call(entry, "POST", Prefix + job, body.dump());
        if (answer.status != 0 && answer.status != 502 && answer.status != 504) {
            break;
        }
    }
    return answer;
}

std::string Site::stateOf(const std::string &job)
{
    for (const auto &entry : this->entries) {
        const auto answer = this->call(entry, "GET", Prefix + job, "");
        if (answer.status == 200) {
            return answer.body.value("state", "");
        }
    }
    return "unknown";
}

int Site::waitingAt(std::size_t entry)
{
    const auto answer = this->call(this->entries.at(entry), "GET", Prefix, "");
    return answer.status == 200 ? answer.body.value("waiting", -1) : -1;
}

std::vector<Note> Site::notes()
{
    std::ifstream file(this->folder + "/notes");
    std::vector<Note> found;
    for (std::string line; std::getline(file, line);) {
        const auto json = Json::parse(line, nullptr, false);
        if (json.is_object()) {
            found.push_back({json.value("at", std::int64_t(0)) - this->zero,
                             json.value("event", ""),
                             json.value("executor", ""),
                             json.value("task", ""),
                             json.value("run", 0U),
                             json.value("spec", ""),
                             json.value("checkpoint", ""),
                             json.value("how", "")});
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const Note &left, const Note &right) { return left.at < right.at; });
    return found;
}

std::vector<Note> Site::startsOf(const std::string &job)
{
    auto found = this->notes();
    std::erase_if(found, [&job](const Note &note) { return note.event != "start" || !note.task.starts_with(job + "."); });
    return found;
}

std::size_t Site::indexOf(const std::string &id) const
{
    return std::stoul(id.substr(id.find('-') + 1));
}

void Site::killExecutor(std::size_t index)
{
    this->say("executor " + std::to_string(index) + " is killed");
    this->signal("executor-" + std::to_string(index), SIGKILL, true);
}

void Site::silenceExecutor(std::size_t index)
{
    this->say("executor " + std::to_string(index) + " answers nothing from now on");
    this->signal("executor-" + std::to_string(index), SIGSTOP, false);
}

void Site::killAgent(std::size_t index)
{
    this->say("the agent " + this->sides.at(index).name + " is killed");
    this->signal(this->sides.at(index).name, SIGKILL, true);
}

std::int64_t Site::elapsed() const
{
    return nowMillis() - this->zero;
}

void Site::sleepUntil(std::int64_t millis) const
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, millis - this->elapsed())));
}

void Site::say(const std::string &line)
{
    this->record << this->elapsed() << " ms: " << line << std::endl;
}

void Site::recordNotes()
{
    this->record << "What executors ran:" << std::endl;
    for (const auto &note : this->notes()) {
        const auto spec = Json(note.spec).dump();
        this->record << note.at << " ms: " << note.executor << " " << note.event << " " << note.task << " run " << note.run
                     << (note.event == "start" ? " spec " + spec + " checkpoint " + Json(note.checkpoint).dump() : " " + note.how) << std::endl;
    }
}

} // namespace waxwingloft::review
