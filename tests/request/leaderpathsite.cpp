#include "leaderpathsite.h"

#include "waxwingloft/request/jobrows.h"

#include <algorithm>

namespace waxwingloft::tests {

namespace {

constexpr auto Look = Millis(10);
constexpr auto LongestWait = Millis(20'000); ///< far above each bound, so that a miss shows its figure
constexpr double EntryCallsPerSecond = 40.0; ///< as in the daemon, with the default rate of the store
constexpr double AgentCallsPerSecond = 20.0;

/** Returns whether @p holds comes true within the longest wait. */
bool eventually(const std::function<bool()> &holds)
{
    for (auto waited = Millis(0); waited < LongestWait; waited += Look) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(Look);
    }
    return holds();
}

TableFollowerOptions officeFollowing()
{
    TableFollowerOptions options;
    options.wait = Millis(5000);
    return options;
}

} // namespace

Result<std::optional<Row>> SharedRows::get(const std::string &key)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->rows.get(key);
}

Result<RowList> SharedRows::list(const std::string &prefix, std::uint64_t since)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->rows.list(prefix, since);
}

Result<Commit> SharedRows::commit(const Transaction &transaction)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    auto committed = this->rows.commit(transaction);
    this->changed.notify_all();
    return committed;
}

ChangeBatch SharedRows::changes(const std::string &table, std::uint64_t after, Millis wait)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    RowList found;
    this->changed.wait_for(lock, wait, [&] {
        found = valueOf(this->rows.list(table + "/", after));
        return this->isClosed || !found.rows.empty();
    });
    ChangeBatch batch{{}, found.revision};
    for (const auto &row : found.rows) {
        batch.changes.push_back({row, false});
    }
    return batch;
}

void SharedRows::close()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->isClosed = true;
    this->changed.notify_all();
}

void SharedRows::pause(Millis duration)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, duration, [this] { return this->isClosed; });
}

FaultyPath::FaultyPath(SharedRows &rows)
    : rows(rows)
{
}

void FaultyPath::failNext(PathCall call, const std::string &prefix, PathFault fault, int times)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->planned.push_back({call, prefix, fault, times});
}

bool FaultyPath::areFaultsUsed()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return std::all_of(this->planned.begin(), this->planned.end(), [](const PlannedFault &fault) { return fault.times == 0; });
}

PathFault FaultyPath::faultOf(PathCall call, const std::string &key)
{
    const auto general = this->fault.load();
    if (general != PathFault::None) {
        return general;
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto found = std::find_if(this->planned.begin(), this->planned.end(), [&](const PlannedFault &fault) {
        return fault.times > 0 && fault.call == call && key.starts_with(fault.prefix);
    });
    if (found == this->planned.end()) {
        return PathFault::None;
    }
    --found->times;
    return found->fault;
}

/** Takes the time that @p fault takes and returns the error of a read. */
Error FaultyPath::missed(PathFault fault)
{
    if (fault == PathFault::Silent || fault == PathFault::AnswerLost) {
        this->rows.pause(StoreTimeout);
    }
    return makeError(ErrorKind::PlatformDown, "no answer or 503");
}

Result<std::optional<Row>> FaultyPath::get(const std::string &key)
{
    const auto found = this->faultOf(PathCall::Get, key);
    return found == PathFault::None ? this->rows.get(key) : Result<std::optional<Row>>(this->missed(found));
}

Result<RowList> FaultyPath::list(const std::string &prefix, std::uint64_t since)
{
    const auto found = this->faultOf(PathCall::List, prefix);
    return found == PathFault::None ? this->rows.list(prefix, since) : Result<RowList>(this->missed(found));
}

Result<Commit> FaultyPath::commit(const Transaction &transaction)
{
    const auto found = this->faultOf(PathCall::Commit, transaction.writes.front().key);
    this->rows.pause(Millis(this->commitMs.load()));
    switch (found) {
    case PathFault::None:
        return this->rows.commit(transaction);
    case PathFault::Gone:
        return makeError(ErrorKind::Conflict, "the process has ended");
    case PathFault::AnswerLost:
        this->rows.commit(transaction);
        break;
    case PathFault::Silent:
        break;
    case PathFault::Busy:
        return this->missed(found);
    }
    this->missed(found);
    return makeError(ErrorKind::Ambiguous, "no answer");
}

Result<ChangeBatch> FaultyPath::changes(const std::string &table, std::uint64_t after, Millis wait)
{
    const auto found = this->fault.load();
    if (found != PathFault::None) {
        return this->missed(found);
    }
    const auto dueAt = std::chrono::steady_clock::now() + wait + StoreTimeout;
    if (!this->isFeedSilent) {
        auto batch = this->rows.changes(table, after, wait);
        const auto foundSince = this->fault.load();
        if (foundSince != PathFault::None) {
            return this->missed(foundSince);
        }
        if (!this->isFeedSilent) {
            return batch;
        }
    }
    // A question that was open when the feed fell silent gets no answer either.
    this->rows.pause(std::chrono::duration_cast<Millis>(dueAt - std::chrono::steady_clock::now()));
    return makeError(ErrorKind::PlatformDown, "the feed is silent");
}

Result<Message> LeaderPathNet::call(const std::string &address, const Message &message, Millis timeout)
{
    if (this->losesNotices && std::holds_alternative<RowNotice>(message)) {
        std::this_thread::sleep_for(timeout);
        return makeError(ErrorKind::Ambiguous, "lost");
    }
    MessageHandler *handler = nullptr;
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const auto found = this->handlers.find(address);
        if (found == this->handlers.end()) {
            return makeError(ErrorKind::Unreachable, "nobody at " + address);
        }
        handler = found->second;
    }
    return handler->handle(Header(), message);
}

