#include "waxwingloft/request/gangscheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>
#include <random>

namespace waxwingloft::tests {

namespace {

constexpr int StepsPerCase = 1000;
constexpr int WorkerCount = 6;
constexpr int WorkersPerRack = 3;
constexpr std::int64_t Accelerators = 8;

Shape shapeOf(std::uint32_t tasks, std::int64_t accelerators, Adjacency adjacency)
{
    return Shape{tasks, {0, 0, accelerators}, adjacency};
}

/** Reference implementation: tries every assignment of single-worker shapes to workers. */
bool embedsExhaustively(std::vector<std::int64_t> capacity, std::vector<std::int64_t> shapes)
{
    if (shapes.empty()) {
        return true;
    }
    const auto shape = shapes.back();
    shapes.pop_back();
    for (auto &left : capacity) {
        if (left < shape) {
            continue;
        }
        left -= shape;
        if (embedsExhaustively(capacity, shapes)) {
            return true;
        }
        left += shape;
    }
    return false;
}

/** Drives a scheduler over a small fleet by random steps and checks its invariants after each. */
class RandomFleet
{
public:
    explicit RandomFleet(std::uint64_t seed)
        : random(seed)
        , reservations(this->fleet, "", this->planner)
        , scheduler(this->fleet, this->reservations, this->learner, this->planner, "", GangSchedulerOptions{})
    {
        for (int worker = 0; worker < WorkerCount; ++worker) {
            this->fleet.putWorker(NodeId{"w" + std::to_string(worker)}, {"r", "d", "rack" + std::to_string(worker / WorkersPerRack)}, {0, 0, Accelerators});
        }
        this->changeSettings();
    }

    void step()
    {
        using Action = void (RandomFleet::*)();
        static constexpr std::array<Action, 10> Actions = {&RandomFleet::submit,
                                                           &RandomFleet::submit,
                                                           &RandomFleet::submit,
                                                           &RandomFleet::finishOne,
                                                           &RandomFleet::finishOne,
                                                           &RandomFleet::stopOne,
                                                           &RandomFleet::cancelOne,
                                                           &RandomFleet::loseWorker,
                                                           &RandomFleet::returnWorker,
                                                           &RandomFleet::changeSettings};
        this->now += Millis(1 + static_cast<std::int64_t>(this->random() % 60000));
        (this->*Actions.at(this->random() % Actions.size()))();
        for (const auto &decision : this->scheduler.decide(this->now)) {
            this->apply(decision);
        }
        this->check();
    }

private:
    void submit()
    {
        static const std::vector<Shape> shapes = {shapeOf(1, 1, Adjacency::Region),
                                                  shapeOf(1, 3, Adjacency::Worker),
                                                  shapeOf(1, 8, Adjacency::Worker),
                                                  shapeOf(2, 4, Adjacency::Rack),
                                                  shapeOf(3, 5, Adjacency::Region),
                                                  shapeOf(4, 2, Adjacency::Worker)};
        GangJob job;
        job.id.value = "job" + std::to_string(this->nextJob++);
        job.workspace.value = this->random() % 2 == 0 ? "a" : "b";
        job.kind.value = "k";
        job.urgency = static_cast<Urgency>(this->random() % 3);
        job.idempotent = this->random() % 2 == 0;
        job.checkpointable = this->random() % 2 == 0;
        job.shape = shapes[this->random() % shapes.size()];
        job.declaredRunTime = Millis(600000);
        job.submittedAt = this->now;
        if (succeeded(this->scheduler.submit(job))) {
            this->jobs[job.id] = job;
        }
    }

    void finishOne()
    {
        const auto job = this->pick(this->running);
        if (job) {
            this->scheduler.ended(*job, this->now);
            this->forget(*job);
            this->jobs.erase(*job);
        }
    }

    void stopOne()
    {
        const auto job = this->pick(this->stopping);
        if (job) {
            this->scheduler.stopped(*job, this->now);
            this->forget(*job);
        }
    }

    void cancelOne()
    {
        std::set<JobId> waiting;
        for (const auto &[id, job] : this->jobs) {
            if (!this->scheduler.isRunning(id)) {
                waiting.insert(id);
            }
        }
        const auto job = this->pick(waiting);
        if (job) {
            this->scheduler.withdraw(*job);
            this->jobs.erase(*job);
        }
    }

    void loseWorker()
    {
        const auto worker = static_cast<WorkerIndex>(this->random() % WorkerCount);
        this->fleet.setCondition(worker, WorkerCondition::Lost);
        const auto lost = this->fleet.jobsOn(worker);
        for (const auto &job : lost) {
            this->scheduler.stopped(job, this->now);
            this->forget(job);
        }
        this->reservations.repair();
    }

    void returnWorker()
    {
        for (WorkerIndex worker = 0; worker < WorkerCount; ++worker) {
            if (this->fleet.conditionOf(worker) == WorkerCondition::Lost && this->random() % 2 == 0) {
                this->fleet.setCondition(worker, WorkerCondition::Up);
            }
        }
        this->reservations.repair();
    }

    void changeSettings()
    {
        Settings settings;
        for (const auto *name : {"a", "b"}) {
            Workspace workspace;
            workspace.id.value = name;
            const auto count = this->random() % 3;
            for (std::size_t index = 0; index < count; ++index) {
                workspace.guarantees.push_back({1, shapeOf(1, 1 + static_cast<std::int64_t>(this->random() % Accelerators), Adjacency::Worker), ""});
            }
            settings.workspaces.emplace(workspace.id, workspace);
        }
        FleetState empty;
        for (WorkerIndex worker = 0; worker < WorkerCount; ++worker) {
            empty.putWorker(this->fleet.nodeOf(worker), this->fleet.locationOf(worker), {0, 0, Accelerators});
        }
        if (succeeded(checkGuaranteesEmbed(settings, empty))) {
            this->scheduler.setSettings(settings);
        }
    }

