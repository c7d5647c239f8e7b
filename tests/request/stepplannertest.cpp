#include "waxwingloft/request/stepplanner.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <limits>

namespace waxwingloft::tests {

namespace {

const Capacity Whole{128'000, 262'144, 8};
const Capacity One{16'000, 32'768, 1};
constexpr double Unbounded = 1e9;
constexpr double WorthPerCoreSecond = 0.001;

PlannerWorker worker(const std::string &name, const std::string &rack, std::int64_t freeAccelerators = 8)
{
    const Capacity free{freeAccelerators * 16'000, freeAccelerators * 32'768, freeAccelerators};
    return {NodeId{name}, "tune", rack, {"a", rack}, Whole, free, true, false};
}

WaitingTasks tasks(std::uint32_t count, Capacity needs, bool isGang = false)
{
    WaitingTasks waiting;
    waiting.count = count;
    waiting.needs = needs;
    waiting.service = "tune";
    waiting.isGang = isGang;
    return waiting;
}

RunningTasks runs(std::size_t where, std::uint32_t count, Capacity needs, double lostWork, int priority)
{
    RunningTasks running;
    running.parts = {{where, count}};
    running.needs = needs;
    running.lostWork = lostWork;
    running.stopCost = lostWork * WorthPerCoreSecond;
    running.priority = priority;
    return running;
}

/** Returns a gang that is worth stopping work of others for, up to @p maxLostWork core seconds, if it starts within a second. */
WaitingTasks urgent(Capacity needs, double maxLostWork)
{
    constexpr double MinGainRatio = 1.5;
    auto waiting = tasks(1, needs, true);
    waiting.mayPreempt = true;
    waiting.worth = {MinGainRatio * maxLostWork * WorthPerCoreSecond, 0.0, 1.0, 1.0, 0.0};
    waiting.rank = 10.0;
    return waiting;
}

} // namespace

TEST(PlanSteps, PacksSmallTasksOntoTheFullestWorker)
{
    const auto plan = planSteps({worker("w0", "r1"), worker("w1", "r1", 2)}, {tasks(2, One)}, {});
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts[0].workers, (std::vector<std::size_t>{1, 1}));
}

TEST(PlanSteps, StartsAGangWholeOrNotAtAll)
{
    EXPECT_TRUE(planSteps({worker("w0", "r1"), worker("w1", "r1", 4)}, {tasks(2, Whole, true)}, {}).starts.empty());
    EXPECT_EQ(planSteps({worker("w0", "r1"), worker("w1", "r1")}, {tasks(2, Whole, true)}, {}).starts.size(), 1U);
}

TEST(PlanSteps, AGangThatPrefersOneRackWaitsForARackThatCouldHoldIt)
{
    auto gang = tasks(2, Whole, true);
    gang.prefersOneRack = true;
    const std::vector<PlannerWorker> workers = {worker("w0", "r1"), worker("w1", "r1", 4), worker("w2", "r2"), worker("w3", "r2", 4)};
    EXPECT_TRUE(planSteps(workers, {gang}, {}).starts.empty());
    EXPECT_EQ(planSteps({worker("w0", "r1"), worker("w1", "r2")}, {gang}, {}).starts.size(), 1U) << "no rack could ever hold it";
}

TEST(PlanSteps, AWorkerOverItsCapacityInOneResourceGetsNoTaskThatNeedsNoneOfIt)
{
    auto shrunken = worker("w0", "r1");
    shrunken.free.accelerators = -2;
    const auto plan = planSteps({shrunken}, {tasks(1, {1000, 1000, 0})}, {});
    EXPECT_TRUE(plan.starts.empty());
}

TEST(PlanSteps, AWorkerOverItsCapacityIsReclaimedUntilTheTaskFits)
{
    auto shrunken = worker("w0", "r1", 4);
    shrunken.capacity.accelerators = 4;
    shrunken.free.accelerators = -2;
    const std::vector<RunningTasks> running = {runs(0, 2, One, 1.0, 2), runs(0, 4, One, 2.0, 2)};
    EXPECT_TRUE(planSteps({shrunken}, {urgent({1000, 1000, 0}, 0.0)}, running).starts.empty());
    EXPECT_EQ(planSteps({shrunken}, {urgent({1000, 1000, 0}, Unbounded)}, running).stops, (std::vector<std::size_t>{0}));
    EXPECT_EQ(planSteps({shrunken}, {urgent({64'000, 131'072, 4}, Unbounded)}, running).stops, (std::vector<std::size_t>{0, 1}));
}

