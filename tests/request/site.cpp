#include "site.h"

#include <algorithm>

namespace waxwingloft::tests {

namespace {

const std::vector<std::string> EntryNames = {"entry-1", "entry-2"};
const std::vector<std::string> AgentNames = {"server-1", "server-2", "worker-1", "worker-2", "worker-3"};
const std::vector<std::string> EntryAddresses = {"entry-1:1", "entry-2:1"};
constexpr Millis TickLength{100};
constexpr int MaxAdvanceDepth = 3; ///< nested advance() calls that still run other processes, as when a tick sleeps
constexpr Millis MaxPartialRunTime{4000}; ///< task lease plus the tick interval plus a margin
constexpr Millis FreezeTime{15000};
constexpr Millis SettleTime{90000};
constexpr Millis DrainTime{15000}; ///< time for a drained agent to finish before it is restarted

bool isEntry(const std::string &name)
{
    return name.starts_with("entry");
}

bool isWorker(const std::string &name)
{
    return name.starts_with("worker");
}

std::vector<std::string> otherEntries(const std::string &address)
{
    auto others = EntryAddresses;
    std::erase(others, address);
    return others;
}

/** Forwards to a worker that outlives its agent. */
class ForwardingWorker : public WorkerPort
{
public:
    explicit ForwardingWorker(WorkerPort &worker)
        : worker(worker)
    {
    }

    Status start(const TaskOrder &order) override
    {
        return this->worker.start(order);
    }

    Result<TaskUsage> renew(const std::string &id, Millis lease) override
    {
        return this->worker.renew(id, lease);
    }

    Result<std::string> checkpoint(const std::string &id) override
    {
        return this->worker.checkpoint(id);
    }

    Status throttle(const std::string &id) override
    {
        return this->worker.throttle(id);
    }

    Status stop(const std::string &id) override
    {
        return this->worker.stop(id);
    }

private:
    WorkerPort &worker;
};

} // namespace

const std::string Site::operatorToken = "operator-token";
const std::string Site::callerToken = "caller-token";

SiteProcess::SiteProcess(Site &site, std::string name, std::string address, Incarnation incarnation)
    : name(std::move(name))
    , address(std::move(address))
    , incarnation(incarnation)
    , isAlive(std::make_shared<bool>(true))
    , events(site.clock, this->name, 1000)
    , ids(std::hash<std::string>()(this->name) + incarnation)
    , settings(this->events)
    , sync(site.clock, this->events, this->settings, NodeId{this->name}, otherEntries(this->address), SettingsSyncOptions{}, incarnation)
    , tableView(site.rows, site.plan, this->name, this->isAlive)
    , table(this->tableView, site.clock, TableBudget{1000.0, 1000.0, 4, Millis(50), Millis(1000), 5}, incarnation)
    , port(site.net, this->sync, this->name, this->isAlive)
{
    this->sync.setAddress(this->address);
}

Site::Site()
    : net(this->clock, this->plan)
{
    this->clock.onSleep = [this](Millis duration) { this->advance(duration); };
    this->net.onKill = [this](const std::string &name) { this->kill(name); };
    this->net.onFreeze = [this](const std::string &name) { this->thawAt[name] = this->clock.now() + FreezeTime; };
    for (const auto &name : EntryNames) {
        this->startProcess(name);
    }
    for (const auto &name : AgentNames) {
        if (isWorker(name)) {
            this->workers[name] = std::make_unique<FakeWorker>(this->clock, TaskRunTime);
        }
        this->startProcess(name);
    }
    this->advance(Millis(5000));
    const auto kinds = nlohmann::json::parse(R"({
        "check": {"form": "call", "urgency": "urgent", "idempotent": true, "deadline_ms": 20000},
        "invoice": {"form": "call", "idempotent": false, "deadline_ms": 20000},
        "fit": {"form": "gang", "idempotent": true},
        "probe": {"form": "gang", "urgency": "urgent", "idempotent": false, "checkpointable": true},
        "simulation": {"form": "gang", "idempotent": false, "checkpointable": true}})");
    const auto workspaces = nlohmann::json::parse(R"({
        "plant": {"tokens": ["caller-token"], "guarantees": [{"accelerators": 8, "adjacency": "worker"}]},
        "other": {"tokens": ["other-caller-token"]}})");
    this->setSettings("entry-1", "/teams/moulds", {{"kinds", kinds}, {"workspaces", workspaces}});
    this->advance(Millis(4000));
}

Site::~Site() = default;

void Site::advance(Millis duration)
{
    for (auto left = duration; left > Millis(0); left -= TickLength) {
        this->clock.advance(std::min(left, TickLength));
        this->thawDueProcesses();
        this->checkGangs();
        if (this->depth >= MaxAdvanceDepth) {
            continue;
        }
        ++this->depth;
        std::vector<std::string> names;
        for (const auto &[name, process] : this->processes) {
            names.push_back(name);
        }
        for (const auto &name : names) {
            const auto found = this->processes.find(name);
            if (found != this->processes.end() && !this->net.isFrozen(name)) {
                this->tick(*found->second);
            }
        }
        this->runDeferred();
        --this->depth;
    }
}

