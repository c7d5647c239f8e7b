#include "waxwingloft/request/jobservice.h"

#include "waxwingloft/request/jobrows.h"

#include <algorithm>

namespace waxwingloft {

namespace {

constexpr std::size_t JobIdLength = 16;

bool isJobId(const std::string &text)
{
    return text.size() == JobIdLength && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

JobAnswer answer(JobCallOutcome outcome, std::string message = {})
{
    return {outcome, std::move(message), {}, 0, Millis(0)};
}

Millis shareOf(Millis time, double share)
{
    return Millis(static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
}

Error awayError()
{
    return makeError(ErrorKind::PlatformDown, "neither this entry nor its peers reach the table; nothing was written", "retry after the time in Retry-After");
}

} // namespace

const std::array<JobService::VerbHandler, NameTable<JobVerb>::names.size()> JobService::verbHandlers = {
    &JobService::submit, &JobService::show, &JobService::cancel, &JobService::countWaiting};

JobService::JobService(Clock &clock,
                       IdSource &ids,
                       Metrics &metrics,
                       SettlingStore &table,
                       JobCache &jobCache,
                       const Published<RoutingTable> &routes,
                       GraphParser parser,
                       JobServiceOptions options)
    : clock(clock)
    , ids(ids)
    , metrics(metrics)
    , table(table)
    , jobCache(jobCache)
    , routes(routes)
    , parser(std::move(parser))
    , options(options)
    , doubtfulCalls(clock)
    , log(LogPart::Requests)
{
}

void JobService::setRowObserver(std::function<void(const Row &)> observer)
{
    this->rowObserver = std::move(observer);
}

void JobService::setOutlook(StoreOutlook &outlook)
{
    this->outlook = &outlook;
}

void JobService::setDoubtObserver(std::function<void(const std::string &)> observer)
{
    this->doubtObserver = std::move(observer);
}

void JobService::noteDoubt(const std::string &call)
{
    this->doubtfulCalls.add(call);
}

JobAnswer JobService::handle(const JobCall &call)
{
    const auto startedAt = this->clock.now();
    Admitted admitted;
    auto result = this->admit(call, admitted);
    if (result.outcome == JobCallOutcome::Done) {
        result = (this->*verbHandlers.at(static_cast<std::size_t>(call.verb)))(call, admitted);
    }
    this->keepDoubt(call, admitted.job, result);
    const bool isRead = call.verb == JobVerb::Show || call.verb == JobVerb::CountWaiting;
    if (!isRead || result.outcome != JobCallOutcome::Done) {
        this->log.info("A call was answered.",
                       {{"job", admitted.job.value},
                        {"verb", std::string(nameOf(call.verb))},
                        {"outcome", std::string(nameOf(result.outcome))},
                        {"reason", result.message},
                        {"path", call.path},
                        {"workspace", admitted.workspace.value},
                        {"routes", std::to_string(admitted.routesVersion)},
                        {"took_ms", std::to_string((this->clock.now() - startedAt).count())}});
    }
    this->metrics.add(result.outcome == JobCallOutcome::Done ? Count::RequestsAccepted : Count::RequestsRefused);
    return result;
}

JobAnswer JobService::admit(const JobCall &call, Admitted &admitted) const
{
    const auto time = call.timeLeft.count() > 0 ? call.timeLeft : this->options.defaultTimeout;
    admitted.retryUntil = this->clock.now() + shareOf(time, this->options.retryShare);
    admitted.settleUntil = this->clock.now() + shareOf(time, this->options.settleShare);
    const ReadSection section;
    const auto &routing = this->routes.read(section);
    admitted.routesVersion = routing.version;
    if (routing.version == 0) {
        return this->refusal("this entry has not received any routes yet");
    }
    const auto *const route = routing.find(call.host, call.path);
    if (route == nullptr) {
        return answer(JobCallOutcome::UnknownRoute, "no route matches this host and path; compare them with the configured routes");
    }
    const auto keyEntry = routing.quotaByKey.find(call.key);
    if (keyEntry == routing.quotaByKey.end() && !route->isPublic) {
        return answer(JobCallOutcome::UnknownKey, "the API key is unknown or no longer valid; ask the operator for a valid one");
    }
    admitted.route = *route;
    admitted.workspace = keyEntry == routing.quotaByKey.end() ? WorkspaceId{} : keyEntry->second.workspace;
    admitted.bodyBytes = routing.limits.bodyBytes;
    const auto rest = call.path.substr(route->pathPrefix.size());
    if (call.verb == JobVerb::CountWaiting) {
        return answer(JobCallOutcome::Done);
    }
    if (!isJobId(rest)) {
        return answer(JobCallOutcome::BadRequest, "the path does not end in a job id of 16 hexadecimal digits");
    }
    admitted.job.value = rest;
    return answer(JobCallOutcome::Done);
}

JobAnswer JobService::submit(const JobCall &call, const Admitted &admitted)
{
    if (call.body.size() > admitted.bodyBytes) {
        return answer(JobCallOutcome::TooLarge, "the body is larger than " + std::to_string(admitted.bodyBytes) + " bytes; split the job");
    }
    if (this->jobCache.contains(admitted.job)) {
        return answer(JobCallOutcome::Done, "a job with this id exists already; it is not submitted again");
    }
    auto graph = this->parser(call.body);
    if (!succeeded(graph)) {
        return answer(JobCallOutcome::BadRequest, toString(errorOf(graph)));
    }
    const auto checked = checkGraph(valueOf(graph), this->options.bounds);
    if (!succeeded(checked)) {
        return answer(JobCallOutcome::BadRequest, toString(errorOf(checked)));
    }
    JobSubmission submission;
    submission.id = admitted.job;
    submission.workspace = admitted.workspace;
    submission.route = admitted.route.name;
    submission.service = admitted.route.service;
    submission.priority = admitted.route.priority;
    submission.maxAttempts = admitted.route.maxAttempts;
    submission.stretch = admitted.route.stretch;
    submission.latencySlack = admitted.route.latencySlack;
    submission.acceptedAt = this->clock.wallMillis();
    submission.graph = std::move(valueOf(graph));
    const auto row = encodeSubmission(submission);
    if (row.size() > this->options.rowBytes) {
        return answer(JobCallOutcome::TooLarge,
                      "the job takes " + std::to_string(row.size()) + " bytes to store, of " + std::to_string(this->options.rowBytes)
                          + " allowed; use fewer steps, shorter lists of dependencies or shorter names");
    }
    const auto withdrawal = withdrawalKey(submission.id, admitted.withdrawalOwner());
    const auto written = this->writeOnce(submissionKey(submission.id), row, {withdrawal}, admitted);
    if (!succeeded(written)) {
        return this->answerToFailure(errorOf(written));
    }
    if (valueOf(written)) {
        this->publish(*valueOf(written));
        this->metrics.add(Count::JobsSubmitted);
        return answer(JobCallOutcome::Done);
    }
    const auto known = this->exists(submission.id, admitted.retryUntil);
    if (!succeeded(known)) {
        return answer(JobCallOutcome::Undecided, toString(errorOf(known)));
    }
    return valueOf(known) ? answer(JobCallOutcome::Done, "a job with this id exists already; it is not submitted again")
                          : answer(JobCallOutcome::Withdrawn, "the job was cancelled before it was submitted; use a new id to submit it after all");
}

/** Writes a row that is never overwritten, if none of @p absent exists. Returns the row; nothing when it or one of @p absent exists already. */
Result<std::optional<Row>>
JobService::writeOnce(const std::string &key, const std::string &value, const std::vector<std::string> &absent, const Admitted &admitted)
{
    std::vector<Condition> conditions{{key, 0}};
    for (const auto &other : absent) {
        conditions.push_back({other, 0});
    }
    const auto mayGoOn = [this, &admitted] { return this->clock.now() < admitted.settleUntil && !this->isStoreAway(); };
    while (true) {
        if (this->isStoreAway()) {
            return awayError();
        }
        const auto committed = this->table.commitWhile(Transaction{this->ids.next(), conditions, {{key, value}}}, mayGoOn);
        if (succeeded(committed)) {
            return std::optional<Row>({key, value, valueOf(committed).revision, {}});
        }
        if (errorOf(committed).kind == ErrorKind::Conflict) {
            return std::optional<Row>();
        }
        if (errorOf(committed).kind != ErrorKind::PlatformDown || this->clock.now() >= admitted.retryUntil) {
            return errorOf(committed);
        }
        this->clock.sleepFor(this->options.retryPause);
    }
}

/** Makes a row of the job table known here and to the observer, ahead of the change feed. */
void JobService::publish(const Row &row)
{
    this->jobCache.applyRow(row);
    if (this->rowObserver) {
        this->rowObserver(row);
    }
}

JobAnswer JobService::show(const JobCall & /*call*/, const Admitted &admitted)
{
    const auto known = this->exists(admitted.job, admitted.retryUntil);
    if (!succeeded(known)) {
        return this->refusal(toString(errorOf(known)));
    }
    const auto state = this->jobCache.stateOf(admitted.job);
    if (!valueOf(known) || !state) {
        return answer(JobCallOutcome::UnknownJob, "there is no job with this id");
    }
    auto shown = answer(JobCallOutcome::Done);
    shown.state = std::string(nameOf(*state));
    return shown;
}

JobAnswer JobService::cancel(const JobCall & /*call*/, const Admitted &admitted)
{
    const auto known = this->exists(admitted.job, admitted.retryUntil);
    if (!succeeded(known)) {
        return this->refusal(toString(errorOf(known)));
    }
    return valueOf(known) ? this->writeCancellation(admitted) : this->withdraw(admitted);
}

/** Bars a submission that may still be under way, so that the caller can rely on the answer that there is no such job. */
JobAnswer JobService::withdraw(const Admitted &admitted)
{
    const auto owner = admitted.withdrawalOwner();
    const auto value = encodeWithdrawal({owner, this->clock.wallMillis()});
    const auto written = this->writeOnce(withdrawalKey(admitted.job, owner), value, {submissionKey(admitted.job)}, admitted);
    if (!succeeded(written)) {
        return this->answerToFailure(errorOf(written));
    }
    if (!valueOf(written)) {
        const auto known = this->exists(admitted.job, admitted.retryUntil);
        if (!succeeded(known)) {
            return this->refusal(toString(errorOf(known)));
        }
        if (valueOf(known)) {
            return this->writeCancellation(admitted);
        }
    }
    return answer(JobCallOutcome::UnknownJob, "there is no job with this id, and none will be accepted under it");
}

/** Whether the job is the caller's own. Jobs of routes that are open to all are everyone's. */
bool JobService::mayCancel(const Admitted &admitted) const
{
    const auto owner = this->jobCache.workspaceOf(admitted.job);
    return admitted.route.isPublic || !owner || owner->isEmpty() || *owner == admitted.workspace;
}

JobAnswer JobService::writeCancellation(const Admitted &admitted)
{
    if (!this->mayCancel(admitted)) {
        return answer(JobCallOutcome::UnknownJob, "there is no job with this id in this workspace; use a key of the one that submitted it");
    }
    const auto written = this->writeOnce(cancellationKey(admitted.job), "{}", {}, admitted);
    if (!succeeded(written)) {
        return this->answerToFailure(errorOf(written));
    }
    if (valueOf(written)) {
        this->publish(*valueOf(written));
    }
    return answer(JobCallOutcome::Done);
}

JobAnswer JobService::countWaiting(const JobCall & /*call*/, const Admitted &admitted)
{
    if (!this->jobCache.isLoaded()) {
        return this->refusal("this entry has not loaded the job table yet");
    }
    auto counted = answer(JobCallOutcome::Done);
    counted.waiting = this->jobCache.pendingCount(admitted.route.name);
    return counted;
}

/** Whether the job exists; reads it from the table when it is not cached. */
Result<bool> JobService::exists(const JobId &job, Instant retryUntil)
{
    while (true) {
        if (this->jobCache.contains(job)) {
            return true;
        }
        if (this->isStoreAway()) {
            return awayError();
        }
        const auto read = this->readIntoCache(job);
        if (succeeded(read)) {
            return this->jobCache.contains(job);
        }
        if (this->clock.now() >= retryUntil) {
            return errorOf(read);
        }
        this->clock.sleepFor(this->options.retryPause);
    }
}

Status JobService::readIntoCache(const JobId &job)
{
    for (const auto &key : {submissionKey(job), cancellationKey(job), progressKey(job)}) {
        const auto row = this->table.get(key);
        if (!succeeded(row)) {
            return errorOf(row);
        }
        if (!valueOf(row) && key == submissionKey(job)) {
            return Done{};
        }
        if (valueOf(row)) {
            this->jobCache.applyRow(*valueOf(row));
        }
    }
    return Done{};
}

/** Whether the table is known to be away. Waits shortly when only peers can tell. */
bool JobService::isStoreAway() const
{
    if (this->outlook == nullptr) {
        return false;
    }
    const auto until = this->clock.now() + this->options.doubtWait;
    auto state = this->outlook->state();
    while (state == StoreState::InDoubt && this->clock.now() < until) {
        this->clock.sleepFor(this->options.retryPause);
        state = this->outlook->state();
    }
    if (state == StoreState::Reachable) {
        return false;
    }
    this->metrics.add(Count::CallsWithoutTable);
    return true;
}

/** An earlier try of the same call may have had an effect, so that its repetition must not be answered as if nothing had been done. */
void JobService::keepDoubt(const JobCall &call, const JobId &job, JobAnswer &result)
{
    const auto name = std::string(nameOf(call.verb)) + "/" + job.value;
    if (result.outcome == JobCallOutcome::Undecided) {
        this->doubtfulCalls.add(name);
        if (this->doubtObserver) {
            this->doubtObserver(name);
        }
    } else if (result.outcome == JobCallOutcome::NotNow && this->doubtfulCalls.contains(name)) {
        result.outcome = JobCallOutcome::Undecided;
        result.retryAfter = Millis(0);
        result.message = "an earlier try of this call is still in doubt; " + result.message;
    }
}

/** Returns the answer to a call whose write failed. */
JobAnswer JobService::answerToFailure(const Error &error) const
{
    switch (error.kind) {
    case ErrorKind::Ambiguous:
        return answer(JobCallOutcome::Undecided, toString(error));
    case ErrorKind::Rejected:
        return answer(JobCallOutcome::TooLarge, toString(error));
    default:
        return this->refusal(toString(error));
    }
}

JobAnswer JobService::refusal(const std::string &reason) const
{
    auto refused = answer(JobCallOutcome::NotNow, reason);
    const bool isAway = this->outlook != nullptr && this->outlook->state() != StoreState::Reachable;
    refused.retryAfter = isAway ? this->outlook->retryAfter() : this->options.retryAfter;
    return refused;
}

} // namespace waxwingloft
