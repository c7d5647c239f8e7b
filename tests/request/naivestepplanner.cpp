#include "naivestepplanner.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace waxwingloft::tests {

namespace {

using Places = std::vector<std::size_t>;

constexpr std::array<double, 5> Horizons = {0.0, 0.5, 1.0, 2.0, 4.0};
constexpr double StopSeconds = 0.4;
constexpr double LeftAloneSeconds = 8.0;
constexpr double GainRatio = 1.5;
constexpr double RankRatio = 1.5;

class Naive
{
public:
    Naive(const std::vector<PlannerWorker> &workers, const std::vector<RunningTasks> &running)
        : workers(workers)
        , running(running)
    {
        for (std::size_t index = 0; index < workers.size(); ++index) {
            this->free.push_back(workers[index].free);
            this->whole.push_back(workers[index].capacity);
            this->racks[workers[index].rack].push_back(index);
            this->all.push_back(index);
        }
    }

    void place(std::size_t index, const WaitingTasks &tasks)
    {
        this->tasks = &tasks;
        this->left = tasks.count;
        this->placed.assign(this->workers.size(), 0);
        auto places = tasks.isGang ? this->gang() : this->singly();
        const bool isWhole = places.size() == tasks.count;
        if (!places.empty()) {
            this->plan.starts.push_back({index, std::move(places)});
        }
        if (isWhole || tasks.isMove || (tasks.mayPreempt && this->reclaim())) {
            return;
        }
        if (tasks.isGang && this->isBusy()) {
            this->reserve();
        }
    }

    StepPlan plan;

private:
    struct Found {
        Places places;
        std::vector<std::size_t> stops;
        std::vector<std::size_t> awaited;
        double cost = 0.0;
        double delay = 0.0;
    };

    std::uint32_t fits(std::size_t worker, const Capacity &available) const
    {
        const auto &view = this->workers[worker];
        const bool hasLabel =
            this->tasks->requiredLabel.empty() || std::find(view.labels.begin(), view.labels.end(), this->tasks->requiredLabel) != view.labels.end();
        const bool isAvoided = !this->tasks->avoided.empty() && this->tasks->avoided[worker];
        const auto isOver = [](std::int64_t before, std::int64_t now) { return before < 0 && now < 0; };
        if (!view.acceptsWork || view.isOnTrial || view.service != this->tasks->service || !hasLabel || isAvoided
            || isOver(view.free.milliCores, available.milliCores) || isOver(view.free.memoryMb, available.memoryMb)
            || isOver(view.free.accelerators, available.accelerators)) {
            return 0;
        }
        std::uint32_t count = 0;
        auto rest = available;
        const auto present = this->tasks->present.empty() ? 0 : this->tasks->present[worker];
        const auto limit = this->tasks->maxPerWorker == 0 ? this->left : this->tasks->maxPerWorker;
        const auto used = this->tasks->maxPerWorker == 0 ? 0 : present + this->placed[worker];
        const auto covers = [this](const Capacity &have) {
            const auto isEnough = [](std::int64_t there, std::int64_t need) { return need <= 0 || there >= need; };
            return isEnough(have.milliCores, this->tasks->needs.milliCores) && isEnough(have.memoryMb, this->tasks->needs.memoryMb)
                && isEnough(have.accelerators, this->tasks->needs.accelerators);
        };
        while (count < this->left && used + count < limit && covers(rest)) {
            rest -= this->tasks->needs;
            ++count;
        }
        return count;
    }

    std::uint64_t slots(const Places &group, const std::vector<Capacity> &available) const
    {
        std::uint64_t total = 0;
        for (const auto worker : group) {
            total += this->fits(worker, available[worker]);
        }
        return total;
    }

    std::int64_t freeIn(const Places &group) const
    {
        std::int64_t total = 0;
        for (const auto worker : group) {
            total += std::max<std::int64_t>(this->free[worker].accelerators, 0);
        }
        return total;
    }

    std::vector<Places> groups() const
    {
        std::vector<Places> found;
        for (const auto &[name, members] : this->racks) {
            if (this->slots(members, this->whole) >= this->left) {
                const bool isOfData = !name.empty() && name == this->tasks->dataRack;
                found.insert(isOfData ? found.begin() : found.end(), members);
            }
        }
        if (found.empty() || !this->tasks->prefersOneRack) {
            found.push_back(this->all);
        }
        return found;
    }

