#include "site.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <random>

namespace waxwingloft::tests {

namespace {

/** Faults of the matrix. Those up to FreezeAsked act on the message at the chosen point, the others on the site. */
enum class Fault {
    LoseRequest,
    LoseReply,
    Duplicate,
    Delay,
    CrossReply,
    KillAsker,
    KillAskerAfter,
    KillAsked,
    KillAskedAfter,
    FreezeAsked,
    FreezeAsker,
    CutLink,
    TableDown,
    ObjectsDown,
    CheckpointCutShort,
    HostLost,
    RackLost,
    SecondCopy,
    CancelNow,
    OperatorsRace,
    DrainAsked,
};

enum class Scenario {
    Check, ///< an idempotent call
    Invoice, ///< a call that must run at most once, retried by its caller
    Fit, ///< an idempotent gang on three workers
    Simulation, ///< a gang that must not run twice, on two workers
    Reclaim, ///< preemptible work fills the fleet, then the owner of a guarantee submits a job
    Settings, ///< a change of settings
};

} // namespace

} // namespace waxwingloft::tests

namespace waxwingloft {

template<>
struct NameTable<tests::Fault> {
    static constexpr std::array<std::string_view, 21> names = {
        "LoseRequest",        "LoseReply",      "Duplicate",   "Delay",       "CrossReply", "KillAsker",     "KillAskerAfter",
        "KillAsked",          "KillAskedAfter", "FreezeAsked", "FreezeAsker", "CutLink",    "TableDown",     "ObjectsDown",
        "CheckpointCutShort", "HostLost",       "RackLost",    "SecondCopy",  "CancelNow",  "OperatorsRace", "DrainAsked"};
};

template<>
struct NameTable<tests::Scenario> {
    static constexpr std::array<std::string_view, 6> names = {"Check", "Invoice", "Fit", "Simulation", "Reclaim", "Settings"};
};

} // namespace waxwingloft

namespace waxwingloft::tests {

namespace {

/** The answer that the caller of one copy of a call received. */
struct CallRecord {
    Outcome outcome = Outcome::Unknown;
    std::string payload;
    int runsAtReturn = 0;
};

/** One run of a scenario: the site and the answers that its callers and operators received. */
class ScenarioRun
{
public:
    explicit ScenarioRun(Scenario scenario)
        : scenario(scenario)
    {
    }

    void inject(std::size_t point, Fault fault)
    {
        this->site.plan.injectAt(point, [this, fault](const Point &at) { return this->applyFault(fault, at); });
    }

    void run()
    {
        this->warmUp();
        this->site.plan.start();
        switch (this->scenario) {
        case Scenario::Check:
            this->call("entry-1", "check");
            break;
        case Scenario::Invoice:
            this->call("entry-1", "invoice");
            this->site.advance(Millis(2000));
            this->site.restart("server-1");
            this->site.restart("server-2");
            this->site.advance(Millis(2000));
            this->call("entry-2", "invoice");
            break;
        case Scenario::Fit:
            this->submit("fit", 3, callerShape(8, 3));
            this->site.advance(Millis(12000));
            break;
        case Scenario::Simulation:
            this->submit("simulation", 2, callerShape(8, 2));
            this->site.advance(Millis(12000));
            break;
        case Scenario::Reclaim:
            this->reclaim();
            break;
        case Scenario::Settings:
            this->changeSettings();
            break;
        }
        this->site.plan.stop();
        this->site.heal();
    }

    /** Describes the first invariant violated at the end; empty if all hold. */
    std::string findViolation()
    {
        if (!this->site.violation().empty()) {
            return this->site.violation();
        }
        for (const auto check : {&ScenarioRun::checkCalls, &ScenarioRun::checkGangs, &ScenarioRun::checkSettings}) {
            auto text = (this->*check)();
            if (!text.empty()) {
                return text;
            }
        }
        return {};
    }

    Site site;

private:
    static Shape callerShape(std::int64_t accelerators, std::uint32_t tasks)
    {
        return Shape{tasks, {16, 32, accelerators}, Adjacency::Region};
    }

    Transport applyFault(Fault fault, const Point &at)
    {
        constexpr auto LastTransport = static_cast<std::size_t>(Fault::FreezeAsked);
        const auto index = static_cast<std::size_t>(fault);
        if (index <= LastTransport) {
            return static_cast<Transport>(index + 1);
        }
        this->applySiteFault(fault, at);
        return Transport::Deliver;
    }

