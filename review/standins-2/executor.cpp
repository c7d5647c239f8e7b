#include "executor.h"

#include <algorithm>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr auto ReportInterval = Millis(1500);
constexpr auto ReportTimeout = Millis(1000);
constexpr auto WorkInterval = Millis(10);
constexpr std::int64_t LongestHoldMs = 6000;
constexpr std::int64_t LongestWaitMs = 2000;
constexpr std::int64_t FirstClockMs = 1000; ///< of a life; a clock that shows zero could be taken for a missing one
constexpr std::size_t MaxListedEnds = 500;
constexpr std::int64_t WholePercent = 100;
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusRefused = 409;
constexpr int StatusOtherLife = 421;

/** Cuts the answer off, as the executor that would have given it is gone. */
void breakOff(httplib::Response &response)
{
    constexpr std::size_t Length = 1000;
    response.set_content_provider(Length, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/** A checkpoint begins with the milliseconds of work that it saves. */
constexpr std::size_t SavedDigits = 8;
constexpr auto CheckpointInterval = Millis(1000); ///< checkpoint_s

Millis savedIn(const std::string &checkpoint)
{
    return checkpoint.size() < SavedDigits ? Millis(0) : Millis(std::stol(checkpoint.substr(0, SavedDigits)));
}

constexpr auto LastingSpec = "lasts";
constexpr auto Lasting = Millis(1'000'000'000);
constexpr auto StartupTime = Millis(200); ///< of a work unit that lasts
constexpr auto TimeToFail = Millis(200); ///< of what a grey executor starts

Millis workOf(const std::string &spec)
{
    if (spec == LastingSpec) {
        return Lasting;
    }
    const auto digits = spec.substr(0, spec.find(' '));
    const bool isNumber = !digits.empty() && digits.size() < 9 && digits.find_first_not_of("0123456789") == std::string::npos;
    return Millis(isNumber ? std::stol(digits) : 1000);
}

} // namespace

RunBook::RunBook(Record &record)
    : record(record)
{
}

void RunBook::close()
{
    this->isClosed = true;
}

void RunBook::started(const Start &start)
{
    if (this->isClosed) {
        return;
    }
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->begun.push_back(start);
    }
    this->record.line("started   " + start.task + " run " + std::to_string(start.run) + " at executor " + start.executor + " in " + start.zone);
}

void RunBook::ended(const std::string &executor, const std::string &task, std::uint32_t run, const std::string &how)
{
    if (this->isClosed) {
        return;
    }
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->ends.push_back({task, how});
    }
    this->record.line("ended     " + task + " run " + std::to_string(run) + " at executor " + executor + ": " + how);
}

std::vector<Start> RunBook::starts() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->begun;
}

std::size_t RunBook::countEnds(const std::string &prefix, const std::string &how) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return static_cast<std::size_t>(
        std::count_if(this->ends.begin(), this->ends.end(), [&](const End &end) { return end.task.starts_with(prefix) && end.how == how; }));
}

Executor::Executor(ExecutorTraits traits, Record &record, RunBook &book)
    : traits(std::move(traits))
    , record(record)
    , book(book)
    , peer(this->traits.host)
{
    // The address is known before the first life, as the agent's settings name it.
    this->peer.open();
    this->peer.run();
    this->peer.close();
}

Executor::~Executor()
{
    this->crash();
}

std::string Executor::address() const
{
    return this->peer.address();
}

const ExecutorTraits &Executor::description() const
{
    return this->traits;
}

std::string Executor::id() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->lifeId;
}

std::uint64_t Executor::reports() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->sequence;
}

bool Executor::isRunning(const std::string &taskPrefix) const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return std::any_of(this->running.begin(), this->running.end(), [&](const auto &item) { return item.first.starts_with(taskPrefix); });
}

std::size_t Executor::countRunning() const
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->running.size();
}

Millis Executor::doneOf(const Run &run) const
{
    return std::min(run.work, run.done + std::chrono::duration_cast<Millis>(Clock::now() - run.begunAt));
}

std::string Executor::checkpointOf(const Run &run, bool isStopped) const
{
    if (this->traits.checkpointBytes == 0) {
        return {};
    }
    const auto done = this->doneOf(run);
    const auto saved = isStopped ? done : std::max(run.done, done - done % CheckpointInterval);
    if (saved == Millis(0)) {
        return {};
    }
    auto text = std::to_string(saved.count());
    text = std::string(SavedDigits - std::min(SavedDigits, text.size()), '0') + text;
    return text + std::string(this->traits.checkpointBytes - std::min(this->traits.checkpointBytes, text.size()), 'c');
}

void Executor::openServer()
{
    auto &server = this->peer.open();
    const auto on = [this, &server](const std::string &path, Handler handler) {
        server.Post(path, [this, handler](const httplib::Request &request, httplib::Response &response) { this->serve(request, response, handler); });
    };
    on("/waxwingloft/run-start", &Executor::start);
    on("/waxwingloft/run-stop", &Executor::stop);
    on("/waxwingloft/hold", &Executor::hold);
    this->peer.run();
}

