// The leading entry is killed in a deployment that has worked for some time.
#include "site.h"

#include <algorithm>
#include <csignal>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t Executors = 4;
constexpr std::size_t History = 8000; ///< ended jobs, of about half an hour at 4.35 jobs a second
constexpr std::size_t MemoryMb = 160; ///< memory_mb of an entry's machine
constexpr int Units = 11; ///< work units of a job, as many as the site's have on average
constexpr std::size_t SpecBytes = 300;
constexpr double LinkMbps = 20.0; ///< of an entry's machine
constexpr auto Work = Millis(300);
constexpr auto StartTime = Millis(30'000);
constexpr auto RestartTime = Millis(1000);
constexpr auto Watch = Millis(40'000);

std::string idOf(char kind, std::size_t number)
{
    const auto digits = std::to_string(number);
    return kind + std::string(15 - digits.size(), '0') + digits;
}

Json job()
{
    const Json step{{"count", Units}, {"cpu", 11'000}, {"mem_mb", 23'000}, {"gpu", 1}, {"estimate_ms", Work.count()}};
    return {{"spec", std::to_string(Work.count()) + std::string(SpecBytes, ' ')}, {"steps", Json::array({step})}};
}

bool hasBegun(Site &site, const std::string &id)
{
    const auto starts = site.runs.starts();
    return std::any_of(starts.begin(), starts.end(), [&id](const Start &start) { return start.task.starts_with(id); });
}

/** Submits a job at some entry and returns whether it begins in @p limit. */
bool runOne(Site &site, Record &record, const std::string &id, Millis limit)
{
    const auto path = "/queue/" + id;
    if (!waitFor(limit, [&] { return site.submit(path, job()); })) {
        record.line("job " + id + " is accepted by no entry");
        return false;
    }
    const auto acceptedAt = record.now();
    const bool isBegun = waitFor(limit, [&] { return hasBegun(site, id); });
    record.line("job " + id + (isBegun ? " began " : " has not begun in ") + std::to_string((record.now() - acceptedAt).count()) + " ms");
    return isBegun;
}

int play(Record &record)
{
    SiteOptions options;
    options.settings = settingsWithOneRoute();
    options.startedEntries = 1;
    options.linkMbps = LinkMbps;
    for (std::size_t number = 0; number < Executors; ++number) {
        options.labels.push_back({"a", "r1-" + std::to_string(number)});
    }
    Site site(record, options);
    const auto first = idOf('a', 0);
    if (!site.waitUntilReady(1, StartTime) || !runOne(site, record, first, StartTime)
        || !waitFor(StartTime, [&site, &first] { return site.stateOf("/queue/" + first) == "completed"; })) {
        return CouldNotRun;
    }
    std::this_thread::sleep_for(Millis(1500));
    site.entry(0).signal(SIGTERM);
    if (!waitFor(Millis(10'000), [&site] { return site.entry(0).hasEnded(); })) {
        return CouldNotRun;
    }
    std::vector<std::string> others;
    for (std::size_t number = 1; number <= History; ++number) {
        others.push_back(idOf('a', number));
    }
    site.store.copyJob(first, others);
    record.line("the store holds " + std::to_string(History + 1) + " ended jobs");
    site.entry(0).start();
    if (!site.waitUntilReady(1, StartTime) || !runOne(site, record, idOf('b', 1), StartTime)) {
        return CouldNotRun;
    }
    site.entry(1).start();
    site.entry(2).start();
    if (!site.waitUntilReady(3, StartTime) || !runOne(site, record, idOf('b', 2), StartTime)) {
        return CouldNotRun;
    }
    for (std::size_t number = 0; number < 3; ++number) {
        record.line("front-" + std::to_string(number + 1) + " uses " + std::to_string(site.entry(number).memoryMb()) + " MB of " + std::to_string(MemoryMb));
    }
    if (hasTrouble()) {
        site.entry(0).signal(SIGKILL);
        record.line("front-1 is killed");
        std::this_thread::sleep_for(RestartTime);
        if (!waitFor(RestartTime, [&site] { return site.entry(0).hasEnded(); })) {
            return CouldNotRun;
        }
        site.entry(0).start();
        std::this_thread::sleep_for(Millis(5000));
    }
    return runOne(site, record, idOf('b', 3), Watch) ? RuleHeld : RuleBroken;
}

} // namespace

} // namespace waxwingloft::review

int main(int argc, char **argv)
{
    return waxwingloft::review::runCase(argc, argv, &waxwingloft::review::play);
}