void Site::kill(const std::string &name)
{
    const auto found = this->processes.find(name);
    if (found == this->processes.end()) {
        return;
    }
    *found->second->isAlive = false;
    this->net.leave(found->second->address);
    this->killed.push_back(std::move(found->second));
    this->processes.erase(found);
    std::erase_if(this->deferred, [&name](const auto &entry) { return entry.first == name; });
}

void Site::restart(const std::string &name)
{
    if (!this->processes.contains(name)) {
        this->startProcess(name);
    }
}

void Site::drain(const std::string &name)
{
    if (this->isUp(name) && this->process(name).agent != nullptr) {
        this->drained.insert(name);
        this->process(name).agent->drain();
    }
}

void Site::loseHost(const std::string &name)
{
    this->kill(name);
    const auto worker = this->workers.find(name);
    if (worker != this->workers.end()) {
        worker->second->loseHost();
    }
}

void Site::freezePastLeases(const std::string &name)
{
    this->net.freeze(name);
    this->advance(FreezeTime);
    this->net.thaw(name);
}

void Site::heal()
{
    this->plan.stop();
    this->rows.isDown = false;
    this->objects.isDown = false;
    this->objects.cutsShort = false;
    this->net.mendAll();
    for (const auto &name : EntryNames) {
        this->restart(name);
    }
    for (const auto &name : AgentNames) {
        this->restart(name);
    }
    this->advance(DrainTime);
    for (const auto &name : this->drained) {
        this->kill(name);
        this->restart(name);
    }
    this->advance(SettleTime);
}

bool Site::isUp(const std::string &name) const
{
    return this->processes.contains(name);
}

SiteProcess &Site::process(const std::string &name)
{
    return *this->processes.at(name);
}

EntryService &Site::entry(const std::string &name)
{
    return *this->processes.at(name)->entry;
}

std::vector<SiteProcess *> Site::live()
{
    std::vector<SiteProcess *> list;
    for (const auto &[name, process] : this->processes) {
        list.push_back(process.get());
    }
    return list;
}

bool Site::runAs(const std::string &name, const std::function<void()> &action)
{
    try {
        action();
        return true;
    } catch (const ProcessKilled &killedProcess) {
        if (killedProcess.node != name) {
            throw;
        }
        this->kill(name);
        return false;
    }
}

Result<SettingsVersion> Site::setSettings(const std::string &entryName, const std::string &path, const nlohmann::json &value, SettingsVersion expected)
{
    Result<SettingsVersion> version = makeError(ErrorKind::Ambiguous, "the entry was killed during the call");
    if (!this->isUp(entryName)) {
        return version;
    }
    const bool wasBusy = !this->busy.insert(entryName).second;
    this->runAs(entryName, [&] {
        version = this->entry(entryName).changeSettings(operatorToken, SettingsChange{SettingsAction::Set, path, value, expected, "tester"});
    });
    if (!wasBusy) {
        this->busy.erase(entryName);
    }
    return version;
}

const std::string &Site::violation() const
{
    return this->firstViolation;
}

void Site::report(const std::string &text)
{
    if (this->firstViolation.empty()) {
        this->firstViolation = text;
    }
}

void Site::startProcess(const std::string &name)
{
    const auto address = name + ":1";
    auto process = std::make_unique<SiteProcess>(*this, name, address, this->nextIncarnation++);
    const Location location{"vejle", "vejle-1", isWorker(name) ? "rack-w" : "rack-s"};
    if (isEntry(name)) {
        auto *const raw = process.get();
        static SerialFanOut fanOut;
        process->entry =
            std::make_unique<EntryService>(EntryContext{this->clock,
                                                        raw->events,
                                                        raw->metrics,
                                                        raw->settings,
                                                        raw->sync,
                                                        raw->table,
                                                        raw->port,
                                                        fanOut,
                                                        raw->ids,
                                                        [this, name](std::function<void()> task) { this->deferred.emplace_back(name, std::move(task)); },
                                                        NodeId{name},
                                                        raw->incarnation,
                                                        location,
                                                        address,
                                                        otherEntries(address),
                                                        operatorToken},
                                           EntryOptions{});
    } else {
        const AgentPortFactory ports{
            [this, name](const std::string &) -> std::unique_ptr<BackendPort> { return std::make_unique<FakeBackend>(this->runs, this->plan, name); },
            [this, name](const std::string &) -> std::unique_ptr<WorkerPort> { return std::make_unique<ForwardingWorker>(*this->workers.at(name)); }};
        auto *const raw = process.get();
        process->agent = std::make_unique<AgentService>(AgentContext{this->clock,
                                                                     raw->events,
                                                                     raw->metrics,
                                                                     raw->settings,
                                                                     raw->sync,
                                                                     raw->table,
                                                                     this->objects,
                                                                     raw->port,
                                                                     raw->ids,
                                                                     NodeId{name},
                                                                     raw->incarnation,
                                                                     location,
                                                                     "vejle-1",
                                                                     address,
                                                                     EntryAddresses,
                                                                     ports},
                                                        AgentOptions{});
        Announcement announcement{
            isWorker(name) ? MemberRole::Worker : MemberRole::BackendServer, "local", {KindId{"check"}, KindId{"invoice"}}, 8, {128, 256, 8}, false};
        process->agent->announce(announcement);
    }
    MessageHandler *handler = process->entry != nullptr ? static_cast<MessageHandler *>(process->entry.get()) : process->agent.get();
    this->net.join(address, {name, handler, &process->sync});
    this->processes[name] = std::move(process);
}

