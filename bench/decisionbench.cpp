#include "waxwingloft/process/servertable.h"
#include "waxwingloft/request/admission.h"
#include "waxwingloft/request/gangscheduler.h"
#include "waxwingloft/request/stepplanner.h"
#include "waxwingloft/version/settingspublisher.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <random>

namespace waxwingloft::bench {

namespace {

constexpr int WorkersDesign = 7500;
constexpr int TasksDesign = 140000;
constexpr int LargeWorkers = 285; ///< of 8 accelerators; the rest carry one, 9,495 in all

/** Settings with 73 teams and a table with 100 servers, read by all threads. */
struct CallWorld {
    CallWorld()
        : events(this->clock, "bench", 10)
        , settings(this->events)
        , servers(Location{"r", "d", "k"})
        , admission(this->rates)
    {
        SettingsDelta delta{0, 1, {}};
        for (int team = 0; team < 73; ++team) {
            const auto name = std::to_string(team);
            const auto value =
                nlohmann::json{{"kinds", {{"check", {{"form", "call"}, {"urgency", "urgent"}}}}},
                               {"workspaces", {{"ws" + name, {{"tokens", {"token-of-" + name}}, {"requests_per_second_per_caller", 1000000.0}}}}}};
            delta.teams.push_back({TeamId{"t" + name}, 1, value, "bench"});
        }
        this->settings.offer(delta);
        for (int server = 0; server < 100; ++server) {
            const auto name = "s" + std::to_string(server);
            this->servers.update(Member{NodeId{name}, 1, MemberRole::BackendServer, MemberState::Up, {"r", "d", "k"}, name, {KindId{"check"}}, 8, {}});
        }
    }

    SystemClock clock;
    EventLog events;
    SettingsPublisher settings;
    ServerTable servers;
    CallerRates rates;
    Admission admission;
};

CallWorld &callWorld()
{
    static CallWorld world;
    return world;
}

/** Admission, choice of a server, and giving its slot back, as one request's decisions. */
void routeAndAdmit(benchmark::State &state)
{
    auto &world = callWorld();
    std::mt19937_64 random(static_cast<std::uint64_t>(state.thread_index()) + 1);
    const CallRequest question{"token-of-" + std::to_string(state.thread_index()),
                               CallerId{"caller" + std::to_string(state.thread_index())},
                               RequestId{"r"},
                               KindId{"check"},
                               Millis(0),
                               {}};
    const auto now = world.clock.now();
    for (auto _ : state) {
        bool isAdmitted = false;
        {
            const ReadSection section;
            isAdmitted = succeeded(world.admission.admit(world.settings.read(section), question, now));
        }
        benchmark::DoNotOptimize(isAdmitted);
        const auto server = world.servers.tryTake(question.kind, now, random());
        if (server != nullptr) {
            server->giveSlotBack();
        }
    }
    state.SetItemsProcessed(state.iterations());
}

Resources capacityOf(int worker)
{
    return {128, 512, worker < LargeWorkers ? 8 : 1};
}

/** A placer's state at design size: 7,500 workers and 140,000 tasks in gangs of 40. */
struct GangWorld {
    GangWorld()
        : reservations(this->fleet, "", this->planner)
        , scheduler(this->fleet, this->reservations, this->learner, this->planner, "", GangSchedulerOptions{})
    {
        for (int worker = 0; worker < WorkersDesign; ++worker) {
            const auto place = Location{"r" + std::to_string(worker / 3750), "d" + std::to_string(worker / 1500), "k" + std::to_string(worker / 3)};
            this->fleet.putWorker(NodeId{"w" + std::to_string(worker)}, place, capacityOf(worker));
        }
        constexpr int GangTasks = 40;
        WorkerIndex next = 0;
        for (int gang = 0; gang < TasksDesign / GangTasks; ++gang) {
            Placement placement;
            for (int task = 0; task < GangTasks; ++task) {
                placement.push_back({next, 1});
                next = (next + 1) % WorkersDesign;
            }
            const GangJob job{JobId{"j" + std::to_string(gang)},
                              WorkspaceId{"ws"},
                              KindId{"k"},
                              Urgency::Normal,
                              1.0,
                              true,
                              true,
                              Shape{GangTasks, {4, 8, 0}, Adjacency::Region},
                              Millis(3600000),
                              {},
                              {}};
            this->scheduler.adopt(job, placement, PreemptionClass::Preemptible, Instant());
        }
    }

