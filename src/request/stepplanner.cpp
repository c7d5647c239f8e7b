#include "waxwingloft/request/stepplanner.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>

namespace waxwingloft {

namespace {

constexpr double ClearlyLower = 1.5; ///< ratio of ranks; keeps work from being stopped over a small difference

/** A set of workers that a gang may be spread over. */
using Group = std::vector<std::size_t>;

std::uint32_t timesIn(const Capacity &room, const Capacity &needs, std::uint32_t limit)
{
    auto times = static_cast<std::int64_t>(limit);
    const auto bound = [&times](std::int64_t have, std::int64_t need) {
        if (need > 0) {
            times = std::min(times, std::max<std::int64_t>(have, 0) / need);
        }
    };
    bound(room.milliCores, needs.milliCores);
    bound(room.memoryMb, needs.memoryMb);
    bound(room.accelerators, needs.accelerators);
    return static_cast<std::uint32_t>(times);
}

Capacity multiplied(const Capacity &needs, std::int64_t times)
{
    return {needs.milliCores * times, needs.memoryMb * times, needs.accelerators * times};
}

/** Works out one plan; free room shrinks as tasks are given places. */
class Planning
{
public:
    Planning(const std::vector<PlannerWorker> &workers, const std::vector<RunningTasks> &running)
        : workers(workers)
        , running(running)
        , isStopped(running.size(), false)
    {
        for (const auto &worker : workers) {
            this->free.push_back(worker.free);
        }
        for (std::size_t index = 0; index < workers.size(); ++index) {
            this->racks[workers[index].rack].push_back(index);
            this->everyone.push_back(index);
        }
    }

    void place(std::size_t index, const WaitingTasks &tasks)
    {
        auto places = tasks.isGang ? this->gangPlaces(tasks, this->free) : this->looseTasks(tasks);
        const auto placed = places.size();
        const bool isWhole = placed == tasks.count;
        if (!places.empty() && (isWhole || !tasks.isGang)) {
            this->plan.starts.push_back({index, std::move(places)});
        }
        if (isWhole) {
            return;
        }
        if (tasks.mayLoseWork > 0.0) {
            auto rest = tasks;
            rest.count -= tasks.isGang ? 0 : static_cast<std::uint32_t>(placed);
            this->reclaim(rest);
        } else if (tasks.mayReserve) {
            this->reserve(tasks);
        }
    }

    StepPlan plan;

private:
    bool isUsable(std::size_t worker, const WaitingTasks &tasks) const
    {
        const auto &candidate = this->workers[worker];
        const auto &labels = candidate.labels;
        const bool isAvoided = !tasks.avoided.empty() && tasks.avoided[worker];
        return candidate.acceptsWork && !isAvoided && candidate.service == tasks.service
            && (tasks.requiredLabel.empty() || std::find(labels.begin(), labels.end(), tasks.requiredLabel) != labels.end());
    }

    std::uint32_t limitOn(std::size_t worker, const WaitingTasks &tasks) const
    {
        if (tasks.maxPerWorker == 0) {
            return tasks.count;
        }
        const auto present = tasks.present.empty() ? 0 : tasks.present[worker];
        return std::min(tasks.count, tasks.maxPerWorker - std::min(tasks.maxPerWorker, present));
    }

    std::uint32_t fits(std::size_t worker, const WaitingTasks &tasks, const std::vector<Capacity> &room) const
    {
        return this->isUsable(worker, tasks) ? timesIn(room[worker], tasks.needs, this->limitOn(worker, tasks)) : 0;
    }

    /** Fills @p group, fullest workers first; returns one worker a task, or fewer when it does not hold all. */
    std::vector<std::size_t> fill(const Group &group, const WaitingTasks &tasks, const std::vector<Capacity> &room) const
    {
        auto order = group;
        std::stable_sort(order.begin(), order.end(), [this, &room](std::size_t left, std::size_t right) {
            return std::tuple(this->workers[left].isSlow, room[left].accelerators, room[left].milliCores)
                < std::tuple(this->workers[right].isSlow, room[right].accelerators, room[right].milliCores);
        });
        // A worker that holds all that is left, with the least room over, keeps the gang together.
        std::vector<std::size_t> places;
        while (places.size() < tasks.count) {
            const auto left = tasks.count - static_cast<std::uint32_t>(places.size());
            const auto best = this->bestForRest(order, tasks, room, left);
            if (!best) {
                break;
            }
            const auto taken = std::min(left, this->fits(*best, tasks, room));
            places.insert(places.end(), taken, *best);
            std::erase(order, *best);
        }
        return places;
    }

