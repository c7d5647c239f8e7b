#include "gangsimulation.h"

#include <algorithm>
#include <set>

namespace waxwingloft::bench {

namespace {

constexpr auto DecisionDelay = Millis(300); ///< from a decision to running tasks: row, prepare and start
constexpr auto DrainOutTime = Millis(24 * 3600 * 1000); ///< after the measured time, for the last jobs to end
constexpr auto CheckpointTime = Millis(1500);
constexpr auto RestartOverhead = Millis(10000);
constexpr auto BlackHoleTime = Millis(1000);
constexpr auto PlacerInterval = Millis(200);
constexpr double MillisPerSecond = 1000.0;

/** The naive baseline. */
class SortedFirstFit : public GangPolicy
{
public:
    explicit SortedFirstFit(FleetState &fleet)
        : fleet(fleet)
    {
    }

    Status submit(const GangJob &job) override
    {
        const auto later = [](const GangJob &left, const GangJob &right) {
            return left.urgency != right.urgency ? left.urgency < right.urgency : left.submittedAt < right.submittedAt;
        };
        this->line.insert(std::upper_bound(this->line.begin(), this->line.end(), job, later), job);
        return Done{};
    }

    void ended(const JobId &job, Instant /*now*/) override
    {
        this->fleet.release(job);
        this->running.erase(job);
    }

    void stopped(const JobId &job, Instant /*now*/) override
    {
        const auto found = this->running.find(job);
        const auto again = found->second;
        this->fleet.release(job);
        this->running.erase(found);
        this->submit(again);
    }

    void withdraw(const JobId &job) override
    {
        std::erase_if(this->line, [&job](const GangJob &waiting) { return waiting.id == job; });
    }

    std::vector<GangDecision> decide(Instant /*now*/) override
    {
        std::vector<GangDecision> decisions;
        std::vector<Shape> failed;
        for (auto job = this->line.begin(); job != this->line.end();) {
            const bool isHopeless = std::find(failed.begin(), failed.end(), job->shape) != failed.end();
            const auto placement = isHopeless ? std::nullopt : this->planner.plan(this->fleet, job->shape, PlanScope{});
            if (!placement) {
                failed.push_back(job->shape);
                ++job;
                continue;
            }
            this->fleet.hold({job->id, job->workspace, PreemptionClass::Preemptible, job->shape.perTask, *placement});
            this->running.emplace(job->id, *job);
            decisions.push_back(StartGangDecision{job->id, *placement, PreemptionClass::Preemptible});
            job = this->line.erase(job);
        }
        return decisions;
    }

private:
    FleetState &fleet;
    FirstFitPlanner planner;
    std::vector<GangJob> line;
    std::map<JobId, GangJob> running;
};

enum class EventKind {
    Arrive,
    Finish,
    StopDone,
    Cancel,
    Tick,
};

struct SimEvent {
    Instant at;
    std::uint64_t order = 0;
    EventKind kind = EventKind::Arrive;
    JobId job;
    std::uint64_t run = 0; ///< which start of the job it belongs to

    bool operator>(const SimEvent &other) const
    {
        return this->at != other.at ? this->at > other.at : this->order > other.order;
    }
};

class FixedClock : public SystemClock
{
public:
    Instant now() const override
    {
        return this->time;
    }

    Instant time;
};

class Simulation
{
public:
    Simulation(const GangSetup &setup, PolicyChoice choice)
        : setup(setup)
        , isChosen(choice == PolicyChoice::Chosen)
        , health(this->clock, WorkerHealthOptions{})
        , reservations(this->fleet, "", this->planner)
        , scheduler(this->fleet, this->reservations, this->learner, this->planner, "", GangSchedulerOptions{})
        , naive(this->fleet)
    {
        for (const auto &worker : setup.workers) {
            this->fleet.putWorker(worker.node, worker.location, worker.capacity);
            this->totalAccelerators += worker.capacity.accelerators;
        }
        if (this->isChosen) {
            this->scheduler.setSettings(setup.settings);
        }
        for (const auto &arrival : setup.arrivals) {
            this->schedule(arrival.job.submittedAt, EventKind::Arrive, arrival.job.id, 0);
            if (arrival.cancelledAt) {
                this->schedule(*arrival.cancelledAt, EventKind::Cancel, arrival.job.id, 0);
            }
            this->figures.jobs[arrival.job.id].arrival = arrival;
            this->states[arrival.job.id].remaining = arrival.actualRunTime;
        }
    }