void Executor::begin(const std::string &control)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->control = control;
        ++this->life;
        this->lifeId = "i-" + this->traits.host + "-" + std::to_string(this->life);
        this->born = unixMillis();
        this->bornAt = Clock::now();
        this->isAlive = true;
        this->isDraining = false;
        this->sequence = 0;
        this->fence = 0;
        this->leaseEnd = 0;
        this->lastEnd = 0;
    }
    this->record.line("executor  " + this->id() + " begins in " + this->traits.zone);
    this->openServer();
    this->worker = std::thread([this] { this->work(); });
    this->reporter = std::thread([this] {
        std::unique_lock<std::mutex> lock(this->mutex);
        while (this->isAlive) {
            lock.unlock();
            if (!this->isSilent) {
                this->send(this->report());
            }
            lock.lock();
            this->changed.wait_for(lock, ReportInterval, [this] { return !this->isAlive; });
        }
    });
}

void Executor::crash()
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (!this->isAlive) {
            return;
        }
        this->isAlive = false;
        for (const auto &[task, run] : this->running) {
            this->book.ended(this->lifeId, task, run.run, "lost in a crash");
        }
        this->running.clear();
        this->highestOver.clear();
        this->ends.clear();
    }
    this->record.line("executor  " + this->id() + " crashes");
    this->changed.notify_all();
    this->peer.close();
    this->worker.join();
    this->reporter.join();
}

void Executor::fallSilent()
{
    this->isSilent = true;
    const std::lock_guard<std::mutex> guard(this->mutex);
    for (const auto &[task, run] : this->running) {
        this->book.ended(this->lifeId, task, run.run, "lost for good");
    }
    this->running.clear();
    this->record.line("executor  " + this->lifeId + " is dark for good");
}

void Executor::turnGrey(bool isGrey)
{
    this->isGrey = isGrey;
    this->record.line("executor  " + this->id() + (isGrey ? " fails all that it runs from now on" : " works again"));
}

bool Executor::drain()
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->isDraining = true;
    }
    const auto status = this->send(this->report());
    this->record.line("executor  " + this->id() + " reports that it is draining; answer " + std::to_string(status));
    return status / 100 == 2;
}

Json Executor::report()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    Json body{{"service", this->traits.service},
              {"address", this->peer.address()},
              {"zone", this->traits.zone},
              {"version", "v1"},
              {"slots", 8},
              {"state", this->isDraining ? "draining" : "ready"},
              {"cold_remaining_ms", 0},
              {"capacity", {{"cpu", 128'000}, {"mem_mb", 262'144}, {"gpu", 8}}},
              {"labels", this->traits.labels},
              {"clock_ms", this->clock()},
              {"born", this->born},
              {"seq", ++this->sequence}};
    if (this->isDraining) {
        body["remaining_ms"] = 20'000;
    }
    return body;
}

int Executor::reportAs(const Json &other)
{
    auto body = this->report();
    for (const auto &[name, value] : other.items()) {
        if (value.is_null()) {
            body.erase(name);
        } else {
            body[name] = value;
        }
    }
    const auto status = this->send(body);
    this->record.line("ping      of another writer for " + this->id() + ": " + body.dump() + "; answer " + std::to_string(status));
    return status;
}

int Executor::send(const Json &body)
{
    httplib::Client client("http://" + this->control);
    client.set_connection_timeout(ReportTimeout);
    client.set_read_timeout(ReportTimeout);
    const auto answer = client.Post("/waxwingloft/instances/" + this->id() + "/heartbeat", body.dump(), "application/json");
    return answer ? answer->status : 0;
}

std::int64_t Executor::clock() const
{
    return FirstClockMs + std::chrono::duration_cast<Millis>(Clock::now() - this->bornAt).count();
}

