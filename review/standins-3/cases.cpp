#include "cases.h"

#include "site.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <stdexcept>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t FinishMs = 14'000; ///< finish_s
constexpr std::int64_t StandMs = 3000; ///< for which a job that could run may have nothing running
constexpr std::int64_t PollMs = 20;
constexpr std::int64_t ArrivalMs = 200; ///< between jobs that come in around a loss

bool hasTrouble()
{
    const char *const trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

Json jobOf(const std::string &spec, const Json &step)
{
    Json whole{{"count", 1}, {"cpu", 15'000}, {"mem_mb", 39'000}, {"gpu", 1}, {"estimate_ms", 2500}};
    whole.update(step);
    return {{"spec", spec}, {"steps", {whole}}};
}

/** Waits until a run of @p job has started after @p runs earlier ones. Returns the start. */
Note waitForStart(Site &site, const std::string &job, std::size_t runs, std::int64_t limit)
{
    const auto until = site.elapsed() + limit;
    while (site.elapsed() < until) {
        const auto starts = site.startsOf(job);
        if (starts.size() > runs) {
            return starts.back();
        }
        site.sleepUntil(site.elapsed() + PollMs);
    }
    throw std::runtime_error("no start of " + job + " in time");
}

/**
 * A machine with an executor is lost for good, the agent with it, and jobs come in within the next second.
 *
 * A lasting task makes the machine the fullest one that takes work, which is where small jobs are placed first.
 */
int machineLost(Site &site)
{
    const std::string lasting = "aaaa000000000001";
    const std::array<std::string, 3> fresh = {"bbbb000000000001", "bbbb000000000002", "bbbb000000000003"};
    site.submit(lasting, jobOf("lasting", {{"perpetual", true}, {"may_miss", 1}}));
    const auto first = waitForStart(site, lasting, 0, 10'000);
    site.sleepUntil(site.elapsed() + 4000);
    const auto machine = site.indexOf(first.executor);
    if (hasTrouble()) {
        site.killExecutor(machine);
        site.killAgent(machine);
    }
    for (const auto &job : fresh) {
        site.sleepUntil(site.elapsed() + ArrivalMs);
        if (site.submit(job, jobOf("work 2500", Json::object())).status != 200) {
            throw std::runtime_error("a job was not accepted");
        }
    }
    const auto trafficEnd = site.elapsed();
    site.say("the traffic is over");
    site.sleepUntil(trafficEnd + FinishMs + StandMs);
    int result = RuleHeld;
    for (const auto &job : fresh) {
        const auto starts = site.startsOf(job);
        const auto state = site.stateOf(job);
        const bool stands = starts.empty() && state != "completed";
        if (stands) {
            site.say("LOST: job " + job + " was accepted and has had nothing running for " + std::to_string(site.elapsed() - trafficEnd)
                     + " ms, while ten executors are all but idle");
            result = RuleBroken;
        }
    }
    return result;
}

/** Executors crash one after the other, each some seconds after it has begun the task of a job that saves its progress. */
int repeatedCrashes(Site &site)
{
    constexpr std::size_t Crashes = 5;
    const std::string job = "cccc000000000001";
    if (site.submit(job, jobOf("work 20000", {{"estimate_ms", 20'000}, {"checkpointing", true}})).status != 200) {
        throw std::runtime_error("the job was not accepted");
    }
    for (std::size_t crash = 0; crash < Crashes && hasTrouble(); ++crash) {
        const auto start = waitForStart(site, job, crash, 20'000);
        site.sleepUntil(start.at + 3500);
        const auto index = site.indexOf(start.executor);
        site.killExecutor(index);
        site.sleepUntil(site.elapsed() + 1500);
        site.startExecutor(index);
        if (crash + 1 == Crashes) {
            break;
        }
    }
    const auto until = site.elapsed() + 45'000;
    std::string state;
    while (site.elapsed() < until) {
        state = site.stateOf(job);
        if (state == "failed" || state == "completed") {
            break;
        }
        site.sleepUntil(site.elapsed() + 1000);
    }
    const auto notes = site.notes();
    const auto failures = std::count_if(notes.begin(), notes.end(), [](const Note &note) { return note.event == "end" && note.how == "failed"; });
    site.say("the job is shown as " + state + "; executors listed " + std::to_string(failures) + " ends as failed, of 4 attempts allowed");
    if (state == "failed" && failures == 0) {
        site.say("LOST: the job is shown as failed without cause, as only ends `failed` count as attempts");
        return RuleBroken;
    }
    return RuleHeld;
}

/** A job's spec holds a character that ends a string in C; with TROUBLE=0 another one. */
int wholeSpec(Site &site)
{
    const std::string job = "dddd000000000001";
    auto spec = std::string("work 1000 --input=first") + (hasTrouble() ? '\0' : ' ') + "--input=second";
    if (site.submit(job, jobOf(spec, Json::object())).status != 200) {
        throw std::runtime_error("the job was not accepted");
    }
    const auto start = waitForStart(site, job, 0, 10'000);
    site.say("sent " + std::to_string(spec.size()) + " bytes of spec, an executor was told " + std::to_string(start.spec.size()));
    if (start.spec != spec) {
        site.say("UNASKED: an executor was told to start a task with another spec");
        return RuleBroken;
    }
    return RuleHeld;
}

/** An executor goes silent for good, and jobs come in within the next second, which are told to have begun. */
int silentExecutor(Site &site)
{
    constexpr std::int64_t VisibleMs = 5000; ///< visible_ms and two seconds
    const std::string lasting = "eeee000000000001";
    const std::array<std::string, 4> fresh = {"ffff000000000001", "ffff000000000002", "ffff000000000003", "ffff000000000004"};
    site.submit(lasting, jobOf("lasting", {{"perpetual", true}, {"may_miss", 1}}));
    const auto first = waitForStart(site, lasting, 0, 10'000);
    site.sleepUntil(site.elapsed() + 4000);
    if (hasTrouble()) {
        site.silenceExecutor(site.indexOf(first.executor));
    }
    for (const auto &job : fresh) {
        site.sleepUntil(site.elapsed() + ArrivalMs);
        if (site.submit(job, jobOf("work 30000", Json::object())).status != 200) {
            throw std::runtime_error("a job was not accepted");
        }
    }
    const auto acceptedAt = site.elapsed();
    int result = RuleHeld;
    for (std::int64_t after = VisibleMs + 1000; after <= VisibleMs + 4000; after += 1000) {
        site.sleepUntil(acceptedAt + after);
        const auto before = std::count_if(fresh.begin(), fresh.end(), [&site](const std::string &job) { return site.startsOf(job).empty(); });
        for (std::size_t entry = 0; entry < 3; ++entry) {
            const auto waiting = site.waitingAt(entry);
            if (waiting >= 0 && std::int64_t(2) * waiting < before) {
                site.say("MIXED: " + std::to_string(before) + " jobs were accepted over " + std::to_string(after) + " ms ago and haven't begun, but "
                         + std::to_string(waiting) + " are shown as waiting");
                result = RuleBroken;
            }
        }
    }
    return result;
}

/** The jobs of a day have ended; the entries are then started again, and one that outgrows its memory is killed, as the platform does. */
int endedJobs(Site &site)
{
    constexpr std::size_t JobsOfADay = 77'300; ///< 0.895 a second, the sum of the three kinds
    constexpr std::size_t JobsOfAMinute = 54;
    constexpr std::size_t Entries = 3;
    constexpr std::int64_t WatchMs = 70'000;
    constexpr std::int64_t RestartMs = 1000;
    constexpr std::int64_t MemoryLimitKb = std::int64_t(260) * 1024; ///< memory_mb
    constexpr std::size_t KillsOfAMachine = 3;
    constexpr std::size_t MachinesToBreak = 2;
    const std::string job = "9999000000000001";
    if (site.submit(job, jobOf("work 300 " + std::string(291, 'x'), {{"count", 5}, {"estimate_ms", 300}})).status != 200) {
        throw std::runtime_error("the job was not accepted");
    }
    while (site.stateOf(job) != "completed") {
        site.sleepUntil(site.elapsed() + 200);
    }
    site.sleepUntil(site.elapsed() + 1000);
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        site.killEntry(entry);
    }
    site.copyEndedJob(job, hasTrouble() ? JobsOfADay : JobsOfAMinute);
    std::array<std::size_t, Entries> kills{};
    std::array<std::int64_t, Entries> startAt{};
    std::array<bool, Entries> isUp{};
    const std::string ordinary = "9999000000000002";
    const auto submitAt = site.elapsed() + WatchMs / 4;
    bool isSubmitted = false;
    bool isAccepted = false;
    const auto until = site.elapsed() + WatchMs;
    while (site.elapsed() < until) {
        for (std::size_t entry = 0; entry < Entries; ++entry) {
            if (!isUp.at(entry) && site.elapsed() >= startAt.at(entry)) {
                site.startEntry(entry);
                isUp.at(entry) = true;
            }
            const auto memory = isUp.at(entry) ? site.memoryOf(entry) : 0;
            if (memory > MemoryLimitKb) {
                site.say("entry " + std::to_string(entry) + " uses " + std::to_string(memory) + " kB");
                site.killEntry(entry);
                isUp.at(entry) = false;
                startAt.at(entry) = site.elapsed() + RestartMs;
                ++kills.at(entry);
            }
        }
        if (!isSubmitted && site.elapsed() >= submitAt) {
            isSubmitted = true;
            isAccepted = site.submit(ordinary, jobOf("work 300", Json::object())).status == 200;
        }
        site.sleepUntil(site.elapsed() + PollMs);
    }
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        site.say("entry " + std::to_string(entry) + " was killed " + std::to_string(kills.at(entry)) + " times, and uses "
                 + std::to_string(isUp.at(entry) ? site.memoryOf(entry) : 0) + " kB");
    }
    const auto begun = site.startsOf(ordinary).empty() ? "has not begun " + std::to_string(site.elapsed() - submitAt) + " ms later" : std::string("has begun");
    site.say(std::string("an ordinary job that was handed in meanwhile was ") + (isAccepted ? "accepted" : "not accepted") + " and " + begun);
    return static_cast<std::size_t>(std::count_if(kills.begin(), kills.end(), [](std::size_t times) { return times >= KillsOfAMachine; })) >= MachinesToBreak
        ? RuleBroken
        : RuleHeld;
}

struct Case {
    std::string name;
    int (*run)(Site &);
};

const std::array<Case, 5> Cases = {{{"machine-lost", &machineLost},
                                    {"repeated-crashes", &repeatedCrashes},
                                    {"whole-spec", &wholeSpec},
                                    {"silent-executor", &silentExecutor},
                                    {"ended-jobs", &endedJobs}}};

} // namespace

int runCase(const std::string &self, const std::string &name, const std::string &record)
{
    const auto found = std::find_if(Cases.begin(), Cases.end(), [&name](const Case &known) { return known.name == name; });
    if (found == Cases.end()) {
        throw std::runtime_error("there is no case " + name);
    }
    Site site(self, record);
    if (!site.waitUntilReady()) {
        return CouldNotRun;
    }
    const auto result = found->run(site);
    site.recordNotes();
    return result;
}

} // namespace waxwingloft::review
