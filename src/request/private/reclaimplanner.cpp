#include "reclaimplanner.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <queue>
#include <utility>

namespace waxwingloft {

namespace {

constexpr double MinRankRatio = 1.5; ///< by which urgent work must outrank what it preempts; avoids preemption over small differences
constexpr double MinGainRatio = 1.5; ///< of the worth gained to the worth lost; both are estimates
constexpr double StopSeconds = 0.4; ///< from a stop to the start in its place; the users' longest stop takes 0.9 s, the usual one 0.2 s
constexpr double LeftAloneSeconds = 8.0; ///< until tasks start for which nothing is stopped and nothing is known to end

} // namespace

/** One try to fit a demand into a group of workers; runs that end within the horizon count as over. */
class ReclaimPlanner::Attempt
{
public:
    Attempt(ReclaimPlanner &planner, const Group &group, const Demand &demand, double horizon)
        : planner(planner)
        , demand(demand)
        , horizon(horizon)
        , number(++planner.attempts)
    {
        this->sites.reserve(group.size());
        for (const auto worker : group) {
            if (demand.limitOn(worker) == 0) {
                continue;
            }
            auto &available = planner.available[worker];
            available = planner.fleet.free()[worker];
            for (const auto &share : planner.sharesAt[worker]) {
                if (planner.isAwaited(share.entry, horizon)) {
                    addTo(available, planner.running[share.entry].needs, share.count);
                }
            }
            const auto fits = demand.fits(worker, available);
            this->total += fits;
            planner.siteAt[worker] = {this->number, this->sites.size()};
            this->sites.push_back({worker, fits});
        }
    }

    /** Chooses runs to stop until the demand fits. Returns whether it does. */
    bool chooseStops()
    {
        using Candidate = std::pair<double, std::size_t>; // cost and site
        std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>> queue;
        const auto push = [this, &queue](std::size_t site) {
            if (const auto cost = this->findNextSlot(this->sites[site])) {
                queue.emplace(*cost, site);
            }
        };
        for (std::size_t site = 0; site < this->sites.size() && this->total < this->demand.left; ++site) {
            push(site);
        }
        while (this->total < this->demand.left && !queue.empty()) {
            const auto [cost, site] = queue.top();
            queue.pop();
            // A gang that was chosen for another worker may have made this one cheaper or full.
            const auto present = this->findNextSlot(this->sites[site]);
            if (!present) {
                continue;
            }
            if (*present > cost && !queue.empty() && *present > queue.top().first) {
                queue.emplace(*present, site);
                continue;
            }
            for (const auto entry : this->next) {
                this->choose(entry);
            }
            push(site);
        }
        if (this->total < this->demand.left) {
            return false;
        }
        this->dropNeedlessStops();
        return true;
    }

    Reclaim result()
    {
        Reclaim found;
        Group group;
        for (const auto &site : this->sites) {
            group.push_back(site.worker);
        }
        found.places = fillGroup(group, this->demand, this->planner.available);
        std::map<std::size_t, std::uint32_t> countAt;
        for (const auto worker : found.places) {
            ++countAt[worker];
        }
        const auto isUsed = [this, &countAt](std::size_t entry) {
            const auto &parts = this->planner.running[entry].parts;
            return std::any_of(parts.begin(), parts.end(), [&countAt](const RunningTasks::Part &part) { return countAt.contains(part.worker); });
        };
        std::copy_if(this->stops.begin(), this->stops.end(), std::back_inserter(found.stops), isUsed);
        found.cost = this->costOf(found.stops);
        found.delay = found.stops.empty() ? 0.0 : StopSeconds;
        for (const auto &[worker, count] : countAt) {
            this->addAwaited(found, worker, count);
        }
        return found;
    }

private:
    struct Site {
        std::size_t worker = 0;
        std::uint32_t fits = 0;
    };

    /** What the delay of a job costs beside the stops so far. */
    struct Charge {
        std::size_t job = 0;
        double delayLoss = 0.0;
    };

    static void addTo(Capacity &available, const Capacity &needs, std::int64_t times)
    {
        available += {needs.milliCores * times, needs.memoryMb * times, needs.accelerators * times};
    }

