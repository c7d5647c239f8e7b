#ifndef WAXWINGLOFT_TESTS_READINESS_TROUBLEPLAN_H
#define WAXWINGLOFT_TESTS_READINESS_TROUBLEPLAN_H

#include "troubledstore.h"
#include "waxwingloft/process/clock.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingloft::tests {

enum class TroubleKind {
    StoreBusy,
    StoreResets,
    StoreSilent,
    StoreSlow,
    StoreLosesSome,
    LeaderTerminated, ///< SIGTERM, and started again when it is gone
    LeaderKilled,
    EntryPaused, ///< SIGSTOP
    AgentPaused,
    ExecutorKilled, ///< comes back under another id
    ExecutorLost, ///< does not come back
    OrdersLost,
    OrderAnswersLost,
};

std::string_view nameOf(TroubleKind kind);

/** One trouble of a run. Times count from the start of the plan. */
struct Trouble {
    Millis at = Millis(0);
    TroubleKind kind = TroubleKind::StoreBusy;
    std::uint32_t target = 0; ///< number of the entry, agent or executor, from zero
    Millis duration = Millis(0); ///< for what is ended or killed: how long it is gone
};

/** One job of a run, of a single step. */
struct PlannedJob {
    Millis at = Millis(0);
    std::string id;
    std::uint32_t count = 1;
    bool isGang = false;
    bool isOnOneRack = false;
    std::int64_t accelerators = 1; ///< of each task
    Millis workTime = Millis(0); ///< of each task
};

/** What is drawn from a seed: the same on all machines. */
class TroublePlan
{
public:
    TroublePlan(std::uint64_t seed, std::uint32_t entries, std::uint32_t executors);

    /** Troubles begin and jobs arrive within these. */
    static constexpr auto TroubleTime = Millis(17'000);
    static constexpr auto ArrivalTime = Millis(44'000);

    std::vector<Trouble> troubles; ///< in order of time
    std::vector<PlannedJob> jobs; ///< in order of time

private:
    std::uint32_t draw(std::uint32_t bound);
    Millis drawTime(Millis lowest, Millis highest);
    void drawTroubles(std::uint32_t entries, std::uint32_t executors);
    void drawJobs();
    PlannedJob drawJob();

    std::mt19937_64 engine;
};

} // namespace waxwingloft::tests

#endif
