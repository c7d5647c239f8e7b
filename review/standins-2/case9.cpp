// Executors crash under a work unit, one at a time, each while it is well at work.
#include "site.h"

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t Executors = 11;
constexpr int Crashes = 5;
constexpr auto Work = Millis(11'000);
constexpr auto AtWork = Millis(1500); ///< from a start to the crash
constexpr auto DownTime = Millis(2000);
constexpr auto StartTime = Millis(10'000);
constexpr auto EndTime = Millis(40'000);
constexpr auto Job = "/queue/00000000000000a1";
constexpr auto TaskPrefix = "00000000000000a1.";

/** The number of the executor at which the job runs; the count of executors while it runs nowhere. */
std::size_t runningAt(Site &site)
{
    std::size_t number = 0;
    while (number < site.executors() && !site.executor(number).isRunning(TaskPrefix)) {
        ++number;
    }
    return number;
}

int play(Record &record)
{
    SiteOptions options;
    options.settings = settingsWithOneRoute();
    for (std::size_t number = 0; number < Executors; ++number) {
        options.labels.push_back({"a", "r1-" + std::to_string(number / 3)});
    }
    Site site(record, options);
    const Json step{{"count", 1}, {"cpu", 52'000}, {"mem_mb", 140'000}, {"gpu", 1}, {"estimate_ms", Work.count()}};
    if (!site.waitUntilReady() || !site.submit(Job, {{"spec", std::to_string(Work.count())}, {"steps", Json::array({step})}})) {
        return CouldNotRun;
    }
    const auto isFailed = [&site] { return site.stateOf(Job) == "failed"; };
    for (int crash = 0; hasTrouble() && crash < Crashes; ++crash) {
        if (!waitFor(StartTime, [&] { return runningAt(site) < site.executors() || isFailed(); }) || isFailed()) {
            break;
        }
        std::this_thread::sleep_for(AtWork);
        const auto number = runningAt(site);
        if (number == site.executors()) {
            continue;
        }
        site.executor(number).crash();
        std::this_thread::sleep_for(DownTime);
        site.beginExecutor(number);
    }
    std::string state;
    waitFor(EndTime, [&] {
        state = site.stateOf(Job);
        return state == "completed" || state == "failed" || state == "cancelled";
    });
    record.line("GET       " + std::string(Job) + ": the job is shown as \"" + state + "\"");
    record.line("ends \"failed\" of its work unit: " + std::to_string(site.runs.countEnds(TaskPrefix, "failed")) + " of 4 attempts");
    const bool hasCause = site.runs.countEnds(TaskPrefix, "failed") >= 4;
    return (state == "failed" && !hasCause) || state == "cancelled" ? RuleBroken : state == "completed" ? RuleHeld : CouldNotRun;
}

} // namespace

} // namespace waxwingloft::review

int main(int argc, char **argv)
{
    return waxwingloft::review::runCase(argc, argv, &waxwingloft::review::play);
}
