#include "waxwingloft/request/entryservice.h"

#include <algorithm>

namespace waxwingloft {

namespace {

constexpr auto IdlePollInterval = Millis(20);
constexpr std::uint32_t EventsPerNode = 2000;
constexpr std::size_t MaxTimelineNodes = 512; ///< processes queried for one time line

/** Compares in constant time for texts of equal length, against timing attacks. */
bool equalsSecret(const std::string &left, const std::string &right)
{
    if (left.size() != right.size() || left.empty()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index) {
        difference |= static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    }
    return difference == 0;
}

/** Counts a request as active for the lifetime of the object. */
class ActiveRequest
{
public:
    explicit ActiveRequest(std::atomic<std::size_t> &count)
        : count(count)
    {
        this->count.fetch_add(1, std::memory_order_acq_rel);
    }

    ~ActiveRequest()
    {
        this->count.fetch_sub(1, std::memory_order_acq_rel);
    }

    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

private:
    std::atomic<std::size_t> &count;
};

} // namespace

EntryService::HandlerTable EntryService::makeHandlers()
{
    HandlerTable table;
    table.fill(&EntryService::onUnsupported);
    table[messageIndex<Heartbeat>()] = &EntryService::onHeartbeat;
    table[messageIndex<PushMembers>()] = &EntryService::onPushMembers;
    table[messageIndex<FetchSettings>()] = &EntryService::onFetchSettings;
    table[messageIndex<FetchEvents>()] = &EntryService::onFetchEvents;
    table[messageIndex<NudgePlacer>()] = &EntryService::onNudgePlacer;
    return table;
}

const EntryService::HandlerTable EntryService::handlers = EntryService::makeHandlers();

EntryService::EntryService(const EntryContext &context, const EntryOptions &options)
    : context(context)
    , options(options)
    , settingsStore(context.table, context.ids)
    , jobs(context.table, context.ids)
    , claims(context.table, context.ids)
    , servers(context.location)
    , callScheduler(context.clock, this->servers, this->queue)
    , admission(this->rates)
    , dispatcher({context.clock, context.events, context.metrics, context.peers, this->callScheduler, this->claims, context.ids}, options.dispatch)
    , launcher(context.peers, context.fanOut, context.clock, options.launch)
    , placerElection(
          context.table, context.clock, context.events, context.ids, "placer/" + context.location.region, context.self, context.rpcAddress, options.placerLease)
    , placer({context.clock,
              context.events,
              context.metrics,
              this->jobs,
              this->members,
              context.settings,
              context.ids,
              this->launcher,
              context.runLater,
              context.location.region},
             options.placer)
    , gangJobs({context.clock,
                context.events,
                context.metrics,
                context.settings,
                context.table,
                context.peers,
                context.ids,
                this->jobs,
                this->members,
                this->placer,
                this->placerElection,
                [this] { this->wakePlacer(); },
                context.location.region,
                options.callTimeout})
    , sweeper(context.table, context.clock, context.ids, {SweptRows::Jobs, SweptRows::Claims}, RowSweeperOptions{})
{
    this->members.setListener([this](const Member &member) { this->servers.update(member); });
}

EntryService::~EntryService() = default;

Message EntryService::handle(const Header &header, const Message &message)
{
    return (this->*handlers.at(message.index()))(header, message);
}

CallAnswer EntryService::call(const CallRequest &asked)
{
    auto question = asked;
    const ActiveRequest activeRequest(this->activeRequests);
    if (this->isDraining.load(std::memory_order_acquire)) {
        return {Outcome::NotRun, makeError(ErrorKind::Draining, "this entry is draining"), {}};
    }
    const bool isFresh = question.request.isEmpty();
    if (isFresh) {
        question.request = RequestId{this->context.ids.next()};
    }
    Result<AdmittedCall> admitted = makeError(ErrorKind::Internal, "not admitted");
    {
        const ReadSection section;
        admitted = this->admission.admit(this->context.settings.read(section), std::move(question), this->context.clock.now());
    }
    if (!succeeded(admitted)) {
        this->context.metrics.add(Count::RequestsRefused);
        return {Outcome::NotRun, errorOf(admitted), {}};
    }
    valueOf(admitted).mayHaveCopies = !isFresh;
    this->context.metrics.add(Count::RequestsAccepted);
    this->context.events.record(EventKind::Accepted, valueOf(admitted).request.value, valueOf(admitted).workspace.value, valueOf(admitted).kind.id.value);
    return this->dispatcher.run(valueOf(admitted));
}

Result<JobId> EntryService::submitJob(const JobRequest &question)
{
    const ActiveRequest activeRequest(this->activeRequests);
    if (this->isDraining.load(std::memory_order_acquire)) {
        return makeError(ErrorKind::Draining, "this entry is draining");
    }
    return this->gangJobs.submitJob(question);
}

Result<JobView> EntryService::showJob(const std::string &token, const JobId &id)
{
    return this->gangJobs.showJob(token, id);
}

Result<std::vector<JobView>> EntryService::listJobs(const std::string &token)
{
    return this->gangJobs.listJobs(token);
}

Status EntryService::cancelJob(const std::string &token, const JobId &id)
{
    return this->gangJobs.cancelJob(token, id);
}

Result<nlohmann::json> EntryService::settingsAt(const std::string &operatorToken, const std::string &path, bool reveal)
{
    const auto allowed = this->checkOperator(operatorToken);
    if (!succeeded(allowed)) {
        return errorOf(allowed);
    }
    auto value = this->context.settings.tree().valueAt(path);
    return succeeded(value) && !reveal ? Result<nlohmann::json>(hideTokens(std::move(valueOf(value)))) : value;
}

Result<SettingsVersion> EntryService::teamVersion(const std::string &operatorToken, const std::string &path)
{
    const auto allowed = this->checkOperator(operatorToken);
    if (!succeeded(allowed)) {
        return errorOf(allowed);
    }
    const auto team = teamOfPath(path);
    if (!succeeded(team)) {
        return errorOf(team);
    }
    const ReadSection section;
    return this->context.settings.read(section).teamVersion(valueOf(team));
}

Result<SettingsVersion> EntryService::changeSettings(const std::string &operatorToken, const SettingsChange &change)
{
    const auto allowed = this->checkOperator(operatorToken);
    if (!succeeded(allowed)) {
        return errorOf(allowed);
    }
    const auto delta = this->settingsStore.commit(change, [this](const SettingsTree &tree) { return this->checkGuarantees(tree); });
    if (!succeeded(delta)) {
        return errorOf(delta);
    }
    this->context.settings.offer(valueOf(delta));
    this->tickSettings();
    return valueOf(delta).version;
}

Result<StatusView> EntryService::status(const std::string &operatorToken)
{
    const auto allowed = this->checkOperator(operatorToken);
    if (!succeeded(allowed)) {
        return errorOf(allowed);
    }
    StatusView view;
    view.node = this->context.self;
    view.settingsVersion = this->context.settings.version();
    view.queuedRequests = this->callScheduler.size();
    view.degraded = this->describeDegradation();
    const auto known = this->placerElection.lastKnown();
    view.placer = known ? known->holder.value : "";
    std::map<NodeId, std::uint32_t> inUse;
    for (const auto &server : this->servers.all()) {
        inUse[server->member.node] = server->knownInUse(this->context.clock.now());
    }
    for (const auto &member : this->members.all()) {
        view.members.push_back({member, inUse[member.node]});
    }
    const auto placing = this->placer.status();
    view.waitingJobs = placing.waiting;
    view.runningJobs = placing.running;
    for (const auto &guarantee : placing.guarantees) {
        const auto state = !guarantee.isPlaced ? std::string("without workers") : guarantee.claimedBy ? "claimed by " + guarantee.claimedBy->value : "free";
        view.guarantees.push_back({guarantee.workspace, toString(guarantee.shape), state});
    }
    for (const auto &node : placing.quarantined) {
        view.degraded.push_back("worker " + node.value + " is quarantined; it failed jobs that ran elsewhere");
    }
    return view;
}

Status EntryService::drain(const std::string &operatorToken, const NodeId &node)
{
    const auto allowed = this->checkOperator(operatorToken);
    if (!succeeded(allowed)) {
        return allowed;
    }
    const auto member = this->members.find(node);
    if (!member) {
        return makeError(ErrorKind::NotFound, "node \"" + node.value + "\" is not known", "list the nodes with: status");
    }
    const auto reply = expectReply<Ack>(this->context.peers.call(member->rpcAddress, DrainNode{}, this->options.callTimeout));
    if (!succeeded(reply)) {
        return errorOf(reply);
    }
    auto leaving = *member;
    leaving.state = MemberState::Leaving;
    this->members.note(leaving);
    return Done{};
}

Result<std::vector<Event>> EntryService::timeline(const std::string &operatorToken, HybridTime since, std::vector<std::string> &unresponsive)
{
    const auto allowed = this->checkOperator(operatorToken);
    if (!succeeded(allowed)) {
        return errorOf(allowed);
    }
    std::vector<std::string> addresses = this->context.entries;
    for (const auto &member : this->members.all()) {
        if (member.state != MemberState::Lost && addresses.size() < MaxTimelineNodes) {
            addresses.push_back(member.rpcAddress);
        }
    }
    std::vector<Result<EventBatch>> batches(addresses.size(), makeError(ErrorKind::Unreachable, "not queried"));
    this->context.fanOut.forEach(addresses.size(), [&](std::size_t index) {
        batches[index] = expectReply<EventBatch>(this->context.peers.call(addresses[index], FetchEvents{since, EventsPerNode}, this->options.callTimeout));
    });
    auto events = this->context.events.since(since, EventsPerNode);
    for (std::size_t index = 0; index < batches.size(); ++index) {
        if (!succeeded(batches[index])) {
            unresponsive.push_back(addresses[index]);
            continue;
        }
        const auto &batch = valueOf(batches[index]).events;
        events.insert(events.end(), batch.begin(), batch.end());
    }
    std::sort(events.begin(), events.end(), [](const Event &left, const Event &right) {
        return left.time != right.time ? left.time < right.time : left.node < right.node;
    });
    return events;
}

void EntryService::tickSettings()
{
    const auto before = this->context.settings.version();
    const auto delta = this->settingsStore.load();
    if (succeeded(delta)) {
        this->context.sync.markKnown();
        this->context.settings.offer(this->settingsStore.deltaSince(before));
    }
    this->context.metrics.set(Level::SettingsVersion, static_cast<double>(this->context.settings.version()));
    this->context.metrics.set(Level::TableDown, this->context.table.downSince() ? 1.0 : 0.0);
    this->announceSettings();
}

void EntryService::tickPlacer()
{
    if (!this->isDraining.load(std::memory_order_acquire) || this->placerElection.heldEpoch()) {
        this->placerElection.pursue();
    }
    const auto epoch = this->placerElection.heldEpoch();
    if (epoch) {
        this->placer.step(*epoch);
    } else {
        this->placer.resign();
    }
}

void EntryService::setPlacerWakeUp(std::function<void()> wakeUp)
{
    const std::lock_guard<std::mutex> guard(this->wakeUpMutex);
    this->placerWakeUp = std::move(wakeUp);
}

void EntryService::tickQueue()
{
    this->callScheduler.dispatchWaiting();
    this->context.metrics.set(Level::QueuedRequests, static_cast<double>(this->callScheduler.size()));
    this->context.metrics.set(Level::RunningRequests, static_cast<double>(this->activeRequests.load(std::memory_order_relaxed)));
    const std::lock_guard<std::mutex> guard(this->leadersMutex);
    for (auto &[shard, membership] : this->fallbackShards) {
        if (membership->sweep() > 0) {
            this->members.apply(membership->changesSince(0, 0));
        }
    }
}

void EntryService::tickRowCleanup()
{
    if (this->placerElection.heldEpoch()) {
        this->sweeper.sweep();
    }
}

void EntryService::drain()
{
    this->isDraining.store(true, std::memory_order_release);
    this->context.events.record(EventKind::Stopping, this->context.self.value, {}, "takes no new requests");
}

bool EntryService::waitUntilIdle(Millis limit)
{
    const auto deadline = this->context.clock.now() + limit;
    while (this->activeRequests.load(std::memory_order_acquire) > 0) {
        if (this->context.clock.now() >= deadline) {
            return false;
        }
        this->context.clock.sleepFor(IdlePollInterval);
    }
    return true;
}

void EntryService::release()
{
    this->placer.resign();
    this->placerElection.release();
}

Message EntryService::onUnsupported(const Header & /*header*/, const Message & /*message*/)
{
    return replyWith(makeError(ErrorKind::InvalidInput, "an entry does not handle this message", "send it to an agent"));
}

/** Tracks the members of a shard itself while they cannot find a shard leader. */
Message EntryService::onHeartbeat(const Header & /*header*/, const Message &message)
{
    const auto &heartbeat = std::get<Heartbeat>(message);
    const std::lock_guard<std::mutex> guard(this->leadersMutex);
    auto &membership = this->fallbackShards[heartbeat.shard];
    if (membership == nullptr) {
        membership = std::make_unique<ShardBook>(
            this->context.clock, this->context.events, "stand-in/" + heartbeat.shard, this->context.incarnation, this->options.detection);
    }
    membership->heartbeat(heartbeat.member);
    this->members.apply(membership->changesSince(0, 0));
    return HeartbeatReply{true};
}

Message EntryService::onPushMembers(const Header &header, const Message &message)
{
    const auto &delta = std::get<PushMembers>(message).delta;
    {
        const std::lock_guard<std::mutex> guard(this->leadersMutex);
        this->leaders[delta.shard] = header.address;
        this->fallbackShards.erase(delta.shard);
    }
    const auto position = this->members.apply(delta);
    this->context.metrics.set(Level::KnownMembers, static_cast<double>(this->members.all().size()));
    return PushMembersReply{position.book, position.revision};
}

Message EntryService::onFetchSettings(const Header & /*header*/, const Message &message)
{
    return this->context.sync.answer(std::get<FetchSettings>(message));
}

Message EntryService::onFetchEvents(const Header & /*header*/, const Message &message)
{
    const auto &fetch = std::get<FetchEvents>(message);
    return EventBatch{this->context.events.since(fetch.since, fetch.limit)};
}

Message EntryService::onNudgePlacer(const Header & /*header*/, const Message & /*message*/)
{
    this->wakePlacer();
    return Ack{};
}

void EntryService::wakePlacer()
{
    const std::lock_guard<std::mutex> guard(this->wakeUpMutex);
    if (this->placerWakeUp) {
        this->placerWakeUp();
    }
}

Status EntryService::checkOperator(const std::string &token) const
{
    if (equalsSecret(token, this->context.operatorToken)) {
        return Done{};
    }
    const ReadSection section;
    if (succeeded(Admission::authenticate(this->context.settings.read(section), token))) {
        return makeError(ErrorKind::Forbidden, "this call needs the operator token");
    }
    return makeError(ErrorKind::Unauthenticated, "this call needs the operator token");
}

Status EntryService::checkGuarantees(const SettingsTree &tree) const
{
    FleetState fleet;
    for (const auto &member : this->members.all()) {
        if (member.role == MemberRole::Worker && member.state != MemberState::Lost) {
            fleet.putWorker(member.node, member.location, member.resources);
        }
    }
    return checkGuaranteesEmbed(parseSettings(tree).settings, fleet);
}

/** Pings shard leaders and the other entries after a change of settings; the header of the message carries the new version. */
void EntryService::announceSettings()
{
    const auto version = this->context.settings.version();
    if (this->announcedVersion.exchange(version, std::memory_order_acq_rel) == version) {
        return;
    }
    auto addresses = this->context.entries;
    {
        const std::lock_guard<std::mutex> guard(this->leadersMutex);
        for (const auto &[shard, address] : this->leaders) {
            addresses.push_back(address);
        }
    }
    this->context.fanOut.forEach(addresses.size(), [&](std::size_t index) { this->context.peers.call(addresses[index], Ping{}, this->options.callTimeout); });
}

std::vector<std::string> EntryService::describeDegradation() const
{
    std::vector<std::string> texts;
    const auto downSince = this->context.table.downSince();
    if (downSince) {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(this->context.clock.now() - *downSince).count();
        texts.push_back("the table service has not answered for " + std::to_string(seconds)
                        + " s: jobs and requests that must run at most once are refused, running work and idempotent calls go on");
    }
    return texts;
}

} // namespace waxwingloft
