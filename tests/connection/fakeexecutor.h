#ifndef WAXWINGLOFT_TESTS_CONNECTION_FAKEEXECUTOR_H
#define WAXWINGLOFT_TESTS_CONNECTION_FAKEEXECUTOR_H

#include "waxwingloft/connection/executorport.h"
#include "waxwingloft/process/clock.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwingloft::tests {

/** What happens to the next orders of an executor. */
enum class OrderFate {
    Answered,
    Lost, ///< never arrives
    Delayed, ///< no answer; takes effect after a while
    AnswerLost, ///< takes effect at once; no answer
    Unhealthy, ///< refused without effect, as the executor takes nothing at the moment
};

/** A run at the fake executor. */
struct FakeRun {
    std::string spec;
    std::string checkpoint;
    Millis startedAt = Millis(0); ///< on the executor's clock
    Millis endsAt = Millis(0); ///< on the executor's clock
    Millis stopsAt = Millis(0); ///< zero: is not being stopped
    RunEnd endsAs = RunEnd::Done;
    std::optional<Millis> crashesAfter; ///< from its start; its executor crashes then
};

/** Sees what really runs; checks the promises. */
class RunObserver
{
public:
    virtual ~RunObserver() = default;

    virtual void started(const std::string &executor, const TaskRun &run, const std::string &spec) = 0;
    virtual void ended(const std::string &executor, const TaskRun &run, RunEnd how) = 0;

    /** Ends up to @p number of this incarnation may be forgotten now. */
    virtual void noted(const std::string &executor, const TaskRun &run, RunEnd how) = 0;

    /** @p executor crashes, because of @p culprit if there is one, and comes back as @p successor, which may be the same id. */
    virtual void crashed(const std::string & /*executor*/, const std::string & /*successor*/, const TaskRun * /*culprit*/)
    {
    }
};

/** An executor of the users' platform in memory: lease, fencing token, lists, and orders that go astray. */
class FakeExecutor : public ExecutorPort
{
public:
    FakeExecutor(Clock &clock, std::string id, RunObserver &observer)
        : clock(clock)
        , observer(observer)
        , id(std::move(id))
    {
        this->restart();
    }

    /** Begins a new incarnation, under the same id. What ran is gone. */
    void restart()
    {
        for (const auto &[run, state] : this->running) {
            this->observer.ended(this->id, run, RunEnd::Lapsed);
        }
        this->running.clear();
        this->ends.clear();
        this->highestEnded.clear();
        if (!this->lateCallsSurviveRestart) {
            this->late.clear();
        }
        this->highestToken = 0;
        this->lastEnd = 0;
        this->voidedEnds = 0;
        this->bornAt = this->clock.now();
        this->startedAt = this->clock.wallMillis();
        this->leaseEnd = Millis(0);
        this->sequence = 0;
    }

    /** What ran is gone; a new incarnation begins after the restart time. */
    void crash(const TaskRun *culprit = nullptr)
    {
        const auto successor = this->changesIdAfterCrash ? this->id + "'" : this->id;
        this->observer.crashed(this->id, successor, culprit);
        this->restart();
        this->backAt = this->clock.now() + this->restartTime;
        this->id = successor;
    }

    bool isDown() const
    {
        return this->backAt.has_value();
    }

    ExecutorHeartbeat heartbeat()
    {
        ExecutorHeartbeat heartbeat;
        heartbeat.incarnation = {this->id, this->startedAt};
        heartbeat.sequence = ++this->sequence;
        heartbeat.service = this->service;
        heartbeat.zone = this->zone;
        heartbeat.coldTimeLeft = this->coldTimeLeft;
        heartbeat.address = "127.0.0.1:1";
        heartbeat.isDraining = this->isDraining;
        if (this->leavesAt) {
            heartbeat.drainTimeLeft = std::max(Millis(0), *this->leavesAt - this->clock.now());
        }
        heartbeat.capacity = this->capacity;
        heartbeat.labels = {"a", this->rack};
        return heartbeat;
    }

    /** Lets time pass: ends, lapses and late orders. */
    void advance()
    {
        if (this->backAt && this->clock.now() >= *this->backAt) {
            this->backAt.reset();
            this->restart();
        }
        this->crashByRuns();
        const auto now = this->now();
        for (std::size_t index = 0; index < this->late.size();) {
            if (this->clock.now() < this->late[index].first) {
                ++index;
                continue;
            }
            const auto order = this->late[index].second;
            this->late.erase(this->late.begin() + static_cast<std::ptrdiff_t>(index));
            order();
        }
        this->voidedEnds = now >= this->leaseEnd ? this->lastEnd : this->voidedEnds;
        std::vector<std::pair<TaskRun, RunEnd>> over;
        for (const auto &[run, state] : this->running) {
            if (now >= this->leaseEnd) {
                over.emplace_back(run, RunEnd::Lapsed);
            } else if (state.stopsAt != Millis(0) && now >= state.stopsAt) {
                over.emplace_back(run, RunEnd::Stopped);
            } else if (now >= state.endsAt && !this->isStalled) {
                over.emplace_back(run, state.endsAs);
            }
        }
        for (const auto &[run, how] : over) {
            this->end(run, how);
        }
    }