TEST(PlanSteps, AWorkerOverItsCapacityDoesNotMakeTheOthersCountAsBusy)
{
    const Capacity half{64'000, 131'072, 4};
    auto shrunken = worker("w0", "r1", -4);
    shrunken.capacity = half;
    const auto plan = planSteps({shrunken, worker("w1", "r1")}, {tasks(3, half, true), tasks(1, One)}, {});
    ASSERT_EQ(plan.starts.size(), 1U) << "nothing is reserved for a gang on workers that are mostly free";
    EXPECT_EQ(plan.starts[0].workers, std::vector<std::size_t>{1});
}

// Executors of a service in full use made a gang of another, idle one keep room clear against small work.
TEST(PlanSteps, ReservesNothingOnAServiceThatIsMostlyFree)
{
    auto other = worker("w0", "r1", 0);
    other.service = "other";
    const auto gang = tasks(2, Whole, true);
    const std::vector<PlannerWorker> workers = {other, other, worker("w1", "r1"), worker("w2", "r1", 7)};
    const auto plan = planSteps(workers, {gang, tasks(1, {16'000, 32'768, 4})}, {});
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts[0].waiting, 1U);
}

// Idle executors of another service kept a full one from clearing room for a gang.
TEST(PlanSteps, ReservesOnAServiceInUseBesideAnIdleOne)
{
    auto other = worker("w0", "r1");
    other.service = "other";
    const auto gang = tasks(4, {64'000, 131'072, 4}, true);
    const std::vector<PlannerWorker> workers = {other, worker("w1", "r1", 3), worker("w2", "r1", 3)};
    EXPECT_TRUE(planSteps(workers, {gang, tasks(1, One)}, {}).starts.empty());
}

TEST(PlanSteps, RespectsLabelsAndTheLimitPerWorker)
{
    auto limited = tasks(3, One);
    limited.maxPerWorker = 1;
    limited.present = {1, 0};
    EXPECT_EQ(planSteps({worker("w0", "r1"), worker("w1", "r1")}, {limited}, {}).starts[0].workers, (std::vector<std::size_t>{1}));
    auto labelled = tasks(1, One);
    labelled.requiredLabel = "b";
    EXPECT_TRUE(planSteps({worker("w0", "r1")}, {labelled}, {}).starts.empty());
}

TEST(PlanSteps, AvoidsWorkersThatAreSlowOrFailedTheTask)
{
    auto slow = worker("w0", "r1", 2);
    slow.isSlow = true;
    EXPECT_EQ(planSteps({slow, worker("w1", "r1")}, {tasks(1, One)}, {}).starts[0].workers[0], 1U);
    EXPECT_EQ(planSteps({slow}, {tasks(1, One)}, {}).starts[0].workers[0], 0U);
    auto failed = tasks(1, One);
    failed.avoided = {true, false};
    EXPECT_EQ(planSteps({worker("w0", "r1", 2), worker("w1", "r1")}, {failed}, {}).starts[0].workers[0], 1U);
}

TEST(PlanSteps, StopsTheCheapestLessUrgentWork)
{
    const std::vector<PlannerWorker> workers = {worker("w0", "r1", 0), worker("w1", "r1", 0)};
    const auto plan = planSteps(workers, {urgent(Whole, 500.0)}, {runs(0, 1, Whole, 400.0, 1), runs(1, 1, Whole, 20.0, 2)});
    EXPECT_EQ(plan.stops, std::vector<std::size_t>{1});
    EXPECT_TRUE(plan.starts.empty()) << "the capacity is not free yet";
}