void Executor::answer(httplib::Response &response, int status, Json body) const
{
    body["clock_ms"] = this->clock();
    body["born"] = this->born;
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

void Executor::serve(const httplib::Request &request, httplib::Response &response, Handler handler)
{
    while (this->isSilent) {
        std::this_thread::sleep_for(WorkInterval);
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (!this->isAlive) {
            breakOff(response);
            return;
        }
    }
    const auto body = Json::parse(request.body, nullptr, false);
    const auto expected = request.get_header_value("Waxwingloft-Expected-Instance");
    std::unique_lock<std::mutex> lock(this->mutex);
    if (!this->isAlive) {
        breakOff(response);
        return;
    }
    if (!expected.empty() && expected != this->lifeId) {
        this->answer(response, StatusOtherLife, Json::object());
        return;
    }
    if (!body.is_object()) {
        this->answer(response, StatusBadRequest, Json::object());
        return;
    }
    this->settle();
    lock.unlock();
    (this->*handler)(body, response);
}

/** Whether a call bears an older fencing token than an earlier one; such a call does nothing. Call with the mutex held. */
bool Executor::isFenced(const Json &body, httplib::Response &response)
{
    const auto token = body.value("fencing_token", std::uint64_t(0));
    if (token < this->fence) {
        this->answer(response, StatusRefused, {{"reason", "fence"}});
        return true;
    }
    this->fence = token;
    return false;
}

void Executor::prolong(const Json &body)
{
    const auto wanted = body.value("deadline_ms", std::int64_t(0));
    this->leaseEnd = std::max(this->leaseEnd, std::min(wanted, this->clock() + LongestHoldMs));
}

void Executor::start(const Json &body, httplib::Response &response)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->isFenced(body, response)) {
        return;
    }
    const auto task = body.value("task", "");
    const auto run = body.value("run", std::uint32_t(0));
    if (body.value("deadline_ms", std::int64_t(0)) <= this->clock()) {
        this->answer(response, StatusRefused, {{"reason", "late"}});
        return;
    }
    this->prolong(body);
    const auto known = this->running.find(task);
    if (known != this->running.end() && known->second.run == run) {
        this->answer(response, StatusOk, Json::object());
        return;
    }
    const auto over = this->highestOver.find(task);
    const bool isOld = (over != this->highestOver.end() && run <= over->second) || (known != this->running.end() && run < known->second.run);
    if (isOld) {
        this->answer(response, StatusRefused, {{"reason", "old"}});
        return;
    }
    this->running[task] = {run, Clock::now(), workOf(body.value("spec", "")), savedIn(body.value("checkpoint", ""))};
    this->book.started({this->record.now(), this->lifeId, this->traits.zone, task, run});
    this->answer(response, StatusOk, Json::object());
}

void Executor::stop(const Json &body, httplib::Response &response)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->isFenced(body, response)) {
        return;
    }
    const auto task = body.value("task", "");
    const auto run = body.value("run", std::uint32_t(0));
    const auto known = this->running.find(task);
    if (known != this->running.end() && known->second.run == run) {
        this->end(task, "stopped");
    }
    this->highestOver[task] = std::max(this->highestOver[task], run);
    this->answer(response, StatusOk, Json::object());
}

void Executor::hold(const Json &body, httplib::Response &response)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    if (this->isFenced(body, response)) {
        return;
    }
    this->prolong(body);
    const auto seen = body.value("last_seen", std::uint64_t(0));
    std::erase_if(this->ends, [seen](const Ended &ended) { return ended.number <= seen; });
    const auto wait = Millis(std::min(LongestWaitMs, body.value("wait_ms", std::int64_t(0))));
    const auto life = this->life;
    this->changed.wait_for(lock, wait, [this, life] { return !this->ends.empty() || !this->isAlive || this->life != life; });
    if (!this->isAlive) {
        breakOff(response);
        return;
    }
    auto running = Json::array();
    for (const auto &[task, run] : this->running) {
        const auto whole = run.work == Lasting ? StartupTime : run.work;
        const auto percent = std::min(WholePercent, this->doneOf(run).count() * WholePercent / std::max<std::int64_t>(1, whole.count()));
        running.push_back({task, run.run, this->checkpointOf(run, false), percent, 1000});
    }
    auto listed = Json::array();
    for (const auto &ended : this->ends) {
        if (listed.size() < MaxListedEnds) {
            listed.push_back({ended.number, ended.task, ended.run, ended.how, ended.checkpoint});
        }
    }
    this->answer(response, StatusOk, {{"running", running}, {"ended", listed}});
}

/** Call with the mutex held. */
void Executor::end(const std::string &task, const std::string &how)
{
    const auto entry = this->running.at(task);
    const auto run = entry.run;
    const auto checkpoint = how == "done" ? std::string() : this->checkpointOf(entry, how == "stopped");
    this->running.erase(task);
    this->highestOver[task] = std::max(this->highestOver[task], run);
    this->ends.push_back({++this->lastEnd, task, run, how, checkpoint});
    this->book.ended(this->lifeId, task, run, how);
    this->changed.notify_all();
}

/** Ends what is done, and all that runs when the lease has expired. Call with the mutex held. */
void Executor::settle()
{
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto &[task, run] : this->running) {
        if (this->clock() >= this->leaseEnd) {
            over.emplace_back(task, "lapsed");
        } else if (this->isGrey && Clock::now() - run.begunAt >= TimeToFail) {
            over.emplace_back(task, "failed");
        } else if (this->doneOf(run) >= run.work) {
            over.emplace_back(task, "done");
        }
    }
    for (const auto &[task, how] : over) {
        this->end(task, how);
    }
}

void Executor::work()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (this->isAlive) {
        if (!this->isSilent) {
            this->settle();
        }
        this->changed.wait_for(lock, WorkInterval, [this] { return !this->isAlive; });
    }
}

} // namespace waxwingloft::review