void LeaderPathNet::add(const std::string &address, MessageHandler &handler)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->handlers[address] = &handler;
}

void LeaderPathNet::remove(const std::string &address)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->handlers.erase(address);
}

Result<Message> ProcessPort::call(const std::string &address, const Message &message, Millis timeout)
{
    return this->isGone ? Result<Message>(makeError(ErrorKind::Unreachable, "the process has ended")) : this->net.call(address, message, timeout);
}

StartRecorder::StartRecorder(Clock &clock, const std::string &id)
    : clock(clock)
    , executor(clock, id, *this)
{
    this->executor.runOf = [](const StartOrder &) {
        FakeRun run;
        run.endsAt = Millis(300);
        return run;
    };
}

Result<StartAnswer> StartRecorder::start(const ExecutorIncarnation &incarnation, const StartOrder &order)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->executor.advance();
    return this->executor.start(incarnation, order);
}

Result<ExecutorStamp> StartRecorder::stop(const ExecutorIncarnation &incarnation, const TaskRun &run, std::uint64_t fencingToken)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->executor.advance();
    return this->executor.stop(incarnation, run, fencingToken);
}

Result<RunListAnswer> StartRecorder::pollRuns(const ExecutorIncarnation &incarnation, const RunListQuery &question)
{
    std::this_thread::sleep_for(std::min(question.wait, Look));
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->executor.advance();
    return this->executor.pollRuns(incarnation, question);
}

bool StartRecorder::isAbsent()
{
    return false;
}

void StartRecorder::started(const std::string & /*executor*/, const TaskRun &run, const std::string & /*spec*/)
{
    this->starts[run.task.job].push_back(this->clock.now());
}

void StartRecorder::ended(const std::string & /*executor*/, const TaskRun & /*run*/, RunEnd /*how*/)
{
}

void StartRecorder::noted(const std::string & /*executor*/, const TaskRun & /*run*/, RunEnd /*how*/)
{
}

ExecutorHeartbeat StartRecorder::heartbeat()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->executor.heartbeat();
}

std::optional<Instant> StartRecorder::firstStartOf(const JobId &job)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto found = this->starts.find(job);
    return found == this->starts.end() ? std::nullopt : std::optional(found->second.front());
}

int StartRecorder::startsOf(const JobId &job)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto found = this->starts.find(job);
    return found == this->starts.end() ? 0 : static_cast<int>(found->second.size());
}