TEST(PlanSteps, UrgentWorkDoesNotPreemptEqualPriorityNorExceedItsLossLimit)
{
    const std::vector<PlannerWorker> workers = {worker("w0", "r1", 0)};
    EXPECT_TRUE(planSteps(workers, {urgent(Whole, 500.0)}, {runs(0, 1, Whole, 10.0, 0)}).stops.empty());
    EXPECT_TRUE(planSteps(workers, {urgent(Whole, 500.0)}, {runs(0, 1, Whole, 600.0, 1)}).stops.empty());
}

TEST(PlanSteps, UrgentWorkDoesNotPreemptWorkOfSimilarRank)
{
    const std::vector<PlannerWorker> workers = {worker("w0", "r1", 0)};
    auto higher = runs(0, 1, Whole, 1.0, 2);
    higher.rank = 8.0;
    EXPECT_TRUE(planSteps(workers, {urgent(Whole, 500.0)}, {higher}).stops.empty());
    higher.rank = 2.0;
    EXPECT_EQ(planSteps(workers, {urgent(Whole, 500.0)}, {higher}).stops.size(), 1U);
}

TEST(PlanSteps, PreemptsOnlyForTasksThatDoNotFit)
{
    const std::vector<PlannerWorker> workers = {worker("w0", "r1"), worker("w1", "r1", 0), worker("w2", "r1", 0)};
    auto two = tasks(2, Whole);
    two.mayPreempt = true;
    two.worth = urgent(Whole, Unbounded).worth;
    two.rank = 10.0;
    const auto plan = planSteps(workers, {two}, {runs(1, 1, Whole, 5.0, 2), runs(2, 1, Whole, 5.0, 2)});
    EXPECT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.stops.size(), 1U);
}

TEST(PlanSteps, GuaranteedWorkPreemptsAnyWorkThatIsNotGuaranteed)
{
    const std::vector<PlannerWorker> workers = {worker("w0", "r1", 0)};
    auto owner = urgent(Whole, Unbounded);
    owner.isGuaranteed = true;
    EXPECT_EQ(planSteps(workers, {owner}, {runs(0, 1, Whole, 9000.0, 0)}).stops.size(), 1U);
    auto other = runs(0, 1, Whole, 10.0, 0);
    other.isGuaranteed = true;
    EXPECT_TRUE(planSteps(workers, {owner}, {other}).stops.empty());
}

TEST(PlanSteps, WaitsForWorkThatEndsSoonAndStopsNothingTwice)
{
    const std::vector<PlannerWorker> workers = {worker("w0", "r1", 0), worker("w1", "r1", 0)};
    auto ending = runs(0, 1, Whole, 400.0, 1);
    ending.endsIn = 0.5;
    auto patient = urgent(Whole, Unbounded);
    patient.longestWait = 0.7;
    EXPECT_TRUE(planSteps(workers, {patient}, {ending, runs(1, 1, Whole, 1.0, 2)}).stops.empty());
    auto stopping = runs(1, 1, Whole, 1.0, 2);
    stopping.isStopping = true;
    EXPECT_TRUE(planSteps(workers, {urgent(Whole, Unbounded)}, {runs(0, 1, Whole, 400.0, 1), stopping}).stops.empty());
}

TEST(PlanSteps, StopsNothingForAJobThatIsLateEitherWay)
{
    auto late = urgent(Whole, 500.0);
    late.worth = {4.0, 1.2, -1.0, 30.0, 0.0};
    EXPECT_TRUE(planSteps({worker("w0", "r1", 0)}, {late}, {runs(0, 1, Whole, 100.0, 2)}).stops.empty());
    late.worth.lateFor = 5.0;
    EXPECT_EQ(planSteps({worker("w0", "r1", 0)}, {late}, {runs(0, 1, Whole, 100.0, 2)}).stops.size(), 1U) << "it would earn nothing later";
}

TEST(PlanSteps, WaitsForAnEndOnlyWhileTheObjectiveIsKept)
{
    auto ending = runs(0, 1, Whole, 100.0, 1);
    ending.endsIn = 0.9;
    auto gang = urgent(Whole, 500.0);
    gang.longestWait = 4.0;
    EXPECT_TRUE(planSteps({worker("w0", "r1", 0)}, {gang}, {ending}).stops.empty());
    gang.worth.inTimeFor = 0.5;
    EXPECT_EQ(planSteps({worker("w0", "r1", 0)}, {gang}, {ending}).stops.size(), 1U);
}

