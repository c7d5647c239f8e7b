// One ping of another writer, with a field missing, before an executor drains.
#include "site.h"

#include <algorithm>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t Executors = 3;
constexpr auto Work = Millis(300);
constexpr auto DrainTime = Millis(2500); ///< drain_ms
constexpr auto Calm = Millis(5000); ///< longer than contact_ms
constexpr auto Traffic = Millis(15'000);
constexpr auto Pause = Millis(250); ///< between two jobs
constexpr std::uint64_t OtherCount = 1000; ///< of the other writer's own calls

std::string pathOf(int number)
{
    auto digits = std::to_string(number);
    return "/queue/" + std::string(16 - digits.size(), '0') + digits;
}

int play(Record &record)
{
    SiteOptions options;
    options.settings = settingsWithOneRoute();
    for (std::size_t number = 0; number < Executors; ++number) {
        options.labels.push_back({"a", "r1-" + std::to_string(number)});
    }
    Site site(record, options);
    if (!site.waitUntilReady()) {
        return CouldNotRun;
    }
    auto &leaver = site.executor(0);
    if (hasTrouble()) {
        leaver.reportAs({{"zone", nullptr}, {"seq", OtherCount}});
    }
    std::this_thread::sleep_for(Calm);
    if (!leaver.drain()) {
        return CouldNotRun;
    }
    const auto acknowledgedAt = record.now();
    const Json step{{"count", 2}, {"cpu", 40'000}, {"mem_mb", 10'000}, {"gpu", 4}, {"estimate_ms", Work.count()}};
    const auto until = Clock::now() + Traffic;
    for (int job = 1; Clock::now() < until; ++job) {
        if (!site.submit(pathOf(job), {{"spec", std::to_string(Work.count())}, {"steps", Json::array({step})}})) {
            return CouldNotRun;
        }
        std::this_thread::sleep_for(Pause);
    }
    const auto starts = site.runs.starts();
    const auto late =
        std::count_if(starts.begin(), starts.end(), [&](const Start &start) { return start.executor == leaver.id() && start.at > acknowledgedAt + DrainTime; });
    record.line("starts at the draining executor later than " + std::to_string(DrainTime.count()) + " ms after the acknowledgement: " + std::to_string(late));
    return late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

} // namespace waxwingloft::review

int main(int argc, char **argv)
{
    return waxwingloft::review::runCase(argc, argv, &waxwingloft::review::play);
}