    void applySiteFault(Fault fault, const Point &at)
    {
        switch (fault) {
        case Fault::FreezeAsker:
            this->site.freezePastLeases(at.from);
            break;
        case Fault::CutLink:
            this->site.net.cut(at.from, at.to);
            break;
        case Fault::TableDown:
            this->site.rows.isDown = true;
            break;
        case Fault::ObjectsDown:
            this->site.objects.isDown = true;
            break;
        case Fault::CheckpointCutShort:
            this->site.objects.cutsShort = true;
            break;
        case Fault::HostLost:
            this->site.loseHost(this->site.workers.contains(at.to) ? at.to : "worker-1");
            break;
        case Fault::RackLost:
            for (const auto *name : {"worker-1", "worker-2", "worker-3"}) {
                this->site.loseHost(name);
            }
            break;
        case Fault::SecondCopy:
            if (this->scenario == Scenario::Invoice && at.from == "entry-1") {
                this->call("entry-2", "invoice");
            }
            break;
        case Fault::CancelNow:
            this->cancelNow();
            break;
        case Fault::OperatorsRace:
            if (!at.from.starts_with("entry-2")) {
                this->recordAccepted(this->site.setSettings("entry-2", "/teams/moulds/kinds/check/deadline_ms", 19000));
            }
            break;
        case Fault::DrainAsked:
            this->site.drain(at.to);
            break;
        default:
            break;
        }
    }

    /** Runs another caller's request first, so that a crossed reply carries the answer of that caller. */
    void warmUp()
    {
        this->site.entry("entry-1").call({Site::callerToken, CallerId{"other"}, RequestId{}, KindId{"check"}, Millis(0), "warm-up"});
    }

    void call(const std::string &entry, const std::string &kind)
    {
        if (!this->site.isUp(entry)) {
            return;
        }
        const std::string body = kind + "-body";
        CallRecord record{Outcome::Unknown, "", 0};
        const bool returned = this->site.runAs(entry, [&] {
            const auto answer = this->site.entry(entry).call({Site::callerToken, CallerId{"caller"}, RequestId{kind + "-1"}, KindId{kind}, Millis(0), body});
            record = {answer.outcome, answer.payload, this->site.runs[body]};
        });
        if (returned) {
            this->records.push_back(record);
            this->hadUnansweredCopy = this->hadUnansweredCopy || record.outcome == Outcome::Unknown;
        } else {
            this->hadUnansweredCopy = true;
        }
        this->calledKind = kind;
    }

    void submit(const std::string &kind, int /*members*/, const Shape &shape, const std::string &token = Site::callerToken, const std::string &id = "job-1")
    {
        const std::string entry = this->site.isUp("entry-1") ? "entry-1" : "entry-2";
        if (!this->site.isUp(entry)) {
            return;
        }
        Result<JobId> accepted = makeError(ErrorKind::Ambiguous, "the entry died");
        this->site.runAs(entry, [&] { accepted = this->site.entry(entry).submitJob({token, RequestId{id}, KindId{kind}, shape, Millis(6000), "", "{}"}); });
        const auto job = (token == Site::callerToken ? "plant." : "other.") + id;
        if (succeeded(accepted)) {
            this->accepted.insert(job);
        } else if (errorOf(accepted).kind != ErrorKind::Ambiguous) {
            this->refused.insert(job);
        }
    }

    void reclaim()
    {
        for (const auto *id : {"a", "b", "c"}) {
            this->submit("fit", 1, callerShape(8, 1), "other-caller-token", id);
        }
        this->site.advance(Millis(2000));
        this->submit("simulation", 1, Shape{1, {16, 32, 8}, Adjacency::Worker}, Site::callerToken, "owner");
        this->site.advance(Millis(12000));
    }

    void changeSettings()
    {
        this->recordAccepted(this->site.setSettings("entry-1", "/teams/moulds/kinds/check/deadline_ms", 18000));
        this->site.advance(Millis(4000));
    }

    void recordAccepted(const Result<SettingsVersion> &version)
    {
        if (succeeded(version)) {
            this->acceptedVersion = std::max(this->acceptedVersion, valueOf(version));
        }
    }

    void cancelNow()
    {
        for (const auto &[key, row] : std::map<std::string, Row>(this->site.rows.rows)) {
            if (key.starts_with("job/")) {
                IdSource ids(99);
                JobStore(this->directRows, ids).requestCancel(JobId{key.substr(4)});
                this->wasCancelled = true;
            }
        }
    }

