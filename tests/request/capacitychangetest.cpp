#include "jobsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <utility>

namespace waxwingloft::tests {

namespace {

const ExecutorIncarnation SomeIncarnation{"i-1", 1000};
const TaskRun First{{JobId{"0000000000000001"}, 0, 0, 0}, 1};
const TaskRun Second{{JobId{"0000000000000002"}, 0, 0, 0}, 1};
const Capacity Whole{128'000, 262'144, 8};
const Capacity Half{64'000, 131'072, 4};
const Capacity Small{10'000, 10'000, 1};
const Capacity Nothing{};
constexpr Epoch SomeEpoch = 20;
constexpr std::uint64_t Generation = 30;

/** One agent whose executor's capacity changes. */
class CapacityChangeTest : public testing::Test
{
protected:
    CapacityChangeTest()
    {
        this->controller.setGeneration(Generation, 0);
        this->setCapacity(Whole);
    }

    /** Sends a heartbeat of the executor with @p capacity. */
    void setCapacity(const Capacity &capacity)
    {
        ExecutorHeartbeat heartbeat;
        heartbeat.incarnation = SomeIncarnation;
        heartbeat.sequence = ++this->heartbeats;
        heartbeat.service = "tune";
        heartbeat.capacity = capacity;
        this->controller.heartbeat(heartbeat);
    }

    /** Answers a report with assignments of runs and what they need. Runs that the agent has are named without an order. */
    void assign(const std::vector<std::pair<TaskRun, Capacity>> &runs)
    {
        AssignmentSync sync;
        sync.epoch = SomeEpoch;
        sync.sequence = ++this->syncs;
        sync.incarnation = SomeIncarnation;
        sync.agentLease = Millis(3000);
        const auto known = this->runsOf(this->controller.report());
        for (const auto &[run, needs] : runs) {
            const bool hasOrder = std::find(known.begin(), known.end(), run) == known.end();
            sync.assignments.push_back({run, needs, hasOrder, hasOrder ? "spec" : "", ""});
        }
        this->controller.applyAnswer(sync, this->clock.now());
    }

    static std::vector<TaskRun> runsOf(const std::optional<AgentReport> &report)
    {
        std::vector<TaskRun> runs;
        for (const auto &run : report ? report->runs : std::vector<RunReport>()) {
            runs.push_back(run.run);
        }
        return runs;
    }

    void poll(const std::vector<TaskRun> &running)
    {
        const auto query = this->controller.nextRunListQuery();
        RunListAnswer answer;
        answer.stamp = this->stamp();
        for (const auto &run : running) {
            answer.running.push_back({run, "", 10});
        }
        this->controller.runListAnswered(*query, answer);
    }

