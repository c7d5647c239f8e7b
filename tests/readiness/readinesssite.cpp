#include "readinesssite.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <csignal>
#include <sstream>
#include <unistd.h>

namespace waxwingloft::tests {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr auto Host = "queue.example";
constexpr auto Key = "key-1";
constexpr auto FrontPort = "8521";
constexpr auto ReadyPort = "8523";
constexpr auto ControlPort = "8526";
constexpr int AppPort = 8080;
constexpr std::uint32_t MachinesOfRack = 3;
constexpr std::size_t ExecutorThreads = 24;
constexpr auto CallTime = Millis(3000); ///< a caller's own time-out
constexpr auto LookTime = Millis(500); ///< time-out of what is asked between two looks
constexpr auto Look = Millis(50);
constexpr auto LeaderLine = std::string_view("Became leader under epoch ");
const Capacity ExecutorCapacity = {128'000, 262'144, 8};

/** Returns a loopback address of this test process; tests of other processes have others. */
std::string hostOf(std::uint32_t number)
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + process / 250 % 200) + "." + std::to_string(1 + process % 250) + "." + std::to_string(number);
}

std::string entryHost(std::uint32_t entry)
{
    return hostOf(1 + entry);
}

std::string machineHost(std::uint32_t machine)
{
    return hostOf(101 + machine);
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
    // So many attempts that no job fails by the executors that are killed under it.
    const Json route{{"name", "queue"},
                     {"host", Host},
                     {"path_prefix", "/queue/"},
                     {"service", "tune"},
                     {"priority", 1},
                     {"max_attempts", 20},
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

httplib::Client clientOf(const std::string &address, Millis timeout)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    return client;
}

httplib::Headers headersOf(Millis timeout)
{
    return {{"Host", Host}, {"Api-Key", Key}, {"Waxwingloft-Timeout-Ms", std::to_string(timeout.count())}};
}

StoreTrouble storeTroubleOf(TroubleKind kind)
{
    constexpr std::array<StoreTrouble, 5> Troubles = {
        StoreTrouble::Busy, StoreTrouble::Resets, StoreTrouble::Silent, StoreTrouble::Slow, StoreTrouble::LosesSome};
    return Troubles.at(static_cast<std::size_t>(kind));
}

/** A task works for as long as its spec says, in milliseconds. */
FakeRun runOf(const StartOrder &order)
{
    FakeRun run;
    run.endsAt = Millis(std::stol(order.spec));
    return run;
}

} // namespace

// In the order of TroubleKind.
const std::array<ReadinessSite::Handling, 13> ReadinessSite::Handlings = {{
    {&ReadinessSite::troubleStore, &ReadinessSite::mendStore},
    {&ReadinessSite::troubleStore, &ReadinessSite::mendStore},
    {&ReadinessSite::troubleStore, &ReadinessSite::mendStore},
    {&ReadinessSite::troubleStore, &ReadinessSite::mendStore},
    {&ReadinessSite::troubleStore, &ReadinessSite::mendStore},
    {&ReadinessSite::terminateLeader, &ReadinessSite::startEntry},
    {&ReadinessSite::killLeader, &ReadinessSite::startEntry},
    {&ReadinessSite::pauseEntry, &ReadinessSite::continueEntry},
    {&ReadinessSite::pauseAgent, &ReadinessSite::continueAgent},
    {&ReadinessSite::killExecutor, &ReadinessSite::startExecutor},
    {&ReadinessSite::loseExecutor, nullptr},
    {&ReadinessSite::troubleOrders, &ReadinessSite::mendOrders},
    {&ReadinessSite::troubleOrders, &ReadinessSite::mendOrders},
}};

ReadinessSite::ReadinessSite(const std::string &folder, WaitingJobs &jobs)
    : folder(folder)
    , jobs(jobs)
    , notes(folder + "/run.log")
    , store(hostOf(250))
    , lastEnd(this->clock.now())
{
    this->store.put("op", "config", absl::Base64Escape(operatorSettings().dump()));
    for (std::uint32_t machine = 0; machine < Executors; ++machine) {
        this->startAgent(machine);
        this->startExecutor(machine);
    }
    for (std::uint32_t entry = 0; entry < Entries; ++entry) {
        this->startEntry(entry);
    }
}

ReadinessSite::~ReadinessSite()
{
    for (auto &entry : this->entries) {
        entry.process.reset();
    }
    for (auto &machine : this->machines) {
        machine.agent.reset();
    }
}

bool ReadinessSite::waitUntilReady(Millis patience)
{
    const auto until = this->clock.now() + patience;
    const auto isReady = [](std::uint32_t entry) {
        const auto answer = clientOf(entryHost(entry) + ":" + ReadyPort, LookTime).Get("/waxwingloft/readyz");
        return answer && answer->status == StatusOk;
    };
    while (this->clock.now() < until) {
        if (isReady(0) && isReady(1) && isReady(2)) {
            return true;
        }
        this->clock.sleepFor(Look);
    }
    return false;
}