/** Runs the periodic calls of a process that are due at this time. */
void Site::tick(SiteProcess &process)
{
    const auto isAlive = process.isAlive;
    const auto run = [&](int number, Millis interval, const std::function<void()> &action) {
        if (*isAlive) {
            this->tickOnce(process, number, interval, action);
        }
    };
    run(0, Millis(1000), [&process] { process.sync.run(process.port); });
    if (process.entry != nullptr) {
        run(1, Millis(500), [&process] { process.entry->tickSettings(); });
        run(2, Millis(200), [&process] { process.entry->tickPlacer(); });
        run(3, Millis(100), [&process] { process.entry->tickQueue(); });
    } else {
        run(1, Millis(1000), [&process] { process.agent->tickMembership(); });
        run(2, Millis(500), [&process] { process.agent->tickGangs(); });
    }
    if (*isAlive) {
        this->checkSettingsVersion(process);
    }
}

void Site::tickOnce(SiteProcess &process, int tickNumber, Millis interval, const std::function<void()> &action)
{
    const auto sinceStart = this->clock.now().time_since_epoch().count();
    if (sinceStart % interval.count() >= TickLength.count() || this->busy.contains(process.name) || !process.activeTicks.insert(tickNumber).second) {
        return;
    }
    this->runAs(process.name, action);
    process.activeTicks.erase(tickNumber);
}

void Site::runDeferred()
{
    while (!this->deferred.empty()) {
        const auto [name, task] = std::move(this->deferred.front());
        this->deferred.pop_front();
        if (this->isUp(name) && this->net.isFrozen(name)) {
            this->deferred.emplace_back(name, task);
            return;
        }
        if (this->isUp(name)) {
            this->runAs(name, task);
        }
    }
}

void Site::thawDueProcesses()
{
    std::vector<std::string> due;
    for (const auto &[name, at] : this->thawAt) {
        if (this->clock.now() >= at) {
            due.push_back(name);
        }
    }
    for (const auto &name : due) {
        this->thawAt.erase(name);
        this->net.thaw(name);
    }
}

/** Reports gangs that run on only part of their members for longer than MaxPartialRunTime, and overcommitted workers. */
void Site::checkGangs()
{
    std::map<std::string, std::set<std::string>> runningOn;
    for (const auto &[name, worker] : this->workers) {
        Resources used;
        for (auto &[id, group] : worker->groups) {
            worker->settle(group);
            if (!group.order.id.empty()) {
                this->membersOf[id].insert(name);
            }
            if (!group.ended && !group.order.id.empty()) {
                runningOn[id].insert(name);
                used += group.order.perTask * group.order.tasks;
            }
        }
        if (!Resources{128, 256, 8}.covers(used)) {
            this->report("worker " + name + " is overcommitted: its tasks use " + toString(used));
        }
    }
    for (const auto &[key, row] : this->rows.rows) {
        if (!key.starts_with("job/")) {
            continue;
        }
        const auto record = parseJob(row);
        if (succeeded(record) && valueOf(record).state == JobState::Placed) {
            this->jobOf[valueOf(record).attempt.value] = valueOf(record).id.value;
            for (const auto &member : valueOf(record).members) {
                this->membersOf[valueOf(record).attempt.value].insert(member.node.value);
            }
        }
    }
    for (const auto &[attempt, members] : this->membersOf) {
        const auto count = runningOn.contains(attempt) ? runningOn[attempt].size() : 0;
        bool othersFinished = true;
        for (const auto &member : members) {
            const auto worker = this->workers.find(member);
            const auto group = worker == this->workers.end() ? decltype(worker->second->groups.begin()){} : worker->second->groups.find(attempt);
            const bool runs = runningOn.contains(attempt) && runningOn[attempt].contains(member);
            const bool finished = worker != this->workers.end() && group != worker->second->groups.end() && group->second.ended == TaskState::Finished;
            othersFinished = othersFinished && (runs || finished);
        }
        if (count == 0 || othersFinished) {
            this->partiallyRunningSince.erase(attempt);
            continue;
        }
        const auto since = this->partiallyRunningSince.emplace(attempt, this->clock.now()).first->second;
        if (this->clock.now() - since > MaxPartialRunTime) {
            this->report("gang attempt " + attempt + " runs on " + std::to_string(count) + " of " + std::to_string(members.size()) + " members");
        }
    }
}

void Site::checkSettingsVersion(SiteProcess &process)
{
    const auto version = process.settings.version();
    if (version < process.highestVersion) {
        this->report(process.name + " reverted to settings version " + std::to_string(version));
    }
    process.highestVersion = version;
}

} // namespace waxwingloft::tests