TEST(PlanSteps, SparesTheJobThatWouldMissItsObjective)
{
    auto tight = runs(0, 1, Whole, 10.0, 2);
    tight.delayLoss = 0.4;
    tight.job = 1;
    const std::vector<PlannerWorker> workers = {worker("w0", "r1", 0), worker("w1", "r1", 0)};
    EXPECT_EQ(planSteps(workers, {urgent(Whole, 500.0)}, {tight, runs(1, 1, Whole, 200.0, 2)}).stops, std::vector<std::size_t>{1});
}

TEST(PlanSteps, AJobThatIsDelayedAnywayIsStoppedFurther)
{
    std::vector<PlannerWorker> workers;
    std::vector<RunningTasks> running;
    for (std::size_t index = 0; index < 4; ++index) {
        workers.push_back(worker("w" + std::to_string(index), "r1", 0));
        running.push_back(runs(index, 1, Whole, 100.0, 2));
        running.back().delayLoss = 0.3;
        running.back().job = index < 2 ? 1 : index;
    }
    auto pair = urgent(Whole, 600.0);
    pair.count = 2;
    EXPECT_EQ(planSteps(workers, {pair}, running).stops, (std::vector<std::size_t>{0, 1})) << "two tasks of one job cost one delay";
}

TEST(PlanSteps, FreesWholeWorkersRatherThanPartsOfMany)
{
    std::vector<PlannerWorker> workers;
    std::vector<RunningTasks> running;
    for (std::size_t index = 0; index < 6; ++index) {
        workers.push_back(worker("w" + std::to_string(index), "r1", 0));
        for (int run = 0; run < 8; ++run) {
            running.push_back(runs(index, 1, One, 10.0 + run, 2));
        }
    }
    auto pair = urgent(Whole, 500.0);
    pair.count = 2;
    EXPECT_EQ(planSteps(workers, {pair}, running).stops.size(), 16U);
}

TEST(PlanSteps, AGangGoesToTheRackOfItsDataIfItFitsThere)
{
    auto gang = tasks(2, Whole, true);
    gang.dataRack = "r2";
    const std::vector<PlannerWorker> workers = {worker("w0", "r1"), worker("w1", "r1"), worker("w2", "r2"), worker("w3", "r2"), worker("w4", "r2")};
    EXPECT_EQ(planSteps(workers, {gang}, {}).starts[0].workers, (std::vector<std::size_t>{2, 3}));
}

TEST(PlanSteps, AMoveStartsWhereItFitsAndReservesNothing)
{
    auto move = tasks(2, Whole, true);
    move.isMove = true;
    EXPECT_TRUE(planSteps({worker("w0", "r1", 4)}, {move, tasks(1, One)}, {}).starts.size() == 1U) << "only the task after it fits";
    EXPECT_EQ(planSteps({worker("w0", "r1"), worker("w1", "r1")}, {move}, {}).starts.size(), 1U);
}

TEST(PlanSteps, CapacityBeingReclaimedIsNotGivenToOthers)
{
    const std::vector<PlannerWorker> workers = {worker("w0", "r1", 4)};
    const auto plan = planSteps(workers, {urgent(Whole, Unbounded), tasks(4, One)}, {runs(0, 4, One, 1.0, 2)});
    EXPECT_EQ(plan.stops.size(), 1U);
    EXPECT_TRUE(plan.starts.empty());
}

TEST(PlanSteps, AGangThatDoesNotFitReservesCapacity)
{
    const auto gang = tasks(1, Whole, true);
    const std::vector<PlannerWorker> workers = {worker("w0", "r1", 4)};
    EXPECT_TRUE(planSteps(workers, {gang, tasks(4, One)}, {}).starts.empty());
    EXPECT_EQ(planSteps(workers, {tasks(4, One)}, {}).starts.size(), 1U);
}