    std::optional<JobId> pick(const std::set<JobId> &from)
    {
        if (from.empty()) {
            return std::nullopt;
        }
        return *std::next(from.begin(), static_cast<std::ptrdiff_t>(this->random() % from.size()));
    }

    void forget(const JobId &job)
    {
        this->running.erase(job);
        this->stopping.erase(job);
    }

    void apply(const GangDecision &decision)
    {
        if (const auto *const start = std::get_if<StartGangDecision>(&decision)) {
            this->checkPlacement(*start);
            this->running.insert(start->job);
        } else if (const auto *const stop = std::get_if<StopGangDecision>(&decision)) {
            const auto *const holding = this->fleet.holdingOf(stop->job);
            RC_ASSERT(holding != nullptr && holding->preemptionClass == PreemptionClass::Preemptible);
            RC_ASSERT(this->jobs.at(stop->job).isReclaimable());
            this->stopping.insert(stop->job);
        } else {
            this->jobs.erase(std::get<EndGangDecision>(decision).job);
        }
    }

    /** Checks that a gang has all its tasks, on workers that are up, within its adjacency. */
    void checkPlacement(const StartGangDecision &start)
    {
        const auto &shape = this->jobs.at(start.job).shape;
        std::uint32_t tasks = 0;
        std::set<std::uint32_t> racks;
        for (const auto &part : start.placement) {
            RC_ASSERT(this->fleet.conditionOf(part.worker) == WorkerCondition::Up);
            tasks += part.tasks;
            racks.insert(this->fleet.rackOf(part.worker));
        }
        RC_ASSERT(tasks == shape.tasks);
        RC_ASSERT(shape.adjacency != Adjacency::Worker || start.placement.size() == 1);
        RC_ASSERT(shape.adjacency != Adjacency::Rack || racks.size() == 1);
    }

    void check()
    {
        const auto violation = this->fleet.findViolation();
        if (violation) {
            RC_FAIL(*violation);
        }
        std::vector<std::int64_t> shapes;
        std::vector<std::int64_t> capacity;
        for (WorkerIndex worker = 0; worker < WorkerCount; ++worker) {
            capacity.push_back(this->fleet.conditionOf(worker) == WorkerCondition::Up ? Accelerators : 0);
        }
        for (const auto &[job, holding] : this->fleet.holdings()) {
            for (const auto &part : holding.placement) {
                if (holding.preemptionClass == PreemptionClass::NonPreemptible && capacity[part.worker] > 0) {
                    capacity[part.worker] -= holding.perTask.accelerators * part.tasks;
                }
            }
        }
        bool allPlaced = true;
        for (const auto &reservation : this->reservations.all()) {
            if (reservation.isClaimed() && reservation.placement) {
                capacity[reservation.placement->front().worker] -= reservation.shape.perTask.accelerators;
            } else {
                shapes.push_back(reservation.shape.perTask.accelerators);
                allPlaced = allPlaced && reservation.placement.has_value();
            }
        }
        RC_ASSERT(allPlaced == embedsExhaustively(capacity, shapes));
    }

    std::mt19937_64 random;
    FleetState fleet;
    BestFitPlanner planner;
    RuntimeLearner learner;
    ReservationTable reservations;
    GangScheduler scheduler;
    Instant now = Instant(Millis(1000));
    int nextJob = 0;
    std::map<JobId, GangJob> jobs;
    std::set<JobId> running;
    std::set<JobId> stopping;
};

} // namespace

/** Compares at least 100,000 random steps with exhaustive embedding; RapidCheck prints the seed of a failure. */
TEST(GangSchedulerTest, keepsEveryGuaranteeEmbeddableOverRandomSteps)
{
    int cases = 0;
    const bool holds = rc::check("guarantees embed", [&cases](std::uint64_t seed) {
        RandomFleet fleet(seed);
        for (int step = 0; step < StepsPerCase; ++step) {
            fleet.step();
        }
        ++cases;
    });
    EXPECT_TRUE(holds);
    EXPECT_GE(cases, 100);
}

TEST(GangSchedulerTest, refusesAShapeThatNeverFitsAndSaysWhatWould)
{
    FleetState fleet;
    fleet.putWorker(NodeId{"w"}, {"r", "d", "k"}, {128, 256, 8});
    const BestFitPlanner planner;
    RuntimeLearner learner;
    ReservationTable reservations(fleet, "", planner);
    GangScheduler scheduler(fleet, reservations, learner, planner, "", GangSchedulerOptions{});
    GangJob job;
    job.id.value = "j";
    job.shape = shapeOf(3, 4, Adjacency::Worker);
    const auto refused = scheduler.submit(job);
    ASSERT_FALSE(succeeded(refused));
    EXPECT_EQ(errorOf(refused).kind, ErrorKind::InvalidInput);
    EXPECT_NE(errorOf(refused).remedy.find("at most 2"), std::string::npos);
    for (const auto &bad : {shapeOf(0, 1, Adjacency::Worker),
                            shapeOf(513, 1, Adjacency::Worker),
                            shapeOf(1, -1, Adjacency::Worker),
                            shapeOf(1, INT64_MAX, Adjacency::Worker),
                            shapeOf(1, 0, Adjacency::Worker)}) {
        job.shape = bad;
        EXPECT_FALSE(succeeded(scheduler.submit(job)));
    }
}

} // namespace waxwingloft::tests
