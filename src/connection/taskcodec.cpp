#include "taskcodec.h"

#include "recordcodec.h"

namespace waxwingloft::codec {

namespace {

void encode(const TaskRun &run, wire::TaskRun::Builder builder)
{
    builder.setTask(toText(toString(run.task)));
    builder.setRun(run.run);
}

TaskRun decode(wire::TaskRun::Reader reader)
{
    return {parseTaskKey(textOf(reader.getTask())).value_or(TaskKey{}), reader.getRun()};
}

void encode(const Capacity &capacity, wire::Capacity::Builder builder)
{
    builder.setMilliCores(capacity.milliCores);
    builder.setMemoryMb(capacity.memoryMb);
    builder.setAccelerators(capacity.accelerators);
}

Capacity decode(wire::Capacity::Reader reader)
{
    return {reader.getMilliCores(), reader.getMemoryMb(), reader.getAccelerators()};
}

void encode(const ExecutorIncarnation &incarnation, wire::ExecutorLife::Builder builder)
{
    builder.setId(toText(incarnation.id));
    builder.setStartedAt(incarnation.startedAt);
}

ExecutorIncarnation decode(wire::ExecutorLife::Reader reader)
{
    return {textOf(reader.getId()), reader.getStartedAt()};
}

void encode(const RunReport &report, wire::RunReport::Builder builder)
{
    encode(report.run, builder.initRun());
    builder.setPhase(static_cast<std::uint8_t>(report.phase));
    builder.setCheckpoint(toText(report.checkpoint));
    builder.setPercent(report.percent);
    builder.setStartEffect(static_cast<std::uint8_t>(report.startEffect));
}

RunReport decode(wire::RunReport::Reader reader)
{
    return {decode(reader.getRun()),
            enumOf(reader.getPhase(), RunPhase::Running),
            textOf(reader.getCheckpoint()),
            reader.getPercent(),
            enumOf(reader.getStartEffect(), StartEffect::Unproven)};
}

void encode(const EndReport &report, wire::EndReport::Builder builder)
{
    builder.setNumber(report.number);
    encode(report.run, builder.initRun());
    builder.setEnd(static_cast<std::uint8_t>(report.end));
    builder.setCheckpoint(toText(report.checkpoint));
    builder.setRefusal(static_cast<std::uint8_t>(report.refusal));
}

EndReport decode(wire::EndReport::Reader reader)
{
    return {reader.getNumber(),
            decode(reader.getRun()),
            enumOf(reader.getEnd(), RunEnd::Lapsed),
            textOf(reader.getCheckpoint()),
            enumOf(reader.getRefusal(), RefusalReason::Unhealthy)};
}

void encode(const Assignment &assignment, wire::Assignment::Builder builder)
{
    encode(assignment.run, builder.initRun());
    encode(assignment.needs, builder.initNeeds());
    builder.setHasOrder(assignment.hasOrder);
    builder.setSpec(toText(assignment.spec));
    builder.setCheckpoint(toText(assignment.checkpoint));
}

Assignment decode(wire::Assignment::Reader reader)
{
    return {decode(reader.getRun()), decode(reader.getNeeds()), reader.getHasOrder(), textOf(reader.getSpec()), textOf(reader.getCheckpoint())};
}

template<typename Items, typename ListBuilder>
void encodeList(const Items &items, ListBuilder builder)
{
    for (unsigned index = 0; index < builder.size(); ++index) {
        encode(items[index], builder[index]);
    }
}

template<typename Item, typename ListReader>
std::vector<Item> decodeList(ListReader reader)
{
    std::vector<Item> items;
    items.reserve(reader.size());
    for (const auto item : reader) {
        items.push_back(decode(item));
    }
    return items;
}

} // namespace

void encode(const AgentReport &report, wire::AgentReport::Builder builder)
{
    builder.setNode(toText(report.node.value));
    builder.setAddress(toText(report.address));
    builder.setGeneration(report.generation);
    builder.setSequence(report.sequence);
    builder.setEpoch(report.epoch);
    encode(report.incarnation, builder.initLife());
    builder.setService(toText(report.service));
    builder.setZone(toText(report.zone));
    builder.setDraining(report.isDraining);
    builder.setReachable(report.isReachable);
    encode(report.capacity, builder.initCapacity());
    auto labels = builder.initLabels(static_cast<unsigned>(report.labels.size()));
    for (unsigned index = 0; index < labels.size(); ++index) {
        labels.set(index, toText(report.labels[index]));
    }
    builder.setSyncSequence(report.syncSequence);
    encodeList(report.runs, builder.initRuns(static_cast<unsigned>(report.runs.size())));
    encodeList(report.ends, builder.initEnds(static_cast<unsigned>(report.ends.size())));
    builder.setBudgetLeftMs(report.longestLeaseLeft.count());
    if (report.drainTimeLeft) {
        builder.setDrainLeftMs(report.drainTimeLeft->count());
    }
    builder.setColdLeftMs(report.coldTimeLeft.count());
}

AgentReport decode(wire::AgentReport::Reader reader)
{
    AgentReport report;
    report.node.value = textOf(reader.getNode());
    report.address = textOf(reader.getAddress());
    report.generation = reader.getGeneration();
    report.sequence = reader.getSequence();
    report.epoch = reader.getEpoch();
    report.incarnation = decode(reader.getLife());
    report.service = textOf(reader.getService());
    report.zone = textOf(reader.getZone());
    report.isDraining = reader.getDraining();
    report.isReachable = reader.getReachable();
    report.capacity = decode(reader.getCapacity());
    for (const auto label : reader.getLabels()) {
        report.labels.push_back(textOf(label));
    }
    report.syncSequence = reader.getSyncSequence();
    report.runs = decodeList<RunReport>(reader.getRuns());
    report.ends = decodeList<EndReport>(reader.getEnds());
    report.longestLeaseLeft = Millis(reader.getBudgetLeftMs());
    if (reader.getDrainLeftMs() >= 0) {
        report.drainTimeLeft = Millis(reader.getDrainLeftMs());
    }
    report.coldTimeLeft = Millis(reader.getColdLeftMs());
    return report;
}

void encode(const AssignmentSync &sync, wire::AssignmentSync::Builder builder)
{
    builder.setEpoch(sync.epoch);
    builder.setSequence(sync.sequence);
    encode(sync.incarnation, builder.initLife());
    builder.setNotedEnds(sync.acknowledgedEnds);
    builder.setLicenceMs(sync.agentLease.count());
    encodeList(sync.assignments, builder.initAssignments(static_cast<unsigned>(sync.assignments.size())));
    builder.setNeedsStartPermission(sync.needsStartPermission);
    builder.setStartPermissionMs(sync.startPermission.count());
    builder.setZoneClosed(sync.isZoneClosed);
}

AssignmentSync decode(wire::AssignmentSync::Reader reader)
{
    AssignmentSync sync;
    sync.epoch = reader.getEpoch();
    sync.sequence = reader.getSequence();
    sync.incarnation = decode(reader.getLife());
    sync.acknowledgedEnds = reader.getNotedEnds();
    sync.agentLease = Millis(reader.getLicenceMs());
    sync.assignments = decodeList<Assignment>(reader.getAssignments());
    sync.needsStartPermission = reader.getNeedsStartPermission();
    sync.startPermission = Millis(reader.getStartPermissionMs());
    sync.isZoneClosed = reader.getZoneClosed();
    return sync;
}

} // namespace waxwingloft::codec