    /** Adds the delay of the entry's job to @p charges. Returns what that adds; a job is delayed only once. */
    double charge(std::vector<Charge> &charges, std::size_t entry) const
    {
        const auto &tasks = this->planner.running[entry];
        if (tasks.delayLoss <= 0.0 || this->planner.isDelayed[tasks.job]) {
            return 0.0;
        }
        const auto known = std::find_if(charges.begin(), charges.end(), [&tasks](const Charge &charge) { return charge.job == tasks.job; });
        if (known == charges.end()) {
            charges.push_back({tasks.job, tasks.delayLoss});
            return tasks.delayLoss;
        }
        const auto added = std::max(0.0, tasks.delayLoss - known->delayLoss);
        known->delayLoss += added;
        return added;
    }

    /** Returns the worth that stops of @p entries lose. */
    double costOf(const std::vector<std::size_t> &entries) const
    {
        double cost = 0.0;
        std::vector<Charge> charges;
        for (const auto entry : entries) {
            cost += this->planner.running[entry].stopCost + this->charge(charges, entry);
        }
        return cost;
    }

    bool isChosen(std::size_t entry) const
    {
        return this->planner.chosenIn[entry] == this->number;
    }

    /** Sets @c next to the runs whose stop lets one more task fit on the worker. Returns their cost, or nothing if there are none. */
    std::optional<double> findNextSlot(const Site &site)
    {
        this->next.clear();
        if (site.fits >= this->demand.limitOn(site.worker)) {
            return std::nullopt;
        }
        double cost = 0.0;
        auto available = this->planner.available[site.worker];
        auto charges = this->charged;
        for (const auto &share : this->planner.sharesAt[site.worker]) {
            const auto entry = share.entry;
            if (this->isChosen(entry) || !this->planner.canStop(entry, this->demand.tasks) || this->planner.isAwaited(entry, this->horizon)) {
                continue;
            }
            const auto &tasks = this->planner.running[entry];
            addTo(available, tasks.needs, share.count);
            this->next.push_back(entry);
            cost += tasks.stopCost + this->charge(charges, entry);
            if (this->demand.fits(site.worker, available) > site.fits) {
                return cost;
            }
        }
        return std::nullopt;
    }

    void choose(std::size_t entry)
    {
        this->stops.push_back(entry);
        this->planner.chosenIn[entry] = this->number;
        this->charge(this->charged, entry);
        this->changeAvailable(entry, 1);
    }

    void changeAvailable(std::size_t entry, std::int64_t sign)
    {
        const auto &tasks = this->planner.running[entry];
        for (const auto &part : tasks.parts) {
            const auto &known = this->planner.siteAt[part.worker];
            if (known.attempt != this->number) {
                continue;
            }
            auto &site = this->sites[known.site];
            auto &available = this->planner.available[part.worker];
            addTo(available, tasks.needs, sign * static_cast<std::int64_t>(part.count));
            this->total -= site.fits;
            site.fits = this->demand.fits(site.worker, available);
            this->total += site.fits;
        }
    }

    /** Drops stops without which the tasks still fit, the latest first. */
    void dropNeedlessStops()
    {
        for (std::size_t index = this->stops.size(); index-- > 0;) {
            const auto entry = this->stops[index];
            this->changeAvailable(entry, -1);
            if (this->total >= this->demand.left) {
                this->stops.erase(this->stops.begin() + static_cast<std::ptrdiff_t>(index));
                this->planner.chosenIn[entry] = 0;
            } else {
                this->changeAvailable(entry, 1);
            }
        }
    }