    ExecutorStamp stamp() const
    {
        return {Millis(50'000) + std::chrono::duration_cast<Millis>(this->clock.now().time_since_epoch()), SomeIncarnation.startedAt};
    }

    /** Takes the orders that are due; expects one, for @p run. */
    DueOrder takeOrder(const TaskRun &run, bool isStop)
    {
        const auto orders = this->controller.takeDueOrders();
        EXPECT_EQ(orders.size(), 1U);
        if (orders.empty()) {
            return {};
        }
        EXPECT_EQ(orders[0].start.run, run);
        EXPECT_EQ(orders[0].isStop, isStop);
        return orders[0];
    }

    void acceptStart(const TaskRun &run)
    {
        this->controller.startAnswered(this->takeOrder(run, false), StartAnswer{this->stamp(), RefusalReason::None});
    }

    void expectReturned(const TaskRun &run)
    {
        const auto report = this->controller.report();
        ASSERT_EQ(report->ends.size(), 1U);
        EXPECT_EQ(report->ends[0].run, run);
        EXPECT_EQ(report->ends[0].end, RunEnd::Refused);
        EXPECT_EQ(report->ends[0].refusal, RefusalReason::NoRoom);
    }

    std::uint64_t syncs = 0;
    std::uint64_t heartbeats = 0;
    ManualClock clock;
    ExecutorControllerOptions options;
    Metrics metrics;
    ExecutorController controller{this->clock, this->metrics, NodeId{"agent"}, "a:1", this->options};
};

} // namespace

TEST_F(CapacityChangeTest, AStartAssignedBeforeTheCapacityShrankIsReturned)
{
    this->poll({});
    this->assign({{First, Whole}});
    this->setCapacity(Half);
    const auto changes = this->controller.changes();
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    this->expectReturned(First);
    EXPECT_TRUE(this->controller.report()->runs.empty());
    EXPECT_GT(this->controller.changes(), changes) << "the placer hears of it at once";
}

TEST_F(CapacityChangeTest, AnUnansweredStartThatNoLongerFitsIsStoppedAndNotRepeated)
{
    this->poll({});
    this->assign({{First, Half}});
    this->acceptStart(First);
    this->assign({{First, Half}, {Second, Half}});
    this->controller.startAnswered(this->takeOrder(Second, false), makeError(ErrorKind::Ambiguous, "lost"));
    this->setCapacity(Half);
    this->clock.advance(this->options.resendAfter);
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    const auto stop = this->takeOrder(Second, true);
    this->poll({First});
    EXPECT_TRUE(this->controller.report()->ends.empty()) << "the start may still be carried out";
    this->controller.stopAnswered(stop, this->stamp());
    this->poll({First});
    this->expectReturned(Second);
}

TEST_F(CapacityChangeTest, ARunThatIsBeingStoppedStillCounts)
{
    this->poll({});
    this->assign({{First, Half}});
    this->acceptStart(First);
    this->setCapacity(Half);
    this->assign({{Second, Half}});
    this->takeOrder(First, true);
    this->expectReturned(Second);
}

TEST_F(CapacityChangeTest, StartsThatFitOnlyOneByOneAreNotSentTogether)
{
    this->poll({});
    this->assign({{First, Half}, {Second, Half}});
    this->setCapacity(Half);
    this->takeOrder(First, false);
    this->expectReturned(Second);
}

TEST_F(CapacityChangeTest, AStartInFlightCounts)
{
    this->poll({});
    this->assign({{First, Half}});
    this->takeOrder(First, false);
    this->setCapacity(Half);
    this->assign({{First, Half}, {Second, Half}});
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    this->expectReturned(Second);
}

TEST_F(CapacityChangeTest, ARunOfAnEarlierAgentCountsWithWhatThePlacerSaysThatItNeeds)
{
    this->poll({First});
    this->assign({{First, Half}, {Second, Half}});
    this->setCapacity(Half);
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    this->expectReturned(Second);
}

TEST_F(CapacityChangeTest, ARunOfAnEarlierAgentWithUnknownNeedsIsNotTakenToNeedNothing)
{
    this->poll({First});
    this->assign({{Second, Whole}});
    this->controller.stopAnswered(this->takeOrder(First, true), this->stamp());
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    EXPECT_TRUE(this->controller.report()->ends.empty()) << "it may end in a moment";
    this->poll({});
    this->takeOrder(Second, false);
}

TEST_F(CapacityChangeTest, AStartDoesNotWaitForEverForUnknownNeeds)
{
    this->poll({First});
    this->assign({{Second, Whole}});
    this->controller.stopAnswered(this->takeOrder(First, true), this->stamp());
    this->clock.advance(this->options.unknownNeedsWait);
    EXPECT_TRUE(this->controller.takeDueOrders().empty());
    this->expectReturned(Second);
}

TEST_F(CapacityChangeTest, AStartThatFitsAgainIsSentAtOnce)
{
    this->poll({});
    this->setCapacity(Nothing);
    this->setCapacity(Whole);
    this->assign({{First, Whole}});
    this->takeOrder(First, false);
}

namespace {

/** A site whose executors change their capacity; a start counts against every capacity reported within the period that the rule allows. */
class CapacitySite
{
public:
    explicit CapacitySite(std::size_t agents)
        : site(agents)
        , reported(agents)
    {
    }

    void setCapacity(std::size_t index, const Capacity &capacity)
    {
        this->reported[index].push_back({this->site.clock.now(), this->site.agents[index].executor->capacity});
        this->site.agents[index].executor->capacity = capacity;
        this->updateChecker();
    }

    void advance(Millis duration)
    {
        const auto until = this->site.clock.now() + duration;
        while (this->site.clock.now() < until) {
            this->site.advance(Millis(10));
            this->updateChecker();
        }
    }

