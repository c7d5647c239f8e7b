// The owner of a guarantee asks for it while work units that last fill the fleet.
#include "site.h"

#include <algorithm>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t Executors = 11;
constexpr int Accelerators = 8; ///< of an executor
constexpr auto Work = Millis(2500);
constexpr auto Calm = Millis(5000);
constexpr auto ReclaimTime = Millis(3400); ///< reclaim_ms
constexpr auto Watch = Millis(20'000);
constexpr auto LastingJob = "/queue/00000000000000d1";
constexpr auto UrgentJob = "/urgent/00000000000000d2";
constexpr auto UrgentTask = "00000000000000d2.";

/** Two queues: a patient one, and one of priority 0 whose tenant has a guarantee of one executor's accelerators. */
Json settings()
{
    auto settings = settingsWithOneRoute();
    auto urgent = settings["routes"][0];
    urgent["name"] = "urgent";
    urgent["path_prefix"] = "/urgent/";
    urgent["priority"] = 0;
    settings["routes"][0]["priority"] = 2;
    settings["routes"].push_back(urgent);
    settings["tenants"].push_back({{"name", "tenant-2"}, {"api_keys", Json::array({"key-2"})}, {"guaranteed", {{"gpu", Accelerators}}}});
    return settings;
}

int play(Record &record)
{
    SiteOptions options;
    options.settings = settings();
    for (std::size_t number = 0; number < Executors; ++number) {
        options.labels.push_back({"a", "r1-" + std::to_string(number / 3)});
    }
    Site site(record, options);
    if (!site.waitUntilReady()) {
        return CouldNotRun;
    }
    constexpr std::size_t Lasting = Executors * Accelerators;
    if (hasTrouble()) {
        const Json step{{"count", Lasting}, {"cpu", 4000}, {"mem_mb", 8000}, {"gpu", 1}, {"perpetual", true}};
        if (!site.submit(LastingJob, {{"spec", "lasts"}, {"steps", Json::array({step})}})) {
            return CouldNotRun;
        }
        if (!waitFor(Millis(20'000), [&site] { return site.runs.starts().size() >= Lasting; })) {
            return CouldNotRun;
        }
    }
    std::this_thread::sleep_for(Calm);
    const Json step{{"count", 1}, {"cpu", 15'000}, {"mem_mb", 39'000}, {"gpu", Accelerators}, {"estimate_ms", Work.count()}};
    if (!site.submit(UrgentJob, {{"spec", std::to_string(Work.count())}, {"steps", Json::array({step})}}, "key-2")) {
        return CouldNotRun;
    }
    const auto acceptedAt = record.now();
    const auto begunAt = [&site]() -> std::optional<Millis> {
        const auto starts = site.runs.starts();
        const auto found = std::find_if(starts.begin(), starts.end(), [](const Start &start) { return start.task.starts_with(UrgentTask); });
        return found == starts.end() ? std::nullopt : std::optional(found->at);
    };
    waitFor(Watch, [&begunAt] { return begunAt().has_value(); });
    const auto begun = begunAt();
    record.line("GET       " + std::string(UrgentJob) + ": \"" + site.stateOf(UrgentJob) + "\"; the job "
                + (begun ? "began " + std::to_string((*begun - acceptedAt).count()) + " ms after its acknowledgement"
                         : "has not begun in " + std::to_string(Watch.count()) + " ms"));
    return !begun || *begun > acceptedAt + ReclaimTime ? RuleBroken : RuleHeld;
}

} // namespace

} // namespace waxwingloft::review

int main(int argc, char **argv)
{
    return waxwingloft::review::runCase(argc, argv, &waxwingloft::review::play);
}