    std::optional<std::size_t> bestForRest(const Group &order, const WaitingTasks &tasks, const std::vector<Capacity> &room, std::uint32_t left) const
    {
        std::optional<std::size_t> most;
        std::uint32_t mostFits = 0;
        for (const auto worker : order) {
            const auto count = this->fits(worker, tasks, room);
            if (count >= left) {
                return worker;
            }
            if (count > mostFits) {
                most = worker;
                mostFits = count;
            }
        }
        return most;
    }

    /** The racks that could hold a gang, that of its data first; the whole fleet when none could. */
    std::vector<Group> groupsFor(const WaitingTasks &tasks) const
    {
        std::vector<Group> groups;
        for (const auto &[rack, members] : this->racks) {
            std::uint32_t total = 0;
            for (const auto worker : members) {
                total += this->isUsable(worker, tasks) ? timesIn(this->workers[worker].capacity, tasks.needs, this->limitOn(worker, tasks)) : 0;
            }
            if (total >= tasks.count) {
                groups.insert(rack == tasks.dataRack ? groups.begin() : groups.end(), members);
            }
        }
        if (groups.empty() || !tasks.prefersOneRack) {
            groups.push_back(this->everyone);
        }
        return groups;
    }

    std::int64_t roomIn(const Group &group, const std::vector<Capacity> &room) const
    {
        std::int64_t total = 0;
        for (const auto worker : group) {
            total += std::max<std::int64_t>(room[worker].accelerators, 0);
        }
        return total;
    }

    std::vector<std::size_t> gangPlaces(const WaitingTasks &tasks, std::vector<Capacity> &room)
    {
        std::vector<std::size_t> best;
        auto leastRoom = std::numeric_limits<std::int64_t>::max();
        for (const auto &group : this->groupsFor(tasks)) {
            auto places = this->fill(group, tasks, room);
            const auto left = this->roomIn(group, room);
            if (places.size() == tasks.count && left < leastRoom) {
                best = std::move(places);
                leastRoom = left;
            }
        }
        this->take(best, tasks, room);
        return best;
    }

    std::vector<std::size_t> looseTasks(const WaitingTasks &tasks)
    {
        std::vector<std::size_t> places;
        WaitingTasks one = tasks;
        one.present.resize(this->workers.size(), 0);
        for (std::uint32_t task = 0; task < tasks.count; ++task) {
            const auto worker = this->tightest(one);
            if (!worker) {
                break;
            }
            this->free[*worker] -= tasks.needs;
            ++one.present[*worker];
            places.push_back(*worker);
        }
        return places;
    }

    /** The worker with the least accelerators left that holds one task, one near its data first. */
    std::optional<std::size_t> tightest(const WaitingTasks &one) const
    {
        std::optional<std::size_t> best;
        auto bestRank = std::tuple(true, std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::max());
        for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
            if (this->fits(worker, one, this->free) == 0) {
                continue;
            }
            const bool isFar = !one.dataRack.empty() && this->workers[worker].rack != one.dataRack;
            const auto rank = std::tuple(isFar || this->workers[worker].isSlow, this->free[worker].accelerators, this->free[worker].milliCores);
            if (!best || rank < bestRank) {
                best = worker;
                bestRank = rank;
            }
        }
        return best;
    }

    void take(const std::vector<std::size_t> &places, const WaitingTasks &tasks, std::vector<Capacity> &room)
    {
        for (const auto worker : places) {
            room[worker] -= tasks.needs;
        }
    }

    struct Reclaim {
        std::vector<std::size_t> places;
        std::vector<std::size_t> victims;
        double lostWork = 0.0;
    };

    /** Stops the cheapest set of work that makes room, and keeps that room for @p tasks. */
    void reclaim(const WaitingTasks &tasks)
    {
        std::optional<Reclaim> best;
        for (const auto &group : this->groupsFor(tasks)) {
            const auto found = this->reclaimIn(group, tasks);
            if (found && found->lostWork <= tasks.mayLoseWork && (!best || found->lostWork < best->lostWork)) {
                best = found;
            }
        }
        if (!best) {
            return;
        }
        for (const auto victim : best->victims) {
            this->isStopped[victim] = true;
            if (!this->comesFree(victim, tasks)) {
                this->plan.stops.push_back(victim);
            }
        }
        this->take(best->places, tasks, this->free);
    }