    GangFigures run()
    {
        while (!this->events.empty() && this->events.top().at < this->setup.measureUntil + DrainOutTime) {
            const auto event = this->events.top();
            this->events.pop();
            this->account(event.at);
            this->clock.time = event.at;
            this->apply(event);
            if (!this->events.empty() && this->events.top().at == event.at) {
                continue;
            }
            this->decide(event.at);
        }
        const auto span = static_cast<double>((this->setup.measureUntil - this->setup.measureFrom).count());
        this->figures.usableShare = this->freeTime > 0 ? this->usableTime / this->freeTime : 1.0;
        this->figures.idlePlaceableShare = this->idlePlaceableTime / (span * static_cast<double>(this->totalAccelerators));
        this->figures.busyShare = 1.0 - this->freeTime / (span * static_cast<double>(this->totalAccelerators));
        return std::move(this->figures);
    }

private:
    struct State {
        Millis remaining{0};
        Instant startedAt;
        std::uint64_t run = 0;
        bool isRunning = false;
        bool isWaiting = false;
        bool fails = false;
        Placement placement;
    };

    GangPolicy &policy()
    {
        return this->isChosen ? static_cast<GangPolicy &>(this->scheduler) : this->naive;
    }

    void setWaiting(const JobId &job, State &state, bool isWaiting)
    {
        state.isWaiting = isWaiting;
        if (isWaiting) {
            this->waitingJobs.insert(job);
        } else {
            this->waitingJobs.erase(job);
        }
    }

    void schedule(Instant at, EventKind kind, const JobId &job, std::uint64_t run)
    {
        this->events.push({at, this->nextOrder++, kind, job, run});
    }

    void apply(const SimEvent &event)
    {
        if (event.kind == EventKind::Tick) {
            this->tickIsScheduled = false;
            return;
        }
        auto &state = this->states.at(event.job);
        auto &tally = this->figures.jobs.at(event.job);
        const bool isCurrent = state.isRunning && state.run == event.run;
        switch (event.kind) {
        case EventKind::Arrive:
            this->policy().submit(tally.arrival.job);
            this->setWaiting(event.job, state, true);
            break;
        case EventKind::Finish:
            if (isCurrent) {
                this->finish(event, state, tally);
            }
            break;
        case EventKind::StopDone:
            if (isCurrent) {
                this->stop(event, state, tally);
            }
            break;
        case EventKind::Cancel:
            this->cancel(event, state, tally);
            break;
        case EventKind::Tick:
            break;
        }
    }

    void finish(const SimEvent &event, State &state, GangTally &tally)
    {
        state.isRunning = false;
        if (state.fails) {
            ++tally.failedAttempts;
            this->figures.acceleratorSecondsLost +=
                static_cast<double>((event.at - state.startedAt).count()) / MillisPerSecond * static_cast<double>(tally.arrival.job.shape.total().accelerators);
            if (this->isChosen) {
                this->health.recordFailure(this->fleet.nodeOf(*this->setup.blackHole), event.job.value);
            }
            this->policy().stopped(event.job, event.at);
            this->setWaiting(event.job, state, true);
            return;
        }
        if (this->isChosen) {
            for (const auto &part : state.placement) {
                this->health.recordSuccess(this->fleet.nodeOf(part.worker), event.job.value);
            }
        }
        tally.endedAt = event.at;
        this->policy().ended(event.job, event.at);
    }

    void stop(const SimEvent &event, State &state, GangTally &tally)
    {
        state.isRunning = false;
        this->setWaiting(event.job, state, true);
        if (tally.arrival.job.checkpointable) {
            const auto done = std::max(Millis(0), event.at - state.startedAt);
            state.remaining = std::max(Millis(1), state.remaining - done) + RestartOverhead;
        }
        this->policy().stopped(event.job, event.at);
    }

    void cancel(const SimEvent &event, State &state, GangTally &tally)
    {
        if (state.isRunning) {
            state.isRunning = false;
            this->policy().ended(event.job, event.at);
            tally.endedAt = event.at;
        } else if (state.isWaiting) {
            this->setWaiting(event.job, state, false);
            this->policy().withdraw(event.job);
        }
    }

