#ifndef WAXWINGLOFT_TESTS_CONNECTION_FAKEWORKER_H
#define WAXWINGLOFT_TESTS_CONNECTION_FAKEWORKER_H

#include "../process/manualclock.h"
#include "waxwingloft/connection/backendport.h"

#include <map>
#include <optional>
#include <string>

namespace waxwingloft::tests {

/** A worker runtime under virtual time. It survives its agent and enforces leases itself. */
class FakeWorker : public WorkerPort
{
public:
    struct Group {
        TaskOrder order;
        Instant startedAt;
        Instant leaseUntil;
        Millis progressBefore{0};
        std::optional<TaskState> ended;
        Instant endedAt;
    };

    FakeWorker(ManualClock &clock, Millis runTime)
        : clock(clock)
        , runTime(runTime)
    {
    }

    Status start(const TaskOrder &order) override
    {
        if (this->groups.contains(order.id)) {
            return Done{};
        }
        Group group{order, this->clock.now(), this->clock.now() + order.lease, Millis(0), std::nullopt, {}};
        if (!order.resumeFrom.empty()) {
            group.progressBefore = Millis(std::stoll(order.resumeFrom));
        }
        if (this->failsAlways) {
            group.ended = TaskState::Failed;
            group.endedAt = this->clock.now();
        }
        this->groups.emplace(order.id, std::move(group));
        if (this->losesStartAnswers) {
            return makeError(ErrorKind::Ambiguous, "answer lost");
        }
        return Done{};
    }

    Result<TaskUsage> renew(const std::string &id, Millis lease) override
    {
        const auto found = this->groups.find(id);
        if (found == this->groups.end()) {
            return TaskUsage{TaskState::Unknown, {}};
        }
        auto &group = found->second;
        this->settle(group);
        if (!group.ended) {
            group.leaseUntil = this->clock.now() + lease;
        }
        return TaskUsage{group.ended.value_or(TaskState::Running), group.order.perTask * (group.order.tasks * this->overuse)};
    }

    Result<std::string> checkpoint(const std::string &id) override
    {
        auto &group = this->groups.at(id);
        this->settle(group);
        if (group.ended) {
            return makeError(ErrorKind::Conflict, "not running");
        }
        return std::to_string((group.progressBefore + (this->clock.now() - group.startedAt)).count());
    }

    Status throttle(const std::string & /*id*/) override
    {
        this->throttles += 1;
        return Done{};
    }

    Status stop(const std::string &id) override
    {
        if (this->losesStops) {
            return makeError(ErrorKind::Ambiguous, "no answer");
        }
        auto &group = this->groups[id];
        this->settle(group);
        if (!group.ended) {
            group.ended = TaskState::Stopped;
            group.endedAt = this->clock.now();
        }
        return Done{};
    }

    /** Ends a group whose time or lease is over by now. */
    void settle(Group &group) const
    {
        if (group.ended) {
            return;
        }
        const auto doneAt = group.startedAt + (this->runTime - group.progressBefore);
        const auto now = this->clock.now();
        if (doneAt <= now && doneAt <= group.leaseUntil) {
            group.ended = TaskState::Finished;
            group.endedAt = doneAt;
        } else if (group.leaseUntil <= now) {
            group.ended = TaskState::Stopped;
            group.endedAt = group.leaseUntil;
        }
    }

    /** Ends all tasks at once, as when the host dies. */
    void loseHost()
    {
        for (auto &[id, group] : this->groups) {
            this->settle(group);
            if (!group.ended) {
                group.ended = TaskState::Stopped;
                group.endedAt = this->clock.now();
            }
        }
    }

    bool failsAlways = false;
    bool losesStartAnswers = false; ///< starts take effect, without an answer
    bool losesStops = false; ///< stops never arrive
    std::int64_t overuse = 1;
    int throttles = 0;
    std::map<std::string, Group> groups;

private:
    ManualClock &clock;
    const Millis runTime;
};

} // namespace waxwingloft::tests

#endif
