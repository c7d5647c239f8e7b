#include "waxwingloft/request/agentservice.h"

namespace waxwingloft {

namespace {

constexpr auto IdlePollInterval = Millis(50);

Message notAnnounced()
{
    return replyWith(makeError(ErrorKind::Draining, "no backend server or worker has announced itself to this agent yet"));
}

} // namespace

AgentService::HandlerTable AgentService::makeHandlers()
{
    HandlerTable table;
    table.fill(&AgentService::onUnsupported);
    table[messageIndex<Dispatch>()] = &AgentService::onDispatch;
    table[messageIndex<QueryAttempt>()] = &AgentService::onQuery;
    table[messageIndex<PrepareGang>()] = &AgentService::onPrepare;
    table[messageIndex<StartGang>()] = &AgentService::onStart;
    table[messageIndex<StopGang>()] = &AgentService::onStop;
    table[messageIndex<RenewGang>()] = &AgentService::onRenew;
    table[messageIndex<AskReport>()] = &AgentService::onAskReport;
    table[messageIndex<Heartbeat>()] = &AgentService::onHeartbeat;
    table[messageIndex<FetchSettings>()] = &AgentService::onFetchSettings;
    table[messageIndex<FetchEvents>()] = &AgentService::onFetchEvents;
    table[messageIndex<DrainNode>()] = &AgentService::onDrain;
    return table;
}

const AgentService::HandlerTable AgentService::handlers = AgentService::makeHandlers();

AgentService::AgentService(const AgentContext &context, const AgentOptions &options)
    : context(context)
    , options(options)
    , jobs(context.table, context.ids)
    , recorder(this->jobs, context.clock)
    , shardElection(context.table, context.clock, context.events, context.ids, "shard/" + context.shard, context.self, context.rpcAddress, options.leaderLease)
    , shardMembers(context.clock, context.events, context.shard, context.incarnation, options.detection)
    , entryPositions(context.entries.size())
{
}

AgentService::~AgentService() = default;

Message AgentService::handle(const Header &header, const Message &message)
{
    return (this->*handlers.at(message.index()))(header, message);
}

Status AgentService::announce(const Announcement &announcement)
{
    const std::lock_guard<std::mutex> guard(this->announceMutex);
    if (this->hostedOwner != nullptr && this->hostedOwner->member.role != announcement.role) {
        return makeError(
            ErrorKind::Conflict, "this agent already serves a " + std::string(nameOf(this->hostedOwner->member.role)), "run a separate agent for each");
    }
    if (this->hostedOwner == nullptr) {
        this->hostedOwner = this->makeHosted(announcement);
        this->current.store(this->hostedOwner.get(), std::memory_order_release);
    }
    if (announcement.isLeaving) {
        this->drain();
    }
    return Done{};
}

void AgentService::tickMembership()
{
    if (this->hosted() == nullptr) {
        return;
    }
    const std::lock_guard<std::mutex> guard(this->membershipMutex);
    const auto member = this->currentMember();
    if (this->shardElection.heldEpoch()) {
        this->runLeader();
    } else {
        this->runFollower(member);
    }
}

void AgentService::tickGangs()
{
    auto *const host = this->hosted();
    if (host != nullptr && host->gangs != nullptr) {
        host->gangs->tick();
    }
}

void AgentService::drain()
{
    auto *const host = this->hosted();
    this->isLeaving.store(true, std::memory_order_release);
    if (host == nullptr) {
        return;
    }
    if (host->calls != nullptr) {
        host->calls->drain();
    }
    if (host->gangs != nullptr) {
        host->gangs->drain();
    }
    this->context.events.record(EventKind::Stopping, this->context.self.value, {}, "takes no new work");
    this->tickMembership();
}

bool AgentService::waitUntilIdle(Millis limit)
{
    auto *const host = this->hosted();
    if (host == nullptr) {
        return true;
    }
    const auto deadline = this->context.clock.now() + limit;
    bool isIdle = host->calls == nullptr || host->calls->waitUntilIdle(limit);
    while (host->gangs != nullptr && host->gangs->activeCount() > 0) {
        if (this->context.clock.now() >= deadline) {
            return false;
        }
        this->context.clock.sleepFor(IdlePollInterval);
    }
    return isIdle;
}

void AgentService::release()
{
    this->shardElection.release();
}

bool AgentService::hasAnnouncement() const
{
    return this->hosted() != nullptr;
}

Message AgentService::onUnsupported(const Header & /*header*/, const Message & /*message*/)
{
    return replyWith(makeError(ErrorKind::InvalidInput, "an agent does not handle this message", "send it to an entry"));
}

Message AgentService::onDispatch(const Header &header, const Message &message)
{
    auto *const host = this->hosted();
    return host == nullptr || host->calls == nullptr ? notAnnounced() : Message(host->calls->dispatch(header, std::get<Dispatch>(message)));
}

Message AgentService::onQuery(const Header & /*header*/, const Message &message)
{
    const auto &query = std::get<QueryAttempt>(message);
    auto *const host = this->hosted();
    if (host != nullptr && host->calls != nullptr) {
        return host->calls->query(query);
    }
    return AttemptReply{
        query.attempt, AttemptState::Ended, Outcome::Unknown, makeError(ErrorKind::Ambiguous, "the agent has restarted since the attempt"), {}, {}};
}

Message AgentService::onPrepare(const Header & /*header*/, const Message &message)
{
    auto *const host = this->hosted();
    return host == nullptr || host->gangs == nullptr ? notAnnounced() : Message(host->gangs->prepare(std::get<PrepareGang>(message)));
}

Message AgentService::onStart(const Header & /*header*/, const Message &message)
{
    auto *const host = this->hosted();
    return host == nullptr || host->gangs == nullptr ? notAnnounced() : Message(host->gangs->start(std::get<StartGang>(message)));
}

Message AgentService::onStop(const Header & /*header*/, const Message &message)
{
    auto *const host = this->hosted();
    return host == nullptr || host->gangs == nullptr ? notAnnounced() : Message(host->gangs->stop(std::get<StopGang>(message)));
}

Message AgentService::onRenew(const Header & /*header*/, const Message &message)
{
    auto *const host = this->hosted();
    if (host != nullptr && host->gangs != nullptr) {
        return host->gangs->renew(std::get<RenewGang>(message));
    }
    const auto &renew = std::get<RenewGang>(message);
    return GangReply{renew.job, renew.attempt, GangState::None, true, {}, {}, false};
}

Message AgentService::onAskReport(const Header & /*header*/, const Message &message)
{
    auto *const host = this->hosted();
    if (host != nullptr && host->gangs != nullptr) {
        return host->gangs->report(std::get<AskReport>(message));
    }
    return NodeReport{this->context.incarnation, {}};
}

Message AgentService::onHeartbeat(const Header & /*header*/, const Message &message)
{
    const auto &heartbeat = std::get<Heartbeat>(message);
    const bool leads = heartbeat.shard == this->context.shard && this->shardElection.heldEpoch().has_value();
    if (leads) {
        this->shardMembers.heartbeat(heartbeat.member);
    }
    return HeartbeatReply{leads};
}

Message AgentService::onFetchSettings(const Header & /*header*/, const Message &message)
{
    return this->context.sync.answer(std::get<FetchSettings>(message));
}

Message AgentService::onFetchEvents(const Header & /*header*/, const Message &message)
{
    const auto &fetch = std::get<FetchEvents>(message);
    return EventBatch{this->context.events.since(fetch.since, fetch.limit)};
}

Message AgentService::onDrain(const Header & /*header*/, const Message & /*message*/)
{
    this->drain();
    return Ack{};
}

AgentService::Hosted *AgentService::hosted() const
{
    return this->current.load(std::memory_order_acquire);
}

std::unique_ptr<AgentService::Hosted> AgentService::makeHosted(const Announcement &announcement)
{
    auto host = std::make_unique<Hosted>();
    host->member = Member{this->context.self,
                          this->context.incarnation,
                          announcement.role,
                          MemberState::Up,
                          this->context.location,
                          this->context.rpcAddress,
                          announcement.kinds,
                          announcement.slots,
                          announcement.resources};
    if (announcement.role == MemberRole::BackendServer) {
        host->backend = this->context.ports.backend(announcement.address);
        host->calls = std::make_unique<AgentCalls>(
            AgentCallsContext{this->context.clock, this->context.events, this->context.settings, *host->backend, this->context.incarnation, announcement.slots},
            this->options.ledger);
    } else {
        host->worker = this->context.ports.worker(announcement.address);
        host->gangs = std::make_unique<GangAgent>(GangAgentContext{this->context.clock,
                                                                   this->context.events,
                                                                   this->context.settings,
                                                                   *host->worker,
                                                                   this->context.peers,
                                                                   this->context.objects,
                                                                   this->recorder,
                                                                   this->context.self,
                                                                   this->context.incarnation,
                                                                   announcement.resources},
                                                  this->options.gangs);
    }
    return host;
}

Member AgentService::currentMember() const
{
    auto member = this->hosted()->member;
    member.state = this->isLeaving.load(std::memory_order_acquire) ? MemberState::Leaving : MemberState::Up;
    return member;
}

/** Updates the shard's membership, renews the leadership and pushes changes to the entries. */
void AgentService::runLeader()
{
    this->shardMembers.heartbeat(this->currentMember());
    this->shardMembers.sweep();
    this->shardElection.pursue();
    this->pushToEntries();
}

void AgentService::pushToEntries()
{
    for (std::size_t index = 0; index < this->context.entries.size(); ++index) {
        auto &position = this->entryPositions[index];
        const PushMembers push{this->shardMembers.changesSince(position.book, position.revision)};
        const auto reply = expectReply<PushMembersReply>(this->context.peers.call(this->context.entries[index], push, this->options.callTimeout));
        if (succeeded(reply)) {
            position = {valueOf(reply).book, valueOf(reply).revision};
        }
    }
}

/** Sends a heartbeat to the leader. Without a reachable leader, campaigns for the leadership, else reports to the entries directly. */
void AgentService::runFollower(const Member &member)
{
    if (!this->leaderAddress.empty()) {
        const auto reply =
            expectReply<HeartbeatReply>(this->context.peers.call(this->leaderAddress, Heartbeat{this->context.shard, member}, this->options.callTimeout));
        if (succeeded(reply) && valueOf(reply).accepted) {
            return;
        }
        this->leaderAddress.clear();
    }
    if (this->shardElection.pursue()) {
        this->runLeader();
        return;
    }
    const auto known = this->shardElection.lastKnown();
    if (known && known->holder != this->context.self && !known->address.empty()) {
        this->leaderAddress = known->address;
        const auto reply =
            expectReply<HeartbeatReply>(this->context.peers.call(this->leaderAddress, Heartbeat{this->context.shard, member}, this->options.callTimeout));
        if (succeeded(reply) && valueOf(reply).accepted) {
            return;
        }
    }
    this->reportToEntries(member);
}

void AgentService::reportToEntries(const Member &member)
{
    for (const auto &entry : this->context.entries) {
        this->context.peers.call(entry, Heartbeat{this->context.shard, member}, this->options.callTimeout);
    }
}

} // namespace waxwingloft
