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

} // namespace

const std::array<JobService::VerbHandler, NameTable<JobVerb>::names.size()> JobService::verbHandlers = {
    &JobService::submit, &JobService::show, &JobService::cancel, &JobService::countWaiting};

JobService::JobService(Clock &clock,
                       IdSource &ids,
                       Metrics &metrics,
                       TableStore &table,
                       JobCache &board,
                       const Published<RoutingTable> &routes,
                       GraphParser parser,
                       JobServiceOptions options)
    : clock(clock)
    , ids(ids)
    , metrics(metrics)
    , table(table)
    , board(board)
    , routes(routes)
    , parser(std::move(parser))
    , options(options)
    , log(LogPart::Requests)
{
}

JobAnswer JobService::handle(const JobCall &call)
{
    const auto startedAt = this->clock.now();
    Admitted admitted;
    auto result = this->admit(call, admitted);
    if (result.outcome == JobCallOutcome::Done) {
        result = (this->*verbHandlers.at(static_cast<std::size_t>(call.verb)))(call, admitted);
    }
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
    const auto time = call.timeLeft.count() > 0 ? call.timeLeft : this->options.defaultTime;
    admitted.giveUpAt = this->clock.now() + Millis(static_cast<std::int64_t>(static_cast<double>(time.count()) * this->options.tryShare));
    const ReadSection section;
    const auto &book = this->routes.read(section);
    admitted.routesVersion = book.version;
    if (book.version == 0) {
        return this->refusal("no routes are known here yet");
    }
    const auto *const route = book.find(call.host, call.path);
    if (route == nullptr) {
        return answer(JobCallOutcome::UnknownRoute, "no queue at this host and path; compare them with the routes in force");
    }
    const auto tenant = book.tenantsByKey.find(call.key);
    if (tenant == book.tenantsByKey.end() && !route->isPublic) {
        return answer(JobCallOutcome::UnknownKey, "the key is not in force; ask the operator for one");
    }
    admitted.route = *route;
    admitted.workspace = tenant == book.tenantsByKey.end() ? WorkspaceId{} : tenant->second.workspace;
    admitted.bodyBytes = book.limits.bodyBytes;
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
    if (this->board.knows(admitted.job)) {
        return answer(JobCallOutcome::Done, "joins the job that has this id");
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
    const auto written = this->writeOnce(submissionKey(submission.id), encodeSubmission(submission), admitted.giveUpAt);
    if (succeeded(written)) {
        this->metrics.add(Count::JobsSubmitted);
        return answer(JobCallOutcome::Done);
    }
    if (errorOf(written).kind == ErrorKind::Ambiguous) {
        return answer(JobCallOutcome::Undecided, toString(errorOf(written)));
    }
    return this->refusal(toString(errorOf(written)));
}

/** Writes a row that is written once only; succeeds also when it is there already. */
Status JobService::writeOnce(const std::string &key, const std::string &value, Instant giveUpAt)
{
    while (true) {
        const auto committed = this->table.commit(Transaction{this->ids.next(), {{key, 0}}, {{key, value}}});
        if (succeeded(committed)) {
            this->board.take(Row{key, value, valueOf(committed).revision, {}});
            return Done{};
        }
        if (errorOf(committed).kind == ErrorKind::Conflict) {
            return Done{};
        }
        if (errorOf(committed).kind != ErrorKind::PlatformDown || this->clock.now() >= giveUpAt) {
            return errorOf(committed);
        }
        this->clock.sleepFor(this->options.retryPause);
    }
}

JobAnswer JobService::show(const JobCall & /*call*/, const Admitted &admitted)
{
    const auto known = this->exists(admitted.job, admitted.giveUpAt);
    if (!succeeded(known)) {
        return this->refusal(toString(errorOf(known)));
    }
    const auto state = this->board.stateOf(admitted.job);
    if (!valueOf(known) || !state) {
        return answer(JobCallOutcome::UnknownJob, "there is no such job");
    }
    auto shown = answer(JobCallOutcome::Done);
    shown.state = std::string(nameOf(*state));
    return shown;
}

JobAnswer JobService::cancel(const JobCall & /*call*/, const Admitted &admitted)
{
    const auto known = this->exists(admitted.job, admitted.giveUpAt);
    if (!succeeded(known)) {
        return this->refusal(toString(errorOf(known)));
    }
    if (!valueOf(known)) {
        return answer(JobCallOutcome::UnknownJob, "there is no such job");
    }
    const auto written = this->writeOnce(cancellationKey(admitted.job), "{}", admitted.giveUpAt);
    if (succeeded(written)) {
        return answer(JobCallOutcome::Done);
    }
    if (errorOf(written).kind == ErrorKind::Ambiguous) {
        return answer(JobCallOutcome::Undecided, toString(errorOf(written)));
    }
    return this->refusal(toString(errorOf(written)));
}

JobAnswer JobService::countWaiting(const JobCall & /*call*/, const Admitted &admitted)
{
    if (!this->board.isLoaded()) {
        return this->refusal("the jobs have not been read yet");
    }
    auto counted = answer(JobCallOutcome::Done);
    counted.waiting = this->board.waitingOf(admitted.route.name);
    return counted;
}

/** Whether the job is there; asks the table when the board does not know it. */
Result<bool> JobService::exists(const JobId &job, Instant giveUpAt)
{
    while (true) {
        if (this->board.knows(job)) {
            return true;
        }
        const auto read = this->readIntoBoard(job);
        if (succeeded(read)) {
            return this->board.knows(job);
        }
        if (this->clock.now() >= giveUpAt) {
            return errorOf(read);
        }
        this->clock.sleepFor(this->options.retryPause);
    }
}

Status JobService::readIntoBoard(const JobId &job)
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
            this->board.take(*valueOf(row));
        }
    }
    return Done{};
}

JobAnswer JobService::refusal(const std::string &reason) const
{
    auto refused = answer(JobCallOutcome::NotNow, reason);
    refused.retryAfter = this->options.retryAfter;
    return refused;
}

} // namespace waxwingloft