LeaderPathTable::LeaderPathTable(SharedRows &rows, NodePort &net, Clock &clock, PlacerDirectory &directory, double callsPerSecond, std::uint64_t seed)
    : path(rows)
    , relay(
          this->path, this->path, net, clock, [&directory] { return directory.peers(); }, RelayTableOptions())
    , client(this->relay, clock, TableBudget{callsPerSecond, callsPerSecond * 2, 5, Millis(50), Millis(400), 4}, seed)
{
}

LeaderPathEntry::LeaderPathEntry(SharedRows &rows, LeaderPathNet &net, const std::string &name, std::uint64_t seed)
    : events(this->clock, name, 100)
    , ids(seed)
    , directory(NodeId{name})
    , outlook(this->clock, StoreOutlookOptions(), seed)
    , port(net)
    , table(rows, this->port, this->clock, this->directory, EntryCallsPerSecond, seed)
    , placer(this->clock, TaskPlacerOptions(), JobRankOptions())
    , cache(this->placer)
    , service(
          this->clock, this->events, this->ids, this->table.client, this->port, NodeId{name}, name + ":1", this->placer, this->cache, PlacerServiceOptions())
    , address(name + ":1")
{
    this->table.relay.setOutlook(this->outlook);
    this->service.setPeers([this] { return this->directory.peers(); });
    this->service.setTableWatch([this] { return this->table.relay.isRelaying(); });
}

void LeaderPathEntry::start()
{
    this->officeFollower =
        std::make_unique<TableFollower>(this->table.client, this->table.relay, this->clock, std::string(PlacerTable), this->directory, officeFollowing());
    this->probing = std::make_unique<Ticker>("probes of the table", Millis(50), [this] {
        if (this->outlook.takeProbe(StorePath::Direct)) {
            this->table.relay.probe();
        }
    });
    this->peerProbing = std::make_unique<Ticker>("probes of the table through peers", Millis(50), [this] {
        if (this->outlook.takeProbe(StorePath::Peers)) {
            this->table.relay.probePeers();
        }
    });
    this->service.start();
    this->jobsFollower =
        std::make_unique<TableFollower>(this->table.client, this->table.relay, this->clock, std::string(JobTable), this->service, TableFollowerOptions());
}

void LeaderPathEntry::stopThreads()
{
    this->jobsFollower->stop();
    this->service.stop();
    this->officeFollower->stop();
    this->probing->stop();
    this->peerProbing->stop();
}

Message LeaderPathEntry::handle(const Header &header, const Message &message)
{
    const auto *const call = std::get_if<RelayTableCall>(&message);
    return call == nullptr ? this->service.handle(header, message) : this->table.relay.serve(*call);
}

LeaderPathAgent::LeaderPathAgent(SharedRows &rows, LeaderPathNet &net, const std::string &name, std::uint64_t seed)
    : directory(NodeId{name})
    , table(rows, net, this->clock, this->directory, AgentCallsPerSecond, seed)
    , executor(this->clock, "executor-of-" + name)
    , agent(this->clock,
            this->metrics,
            this->table.client,
            net,
            this->executor,
            this->directory,
            NodeId{name},
            name + ":1",
            ExecutorControllerOptions(),
            ExecutorAgentOptions())
{
    net.add(name + ":1", this->agent);
}

void LeaderPathAgent::start()
{
    this->agent.start();
    this->officeFollower =
        std::make_unique<TableFollower>(this->table.client, this->table.relay, this->clock, std::string(PlacerTable), this->directory, officeFollowing());
    this->probing = std::make_unique<Ticker>("probes of the table", Millis(1000), [this] { this->table.relay.probe(); });
    this->agent.heartbeat(this->executor.heartbeat());
}

void LeaderPathAgent::stopThreads()
{
    this->officeFollower->stop();
    this->probing->stop();
    this->agent.stop();
}

LeaderPathSite::LeaderPathSite()
{
    for (std::uint64_t index = 0; index < 3; ++index) {
        auto entry = std::make_unique<LeaderPathEntry>(this->rows, this->net, "e" + std::to_string(index), index + 1);
        this->net.add(entry->address, *entry);
        this->entries.push_back(std::move(entry));
    }
    for (std::uint64_t index = 0; index < 2; ++index) {
        this->agents.push_back(std::make_unique<LeaderPathAgent>(this->rows, this->net, "a" + std::to_string(index), index + 11));
    }
    for (const auto &entry : this->entries) {
        entry->start();
    }
    for (const auto &agent : this->agents) {
        agent->start();
    }
}