    void decide(Instant now)
    {
        if (this->isChosen) {
            this->syncQuarantine();
        }
        for (const auto &decision : this->policy().decide(now)) {
            if (const auto *const start = std::get_if<StartGangDecision>(&decision)) {
                this->begin(*start, now);
            } else if (const auto *const stop = std::get_if<StopGangDecision>(&decision)) {
                this->schedule(now + std::min(CheckpointTime, stop->grace), EventKind::StopDone, stop->job, this->states.at(stop->job).run);
            }
        }
        if (this->isChosen && (this->fleet.findViolation() || this->reservations.describeUnplaced())) {
            ++this->figures.violations;
        }
        if (this->isChosen && this->scheduler.waitingCount() > 0 && !this->tickIsScheduled && !this->events.empty()) {
            this->tickIsScheduled = true;
            this->schedule(now + std::max(PlacerInterval, Millis(5000)), EventKind::Tick, JobId{}, 0);
        }
    }

    void begin(const StartGangDecision &start, Instant now)
    {
        auto &state = this->states.at(start.job);
        auto &tally = this->figures.jobs.at(start.job);
        state.isRunning = true;
        this->setWaiting(start.job, state, false);
        state.startedAt = now + DecisionDelay;
        state.placement = start.placement;
        ++state.run;
        tally.firstStart = tally.firstStart.value_or(state.startedAt);
        const auto touchesHole = [this](const PlacementPart &part) { return this->setup.blackHole && part.worker == *this->setup.blackHole; };
        state.fails = std::any_of(start.placement.begin(), start.placement.end(), touchesHole);
        this->schedule(state.startedAt + (state.fails ? BlackHoleTime : state.remaining), EventKind::Finish, start.job, state.run);
    }

    void syncQuarantine()
    {
        if (!this->setup.blackHole) {
            return;
        }
        for (WorkerIndex worker = 0; worker < this->fleet.workerCount(); ++worker) {
            const bool isBad = this->health.isQuarantined(this->fleet.nodeOf(worker));
            this->fleet.setCondition(worker, isBad ? WorkerCondition::Quarantined : WorkerCondition::Up);
        }
    }

    /** Adds the time since the last event to the time averages. */
    void account(Instant until)
    {
        const auto from = std::max(this->accountedUntil, this->setup.measureFrom);
        const auto to = std::min(until, this->setup.measureUntil);
        this->accountedUntil = until;
        if (to <= from) {
            return;
        }
        const auto span = static_cast<double>((to - from).count());
        std::int64_t free = 0;
        std::int64_t usable = 0;
        for (WorkerIndex worker = 0; worker < this->fleet.workerCount(); ++worker) {
            const auto room = this->fleet.capacityOf(worker).accelerators - this->fleet.heldOf(worker).accelerators;
            free += room;
            usable += room == this->fleet.capacityOf(worker).accelerators ? room : 0;
        }
        this->freeTime += span * static_cast<double>(free);
        this->usableTime += span * static_cast<double>(usable);
        this->idlePlaceableTime += span * static_cast<double>(this->idlePlaceable(free));
    }

    /** Returns the idle accelerators that a waiting job would fit on now. */
    std::int64_t idlePlaceable(std::int64_t free) const
    {
        std::vector<Shape> tried;
        for (const auto &id : this->waitingJobs) {
            const auto &shape = this->figures.jobs.at(id).arrival.job.shape;
            if (std::find(tried.begin(), tried.end(), shape) != tried.end()) {
                continue;
            }
            tried.push_back(shape);
            if (shape.total().accelerators <= free && FirstFitPlanner().plan(this->fleet, shape, PlanScope{})) {
                return shape.total().accelerators;
            }
        }
        return 0;
    }

    const GangSetup &setup;
    const bool isChosen;
    FixedClock clock;
    FleetState fleet;
    BestFitPlanner planner;
    RuntimeLearner learner;
    WorkerHealth health;
    ReservationTable reservations;
    GangScheduler scheduler;
    SortedFirstFit naive;
    std::priority_queue<SimEvent, std::vector<SimEvent>, std::greater<>> events;
    std::uint64_t nextOrder = 0;
    bool tickIsScheduled = false;
    std::map<JobId, State> states;
    std::set<JobId> waitingJobs;
    GangFigures figures;
    std::int64_t totalAccelerators = 0;
    Instant accountedUntil;
    double freeTime = 0.0;
    double usableTime = 0.0;
    double idlePlaceableTime = 0.0;
};

} // namespace

GangFigures simulateGangs(const GangSetup &setup, PolicyChoice choice)
{
    return Simulation(setup, choice).run();
}

} // namespace waxwingloft::bench