    std::string checkCalls()
    {
        if (this->calledKind.empty()) {
            return {};
        }
        const auto body = this->calledKind + "-body";
        const int runs = this->site.runs[body];
        const bool isOnce = this->calledKind == "invoice";
        if (isOnce && runs > 1) {
            return "ran " + std::to_string(runs) + " times";
        }
        bool anyMayHaveRun = this->hadUnansweredCopy;
        for (const auto &record : this->records) {
            anyMayHaveRun = anyMayHaveRun || record.outcome != Outcome::NotRun;
            if (record.outcome == Outcome::Done && (runs == 0 || record.payload != "echo " + body)) {
                return "reported done with \"" + record.payload + "\" after " + std::to_string(runs) + " runs";
            }
            if (record.outcome == Outcome::NotRun && record.runsAtReturn > 0) {
                return "reported not-run after it had run";
            }
        }
        if (!anyMayHaveRun && runs > 0) {
            return "ran after every copy was reported not-run";
        }
        return {};
    }

    std::string checkGangs()
    {
        for (const auto &job : this->refused) {
            if (this->site.rows.rows.contains("job/" + job)) {
                return "job " + job + " was refused but exists";
            }
        }
        for (const auto &job : this->accepted) {
            auto text = this->checkJob(job);
            if (!text.empty()) {
                return "job " + job + ": " + text;
            }
        }
        return {};
    }

    std::string checkJob(const std::string &job)
    {
        const auto row = this->site.rows.rows.find("job/" + job);
        if (row == this->site.rows.rows.end()) {
            return "was accepted but does not exist";
        }
        const auto parsed = parseJob(row->second);
        const auto &record = valueOf(parsed);
        const auto attempts = this->attemptsOf(job);
        const bool isSimulation = record.kind.id.value == "simulation";
        const auto fresh = std::count_if(attempts.begin(), attempts.end(), [](const Attempt &attempt) { return attempt.isFresh; });
        if (isSimulation && fresh > 1) {
            return "started from the beginning " + std::to_string(fresh) + " times";
        }
        for (std::size_t index = 1; index < attempts.size(); ++index) {
            if (attempts[index].startedAt < attempts[index - 1].endedAt) {
                return "two attempts ran at once";
            }
        }
        if (record.state != JobState::Ended) {
            return "has not ended: " + std::string(nameOf(record.state)) + " " + record.detail;
        }
        const bool anyFinished = std::any_of(attempts.begin(), attempts.end(), [](const Attempt &attempt) { return attempt.allFinished; });
        if (record.outcome == Outcome::Done && !anyFinished) {
            return "ended as done but no attempt finished on all members";
        }
        if (record.outcome == Outcome::NotRun && !attempts.empty()) {
            return "ended as not-run but an attempt had started";
        }
        if (!isSimulation && !this->wasCancelled && record.outcome != Outcome::Done) {
            return "is idempotent and ended as " + std::string(nameOf(record.outcome)) + ": " + record.detail;
        }
        return {};
    }

    struct Attempt {
        Instant startedAt = Instant::max();
        Instant endedAt = Instant::min();
        bool isFresh = false;
        bool allFinished = true;
    };

    /** Returns the attempts of a job that started on any worker, ordered by start. */
    std::vector<Attempt> attemptsOf(const std::string &job)
    {
        std::map<std::string, Attempt> byId;
        for (auto &[name, worker] : this->site.workers) {
            for (auto &[id, group] : worker->groups) {
                if (group.order.id.empty() || this->site.jobOf[id] != job) {
                    continue;
                }
                auto &attempt = byId[id];
                attempt.startedAt = std::min(attempt.startedAt, group.startedAt);
                attempt.endedAt = std::max(attempt.endedAt, group.ended ? group.endedAt : this->site.clock.now());
                attempt.isFresh = attempt.isFresh || group.order.resumeFrom.empty();
                attempt.allFinished = attempt.allFinished && group.ended == TaskState::Finished;
            }
        }
        std::vector<Attempt> list;
        for (const auto &[id, attempt] : byId) {
            list.push_back(attempt);
        }
        std::sort(list.begin(), list.end(), [](const Attempt &left, const Attempt &right) { return left.startedAt < right.startedAt; });
        return list;
    }

    std::string checkSettings()
    {
        for (auto *process : this->site.live()) {
            if (process->settings.version() < this->acceptedVersion) {
                return process->name + " has version " + std::to_string(process->settings.version()) + " and " + std::to_string(this->acceptedVersion)
                    + " was accepted";
            }
        }
        return {};
    }

