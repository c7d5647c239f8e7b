// An urgent job takes its guaranteed room back from a large job whose work units save checkpoints.
#include "site.h"

#include <algorithm>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t Executors = 11;
constexpr std::size_t CheckpointBytes = 64; ///< such as a hash in hexadecimal digits
constexpr std::uint32_t Tasks = 1300;
constexpr auto Work = Millis(60'000);
constexpr auto UrgentWork = Millis(2500);
constexpr auto SmallWork = Millis(500);
constexpr auto Calm = Millis(8000); ///< longer than contact_ms and the four seconds of the rule
constexpr auto LongestWait = Millis(12'000); ///< the rule gives 3 s
constexpr auto LargeJob = "/queue/00000000000000b1";
constexpr auto SmallJob = "/queue/00000000000000b2";
constexpr auto SmallTask = "00000000000000b2.";
constexpr auto UrgentJob = "/urgent/00000000000000b3";
constexpr auto UrgentTask = "00000000000000b3.";

/** Two queues: a patient one, and one of priority 0 whose tenant has a guarantee of all accelerators. */
Json settings()
{
    auto settings = settingsWithOneRoute();
    auto urgent = settings["routes"][0];
    urgent["name"] = "urgent";
    urgent["path_prefix"] = "/urgent/";
    urgent["priority"] = 0;
    settings["routes"][0]["priority"] = 2;
    settings["routes"].push_back(urgent);
    settings["tenants"].push_back({{"name", "tenant-2"}, {"api_keys", Json::array({"key-2"})}, {"guaranteed", {{"gpu", 88}}}});
    return settings;
}

bool hasBegun(Site &site, const std::string &prefix)
{
    const auto starts = site.runs.starts();
    return std::any_of(starts.begin(), starts.end(), [&prefix](const Start &start) { return start.task.starts_with(prefix); });
}

std::size_t countRunning(Site &site)
{
    std::size_t count = 0;
    for (std::size_t number = 0; number < site.executors(); ++number) {
        count += site.executor(number).countRunning();
    }
    return count;
}

int play(Record &record)
{
    SiteOptions options;
    options.settings = settings();
    options.checkpointBytes = CheckpointBytes;
    for (std::size_t number = 0; number < Executors; ++number) {
        options.labels.push_back({"a", "r1-" + std::to_string(number / 3)});
    }
    Site site(record, options);
    const Json many{{"count", Tasks}, {"cpu", 1000}, {"mem_mb", 1000}, {"estimate_ms", Work.count()}, {"checkpointing", true}};
    if (!site.waitUntilReady() || !site.submit(LargeJob, {{"spec", std::to_string(Work.count())}, {"steps", Json::array({many})}})) {
        return CouldNotRun;
    }
    if (!waitFor(Millis(20'000), [&] { return countRunning(site) == Tasks; })) {
        record.line("only " + std::to_string(countRunning(site)) + " work units began");
        return CouldNotRun;
    }
    std::this_thread::sleep_for(Millis(2500));
    if (hasTrouble()) {
        const Json wide{{"count", Executors}, {"cpu", 100'000}, {"mem_mb", 150'000}, {"gpu", 8}, {"estimate_ms", UrgentWork.count()}};
        if (!site.submit(UrgentJob, {{"spec", std::to_string(UrgentWork.count())}, {"steps", Json::array({wide})}}, "key-2")) {
            return CouldNotRun;
        }
    }
    std::this_thread::sleep_for(Calm);
    record.line("work units at work: " + std::to_string(countRunning(site)));
    const Json one{{"count", 1}, {"cpu", 100}, {"mem_mb", 100}, {"estimate_ms", SmallWork.count()}};
    if (!site.submit(SmallJob, {{"spec", std::to_string(SmallWork.count())}, {"steps", Json::array({one})}})) {
        return CouldNotRun;
    }
    const bool isBegun = waitFor(LongestWait, [&site] { return hasBegun(site, SmallTask); });
    record.line(std::string("the small job has ") + (isBegun ? "begun" : "not begun in 12 s") + "; GET shows \"" + site.stateOf(SmallJob) + "\"");
    if (hasTrouble()) {
        record.line(std::string("the urgent job has ") + (hasBegun(site, UrgentTask) ? "begun" : "not begun") + "; GET shows \"" + site.stateOf(UrgentJob)
                    + "\"");
    }
    record.line("work units at work: " + std::to_string(countRunning(site)));
    return isBegun ? RuleHeld : RuleBroken;
}

} // namespace

} // namespace waxwingloft::review

int main(int argc, char **argv)
{
    return waxwingloft::review::runCase(argc, argv, &waxwingloft::review::play);
}