    Result<StartAnswer> start(const ExecutorIncarnation &incarnation, const StartOrder &order) override
    {
        return this->call<StartAnswer>(
            this->drawFate ? this->drawFate() : this->fate,
            [this, incarnation, order] { return this->doStart(incarnation, order); },
            StartAnswer{this->stamp(), RefusalReason::Unhealthy});
    }

    Result<ExecutorStamp> stop(const ExecutorIncarnation &incarnation, const TaskRun &run, std::uint64_t fencingToken) override
    {
        return this->call<ExecutorStamp>(
            this->drawFate ? this->drawFate() : this->fate,
            [this, incarnation, run, fencingToken] { return this->doStop(incarnation, run, fencingToken); },
            makeError(ErrorKind::Unreachable, "unhealthy"));
    }

    Result<RunListAnswer> pollRuns(const ExecutorIncarnation &incarnation, const RunListQuery &question) override
    {
        return this->call<RunListAnswer>(
            this->drawPollFate ? this->drawPollFate(question) : OrderFate::Answered,
            [this, incarnation, question] { return this->doPoll(incarnation, question); },
            makeError(ErrorKind::Unreachable, "unhealthy"));
    }

    /** Returns how many runs have begun here, in all incarnations. */
    std::size_t startedRuns() const
    {
        return this->started;
    }

    bool isAbsent() override
    {
        return this->hasEnded || this->isDown();
    }

    Capacity capacity = {128'000, 262'144, 8};
    std::string service = "tune";
    std::string zone = "vejle-a";
    Millis coldTimeLeft = Millis(0); ///< told in its heartbeats
    std::string rack = "r1-1"; ///< second label, after the kind "a"
    bool isDraining = false;
    std::optional<Instant> leavesAt; ///< told in its heartbeats
    bool isStalled = false; ///< what runs makes no progress and does not end
    bool isUnreachable = false; ///< answers nothing
    bool hasEnded = false; ///< nobody listens at its address
    OrderFate fate = OrderFate::Answered;
    std::function<OrderFate()> drawFate; ///< when set, gives the fate of each order in place of @c fate
    std::function<OrderFate(const RunListQuery &)> drawPollFate; ///< when set, gives the fate of each list poll
    Millis lateBy = Millis(3000);
    Millis restartTime = Millis(2000); ///< after a crash
    bool changesIdAfterCrash = false;
    bool lateCallsSurviveRestart = false; ///< late calls reach the next incarnation
    Millis stopTime = Millis(400);
    double clockRate = 1.0; ///< of its own clock against ours
    std::function<FakeRun(const StartOrder &)> runOf = [](const StartOrder &) { return FakeRun(); };
    std::map<TaskRun, FakeRun> running;
    std::vector<EndReport> ends;

private:
    Millis now() const
    {
        const auto lived = std::chrono::duration<double, std::milli>(this->clock.now() - this->bornAt).count();
        return Millis(1000 + static_cast<std::int64_t>(lived * this->clockRate));
    }

    ExecutorStamp stamp() const
    {
        return {this->now(), this->startedAt};
    }

    std::uint32_t percentOf(const FakeRun &run) const
    {
        const auto whole = std::max<std::int64_t>(1, (run.endsAt - run.startedAt).count());
        return this->isStalled ? 0 : static_cast<std::uint32_t>(std::clamp<std::int64_t>((this->now() - run.startedAt).count() * 100 / whole, 0, 99));
    }

    void extend(const std::optional<Millis> &until)
    {
        constexpr auto LongestLease = Millis(6000);
        if (until) {
            this->leaseEnd = std::max(this->leaseEnd, std::min(*until, this->now() + LongestLease));
        }
    }

    /** Carries out a call as its fate has it. A late one asks for the same end of the lease as it would have on time. */
    template<typename Answer, typename Action>
    Result<Answer> call(OrderFate fate, Action action, const Result<Answer> &unhealthy)
    {
        if (this->isUnreachable || this->isDown() || fate == OrderFate::Lost) {
            return makeError(ErrorKind::Ambiguous, "no answer");
        }
        if (fate == OrderFate::Unhealthy) {
            return unhealthy;
        }
        if (fate == OrderFate::Delayed) {
            this->late.emplace_back(this->clock.now() + this->lateBy, [action] { action(); });
            return makeError(ErrorKind::Ambiguous, "no answer");
        }
        auto answer = action();
        return fate == OrderFate::AnswerLost ? Result<Answer>(makeError(ErrorKind::Ambiguous, "answer lost")) : answer;
    }

