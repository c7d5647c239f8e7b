#include "troubleplan.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace waxwingloft::tests {

namespace {

constexpr std::array<std::string_view, 13> KindNames = {"store busy",
                                                        "store resets",
                                                        "store silent",
                                                        "store slow",
                                                        "store loses some calls",
                                                        "leader terminated",
                                                        "leader killed",
                                                        "entry paused",
                                                        "agent paused",
                                                        "executor killed",
                                                        "executor lost",
                                                        "orders lost",
                                                        "answers to orders lost"};
constexpr auto FirstTrouble = Millis(2000); ///< so that jobs run when it begins
constexpr auto LongestTrouble = Millis(5000);
constexpr auto LongestPause = Millis(3000);
constexpr std::uint32_t MostLost = 2; ///< so that most of the fleet stays
constexpr std::uint32_t FewestTroubles = 5;
constexpr std::uint32_t MoreTroubles = 8;
constexpr auto OutageAfterHandOver = Millis(13'000); ///< as in case 1 of the incident
constexpr auto LongOutage = Millis(4000);
constexpr std::uint32_t AcceleratorsOfRack = 24; ///< so that some gangs fit only into an empty rack
constexpr auto LongWork = Millis(12'000); ///< so that such tasks may lie in each rack
constexpr auto LongestGap = Millis(700); ///< between two jobs; keeps less than half of the fleet in use most of the time

bool isPause(TroubleKind kind)
{
    return kind == TroubleKind::EntryPaused || kind == TroubleKind::AgentPaused;
}

bool isAtEntry(TroubleKind kind)
{
    return kind == TroubleKind::EntryPaused || kind == TroubleKind::LeaderTerminated || kind == TroubleKind::LeaderKilled;
}

} // namespace

std::string_view nameOf(TroubleKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

TroublePlan::TroublePlan(std::uint64_t seed, std::uint32_t entries, std::uint32_t executors)
    : engine(seed)
{
    this->drawTroubles(entries, executors);
    this->drawJobs();
}

std::uint32_t TroublePlan::draw(std::uint32_t bound)
{
    return static_cast<std::uint32_t>(this->engine() % bound);
}

Millis TroublePlan::drawTime(Millis lowest, Millis highest)
{
    return lowest + Millis(this->draw(static_cast<std::uint32_t>((highest - lowest).count()) + 1));
}

void TroublePlan::drawTroubles(std::uint32_t entries, std::uint32_t executors)
{
    if (this->draw(3) == 0) {
        const auto at = this->drawTime(FirstTrouble, TroubleTime - OutageAfterHandOver);
        this->troubles.push_back({at, TroubleKind::LeaderTerminated, 0, Millis(1000)});
        this->troubles.push_back({at + OutageAfterHandOver, TroubleKind::StoreBusy, 0, LongOutage});
    }
    const auto count = FewestTroubles + this->draw(MoreTroubles);
    std::uint32_t lost = 0;
    for (std::uint32_t number = 0; number < count; ++number) {
        Trouble trouble;
        trouble.at = this->drawTime(FirstTrouble, TroubleTime);
        trouble.kind = static_cast<TroubleKind>(this->draw(KindNames.size()));
        trouble.target = this->draw(isAtEntry(trouble.kind) ? entries : executors);
        trouble.duration = this->drawTime(Millis(300), isPause(trouble.kind) ? LongestPause : LongestTrouble);
        if (trouble.kind == TroubleKind::ExecutorLost && ++lost > MostLost) {
            trouble.kind = TroubleKind::ExecutorKilled;
        }
        this->troubles.push_back(trouble);
    }
    std::stable_sort(this->troubles.begin(), this->troubles.end(), [](const Trouble &left, const Trouble &right) { return left.at < right.at; });
}

void TroublePlan::drawJobs()
{
    for (auto at = Millis(0); at < ArrivalTime; at += this->drawTime(Millis(50), LongestGap)) {
        auto job = this->drawJob();
        job.at = at;
        std::array<char, 17> id{};
        std::snprintf(id.data(), id.size(), "%016zx", this->jobs.size() + 1);
        job.id = id.data();
        this->jobs.push_back(job);
    }
}

PlannedJob TroublePlan::drawJob()
{
    PlannedJob job;
    const auto kind = this->draw(10);
    if (kind < 5) {
        job.accelerators = 1 + this->draw(2);
        const bool isLong = this->draw(3) == 0;
        job.workTime = isLong ? LongWork : this->drawTime(Millis(300), Millis(3000));
    } else if (kind < 7) {
        job.count = 2 + this->draw(11);
        job.workTime = this->drawTime(Millis(300), Millis(2500));
    } else {
        job.count = 2 + this->draw(kind == 9 ? AcceleratorsOfRack - 1 : 5);
        job.isGang = true;
        job.isOnOneRack = this->draw(2) == 0;
        job.workTime = this->drawTime(Millis(500), Millis(2500));
    }
    return job;
}

} // namespace waxwingloft::tests
