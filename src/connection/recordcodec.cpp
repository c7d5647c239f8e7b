#include "recordcodec.h"

namespace waxwingloft::codec {

capnp::Data::Reader bytesOf(const std::string &bytes)
{
    return {reinterpret_cast<const capnp::byte *>(bytes.data()), bytes.size()};
}

std::string stringOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

capnp::Text::Reader toText(const std::string &text)
{
    return {text.c_str(), text.size()};
}

std::string textOf(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

void encode(const HybridTime &time, wire::HybridTime::Builder builder)
{
    builder.setMillis(time.millis);
    builder.setCounter(time.counter);
}

HybridTime decode(wire::HybridTime::Reader reader)
{
    return {reader.getMillis(), reader.getCounter()};
}

void encode(const Error &error, wire::Error::Builder builder)
{
    builder.setKind(static_cast<std::uint8_t>(error.kind));
    builder.setMessage(toText(error.message));
    builder.setRemedy(toText(error.remedy));
}

Error decode(wire::Error::Reader reader)
{
    return {enumOf(reader.getKind(), ErrorKind::Internal), textOf(reader.getMessage()), textOf(reader.getRemedy())};
}

void encode(const Resources &resources, wire::Resources::Builder builder)
{
    builder.setProcessors(resources.processors);
    builder.setMemoryGb(resources.memoryGb);
    builder.setAccelerators(resources.accelerators);
}

Resources decode(wire::Resources::Reader reader)
{
    return {reader.getProcessors(), reader.getMemoryGb(), reader.getAccelerators()};
}

void encode(const Dispatch &dispatch, wire::Dispatch::Builder builder)
{
    builder.setAttempt(toText(dispatch.attempt.value));
    builder.setWorkspace(toText(dispatch.workspace.value));
    builder.setRequest(toText(dispatch.request.value));
    builder.setKind(toText(dispatch.kind.value));
    builder.setTeam(toText(dispatch.team.value));
    builder.setTeamVersion(dispatch.teamVersion);
    builder.setIncarnation(dispatch.incarnation);
    builder.setIdempotent(dispatch.idempotent);
    builder.setTimeLeftMs(dispatch.timeLeft.count());
    builder.setPayload(bytesOf(dispatch.payload));
}

Dispatch decode(wire::Dispatch::Reader reader)
{
    Dispatch dispatch;
    dispatch.attempt.value = textOf(reader.getAttempt());
    dispatch.workspace.value = textOf(reader.getWorkspace());
    dispatch.request.value = textOf(reader.getRequest());
    dispatch.kind.value = textOf(reader.getKind());
    dispatch.team.value = textOf(reader.getTeam());
    dispatch.teamVersion = reader.getTeamVersion();
    dispatch.incarnation = reader.getIncarnation();
    dispatch.idempotent = reader.getIdempotent();
    dispatch.timeLeft = Millis(reader.getTimeLeftMs());
    dispatch.payload = stringOf(reader.getPayload());
    return dispatch;
}

void encode(const QueryAttempt &query, wire::QueryAttempt::Builder builder)
{
    builder.setAttempt(toText(query.attempt.value));
    builder.setIncarnation(query.incarnation);
    builder.setAgeMs(query.age.count());
    builder.setWaitMs(query.wait.count());
}

QueryAttempt decode(wire::QueryAttempt::Reader reader)
{
    return {AttemptId{textOf(reader.getAttempt())}, reader.getIncarnation(), Millis(reader.getAgeMs()), Millis(reader.getWaitMs())};
}

void encode(const AttemptReply &reply, wire::AttemptReply::Builder builder)
{
    builder.setAttempt(toText(reply.attempt.value));
    builder.setState(static_cast<std::uint8_t>(reply.state));
    builder.setOutcome(static_cast<std::uint8_t>(reply.outcome));
    encode(reply.error, builder.initError());
    builder.setPayload(bytesOf(reply.payload));
    auto load = builder.initLoad();
    load.setInUse(reply.load.inUse);
    load.setSlots(reply.load.slots);
}

AttemptReply decode(wire::AttemptReply::Reader reader)
{
    AttemptReply reply;
    reply.attempt.value = textOf(reader.getAttempt());
    reply.state = enumOf(reader.getState(), AttemptState::Running, 2);
    reply.outcome = enumOf(reader.getOutcome(), Outcome::Unknown);
    reply.error = decode(reader.getError());
    reply.payload = stringOf(reader.getPayload());
    reply.load = {reader.getLoad().getInUse(), reader.getLoad().getSlots()};
    return reply;
}

void encode(const GangMember &member, wire::GangMember::Builder builder)
{
    builder.setNode(toText(member.node.value));
    builder.setAddress(toText(member.address));
    builder.setIncarnation(member.incarnation);
    builder.setTasks(member.tasks);
}

GangMember decode(wire::GangMember::Reader reader)
{
    return {NodeId{textOf(reader.getNode())}, textOf(reader.getAddress()), reader.getIncarnation(), reader.getTasks()};
}

void encode(const PrepareGang &prepare, wire::PrepareGang::Builder builder)
{
    builder.setJob(toText(prepare.job.value));
    builder.setAttempt(toText(prepare.attempt.value));
    builder.setRegion(toText(prepare.region));
    builder.setEpoch(prepare.epoch);
    builder.setWorkspace(toText(prepare.workspace.value));
    builder.setTeam(toText(prepare.team.value));
    builder.setTeamVersion(prepare.teamVersion);
    builder.setKind(toText(prepare.kind.value));
    encode(prepare.perTask, builder.initPerTask());
    auto members = builder.initMembers(static_cast<unsigned>(prepare.members.size()));
    for (unsigned index = 0; index < members.size(); ++index) {
        encode(prepare.members[index], members[index]);
    }
    builder.setReserveForMs(prepare.reserveFor.count());
    builder.setTaskLeaseMs(prepare.taskLease.count());
    builder.setCheckpoint(toText(prepare.checkpoint));
    builder.setPayload(bytesOf(prepare.payload));
}

PrepareGang decode(wire::PrepareGang::Reader reader)
{
    PrepareGang prepare;
    prepare.job.value = textOf(reader.getJob());
    prepare.attempt.value = textOf(reader.getAttempt());
    prepare.region = textOf(reader.getRegion());
    prepare.epoch = reader.getEpoch();
    prepare.workspace.value = textOf(reader.getWorkspace());
    prepare.team.value = textOf(reader.getTeam());
    prepare.teamVersion = reader.getTeamVersion();
    prepare.kind.value = textOf(reader.getKind());
    prepare.perTask = decode(reader.getPerTask());
    for (const auto member : reader.getMembers()) {
        prepare.members.push_back(decode(member));
    }
    prepare.reserveFor = Millis(reader.getReserveForMs());
    prepare.taskLease = Millis(reader.getTaskLeaseMs());
    prepare.checkpoint = textOf(reader.getCheckpoint());
    prepare.payload = stringOf(reader.getPayload());
    return prepare;
}

void encode(const StartGang &start, wire::StartGang::Builder builder)
{
    builder.setJob(toText(start.job.value));
    builder.setAttempt(toText(start.attempt.value));
    builder.setEpoch(start.epoch);
}

StartGang decode(wire::StartGang::Reader reader)
{
    return {JobId{textOf(reader.getJob())}, AttemptId{textOf(reader.getAttempt())}, reader.getEpoch()};
}

void encode(const StopGang &stop, wire::StopGang::Builder builder)
{
    builder.setJob(toText(stop.job.value));
    builder.setAttempt(toText(stop.attempt.value));
    builder.setEpoch(stop.epoch);
    builder.setIncarnation(stop.incarnation);
    builder.setGraceMs(stop.grace.count());
}

StopGang decode(wire::StopGang::Reader reader)
{
    return {JobId{textOf(reader.getJob())}, AttemptId{textOf(reader.getAttempt())}, reader.getEpoch(), reader.getIncarnation(), Millis(reader.getGraceMs())};
}

void encode(const RenewGang &renew, wire::RenewGang::Builder builder)
{
    builder.setJob(toText(renew.job.value));
    builder.setAttempt(toText(renew.attempt.value));
    builder.setMember(toText(renew.member.value));
    builder.setState(static_cast<std::uint8_t>(renew.state));
}

RenewGang decode(wire::RenewGang::Reader reader)
{
    return {
        JobId{textOf(reader.getJob())}, AttemptId{textOf(reader.getAttempt())}, NodeId{textOf(reader.getMember())}, enumOf(reader.getState(), GangState::None)};
}

void encode(const GangReply &reply, wire::GangReply::Builder builder)
{
    builder.setJob(toText(reply.job.value));
    builder.setAttempt(toText(reply.attempt.value));
    builder.setState(static_cast<std::uint8_t>(reply.state));
    builder.setMustStop(reply.mustStop);
    builder.setCheckpoint(toText(reply.checkpoint));
    encode(reply.error, builder.initError());
    builder.setRefused(reply.refused);
}

GangReply decode(wire::GangReply::Reader reader)
{
    GangReply reply;
    reply.job.value = textOf(reader.getJob());
    reply.attempt.value = textOf(reader.getAttempt());
    reply.state = enumOf(reader.getState(), GangState::None);
    reply.mustStop = reader.getMustStop();
    reply.checkpoint = textOf(reader.getCheckpoint());
    reply.error = decode(reader.getError());
    reply.refused = reader.getRefused();
    return reply;
}

void encode(const AskReport &ask, wire::AskReport::Builder builder)
{
    builder.setRegion(toText(ask.region));
    builder.setEpoch(ask.epoch);
}

AskReport decode(wire::AskReport::Reader reader)
{
    return {textOf(reader.getRegion()), reader.getEpoch()};
}

void encode(const NodeReport &report, wire::NodeReport::Builder builder)
{
    builder.setIncarnation(report.incarnation);
    auto gangs = builder.initGangs(static_cast<unsigned>(report.gangs.size()));
    for (unsigned index = 0; index < gangs.size(); ++index) {
        const auto &gang = report.gangs[index];
        gangs[index].setJob(toText(gang.job.value));
        gangs[index].setAttempt(toText(gang.attempt.value));
        gangs[index].setWorkspace(toText(gang.workspace.value));
        gangs[index].setState(static_cast<std::uint8_t>(gang.state));
        gangs[index].setTasks(gang.tasks);
        encode(gang.perTask, gangs[index].initPerTask());
    }
}

NodeReport decode(wire::NodeReport::Reader reader)
{
    NodeReport report{reader.getIncarnation(), {}};
    for (const auto gang : reader.getGangs()) {
        report.gangs.push_back({JobId{textOf(gang.getJob())},
                                AttemptId{textOf(gang.getAttempt())},
                                WorkspaceId{textOf(gang.getWorkspace())},
                                enumOf(gang.getState(), GangState::None),
                                gang.getTasks(),
                                decode(gang.getPerTask())});
    }
    return report;
}

void encode(const Member &member, wire::Member::Builder builder)
{
    builder.setNode(toText(member.node.value));
    builder.setIncarnation(member.incarnation);
    builder.setRole(static_cast<std::uint8_t>(member.role));
    builder.setState(static_cast<std::uint8_t>(member.state));
    auto location = builder.initLocation();
    location.setRegion(toText(member.location.region));
    location.setDataCentre(toText(member.location.dataCentre));
    location.setRack(toText(member.location.rack));
    builder.setRpcAddress(toText(member.rpcAddress));
    auto kinds = builder.initKinds(static_cast<unsigned>(member.kinds.size()));
    for (unsigned index = 0; index < kinds.size(); ++index) {
        kinds.set(index, toText(member.kinds[index].value));
    }
    builder.setSlots(member.slots);
    encode(member.resources, builder.initResources());
}

Member decode(wire::Member::Reader reader)
{
    Member member;
    member.node.value = textOf(reader.getNode());
    member.incarnation = reader.getIncarnation();
    member.role = enumOf(reader.getRole(), MemberRole::BackendServer);
    member.state = enumOf(reader.getState(), MemberState::Lost);
    const auto location = reader.getLocation();
    member.location = {textOf(location.getRegion()), textOf(location.getDataCentre()), textOf(location.getRack())};
    member.rpcAddress = textOf(reader.getRpcAddress());
    for (const auto kind : reader.getKinds()) {
        member.kinds.push_back(KindId{textOf(kind)});
    }
    member.slots = reader.getSlots();
    member.resources = decode(reader.getResources());
    return member;
}

void encode(const Heartbeat &heartbeat, wire::Heartbeat::Builder builder)
{
    builder.setShard(toText(heartbeat.shard));
    encode(heartbeat.member, builder.initMember());
}

Heartbeat decode(wire::Heartbeat::Reader reader)
{
    return {textOf(reader.getShard()), decode(reader.getMember())};
}

void encode(const MembersDelta &delta, wire::MembersDelta::Builder builder)
{
    builder.setShard(toText(delta.shard));
    builder.setBook(delta.book);
    builder.setSince(delta.since);
    builder.setRevision(delta.revision);
    auto changed = builder.initChanged(static_cast<unsigned>(delta.changed.size()));
    for (unsigned index = 0; index < changed.size(); ++index) {
        encode(delta.changed[index], changed[index]);
    }
    builder.setTotal(delta.total);
}

MembersDelta decode(wire::MembersDelta::Reader reader)
{
    MembersDelta delta{textOf(reader.getShard()), reader.getBook(), reader.getSince(), reader.getRevision(), {}, reader.getTotal()};
    for (const auto member : reader.getChanged()) {
        delta.changed.push_back(decode(member));
    }
    return delta;
}

void encode(const SettingsDelta &delta, wire::SettingsDelta::Builder builder)
{
    builder.setSince(delta.since);
    builder.setVersion(delta.version);
    auto teams = builder.initTeams(static_cast<unsigned>(delta.teams.size()));
    for (unsigned index = 0; index < teams.size(); ++index) {
        teams[index].setTeam(toText(delta.teams[index].team.value));
        teams[index].setVersion(delta.teams[index].version);
        teams[index].setJson(toText(delta.teams[index].value.dump()));
        teams[index].setChangedBy(toText(delta.teams[index].changedBy));
    }
}

SettingsDelta decode(wire::SettingsDelta::Reader reader)
{
    SettingsDelta delta{reader.getSince(), reader.getVersion(), {}};
    for (const auto team : reader.getTeams()) {
        auto value = nlohmann::json::parse(textOf(team.getJson()), nullptr, false);
        delta.teams.push_back({TeamId{textOf(team.getTeam())}, team.getVersion(), std::move(value), textOf(team.getChangedBy())});
    }
    return delta;
}

void encode(const EventBatch &batch, capnp::List<wire::Event>::Builder builder)
{
    for (unsigned index = 0; index < builder.size(); ++index) {
        const auto &event = batch.events[index];
        encode(event.time, builder[index].initTime());
        builder[index].setNode(toText(event.node));
        builder[index].setKind(static_cast<std::uint8_t>(event.kind));
        builder[index].setSubject(toText(event.subject));
        builder[index].setWorkspace(toText(event.workspace));
        builder[index].setDetail(toText(event.detail));
    }
}

EventBatch decode(capnp::List<wire::Event>::Reader reader)
{
    EventBatch batch;
    for (const auto event : reader) {
        batch.events.push_back({decode(event.getTime()),
                                textOf(event.getNode()),
                                enumOf(event.getKind(), EventKind::Degraded),
                                textOf(event.getSubject()),
                                textOf(event.getWorkspace()),
                                textOf(event.getDetail())});
    }
    return batch;
}

} // namespace waxwingloft::codec