void ReadinessSite::begin(const Trouble &trouble)
{
    this->note("begins: " + std::string(nameOf(trouble.kind)) + " target " + std::to_string(trouble.target) + " for " + std::to_string(trouble.duration.count())
               + " ms");
    (this->*Handlings.at(static_cast<std::size_t>(trouble.kind)).begin)(trouble);
}

void ReadinessSite::look()
{
    const auto now = this->clock.now();
    for (std::uint32_t number = 0; number < Entries; ++number) {
        auto &entry = this->entries.at(number);
        if (entry.isLeaving && !entry.process->isAlive()) {
            entry.isLeaving = false;
            this->note("entry " + std::to_string(number) + " is gone");
            this->pending.push_back({now + entry.goneFor, TroubleKind::LeaderTerminated, number});
        }
    }
    std::vector<Pending> due;
    std::copy_if(this->pending.begin(), this->pending.end(), std::back_inserter(due), [now](const Pending &item) { return item.at <= now; });
    std::erase_if(this->pending, [now](const Pending &item) { return item.at <= now; });
    for (const auto &item : due) {
        (this->*Handlings.at(static_cast<std::size_t>(item.kind)).end)(item.target);
        this->note("ended: " + std::string(nameOf(item.kind)) + " target " + std::to_string(item.target));
        this->lastEnd = this->clock.now();
    }
}

std::optional<Instant> ReadinessSite::lastTroubleEnd() const
{
    const bool isLeaving = std::any_of(this->entries.begin(), this->entries.end(), [](const Entry &entry) { return entry.isLeaving; });
    return isLeaving || !this->pending.empty() ? std::nullopt : std::optional(this->lastEnd);
}

bool ReadinessSite::submit(const PlannedJob &job, std::uint32_t entry) const
{
    const auto needs = needsOf(job);
    const Json step{{"count", job.count},
                    {"cpu", needs.milliCores},
                    {"mem_mb", needs.memoryMb},
                    {"gpu", needs.accelerators},
                    {"estimate_ms", job.workTime.count()},
                    {"gang", job.isGang},
                    {"same_rack", job.isOnOneRack}};
    const auto body = Json{{"spec", std::to_string(job.workTime.count())}, {"steps", Json::array({step})}}.dump();
    const auto answer = clientOf(entryHost(entry) + ":" + FrontPort, CallTime).Post("/queue/" + job.id, headersOf(CallTime), body, "application/json");
    return answer && answer->status == StatusOk;
}

std::string ReadinessSite::stateOf(const std::string &job) const
{
    for (std::uint32_t entry = 0; entry < Entries; ++entry) {
        const auto answer = clientOf(entryHost(entry) + ":" + FrontPort, LookTime).Get("/queue/" + job, headersOf(LookTime));
        if (answer && answer->status == StatusOk) {
            return Json::parse(answer->body).value("state", "");
        }
    }
    return {};
}

void ReadinessSite::note(const std::string &text)
{
    this->notes << this->clock.wallMillis() << " " << text << std::endl;
}

void ReadinessSite::troubleStore(const Trouble &trouble)
{
    ++this->storeTroubles;
    this->store.setTrouble(storeTroubleOf(trouble.kind));
    this->endLater(trouble);
}

void ReadinessSite::mendStore(std::uint32_t /*target*/)
{
    if (--this->storeTroubles == 0) {
        this->store.setTrouble(StoreTrouble::None);
    }
}

void ReadinessSite::terminateLeader(const Trouble &trouble)
{
    auto &entry = this->entries.at(this->leader(trouble.target));
    if (entry.process && entry.process->isAlive() && !entry.isLeaving) {
        entry.isLeaving = true;
        entry.goneFor = trouble.duration;
        entry.process->sendSignal(SIGTERM);
    }
}

void ReadinessSite::killLeader(const Trouble &trouble)
{
    auto &entry = this->entries.at(this->leader(trouble.target));
    if (entry.process && entry.process->isAlive() && !entry.isLeaving) {
        entry.isLeaving = true;
        entry.goneFor = trouble.duration;
        entry.process->sendSignal(SIGKILL);
    }
}

void ReadinessSite::startEntry(std::uint32_t target)
{
    auto &entry = this->entries.at(target);
    const auto name = "front-" + std::to_string(target + 1);
    entry.process =
        std::make_unique<DaemonProcess>(this->folder, name + "-life-" + std::to_string(++entry.lives), this->settings("entry.toml", entryHost(target), name));
}

void ReadinessSite::pauseEntry(const Trouble &trouble)
{
    auto &entry = this->entries.at(trouble.target);
    ++entry.pauses;
    if (entry.process) {
        entry.process->sendSignal(SIGSTOP);
    }
    this->endLater(trouble);
}

void ReadinessSite::continueEntry(std::uint32_t target)
{
    auto &entry = this->entries.at(target);
    if (--entry.pauses == 0 && entry.process) {
        entry.process->sendSignal(SIGCONT);
    }
}

void ReadinessSite::pauseAgent(const Trouble &trouble)
{
    auto &machine = this->machines.at(trouble.target);
    ++machine.pauses;
    machine.agent->sendSignal(SIGSTOP);
    this->updateUsable(machine);
    this->endLater(trouble);
}

