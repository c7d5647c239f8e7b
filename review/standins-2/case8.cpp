// An executor is lost for good while clients ask how many jobs wait.
#include "site.h"

#include <set>

namespace waxwingloft::review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t Executors = 11;
constexpr auto Work = Millis(400);
constexpr auto VisibleTime = Millis(5000); ///< visible_ms and 2 s
constexpr auto Traffic = Millis(4000);
constexpr auto Watch = Millis(24'000);
constexpr auto Pause = Millis(100);

struct Job {
    std::string path;
    std::string task;
    Millis acceptedAt;
};

int play(Record &record)
{
    SiteOptions options;
    options.settings = settingsWithOneRoute();
    for (std::size_t number = 0; number < Executors; ++number) {
        options.labels.push_back({"a", "r1-" + std::to_string(number / 3)});
    }
    Site site(record, options);
    if (!site.waitUntilReady()) {
        return CouldNotRun;
    }
    std::this_thread::sleep_for(Millis(5000));
    if (hasTrouble()) {
        site.executor(0).fallSilent();
    }
    const Json step{{"count", 1}, {"cpu", 15'000}, {"mem_mb", 39'000}, {"gpu", 1}, {"estimate_ms", Work.count()}};
    std::vector<Job> jobs;
    const auto until = Clock::now() + Traffic;
    for (int number = 1; Clock::now() < until; ++number) {
        auto digits = std::to_string(number);
        digits = std::string(16 - digits.size(), '0') + digits;
        if (!site.submit("/queue/" + digits, {{"spec", std::to_string(Work.count())}, {"steps", Json::array({step})}})) {
            return CouldNotRun;
        }
        jobs.push_back({"/queue/" + digits, digits + ".", record.now()});
        std::this_thread::sleep_for(Pause);
    }
    bool isBroken = false;
    const auto watchUntil = Clock::now() + Watch;
    while (Clock::now() < watchUntil) {
        for (std::size_t entry = 0; entry < site.entries(); ++entry) {
            const auto askedAt = record.now();
            const auto answer = site.ask(entry, "GET", "/queue/");
            if (answer.status != 200 || !answer.body.is_object()) {
                continue;
            }
            // Jobs that had not begun when the answer was there either.
            std::set<std::string> begun;
            for (const auto &start : site.runs.starts()) {
                begun.insert(start.task.substr(0, 17));
            }
            std::size_t unbegun = 0;
            for (const auto &job : jobs) {
                unbegun += job.acceptedAt + VisibleTime < askedAt && !begun.contains(job.task) ? 1 : 0;
            }
            const auto waiting = answer.body.value("waiting", std::size_t(0));
            if (waiting * 2 < unbegun) {
                isBroken = true;
                record.line("GET       /queue/ at front-" + std::to_string(entry + 1) + ": waiting " + std::to_string(waiting) + ", but "
                            + std::to_string(unbegun) + " jobs that were accepted over 5 s before have not begun");
            }
        }
        std::this_thread::sleep_for(Millis(250));
    }
    return isBroken ? RuleBroken : RuleHeld;
}

} // namespace

} // namespace waxwingloft::review

int main(int argc, char **argv)
{
    return waxwingloft::review::runCase(argc, argv, &waxwingloft::review::play);
}