    const Scenario scenario;
    FaultPlan noFaults;
    FakeTable directRows{this->site.rows, this->noFaults, "operator", std::make_shared<bool>(true)};
    std::vector<CallRecord> records;
    bool hadUnansweredCopy = false;
    std::string calledKind;
    std::set<std::string> accepted;
    std::set<std::string> refused;
    SettingsVersion acceptedVersion = 0;
    bool wasCancelled = false;
};

std::string describe(const std::vector<Point> &points, std::size_t number)
{
    return number < points.size()
        ? "point " + std::to_string(number) + " (" + points[number].from + " -> " + points[number].to + " " + points[number].what + ")"
        : "point " + std::to_string(number);
}

std::size_t countPoints(Scenario scenario)
{
    ScenarioRun scenarioRun(scenario);
    scenarioRun.run();
    EXPECT_EQ(scenarioRun.findViolation(), "") << nameOf(scenario) << " without faults";
    return scenarioRun.site.plan.points().size();
}

class FaultMatrixTest : public testing::TestWithParam<std::tuple<Scenario, Fault>>
{
};

} // namespace

/** Injects one fault at every point of one scenario. */
TEST_P(FaultMatrixTest, holdsAtEveryPoint)
{
    const auto [scenario, fault] = this->GetParam();
    const auto count = countPoints(scenario);
    ASSERT_GT(count, 0U);
    for (std::size_t point = 0; point < count; ++point) {
        ScenarioRun scenarioRun(scenario);
        scenarioRun.inject(point, fault);
        scenarioRun.run();
        EXPECT_EQ(scenarioRun.findViolation(), "") << nameOf(scenario) << ", " << nameOf(fault) << " at " << describe(scenarioRun.site.plan.points(), point);
    }
}

namespace {

std::vector<Scenario> allScenarios()
{
    return {Scenario::Check, Scenario::Invoice, Scenario::Fit, Scenario::Simulation, Scenario::Reclaim, Scenario::Settings};
}

std::vector<Fault> allFaults()
{
    std::vector<Fault> faults;
    for (std::size_t index = 0; index < NameTable<Fault>::names.size(); ++index) {
        faults.push_back(static_cast<Fault>(index));
    }
    return faults;
}

} // namespace

static std::string caseName(const testing::TestParamInfo<std::tuple<Scenario, Fault>> &info)
{
    return std::string(nameOf(std::get<0>(info.param))) + "_" + std::string(nameOf(std::get<1>(info.param)));
}

INSTANTIATE_TEST_SUITE_P(Matrix, FaultMatrixTest, testing::Combine(testing::ValuesIn(allScenarios()), testing::ValuesIn(allFaults())), &caseName);

/** Injects random pairs of faults. FAULT_PAIRS_SEED sets the seed, FAULT_PAIRS the number of pairs. */
TEST(FaultPairsTest, holdUnderPairsDrawnBySeed)
{
    const char *const seedText = std::getenv("FAULT_PAIRS_SEED");
    const char *const pairsText = std::getenv("FAULT_PAIRS");
    const std::uint64_t seed = seedText == nullptr ? 20261204 : std::stoull(seedText);
    const int pairs = pairsText == nullptr ? 150 : std::stoi(pairsText);
    std::mt19937_64 random(seed);
    std::map<Scenario, std::size_t> counts;
    for (const auto scenario : allScenarios()) {
        counts[scenario] = countPoints(scenario);
    }
    for (int pair = 0; pair < pairs; ++pair) {
        const auto scenario = allScenarios()[random() % allScenarios().size()];
        const auto first = allFaults()[random() % allFaults().size()];
        const auto second = allFaults()[random() % allFaults().size()];
        const auto firstPoint = random() % counts[scenario];
        const auto secondPoint = firstPoint + random() % (counts[scenario] + 4);
        ScenarioRun scenarioRun(scenario);
        scenarioRun.inject(firstPoint, first);
        scenarioRun.inject(secondPoint, second);
        scenarioRun.run();
        EXPECT_EQ(scenarioRun.findViolation(), "") << "seed " << seed << " pair " << pair << ": " << nameOf(scenario) << ", " << nameOf(first) << " at "
                                                   << describe(scenarioRun.site.plan.points(), firstPoint) << ", " << nameOf(second) << " at "
                                                   << describe(scenarioRun.site.plan.points(), secondPoint);
    }
}

} // namespace waxwingloft::tests