TEST(PlanSteps, AnUrgentGangThatMayNotPreemptEnoughReservesCapacity)
{
    const auto plan = planSteps({worker("w0", "r1", 4)}, {urgent(Whole, 50.0), tasks(4, One)}, {runs(0, 4, One, 100.0, 2)});
    EXPECT_TRUE(plan.stops.empty());
    EXPECT_TRUE(plan.starts.empty()) << "the capacity is reserved for the gang";
}

TEST(PlanSteps, ReservesTheEmptiestWorkerAndOnlyOnce)
{
    const std::vector<PlannerWorker> workers = {worker("w0", "r1", 0), worker("w1", "r1", 6), worker("w2", "r1", 4)};
    const auto one = planSteps(workers, {tasks(1, Whole, true), tasks(10, One)}, {});
    ASSERT_EQ(one.starts.size(), 1U);
    EXPECT_EQ(one.starts[0].workers, (std::vector<std::size_t>(4, 2))) << "the emptiest worker is reserved";
    EXPECT_TRUE(planSteps(workers, {tasks(1, Whole, true), tasks(1, Whole, true), tasks(10, One)}, {}).starts.empty()) << "each gang has its own reservation";
}

TEST(PlanSteps, ReservesNothingForAGangThatCanNeverFit)
{
    const std::vector<PlannerWorker> workers = {worker("w0", "r1", 4)};
    EXPECT_EQ(planSteps(workers, {tasks(2, Whole, true), tasks(4, One)}, {}).starts.size(), 1U);
}

TEST(PlanSteps, ReservesNothingWhileMostOfTheFleetIsIdle)
{
    const std::vector<PlannerWorker> workers = {worker("w0", "r1", 7), worker("w1", "r1", 7)};
    EXPECT_EQ(planSteps(workers, {tasks(2, Whole, true), tasks(4, One)}, {}).starts.size(), 1U);
}

TEST(PlanSteps, TheLimitPerWorkerCountsTasksPlacedInTheSamePlan)
{
    auto limited = tasks(2, One);
    limited.maxPerWorker = 1;
    limited.mayPreempt = true;
    limited.worth = urgent(One, Unbounded).worth;
    limited.isGuaranteed = true;
    const auto plan = planSteps({worker("w0", "r1"), worker("w1", "r1", 0)}, {limited}, {runs(1, 8, One, 10.0, 2)});
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts[0].workers, (std::vector<std::size_t>{0}));
    EXPECT_EQ(plan.stops, (std::vector<std::size_t>{0})) << "the second task needs the other worker";
}

TEST(PlanSteps, SuspectsStartTogetherWhereACrashLosesLeast)
{
    auto suspects = tasks(3, One);
    suspects.isSuspect = true;
    const auto plan = planSteps({worker("w0", "r1", 4), worker("w1", "r1", 4), worker("w2", "r1", 4)},
                                {suspects, tasks(2, One)},
                                {runs(0, 4, One, 900.0, 1), runs(1, 4, One, 10.0, 1), runs(2, 4, One, 500.0, 1)});
    ASSERT_EQ(plan.starts.size(), 2U);
    EXPECT_EQ(plan.starts[0].workers, (std::vector<std::size_t>{1, 1, 1}));
    EXPECT_EQ(std::count(plan.starts[1].workers.begin(), plan.starts[1].workers.end(), 1U), 0) << "nothing starts beside a suspect";
}

TEST(PlanSteps, AQuarterOfTheExecutorsIsOnTrialAtMost)
{
    auto suspect = tasks(1, One);
    suspect.isSuspect = true;
    std::vector<PlannerWorker> workers;
    for (int index = 0; index < 8; ++index) {
        workers.push_back(worker("w" + std::to_string(index), "r1"));
    }
    workers[3].isOnTrial = true;
    const auto plan = planSteps(workers, {suspect, suspect, suspect}, {});
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_NE(plan.starts[0].workers.front(), 3U);
}

TEST(PlanSteps, ASuspectPreemptsNothing)
{
    auto suspect = urgent(Whole, Unbounded);
    suspect.isSuspect = true;
    suspect.isGuaranteed = true;
    EXPECT_TRUE(planSteps({worker("w0", "r1", 0)}, {suspect}, {runs(0, 8, One, 1.0, 2)}).stops.empty());
}

} // namespace waxwingloft::tests
