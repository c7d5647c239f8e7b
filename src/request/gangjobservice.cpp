#include "waxwingloft/request/gangjobservice.h"

#include "waxwingloft/request/admission.h"

#include <set>

namespace waxwingloft {

GangJobService::GangJobService(const GangJobServiceContext &context)
    : context(context)
{
}

Result<JobId> GangJobService::submitJob(const JobRequest &question)
{
    const auto caller = this->callerOf(question.token);
    if (!succeeded(caller)) {
        return errorOf(caller);
    }
    JobRecord record;
    {
        const ReadSection section;
        const auto *const kind = this->context.settings.read(section).findKind(valueOf(caller).team, question.kind);
        if (kind == nullptr || kind->form != WorkForm::Gang) {
            return makeError(ErrorKind::NotFound, "team \"" + valueOf(caller).team.value + "\" has no kind of gang work \"" + question.kind.value + "\"");
        }
        record.kind = *kind;
    }
    const auto region = this->chooseRegion(question);
    if (!succeeded(region)) {
        return errorOf(region);
    }
    record.id = JobId{valueOf(caller).workspace.value + "." + (question.request.isEmpty() ? this->context.ids.next() : question.request.value)};
    record.workspace = valueOf(caller).workspace;
    record.team = valueOf(caller).team;
    record.shape = question.shape;
    record.declaredRunTime = question.declaredRunTime;
    record.region = valueOf(region);
    record.payload = question.payload;
    record.submittedAtWallMillis = this->context.clock.wallMillis();
    const auto created = this->context.jobs.create(record);
    const bool existsAlready = !succeeded(created) && errorOf(created).kind == ErrorKind::Conflict;
    if (!succeeded(created) && !existsAlready) {
        return errorOf(created).kind == ErrorKind::Ambiguous ? makeError(
                   ErrorKind::Ambiguous, "job " + record.id.value + " may or may not have been accepted", "look it up by its id before submitting it again")
                                                             : errorOf(created);
    }
    this->context.metrics.add(Count::JobsSubmitted);
    this->context.events.record(EventKind::JobSubmitted, record.id.value, record.workspace.value, toString(record.shape));
    this->notifyPlacer(record.region);
    return record.id;
}

Result<JobView> GangJobService::showJob(const std::string &token, const JobId &id)
{
    const auto record = this->findOwn(token, id);
    return succeeded(record) ? Result<JobView>(this->viewOf(valueOf(record))) : errorOf(record);
}

Result<std::vector<JobView>> GangJobService::listJobs(const std::string &token)
{
    const auto caller = this->callerOf(token);
    if (!succeeded(caller)) {
        return errorOf(caller);
    }
    const auto records = this->context.jobs.listOf(valueOf(caller).workspace);
    if (!succeeded(records)) {
        return errorOf(records);
    }
    std::vector<JobView> views;
    for (const auto &record : valueOf(records)) {
        views.push_back(this->viewOf(record));
    }
    return views;
}

Status GangJobService::cancelJob(const std::string &token, const JobId &id)
{
    const auto record = this->findOwn(token, id);
    if (!succeeded(record)) {
        return errorOf(record).kind == ErrorKind::NotFound ? this->withdrawJob(token, id, errorOf(record)) : errorOf(record);
    }
    auto cancelled = this->context.jobs.requestCancel(id);
    this->notifyPlacer(valueOf(record).region);
    return cancelled;
}

/** Writes an unknown job of the caller's own workspace as cancelled, so that a submission which is still under way starts nothing. */
Status GangJobService::withdrawJob(const std::string &token, const JobId &id, const Error &notFound)
{
    const auto caller = this->callerOf(token);
    if (!succeeded(caller)) {
        return errorOf(caller);
    }
    if (!id.value.starts_with(valueOf(caller).workspace.value + ".")) {
        return notFound;
    }
    JobRecord record;
    record.id = id;
    record.workspace = valueOf(caller).workspace;
    record.team = valueOf(caller).team;
    const auto now = this->context.clock.wallMillis();
    record.submittedAtWallMillis = now;
    endJob(record, Outcome::Cancelled, "cancelled before it was submitted", now);
    const auto written = this->context.jobs.create(record);
    if (succeeded(written)) {
        return notFound;
    }
    return errorOf(written).kind == ErrorKind::Conflict ? this->context.jobs.requestCancel(id) : Status(errorOf(written));
}

Result<GangJobService::Caller> GangJobService::callerOf(const std::string &token) const
{
    const ReadSection section;
    const auto workspace = Admission::authenticate(this->context.settings.read(section), token);
    if (!succeeded(workspace)) {
        return errorOf(workspace);
    }
    return Caller{valueOf(workspace)->id, valueOf(workspace)->team};
}

/** Returns a job of the caller's own workspace; NotFound for a job of another workspace. */
Result<JobRecord> GangJobService::findOwn(const std::string &token, const JobId &id)
{
    const auto caller = this->callerOf(token);
    if (!succeeded(caller)) {
        return errorOf(caller);
    }
    const auto found = this->context.jobs.find(id);
    if (!succeeded(found)) {
        return errorOf(found);
    }
    if (!valueOf(found) || valueOf(found)->workspace != valueOf(caller).workspace) {
        return makeError(ErrorKind::NotFound, "job \"" + id.value + "\" does not exist in this workspace");
    }
    return *valueOf(found);
}

/** Returns the requested region; without one, the local region or else the first in which the shape could ever fit. */
Result<std::string> GangJobService::chooseRegion(const JobRequest &question) const
{
    FleetState fleet;
    std::set<std::string> regions;
    for (const auto &member : this->context.members.all()) {
        if (member.role == MemberRole::Worker && member.state != MemberState::Lost) {
            fleet.putWorker(member.node, member.location, member.resources);
            regions.insert(member.location.region);
        }
    }
    if (!question.region.empty() && !regions.contains(question.region)) {
        return makeError(ErrorKind::InvalidInput, "region \"" + question.region + "\" has no workers", "leave the region out, or name one that has");
    }
    std::vector<std::string> order{question.region.empty() ? this->context.region : question.region};
    if (question.region.empty()) {
        order.insert(order.end(), regions.begin(), regions.end());
    }
    for (const auto &region : order) {
        if (fitsEmptyFleet(fleet, question.shape, region)) {
            return region;
        }
    }
    return describeMisfit(fleet, question.shape, question.region);
}

JobView GangJobService::viewOf(const JobRecord &record) const
{
    JobView view{record.id, record.kind.id, std::string(nameOf(record.state)), std::nullopt, record.detail, record.shape, record.region, {}};
    if (record.state == JobState::Ended) {
        view.outcome = record.outcome;
    }
    if (record.state == JobState::Queued) {
        const auto reason = this->context.placer.explain(record.id);
        view.detail = reason.empty() ? record.detail : reason;
    }
    for (const auto &member : record.members) {
        view.workers.push_back(member.node);
    }
    return view;
}

void GangJobService::notifyPlacer(const std::string &region)
{
    if (region == this->context.region && this->context.placerDuty.heldEpoch()) {
        this->context.wakePlacer();
        return;
    }
    const auto record = this->context.table.get("duty/placer/" + region);
    if (!succeeded(record) || !valueOf(record)) {
        return;
    }
    const auto duty = parseDuty(valueOf(record)->value);
    if (succeeded(duty) && !valueOf(duty).address.empty()) {
        this->context.peers.call(valueOf(duty).address, NudgePlacer{region}, this->context.callTimeout);
    }
}

} // namespace waxwingloft
