#include "jobsite.h"

#include <array>
#include <cstdio>
#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

constexpr Capacity PatientNeeds = {11'000, 20'000, 1};
constexpr Capacity UrgentNeeds = {15'000, 30'000, 4};

/** One kind of work in a load: what arrives how often. */
struct Arrivals {
    int priority = 0;
    std::uint32_t tasks = 1;
    Capacity needs;
    bool isGang = false;
    Millis work; ///< run time of each task
    double stretch = 1.0;
    Millis slack = Millis(0);
    Millis first = Millis(0);
    Millis every = Millis(1000);
    Millis last = Millis(0);
};

/** Plays a load on a site and tells what its callers saw. */
class LoadReplay
{
public:
    LoadReplay(std::size_t agents, std::vector<Arrivals> load)
        : site(agents)
        , load(std::move(load))
    {
        for (auto &agent : this->site.agents) {
            agent.executor->stopTime = Millis(200);
            agent.executor->runOf = [this](const StartOrder &order) {
                FakeRun run;
                run.endsAt = this->load[this->kindOf.at(order.run.task.job)].work;
                return run;
            };
        }
    }

    void play(Millis duration)
    {
        constexpr auto Tick = Millis(10);
        const auto until = this->played + duration;
        for (; this->played < until; this->played += Tick) {
            const auto now = this->played;
            for (std::size_t kind = 0; kind < this->load.size(); ++kind) {
                const auto &arrivals = this->load[kind];
                const bool isDue = now >= arrivals.first && now <= arrivals.last && (now - arrivals.first).count() % arrivals.every.count() == 0;
                if (isDue) {
                    this->submit(kind);
                }
            }
            this->site.advance(Tick);
            for (auto &[job, kind] : this->kindOf) {
                if (!this->endedAt.contains(job) && this->site.stateOf(job) == JobPhase::Completed) {
                    this->endedAt[job] = this->site.clock.wallMillis();
                }
            }
        }
    }

    /** Returns the share of the jobs of a kind that ended within their objective. */
    double shareInTime(std::size_t kind) const
    {
        double all = 0.0;
        double inTime = 0.0;
        for (const auto &[job, other] : this->kindOf) {
            if (other != kind) {
                continue;
            }
            const auto &arrivals = this->load[kind];
            const auto objective = arrivals.stretch * static_cast<double>(arrivals.work.count()) + static_cast<double>(arrivals.slack.count());
            const auto ended = this->endedAt.find(job);
            all += 1.0;
            inTime += ended != this->endedAt.end() && static_cast<double>(ended->second - this->acceptedAt.at(job)) <= objective ? 1.0 : 0.0;
        }
        return inTime / all;
    }

    JobSite site;

private:
    void submit(std::size_t kind)
    {
        const auto &arrivals = this->load[kind];
        std::array<char, 17> id{};
        std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(++this->lastJob));
        JobSubmission job;
        job.id.value = id.data();
        job.workspace.value = "plant";
        job.route = "route-" + std::to_string(arrivals.priority);
        job.service = "tune";
        job.priority = arrivals.priority;
        job.maxAttempts = 3;
        job.stretch = arrivals.stretch;
        job.latencySlack = arrivals.slack;
        job.acceptedAt = this->site.clock.wallMillis();
        job.graph.steps.resize(1);
        job.graph.steps[0].count = arrivals.tasks;
        job.graph.steps[0].needs = arrivals.needs;
        job.graph.steps[0].isGang = arrivals.isGang;
        job.graph.steps[0].prefersOneRack = arrivals.isGang;
        job.graph.steps[0].estimate = arrivals.work;
        this->kindOf[job.id] = kind;
        this->acceptedAt[job.id] = job.acceptedAt;
        this->site.checker.expect(job);
        this->site.rows.commit({"op", {{submissionKey(job.id), 0}}, {{submissionKey(job.id), encodeSubmission(job)}}});
    }

    const std::vector<Arrivals> load;
    std::map<JobId, std::size_t> kindOf;
    std::map<JobId, std::int64_t> acceptedAt;
    std::map<JobId, std::int64_t> endedAt;
    std::uint64_t lastJob = 0;
    Millis played = Millis(0);
};

} // namespace

// Patient work filled the fleet, and urgent gangs waited for ends or might stop next to nothing.
TEST(LoadReplay, UrgentGangsStartInTimeInAFleetFullOfPatientWork)
{
    const Arrivals patient{2, 32, PatientNeeds, false, Millis(6100), 3.0, Millis(3000), Millis(0), Millis(800), Millis(20'000)};
    const Arrivals urgent{0, 4, UrgentNeeds, true, Millis(2500), 1.5, Millis(400), Millis(3000), Millis(500), Millis(16'000)};
    LoadReplay replay(18, {patient, urgent});
    replay.play(Millis(40'000));
    RecordProperty("urgent_in_time", std::to_string(replay.shareInTime(1)));
    RecordProperty("patient_in_time", std::to_string(replay.shareInTime(0)));
    EXPECT_GE(replay.shareInTime(1), 0.95);
    EXPECT_GE(replay.shareInTime(0), 0.5);
    expectNoViolations(replay.site);
}

// Runs on executors that had given notice went on until they were lost, and ran again only once their leases were over.
TEST(LoadReplay, RunsLeaveExecutorsThatAreTakenAwayAtShortNotice)
{
    const Arrivals work{1, 8, UrgentNeeds, false, Millis(9000), 2.0, Millis(1200), Millis(0), Millis(1000), Millis(1000)};
    LoadReplay replay(12, {work});
    replay.play(Millis(2000));
    for (std::size_t index = 0; index < 3; ++index) {
        auto &executor = *replay.site.agents[index].executor;
        executor.isDraining = true;
        executor.leavesAt = replay.site.clock.now() + Millis(6500);
    }
    replay.play(Millis(6500));
    for (std::size_t index = 0; index < 3; ++index) {
        auto &executor = *replay.site.agents[index].executor;
        EXPECT_TRUE(executor.running.empty());
        executor.isUnreachable = true;
        executor.hasEnded = true;
    }
    replay.play(Millis(30'000));
    EXPECT_DOUBLE_EQ(replay.shareInTime(0), 1.0);
    expectNoViolations(replay.site);
}

} // namespace waxwingloft::tests