    std::optional<Reclaim> reclaimIn(const Group &group, const WaitingTasks &tasks) const
    {
        std::vector<std::size_t> victims;
        for (std::size_t index = 0; index < this->running.size(); ++index) {
            const auto &parts = this->running[index].parts;
            const bool isHere = std::any_of(parts.begin(), parts.end(), [&group](const RunningTasks::Part &part) {
                return std::find(group.begin(), group.end(), part.worker) != group.end();
            });
            if (isHere && !this->isStopped[index] && this->mayTake(index, tasks)) {
                victims.push_back(index);
            }
        }
        std::stable_sort(victims.begin(), victims.end(), [this, &tasks](std::size_t left, std::size_t right) {
            return this->costOf(left, tasks) < this->costOf(right, tasks);
        });
        auto room = this->free;
        Reclaim found;
        for (const auto victim : victims) {
            found.places = this->fill(group, tasks, room);
            if (found.places.size() == tasks.count) {
                break;
            }
            this->giveBack(victim, room, 1);
            found.victims.push_back(victim);
        }
        found.places = this->fill(group, tasks, room);
        if (found.places.size() < tasks.count) {
            return std::nullopt;
        }
        this->spareNeedless(group, tasks, room, found);
        for (const auto victim : found.victims) {
            found.lostWork += this->costOf(victim, tasks);
        }
        return found;
    }

    /** Takes victims out again, dearest first, that the tasks fit without. */
    void spareNeedless(const Group &group, const WaitingTasks &tasks, std::vector<Capacity> &room, Reclaim &found) const
    {
        for (std::size_t index = found.victims.size(); index-- > 0;) {
            const auto victim = found.victims[index];
            this->giveBack(victim, room, -1);
            auto places = this->fill(group, tasks, room);
            if (places.size() == tasks.count) {
                found.places = std::move(places);
                found.victims.erase(found.victims.begin() + static_cast<std::ptrdiff_t>(index));
            } else {
                this->giveBack(victim, room, 1);
            }
        }
    }

    /** Whether the room of @p victim comes free without a stop. */
    bool comesFree(std::size_t victim, const WaitingTasks &tasks) const
    {
        return this->running[victim].isStopping || (this->running[victim].endsSoon && tasks.canWait);
    }

    /**
     * Guaranteed work has any work stopped that is not guaranteed itself; urgent work only what is less urgent and ranks
     * clearly lower, as what ranks higher would be placed before it again.
     */
    bool mayTake(std::size_t victim, const WaitingTasks &tasks) const
    {
        const auto &candidate = this->running[victim];
        const bool isLesser = candidate.priority > tasks.priority && candidate.rank * ClearlyLower < tasks.rank;
        return this->comesFree(victim, tasks) || (!candidate.isEntitled && (tasks.isEntitled || isLesser));
    }

    double costOf(std::size_t victim, const WaitingTasks &tasks) const
    {
        return this->comesFree(victim, tasks) ? 0.0 : this->running[victim].lostWork;
    }

    void giveBack(std::size_t victim, std::vector<Capacity> &room, std::int64_t sign) const
    {
        for (const auto &part : this->running[victim].parts) {
            room[part.worker] += multiplied(this->running[victim].needs, sign * static_cast<std::int64_t>(part.count));
        }
    }

    /** Keeps the group with the most room for a gang that has waited long, so that it is not overtaken for ever. */
    void reserve(const WaitingTasks &tasks)
    {
        const Group *best = nullptr;
        std::int64_t most = -1;
        const auto groups = this->groupsFor(tasks);
        for (const auto &group : groups) {
            const auto room = this->roomIn(group, this->free);
            if (room > most) {
                best = &group;
                most = room;
            }
        }
        if (best == nullptr) {
            return;
        }
        std::vector<Capacity> whole;
        for (const auto &worker : this->workers) {
            whole.push_back(worker.capacity);
        }
        this->take(this->fill(*best, tasks, whole), tasks, this->free);
    }

    const std::vector<PlannerWorker> &workers;
    const std::vector<RunningTasks> &running;
    std::vector<bool> isStopped;
    std::vector<Capacity> free;
    std::map<std::string, Group> racks;
    Group everyone;
};

} // namespace

StepPlan planSteps(const std::vector<PlannerWorker> &workers, const std::vector<WaitingTasks> &waiting, const std::vector<RunningTasks> &running)
{
    Planning planning(workers, running);
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        planning.place(index, waiting[index]);
    }
    return std::move(planning.plan);
}

} // namespace waxwingloft