void ReadinessSite::continueAgent(std::uint32_t target)
{
    auto &machine = this->machines.at(target);
    if (--machine.pauses == 0) {
        machine.agent->sendSignal(SIGCONT);
    }
    this->updateUsable(machine);
}

void ReadinessSite::killExecutor(const Trouble &trouble)
{
    auto &machine = this->machines.at(trouble.target);
    if (machine.executor) {
        this->removeExecutor(machine);
        this->endLater(trouble);
    }
}

void ReadinessSite::startExecutor(std::uint32_t target)
{
    auto &machine = this->machines.at(target);
    if (machine.isLost || machine.executor) {
        return;
    }
    machine.executorId = "i-" + std::to_string(target + 1) + "-" + std::to_string(++machine.lives);
    this->jobs.addExecutor(machine.executorId, ExecutorCapacity);
    HttpExecutorOptions options;
    options.id = machine.executorId;
    options.host = machineHost(target);
    options.port = AppPort;
    options.agentAddress = options.host + ":" + ControlPort;
    options.rack = "r1-" + std::to_string(1 + target / MachinesOfRack);
    options.threads = ExecutorThreads;
    options.runOf = runOf;
    machine.executor = std::make_unique<HttpExecutor>(options, this->jobs);
    machine.orderTroubles = 0;
    this->updateUsable(machine);
}

void ReadinessSite::loseExecutor(const Trouble &trouble)
{
    auto &machine = this->machines.at(trouble.target);
    machine.isLost = true;
    this->removeExecutor(machine);
    this->lastEnd = this->clock.now();
}

void ReadinessSite::troubleOrders(const Trouble &trouble)
{
    auto &machine = this->machines.at(trouble.target);
    if (machine.executor) {
        ++machine.orderTroubles;
        machine.executor->mood = trouble.kind == TroubleKind::OrdersLost ? OrderMood::Lost : OrderMood::AnswerLost;
        this->updateUsable(machine);
        this->endLater(trouble);
    }
}

void ReadinessSite::mendOrders(std::uint32_t target)
{
    auto &machine = this->machines.at(target);
    // An executor that was killed meanwhile has begun anew without trouble.
    machine.orderTroubles = std::max(0, machine.orderTroubles - 1);
    if (machine.executor && machine.orderTroubles == 0) {
        machine.executor->mood = OrderMood::Answered;
        this->updateUsable(machine);
    }
}

void ReadinessSite::endLater(const Trouble &trouble)
{
    this->pending.push_back({this->clock.now() + trouble.duration, trouble.kind, trouble.target});
}

void ReadinessSite::removeExecutor(Machine &machine)
{
    if (machine.executor) {
        machine.executor.reset();
        this->jobs.removeExecutor(machine.executorId);
    }
}

void ReadinessSite::updateUsable(const Machine &machine)
{
    this->jobs.setUsable(machine.executorId, machine.executor && machine.pauses == 0 && machine.orderTroubles == 0);
}

void ReadinessSite::startAgent(std::uint32_t target)
{
    const auto name = "side-" + std::to_string(target + 1);
    this->machines.at(target).agent = std::make_unique<DaemonProcess>(this->folder, name, this->settings("agent.toml", machineHost(target), name));
}

/** Returns the entry with the highest epoch in its log, or @p otherwise before there is any. */
std::uint32_t ReadinessSite::leader(std::uint32_t otherwise) const
{
    std::uint64_t highest = 0;
    auto found = otherwise;
    for (std::uint32_t entry = 0; entry < Entries; ++entry) {
        const auto log = readFile(this->logOf(entry));
        const auto at = log.rfind(LeaderLine);
        const auto epoch = at == std::string::npos ? 0 : std::stoull(log.substr(at + LeaderLine.size(), 20));
        if (epoch > highest) {
            highest = epoch;
            found = entry;
        }
    }
    return found;
}

std::string ReadinessSite::logOf(std::uint32_t entry) const
{
    return this->folder + "/front-" + std::to_string(entry + 1) + "-life-" + std::to_string(this->entries.at(entry).lives) + ".log";
}

std::string ReadinessSite::settings(const std::string &templateFile, const std::string &host, const std::string &name) const
{
    return absl::StrReplaceAll(readFile(std::string(WAXWINGLOFT_SOURCE) + "/deploy/" + templateFile),
                               {{"{{node_name}}", name},
                                {"{{ip}}", host},
                                {"{{port_range.0}}", "7000"},
                                {"{{port_range.1}}", "7001"},
                                {"{{region}}", "region-a"},
                                {"{{zone}}", "zone-a"},
                                {"{{platform.address}}", this->store.address()},
                                {"{{platform.writes_per_s}}", "800"},
                                {"{{listen.front}}", host + ":" + FrontPort},
                                {"{{listen.ready}}", host + ":" + ReadyPort},
                                {"{{listen.control}}", host + ":" + ControlPort},
                                {"{{app}}", host + ":" + std::to_string(AppPort)},
                                {"{{bounds.hold_max_ms}}", "6000"}});
}

} // namespace waxwingloft::tests