    Result<StartAnswer> doStart(const ExecutorIncarnation &incarnation, const StartOrder &order)
    {
        if (incarnation.id != this->id) {
            return makeError(ErrorKind::Stale, "other life");
        }
        StartAnswer answer{this->stamp(), RefusalReason::None};
        if (order.fencingToken < this->highestToken) {
            answer.refusal = RefusalReason::Fenced;
        } else if (this->running.contains(order.run)) {
            this->highestToken = order.fencingToken;
            this->extend(order.leaseEnd);
        } else if (this->highestEnded.contains(order.run.task) && order.run.run <= this->highestEnded[order.run.task]) {
            answer.refusal = RefusalReason::OldRun;
            this->extend(order.leaseEnd);
        } else if (order.leaseEnd <= this->now()) {
            answer.refusal = RefusalReason::TooLate;
        } else {
            this->highestToken = order.fencingToken;
            this->extend(order.leaseEnd);
            auto run = this->runOf(order);
            run.spec = order.spec;
            run.startedAt = this->now();
            run.endsAt += this->now();
            this->running[order.run] = run;
            ++this->started;
            this->observer.started(this->id, order.run, order.spec);
        }
        return answer;
    }

    Result<ExecutorStamp> doStop(const ExecutorIncarnation &incarnation, const TaskRun &run, std::uint64_t fencingToken)
    {
        if (incarnation.id != this->id) {
            return makeError(ErrorKind::Stale, "other life");
        }
        if (fencingToken < this->highestToken) {
            return makeError(ErrorKind::Conflict, "fenced");
        }
        const auto found = this->running.find(run);
        if (found != this->running.end()) {
            found->second.stopsAt = this->now() + this->stopTime;
        }
        this->highestEnded[run.task] = std::max(this->highestEnded[run.task], run.run);
        return this->stamp();
    }

    Result<RunListAnswer> doPoll(const ExecutorIncarnation &incarnation, const RunListQuery &question)
    {
        if (incarnation.id != this->id) {
            return makeError(ErrorKind::Stale, "other life");
        }
        RunListAnswer answer;
        answer.stamp = this->stamp();
        if (question.fencingToken >= this->highestToken) {
            this->highestToken = question.fencingToken;
            this->extend(question.leaseEnd);
            for (const auto &end : this->ends) {
                // The platform's rules: an end counts as noted unless the lease lapsed between the two.
                if (end.number <= question.acknowledgedEnds && end.number > this->voidedEnds) {
                    this->observer.noted(this->id, end.run, end.end);
                }
            }
            std::erase_if(this->ends, [&question](const EndReport &end) { return end.number <= question.acknowledgedEnds; });
        }
        for (const auto &[run, state] : this->running) {
            answer.running.push_back({run, state.checkpoint, this->percentOf(state)});
        }
        answer.ended = this->ends;
        return answer;
    }

    void crashByRuns()
    {
        const auto culprit = std::find_if(this->running.begin(), this->running.end(), [now = this->now()](const auto &item) {
            return item.second.crashesAfter && now >= item.second.startedAt + *item.second.crashesAfter;
        });
        if (culprit != this->running.end()) {
            const auto run = culprit->first;
            this->crash(&run);
        }
    }

    void end(const TaskRun &run, RunEnd how)
    {
        const auto checkpoint = this->running[run].checkpoint;
        this->running.erase(run);
        this->highestEnded[run.task] = std::max(this->highestEnded[run.task], run.run);
        this->ends.push_back({++this->lastEnd, run, how, checkpoint, RefusalReason::None});
        this->observer.ended(this->id, run, how);
    }

    Clock &clock;
    RunObserver &observer;
    std::string id;
    std::size_t started = 0;
    std::optional<Instant> backAt; ///< after a crash
    Instant bornAt;
    std::int64_t startedAt = 0;
    std::uint64_t sequence = 0;
    std::uint64_t highestToken = 0;
    std::uint64_t lastEnd = 0;
    std::uint64_t voidedEnds = 0; ///< ends up to this number were followed by a lapse of the lease
    Millis leaseEnd = Millis(0);
    std::map<TaskKey, std::uint32_t> highestEnded;
    std::deque<std::pair<Instant, std::function<void()>>> late;
};

} // namespace waxwingloft::tests

#endif