    Places fill(const Places &group, const std::vector<Capacity> &available) const
    {
        auto order = group;
        std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
            return std::tuple(this->workers[left].isSlow, available[left].accelerators, available[left].milliCores)
                < std::tuple(this->workers[right].isSlow, available[right].accelerators, available[right].milliCores);
        });
        Places places;
        while (places.size() < this->left) {
            const auto rest = this->left - static_cast<std::uint32_t>(places.size());
            const auto whole = std::find_if(order.begin(), order.end(), [&](std::size_t worker) { return this->fits(worker, available[worker]) >= rest; });
            const auto most = std::max_element(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
                return this->fits(left, available[left]) < this->fits(right, available[right]);
            });
            const auto best = whole == order.end() ? most : whole;
            if (best == order.end() || this->fits(*best, available[*best]) == 0) {
                break;
            }
            places.insert(places.end(), std::min(rest, this->fits(*best, available[*best])), *best);
            order.erase(best);
        }
        return places;
    }

    Places gang()
    {
        const Places *best = nullptr;
        const auto candidates = this->groups();
        for (const auto &group : candidates) {
            if (this->slots(group, this->free) < this->left || (best != nullptr && this->freeIn(group) >= this->freeIn(*best))) {
                continue;
            }
            best = &group;
            if (!this->tasks->dataRack.empty() && this->workers[group.front()].rack == this->tasks->dataRack && group.size() < this->all.size()) {
                break;
            }
        }
        auto places = best == nullptr ? Places() : this->fill(*best, this->free);
        this->take(places);
        return places;
    }

    Places singly()
    {
        Places places;
        while (this->left > 0) {
            std::optional<std::size_t> best;
            const auto rankOf = [this](std::size_t worker) {
                const bool isFar = !this->tasks->dataRack.empty() && this->workers[worker].rack != this->tasks->dataRack;
                return std::tuple(isFar || this->workers[worker].isSlow, this->free[worker].accelerators, this->free[worker].milliCores);
            };
            for (const auto worker : this->all) {
                if (this->fits(worker, this->free[worker]) > 0 && (!best || rankOf(worker) < rankOf(*best))) {
                    best = worker;
                }
            }
            if (!best) {
                break;
            }
            this->free[*best] -= this->tasks->needs;
            ++this->placed[*best];
            --this->left;
            places.push_back(*best);
        }
        return places;
    }

    void take(const Places &places)
    {
        for (const auto worker : places) {
            this->free[worker] -= this->tasks->needs;
        }
    }

    bool isAwaited(std::size_t entry, double horizon) const
    {
        const auto &candidate = this->running[entry];
        return !this->taken.contains(entry) && (candidate.isStopping || (horizon > 0.0 && candidate.endsIn <= horizon));
    }

    bool canStop(std::size_t entry) const
    {
        const auto &candidate = this->running[entry];
        const bool isLesser = candidate.priority > this->tasks->priority && candidate.rank * RankRatio < this->tasks->rank;
        return !this->taken.contains(entry) && !candidate.isStopping && !candidate.isGuaranteed && (this->tasks->isGuaranteed || isLesser);
    }

    /** Returns the cost of the stops from place @p first on; a job is delayed only once. */
    double costOf(const std::vector<std::size_t> &stops, std::size_t first = 0) const
    {
        double cost = 0.0;
        std::map<std::size_t, double> delays;
        for (std::size_t place = 0; place < stops.size(); ++place) {
            const auto &candidate = this->running[stops[place]];
            const auto added = this->delayed.contains(candidate.job) ? 0.0 : std::max(0.0, candidate.delayLoss - delays[candidate.job]);
            delays[candidate.job] += added;
            cost += place < first ? 0.0 : candidate.stopCost + added;
        }
        return cost;
    }

    void release(std::vector<Capacity> &available, std::size_t entry, std::int64_t sign) const
    {
        const auto &candidate = this->running[entry];
        for (const auto &part : candidate.parts) {
            const auto times = sign * static_cast<std::int64_t>(part.count);
            available[part.worker] += {candidate.needs.milliCores * times, candidate.needs.memoryMb * times, candidate.needs.accelerators * times};
        }
    }

    std::vector<std::size_t> entriesAt(std::size_t worker) const
    {
        std::vector<std::size_t> found;
        for (std::size_t entry = 0; entry < this->running.size(); ++entry) {
            const auto &parts = this->running[entry].parts;
            if (std::any_of(parts.begin(), parts.end(), [worker](const auto &part) { return part.worker == worker; })) {
                found.push_back(entry);
            }
        }
        std::stable_sort(found.begin(), found.end(), [this](std::size_t left, std::size_t right) {
            return this->running[left].stopCost + this->running[left].delayLoss < this->running[right].stopCost + this->running[right].delayLoss;
        });
        return found;
    }

    /** Returns the stops that let one more task fit on @p worker, and what they cost beside @p stops. */
    std::optional<std::pair<double, std::vector<std::size_t>>>
    nextSlot(std::size_t worker, const std::vector<Capacity> &available, const std::vector<std::size_t> &stops, double horizon) const
    {
        auto rest = available;
        auto all = stops;
        const auto before = this->fits(worker, available[worker]);
        for (const auto entry : this->entriesAt(worker)) {
            if (this->isAwaited(entry, horizon) || !this->canStop(entry) || std::find(stops.begin(), stops.end(), entry) != stops.end()) {
                continue;
            }
            this->release(rest, entry, 1);
            all.push_back(entry);
            if (this->fits(worker, rest[worker]) > before) {
                return std::pair(this->costOf(all, stops.size()), std::vector<std::size_t>(all.begin() + static_cast<std::ptrdiff_t>(stops.size()), all.end()));
            }
        }
        return std::nullopt;
    }

    std::optional<Found> reclaimIn(const Places &group, double horizon) const
    {
        auto available = this->free;
        for (std::size_t entry = 0; entry < this->running.size(); ++entry) {
            if (this->isAwaited(entry, horizon)) {
                this->release(available, entry, 1);
            }
        }
        // Costs are worked out when a worker comes up and after its stops, as in the planner.
        std::vector<std::size_t> stops;
        std::set<std::pair<double, std::size_t>> queue;
        const auto push = [&](std::size_t place) {
            if (const auto next = this->nextSlot(group[place], available, stops, horizon)) {
                queue.emplace(next->first, place);
            }
        };
        for (std::size_t place = 0; place < group.size(); ++place) {
            push(place);
        }
        while (this->slots(group, available) < this->left && !queue.empty()) {
            const auto [cost, place] = *queue.begin();
            queue.erase(queue.begin());
            const auto next = this->nextSlot(group[place], available, stops, horizon);
            if (!next) {
                continue;
            }
            if (next->first > cost && !queue.empty() && next->first > queue.begin()->first) {
                queue.emplace(next->first, place);
                continue;
            }
            for (const auto entry : next->second) {
                stops.push_back(entry);
                this->release(available, entry, 1);
            }
            push(place);
        }
        if (this->slots(group, available) < this->left) {
            return std::nullopt;
        }
        for (std::size_t index = stops.size(); index-- > 0;) {
            this->release(available, stops[index], -1);
            if (this->slots(group, available) >= this->left) {
                stops.erase(stops.begin() + static_cast<std::ptrdiff_t>(index));
            } else {
                this->release(available, stops[index], 1);
            }
        }
        return this->foundWith(group, available, stops, horizon);
    }

    Found foundWith(const Places &group, const std::vector<Capacity> &available, const std::vector<std::size_t> &stops, double horizon) const
    {
        Found found;
        found.places = this->fill(group, available);
        std::map<std::size_t, std::uint32_t> counts;
        for (const auto worker : found.places) {
            ++counts[worker];
        }
        for (const auto entry : stops) {
            const auto &parts = this->running[entry].parts;
            if (std::any_of(parts.begin(), parts.end(), [&counts](const auto &part) { return counts.contains(part.worker); })) {
                found.stops.push_back(entry);
            }
        }
        found.cost = this->costOf(found.stops);
        found.delay = found.stops.empty() ? 0.0 : StopSeconds;
        for (const auto &[worker, count] : counts) {
            auto rest = this->free;
            std::vector<std::pair<double, std::size_t>> ends;
            for (const auto entry : this->entriesAt(worker)) {
                if (std::find(stops.begin(), stops.end(), entry) != stops.end()) {
                    this->release(rest, entry, 1);
                } else if (this->isAwaited(entry, horizon)) {
                    ends.emplace_back(this->running[entry].isStopping ? 0.0 : this->running[entry].endsIn, entry);
                }
            }
            std::stable_sort(ends.begin(), ends.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
            for (const auto &[seconds, entry] : ends) {
                if (this->fits(worker, rest[worker]) >= count) {
                    break;
                }
                this->release(rest, entry, 1);
                found.delay = std::max(found.delay, this->running[entry].isStopping ? StopSeconds : seconds);
                found.awaited.push_back(entry);
            }
        }
        return found;
    }

    bool reclaim()
    {
        const auto &worth = this->tasks->worth;
        std::optional<Found> best;
        auto bestNet = worth.after(LeftAloneSeconds);
        if (worth.after(0.0) <= bestNet) {
            return false;
        }
        for (const auto &group : this->groups()) {
            for (const auto horizon : Horizons) {
                const auto found = horizon <= this->tasks->longestWait ? this->reclaimIn(group, horizon) : std::nullopt;
                if (!found) {
                    continue;
                }
                const auto net = worth.after(found->delay) - GainRatio * found->cost;
                if (!found->stops.empty() || best ? net > bestNet : net >= bestNet) {
                    best = found;
                    bestNet = net;
                }
                if (found->stops.empty()) {
                    break;
                }
            }
        }
        if (!best) {
            return false;
        }
        for (const auto entry : best->stops) {
            this->plan.stops.push_back(entry);
            this->delayed.insert(this->running[entry].job);
        }
        this->taken.insert(best->stops.begin(), best->stops.end());
        this->taken.insert(best->awaited.begin(), best->awaited.end());
        this->take(best->places);
        return true;
    }

    void reserve()
    {
        const Places *best = nullptr;
        const auto candidates = this->groups();
        for (const auto &group : candidates) {
            if (this->slots(group, this->whole) >= this->left && (best == nullptr || this->freeIn(group) > this->freeIn(*best))) {
                best = &group;
            }
        }
        if (best == nullptr) {
            return;
        }
        auto order = *best;
        std::stable_sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
            return std::tuple(this->free[left].accelerators, this->free[left].milliCores)
                > std::tuple(this->free[right].accelerators, this->free[right].milliCores);
        });
        Places places;
        for (const auto worker : order) {
            const auto rest = this->left - static_cast<std::uint32_t>(places.size());
            places.insert(places.end(), std::min(rest, this->fits(worker, this->whole[worker])), worker);
        }
        this->take(places);
    }

    bool isBusy() const
    {
        Capacity total;
        Capacity rest;
        for (const auto &worker : this->workers) {
            if (worker.countsAsFleet && worker.service == this->tasks->service) {
                total += worker.capacity;
                rest += {std::max<std::int64_t>(worker.free.milliCores, 0),
                         std::max<std::int64_t>(worker.free.memoryMb, 0),
                         std::max<std::int64_t>(worker.free.accelerators, 0)};
            }
        }
        const auto isHalfUsed = [](std::int64_t there, std::int64_t unused) { return there > 0 && unused * 2 <= there; };
        return isHalfUsed(total.milliCores, rest.milliCores) || isHalfUsed(total.memoryMb, rest.memoryMb) || isHalfUsed(total.accelerators, rest.accelerators);
    }

    const std::vector<PlannerWorker> &workers;
    const std::vector<RunningTasks> &running;
    std::vector<Capacity> free;
    std::vector<Capacity> whole;
    std::map<std::string, Places> racks;
    Places all;
    std::set<std::size_t> taken;
    std::set<std::size_t> delayed;
    const WaitingTasks *tasks = nullptr;
    std::uint32_t left = 0;
    std::vector<std::uint32_t> placed;
};

} // namespace

StepPlan planNaively(const std::vector<PlannerWorker> &workers, const std::vector<WaitingTasks> &waiting, const std::vector<RunningTasks> &running)
{
    Naive naive(workers, running);
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        naive.place(index, waiting[index]);
    }
    return std::move(naive.plan);
}

} // namespace waxwingloft::tests