    FleetState fleet;
    BestFitPlanner planner;
    RuntimeLearner learner;
    ReservationTable reservations;
    GangScheduler scheduler;
};

void place(benchmark::State &state, const Shape &shape)
{
    static GangWorld world;
    for (auto _ : state) {
        auto placement = world.planner.plan(world.fleet, shape, PlanScope{});
        if (!placement) {
            state.SkipWithError("no placement");
        }
        benchmark::DoNotOptimize(placement);
    }
}

void placeOneJob(benchmark::State &state)
{
    place(state, Shape{1, {4, 8, 1}, Adjacency::Worker});
}

void placeGangOf512(benchmark::State &state)
{
    place(state, Shape{512, {4, 8, 1}, Adjacency::Region});
}

void rebuildPlacer(benchmark::State &state)
{
    for (auto _ : state) {
        const GangWorld world;
        benchmark::DoNotOptimize(world.fleet.workerCount());
    }
}

/** A full fleet of the users' executors with a queue that is as long as a third of what runs. */
struct StepWorld {
    explicit StepWorld(int workerCount)
    {
        const Capacity whole{128'000, 524'288, 8};
        std::mt19937_64 random(1);
        for (int index = 0; index < workerCount; ++index) {
            const auto rack = "r1-" + std::to_string(index / 5);
            auto free = whole;
            for (int task = 0; task < 4; ++task) {
                this->addRun(index, {11'000, 46'000, 1}, static_cast<double>(random() % 100), 2);
                free -= this->running.back().needs;
            }
            this->addRun(index, {52'000, 150'000, 4}, static_cast<double>(random() % 1000), 1);
            free -= this->running.back().needs;
            this->workers.push_back({NodeId{"w" + std::to_string(index)}, "tune", rack, {"a", rack}, whole, free, true, false});
        }
        for (int index = 0; index < workerCount / 2; ++index) {
            WaitingTasks tasks;
            const bool isUrgent = index % 2 == 0;
            tasks.count = 1 + static_cast<std::uint32_t>(random() % 10);
            tasks.needs = isUrgent ? Capacity{15'000, 79'000, std::int64_t{1} << (random() % 4)} : Capacity{11'000, 46'000, 1};
            tasks.service = "tune";
            tasks.isGang = isUrgent;
            tasks.prefersOneRack = isUrgent;
            tasks.priority = isUrgent ? 0 : 2;
            tasks.rank = isUrgent ? 10.0 : 1.0;
            tasks.mayPreempt = isUrgent;
            tasks.worth = {4.0, 1.2, 1.5, 6.0, 0.5};
            tasks.longestWait = 4.0;
            this->waiting.push_back(std::move(tasks));
        }
        std::stable_sort(
            this->waiting.begin(), this->waiting.end(), [](const WaitingTasks &left, const WaitingTasks &right) { return left.rank > right.rank; });
    }

    void addRun(int worker, Capacity needs, double lostWork, int priority)
    {
        RunningTasks entry;
        entry.parts = {{static_cast<std::size_t>(worker), 1}};
        entry.needs = needs;
        entry.lostWork = lostWork;
        entry.stopCost = lostWork / 1000.0;
        entry.job = this->running.size();
        entry.priority = priority;
        entry.rank = priority == 1 ? 2.0 : 1.0;
        this->running.push_back(std::move(entry));
    }

    std::vector<PlannerWorker> workers;
    std::vector<WaitingTasks> waiting;
    std::vector<RunningTasks> running;
};

void planFullFleet(benchmark::State &state)
{
    const StepWorld world(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        auto plan = planSteps(world.workers, world.waiting, world.running);
        benchmark::DoNotOptimize(plan);
    }
}

} // namespace

BENCHMARK(planFullFleet)->Arg(11)->Arg(64)->Arg(300)->Arg(7500)->Unit(benchmark::kMicrosecond);
BENCHMARK(routeAndAdmit)->ThreadRange(1, 8)->UseRealTime();
BENCHMARK(placeOneJob)->Unit(benchmark::kMicrosecond);
BENCHMARK(placeGangOf512)->Unit(benchmark::kMicrosecond);
BENCHMARK(rebuildPlacer)->Unit(benchmark::kMillisecond);

} // namespace waxwingloft::bench

BENCHMARK_MAIN();