LeaderPathSite::~LeaderPathSite()
{
    this->setFault(PathFault::Gone);
    this->rows.close();
    for (auto &thread : this->stopping) {
        thread.join();
    }
    for (const auto &agent : this->agents) {
        agent->stopThreads();
    }
    for (const auto &entry : this->entries) {
        entry->stopThreads();
    }
}

bool LeaderPathSite::isReady()
{
    return eventually([this] {
        const auto *const leading = this->leader();
        return leading != nullptr && leading->placer.view().workers == this->agents.size();
    });
}

LeaderPathEntry *LeaderPathSite::leader()
{
    for (const auto &entry : this->entries) {
        if (!this->ended.contains(entry.get()) && entry->placer.isLeader()) {
            return entry.get();
        }
    }
    return nullptr;
}

LeaderPathEntry &LeaderPathSite::bystander()
{
    const auto *const leading = this->leader();
    const auto found = std::find_if(this->entries.begin(), this->entries.end(), [this, leading](const auto &entry) {
        return entry.get() != leading && !this->ended.contains(entry.get());
    });
    return found == this->entries.end() ? *this->leader() : **found;
}

JobId LeaderPathSite::accept(LeaderPathEntry &entry)
{
    JobSubmission job;
    job.id.value = "000000000000000" + std::to_string(this->jobs.size() + 1);
    job.service = "tune";
    job.priority = 1;
    job.maxAttempts = 3;
    job.acceptedAt = this->clock.wallMillis();
    job.graph.spec = "spec";
    job.graph.steps.resize(1);
    job.graph.steps[0].count = 1;
    job.graph.steps[0].estimate = Millis(300);
    job.graph.steps[0].needs = {16'000, 32'768, 1};
    const auto key = submissionKey(job.id);
    const auto committed = this->rows.commit({"accept-" + job.id.value, {{key, 0}}, {{key, encodeSubmission(job)}}});
    const Row row{key, encodeSubmission(job), valueOf(committed).revision, {}};
    entry.cache.applyRow(row);
    entry.service.noticeRow(row);
    this->jobs.push_back(job.id);
    return job.id;
}

void LeaderPathSite::setFault(PathFault fault)
{
    const auto set = [fault](FaultyPath &path) {
        if (path.fault != PathFault::Gone) {
            path.fault = fault;
        }
    };
    for (const auto &entry : this->entries) {
        set(entry->table.path);
    }
    for (const auto &agent : this->agents) {
        set(agent->table.path);
    }
}

void LeaderPathSite::kill(LeaderPathEntry &entry)
{
    entry.table.path.fault = PathFault::Gone;
    entry.port.isGone = true;
    this->net.remove(entry.address);
    this->ended.insert(&entry);
}

void LeaderPathSite::stop(LeaderPathEntry &entry)
{
    constexpr auto TimeToLeave = Millis(700); ///< the balancer's wait and the time for the last answers
    this->stopping.emplace_back([&entry] { entry.service.stop(); });
    std::this_thread::sleep_for(TimeToLeave);
    this->kill(entry);
}

std::optional<Millis> LeaderPathSite::startedAfter(const std::vector<JobId> &jobs, Instant since)
{
    auto latest = Millis(0);
    for (const auto &job : jobs) {
        std::optional<Instant> first;
        const bool hasStarted = eventually([&] {
            for (const auto &agent : this->agents) {
                first = first ? first : agent->executor.firstStartOf(job);
            }
            return first.has_value();
        });
        if (!hasStarted) {
            return std::nullopt;
        }
        latest = std::max(latest, std::chrono::duration_cast<Millis>(*first - since));
    }
    return latest;
}

int LeaderPathSite::mostStarts()
{
    int most = 0;
    for (const auto &job : this->jobs) {
        int starts = 0;
        for (const auto &agent : this->agents) {
            starts += agent->executor.startsOf(job);
        }
        most = std::max(most, starts);
    }
    return most;
}

} // namespace waxwingloft::tests