    JobSite site;

private:
    /** A capacity that was replaced at @c until. */
    struct Replaced {
        Instant until;
        Capacity capacity;
    };

    void updateChecker()
    {
        constexpr auto ContactTime = Millis(4000);
        constexpr auto Beat = Millis(1500);
        for (std::size_t index = 0; index < this->reported.size(); ++index) {
            auto &earlier = this->reported[index];
            while (!earlier.empty() && this->site.clock.now() - earlier.front().until > ContactTime + Beat) {
                earlier.pop_front();
            }
            auto allowed = this->site.agents[index].executor->capacity;
            for (const auto &[until, capacity] : earlier) {
                allowed.milliCores = std::max(allowed.milliCores, capacity.milliCores);
                allowed.memoryMb = std::max(allowed.memoryMb, capacity.memoryMb);
                allowed.accelerators = std::max(allowed.accelerators, capacity.accelerators);
            }
            this->site.checker.capacities["executor-" + std::to_string(index)] = allowed;
        }
    }

    std::vector<std::deque<Replaced>> reported; ///< by executor, oldest first
};

/** Returns a job of @p count tasks that run until they are cancelled. The placer does not move those of them that stand still. */
JobGraph perpetual(std::uint32_t count, Capacity needs)
{
    auto graph = oneStep(count, needs);
    graph.steps[0].isPerpetual = true;
    return graph;
}

} // namespace

TEST(CapacitySiteTest, StartsThatGotLostAreNotRepeatedOnceTheCapacityHasShrunk)
{
    CapacitySite changing(1);
    auto &site = changing.site;
    site.agents[0].executor->fate = OrderFate::Lost;
    site.submit(perpetual(2, Half));
    changing.advance(Millis(500));
    changing.setCapacity(0, Half);
    changing.advance(Millis(6000));
    site.agents[0].executor->fate = OrderFate::Answered;
    changing.advance(Millis(3000));
    EXPECT_EQ(site.checker.running["executor-0"].size(), 1U) << "the capacity that is left is used";
    expectNoViolations(site);
}

TEST(CapacitySiteTest, AGangWhoseRoomShrinksStartsElsewhere)
{
    CapacitySite changing(3);
    auto &site = changing.site;
    site.agents[0].executor->fate = OrderFate::Lost;
    changing.setCapacity(2, Nothing);
    changing.advance(Millis(1600));
    const auto gang = site.submit(oneStep(2, Whole, true));
    changing.advance(Millis(300));
    EXPECT_EQ(site.checker.running["executor-1"].size(), 1U);
    changing.setCapacity(0, Half);
    changing.setCapacity(2, Whole);
    for (auto &agent : site.agents) {
        agent.nextHeartbeat = site.clock.now();
    }
    changing.advance(Millis(50));
    site.agents[0].executor->fate = OrderFate::Answered;
    changing.advance(Millis(1500));
    EXPECT_TRUE(site.checker.running["executor-0"].empty());
    EXPECT_EQ(site.checker.running["executor-1"].size(), 1U);
    EXPECT_EQ(site.checker.running["executor-2"].size(), 1U);
    changing.advance(Millis(2000));
    EXPECT_EQ(site.stateOf(gang), JobPhase::Completed);
    expectNoViolations(site);
}

TEST(CapacitySiteTest, WorkReturnsToAnExecutorThatHasGrownAgain)
{
    CapacitySite changing(1);
    auto &site = changing.site;
    changing.setCapacity(0, Nothing);
    changing.advance(Millis(1600));
    const auto job = site.submit(oneStep(1, Whole));
    changing.advance(Millis(8000));
    EXPECT_TRUE(site.checker.starts.empty());
    changing.setCapacity(0, Whole);
    changing.advance(Millis(1700));
    EXPECT_EQ(site.checker.starts.size(), 1U) << "one beat, a report, a row";
    changing.advance(Millis(3000));
    EXPECT_EQ(site.stateOf(job), JobPhase::Completed);
    expectNoViolations(site);
}

/** The starts on an executor that is over its capacity in one resource must not be assigned and returned in turn. */
TEST(CapacitySiteTest, AnExecutorOverItsCapacityIsAssignedNothing)
{
    CapacitySite changing(1);
    auto &site = changing.site;
    site.agents[0].executor->runOf = [](const StartOrder &) {
        FakeRun run;
        run.endsAt = Millis(20'000);
        return run;
    };
    site.submit(oneStep(1, {10'000, 10'000, 8}));
    changing.advance(Millis(1000));
    ASSERT_EQ(site.checker.starts.size(), 1U);
    changing.setCapacity(0, {128'000, 262'144, 4});
    changing.advance(Millis(1600));
    const auto waiting = site.submit(oneStep(1, {10'000, 10'000, 0}));
    changing.advance(Millis(8000));
    EXPECT_TRUE(site.progressOf(waiting).occurrences.empty()) << "no run of it was ever assigned";
    expectNoViolations(site);
}

/** Capacities shrink and grow beside lost, late and unanswered orders, cut agents, restarts and elections. */
class JobSiteCapacityChanges : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(JobSiteCapacityChanges, AllGuaranteesHold)
{
    std::mt19937_64 random(GetParam());
    const auto draw = [&random](std::uint64_t below) { return random() % below; };
    constexpr std::size_t Agents = 4;
    CapacitySite changing(Agents);
    auto &site = changing.site;
    std::array<bool, Agents> losesOrders{};
    for (std::size_t index = 0; index < Agents; ++index) {
        auto &executor = *site.agents[index].executor;
        executor.drawFate = [&draw, &losesOrders, index] {
            constexpr std::array Fates = {
                OrderFate::Answered, OrderFate::Answered, OrderFate::Answered, OrderFate::Lost, OrderFate::Delayed, OrderFate::AnswerLost};
            return losesOrders.at(index) ? OrderFate::Lost : Fates.at(draw(Fates.size()));
        };
        // A start sent before the agent heard of the shrinking arrives within the period that the rule allows.
        executor.lateBy = Millis(200 + static_cast<std::int64_t>(draw(3600)));
        executor.stopTime = Millis(50 + static_cast<std::int64_t>(draw(1500)));
    }
    std::vector<JobId> jobs;
    std::vector<JobId> perpetualJobs;
    for (int round = 0; round < 60; ++round) {
        const auto index = draw(Agents);
        auto &agent = site.agents[index];
        switch (draw(14)) {
        case 0:
        case 1:
        case 2:
        case 3: {
            const std::array capacities = {Nothing, Half, Whole, Capacity{128'000, 262'144, 2}, Capacity{16'000, 262'144, 8}};
            changing.setCapacity(index, capacities.at(draw(capacities.size())));
            break;
        }
        case 4:
        case 5:
            losesOrders.at(index) = !losesOrders.at(index);
            break;
        case 6:
            agent.isCut = !agent.isCut;
            break;
        case 7:
            site.restartAgent(index);
            break;
        case 8:
            site.elect(draw(site.placers.size()));
            break;
        case 9:
            if (!jobs.empty()) {
                site.cancel(jobs[draw(jobs.size())]);
            }
            break;
        default: {
            const auto count = 1 + static_cast<std::uint32_t>(draw(5));
            const auto &needs = draw(2) == 0 ? Half : Small;
            const auto priority = static_cast<int>(draw(3));
            if (draw(3) == 0) {
                perpetualJobs.push_back(site.submit(perpetual(1 + count % 3, needs), priority));
            } else {
                jobs.push_back(site.submit(oneStep(count, needs, draw(3) == 0), priority));
            }
            break;
        }
        }
        changing.advance(Millis(draw(1500)));
    }
    for (std::size_t index = 0; index < Agents; ++index) {
        site.agents[index].executor->drawFate = nullptr;
        site.agents[index].isCut = false;
        changing.setCapacity(index, Whole);
    }
    for (const auto &job : perpetualJobs) {
        site.cancel(job);
    }
    changing.advance(Millis(90'000));
    for (const auto &job : jobs) {
        EXPECT_TRUE(isFinal(site.stateOf(job))) << job.value << " is " << nameOf(site.stateOf(job));
    }
    expectNoViolations(site);
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobSiteCapacityChanges, testing::Range<std::uint64_t>(1, 41));

} // namespace waxwingloft::tests