    /** Adds the runs on @p worker that have to end for @p count tasks to fit, the next ends first. */
    void addAwaited(Reclaim &found, std::size_t worker, std::uint32_t count) const
    {
        auto available = this->planner.fleet.free()[worker];
        std::vector<std::pair<double, Share>> ends;
        for (const auto &share : this->planner.sharesAt[worker]) {
            const auto &tasks = this->planner.running[share.entry];
            if (this->isChosen(share.entry)) {
                addTo(available, tasks.needs, share.count);
            } else if (this->planner.isAwaited(share.entry, this->horizon)) {
                ends.emplace_back(tasks.isStopping ? 0.0 : tasks.endsIn, share);
            }
        }
        std::stable_sort(ends.begin(), ends.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
        for (const auto &[seconds, share] : ends) {
            if (this->demand.fits(worker, available) >= count) {
                return;
            }
            addTo(available, this->planner.running[share.entry].needs, share.count);
            found.delay = std::max(found.delay, this->planner.running[share.entry].isStopping ? StopSeconds : seconds);
            if (std::find(found.awaited.begin(), found.awaited.end(), share.entry) == found.awaited.end()) {
                found.awaited.push_back(share.entry);
            }
        }
    }

    ReclaimPlanner &planner;
    const Demand &demand;
    const double horizon;
    const std::uint64_t number;
    std::vector<Site> sites;
    std::vector<std::size_t> stops;
    std::vector<std::size_t> next;
    std::vector<Charge> charged; ///< by the chosen stops
    std::uint64_t total = 0; ///< tasks that fit
};

ReclaimPlanner::ReclaimPlanner(PlannerFleet &fleet, const std::vector<RunningTasks> &running)
    : fleet(fleet)
    , running(running)
    , isTaken(running.size(), false)
    , sharesAt(fleet.everyone().size())
    , newEnds(fleet.racks().size())
    , available(fleet.everyone().size())
    , siteAt(fleet.everyone().size())
    , chosenIn(running.size(), 0)
{
    std::size_t jobs = 0;
    for (std::size_t entry = 0; entry < running.size(); ++entry) {
        const auto &tasks = running[entry];
        jobs = std::max(jobs, tasks.job + 1);
        this->ranks.push_back(tasks.rank);
        this->entriesOfJob[tasks.job].push_back(entry);
        for (const auto &part : tasks.parts) {
            auto &shares = this->sharesAt[part.worker];
            const auto known = std::find_if(shares.begin(), shares.end(), [entry](const Share &share) { return share.entry == entry; });
            if (known == shares.end()) {
                shares.push_back({entry, part.count});
            } else {
                known->count += part.count;
            }
        }
    }
    this->isDelayed.resize(jobs, false);
    std::sort(this->ranks.begin(), this->ranks.end());
    const auto costOf = [&running](const Share &share) { return running[share.entry].stopCost + running[share.entry].delayLoss; };
    for (auto &shares : this->sharesAt) {
        std::stable_sort(shares.begin(), shares.end(), [&costOf](const Share &left, const Share &right) { return costOf(left) < costOf(right); });
    }
    this->findNewEnds();
}

void ReclaimPlanner::findNewEnds()
{
    for (std::size_t rack = 0; rack < this->newEnds.size(); ++rack) {
        for (const auto worker : this->fleet.racks()[rack].members) {
            for (const auto &share : this->sharesAt[worker]) {
                const auto horizon = std::lower_bound(Horizons.begin() + 1, Horizons.end(), this->running[share.entry].endsIn);
                if (horizon != Horizons.end()) {
                    this->newEnds[rack].at(static_cast<std::size_t>(horizon - Horizons.begin())) = true;
                }
            }
        }
    }
}

bool ReclaimPlanner::isAwaited(std::size_t entry, double horizon) const
{
    const auto &tasks = this->running[entry];
    return !this->isTaken[entry] && (tasks.isStopping || (tasks.endsIn <= horizon && horizon > 0.0));
}

/**
 * Guaranteed work may preempt any work that is not guaranteed. Urgent work may preempt only what is less urgent and ranks
 * lower by MinRankRatio, because work of a higher rank would be placed ahead of it again.
 */
bool ReclaimPlanner::canStop(std::size_t entry, const WaitingTasks &tasks) const
{
    const auto &candidate = this->running[entry];
    const bool isLesser = candidate.priority > tasks.priority && candidate.rank * MinRankRatio < tasks.rank;
    return !this->isTaken[entry] && !candidate.isStopping && !candidate.isGuaranteed && (tasks.isGuaranteed || isLesser);
}

/** Whether more runs of a rack are awaited with this horizon than with the one before. */
bool ReclaimPlanner::hasNewEnds(std::size_t rack, std::size_t horizon) const
{
    return horizon == 0 || this->newEnds[rack].at(horizon);
}

ReclaimPlanner::DemandKey ReclaimPlanner::keyOf(const Demand &demand) const
{
    const auto &tasks = demand.tasks;
    const auto lower = std::lower_bound(this->ranks.begin(), this->ranks.end(), tasks.rank / MinRankRatio) - this->ranks.begin();
    return {demand.shape, demand.left, tasks.priority, tasks.isGuaranteed, static_cast<std::size_t>(lower)};
}

std::optional<Reclaim> ReclaimPlanner::reclaimIn(const Group &group, const Demand &demand, double horizon)
{
    Attempt attempt(*this, group, demand, horizon);
    return attempt.chooseStops() ? std::optional(attempt.result()) : std::nullopt;
}

ReclaimPlanner::Estimate ReclaimPlanner::estimateOf(const std::optional<Reclaim> &found)
{
    return found ? Estimate{true, !found->stops.empty(), found->cost, found->delay} : Estimate();
}

ReclaimPlanner::Estimate ReclaimPlanner::estimateIn(std::size_t rack, const Demand &demand, std::size_t horizon, std::vector<RackEstimates> *known)
{
    const auto &place = this->fleet.racks()[rack];
    if (known == nullptr) {
        return estimateOf(this->reclaimIn(place.members, demand, Horizons.at(horizon)));
    }
    auto &inRack = (*known)[rack];
    if (inRack.version != place.version) {
        inRack = {place.version, {}};
    }
    auto &estimate = inRack.byHorizon.at(horizon);
    if (!estimate) {
        estimate = estimateOf(this->reclaimIn(place.members, demand, Horizons.at(horizon)));
    }
    return *estimate;
}

std::optional<Reclaim> ReclaimPlanner::plan(const Demand &demand, const std::vector<std::size_t> &racks, std::optional<double> otherwise)
{
    const auto &worth = demand.tasks.worth;
    double bestNet = otherwise.value_or(worth.after(LeftAloneSeconds));
    if (worth.after(0.0) <= bestNet) {
        return std::nullopt;
    }
    const Group *bestGroup = nullptr;
    double bestHorizon = 0.0;
    // Returns whether longer horizons can still be better.
    const auto consider = [&](const Estimate &found, const Group &group, double horizon) {
        const auto net = worth.after(found.delay) - MinGainRatio * found.cost;
        const bool isBetter = found.hasStops || bestGroup != nullptr || otherwise ? net > bestNet : net >= bestNet;
        if (found.isPossible && isBetter) {
            bestGroup = &group;
            bestHorizon = horizon;
            bestNet = net;
        }
        return !found.isPossible || found.hasStops;
    };
    std::vector<RackEstimates> *known = nullptr;
    if (demand.isUniform()) {
        known = &this->estimates[this->keyOf(demand)];
        known->resize(this->fleet.racks().size());
    }
    for (const auto rack : racks) {
        for (std::size_t index = 0; index < Horizons.size() && Horizons.at(index) <= demand.tasks.longestWait; ++index) {
            const auto &members = this->fleet.racks()[rack].members;
            if (this->hasNewEnds(rack, index) && !consider(this->estimateIn(rack, demand, index, known), members, Horizons.at(index))) {
                break;
            }
        }
    }
    if (PlannerFleet::maySpread(demand, racks)) {
        for (std::size_t index = 0; index < Horizons.size() && Horizons.at(index) <= demand.tasks.longestWait; ++index) {
            const auto found = this->reclaimIn(this->fleet.everyone(), demand, Horizons.at(index));
            if (!consider(estimateOf(found), this->fleet.everyone(), Horizons.at(index))) {
                break;
            }
        }
    }
    return bestGroup == nullptr ? std::nullopt : this->reclaimIn(*bestGroup, demand, bestHorizon);
}

void ReclaimPlanner::take(const Reclaim &reclaim, const WaitingTasks &tasks)
{
    const auto touchPartsOf = [this](std::size_t entry) {
        for (const auto &part : this->running[entry].parts) {
            this->fleet.touch(part.worker);
        }
    };
    for (const auto *const entries : {&reclaim.stops, &reclaim.awaited}) {
        for (const auto entry : *entries) {
            this->isTaken[entry] = true;
            touchPartsOf(entry);
        }
    }
    for (const auto entry : reclaim.stops) {
        const auto job = this->running[entry].job;
        if (!this->isDelayed[job]) {
            this->isDelayed[job] = true;
            std::for_each(this->entriesOfJob.at(job).begin(), this->entriesOfJob.at(job).end(), touchPartsOf);
        }
    }
    for (const auto worker : reclaim.places) {
        this->fleet.take(worker, tasks.needs);
    }
}

} // namespace waxwingloft
