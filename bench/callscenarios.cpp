#include "scenarios.h"

#include "waxwingloft/request/fairqueue.h"

#include <map>
#include <memory>
#include <queue>
#include <random>

namespace waxwingloft::bench {

namespace {

constexpr int ServersToday = 10;
constexpr int ServersDesign = 100;
constexpr int SlotsPerServer = 8;
constexpr double SimulatedSeconds = 60.0;
constexpr double WarmUpSeconds = 10.0;
constexpr double MillisPerSecond = 1000.0;

/** One stream of Poisson arrivals of one caller. */
struct Stream {
    std::string workspace;
    double weight = 1.0;
    std::string kind;
    double worth = 1.0;
    Urgency urgency = Urgency::Normal;
    std::string caller;
    double perSecond = 1.0;
    double meanServiceMillis = 20.0;
    Millis deadline = Millis(5000);
};

struct Arrival {
    Instant at;
    QueuedCall call;
    double serviceMillis = 0.0;
};

/** What became of the requests of one workspace's kind, or of one caller. */
struct Tally {
    std::vector<double> completionMillis;
    int arrived = 0;
    int goodAnswers = 0; ///< within the deadline
};

struct CallResult {
    std::map<std::string, Tally> byStream; ///< by "workspace/kind/caller"
};

std::string keyOf(const QueuedCall &call)
{
    return call.workspace.value + "/" + call.kind.value + "/" + call.caller.value;
}

std::vector<Arrival> generate(const std::vector<Stream> &streams, std::uint64_t seed)
{
    std::vector<Arrival> arrivals;
    for (std::size_t index = 0; index < streams.size(); ++index) {
        std::mt19937_64 random(seed * 1000 + index);
        const auto &stream = streams[index];
        std::exponential_distribution<double> gap(stream.perSecond);
        std::lognormal_distribution<double> service(std::log(stream.meanServiceMillis) - 0.125, 0.5);
        for (double at = gap(random); at < SimulatedSeconds; at += gap(random)) {
            const auto instant = Instant(Millis(static_cast<std::int64_t>(at * MillisPerSecond)));
            QueuedCall call;
            call.workspace.value = stream.workspace;
            call.weight = stream.weight;
            call.kind.value = stream.kind;
            call.worth = stream.worth;
            call.urgency = stream.urgency;
            call.caller.value = stream.caller;
            call.deadline = instant + stream.deadline;
            arrivals.push_back({instant, call, std::max(1.0, service(random))});
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) { return left.at < right.at; });
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        arrivals[index].call.ticket = index + 1;
    }
    return arrivals;
}

struct Ending {
    Instant at;
    std::size_t arrival = 0;
    QueuedCall call;

    bool operator>(const Ending &other) const
    {
        return this->at > other.at;
    }
};

/** Serves the arrivals with a number of equal slots in the order of the queue. */
CallResult simulate(const std::vector<Arrival> &arrivals, CallQueue &queue, int slots)
{
    CallResult result;
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> endings;
    std::size_t next = 0;
    int free = slots;
    const auto warm = Instant(Millis(static_cast<std::int64_t>(WarmUpSeconds * MillisPerSecond)));
    const auto anyKind = [](const KindId &) { return true; };
    while (next < arrivals.size() || !endings.empty()) {
        const bool isArrival = next < arrivals.size() && (endings.empty() || arrivals[next].at <= endings.top().at);
        const auto now = isArrival ? arrivals[next].at : endings.top().at;
        if (isArrival) {
            const auto &arrival = arrivals[next++];
            if (arrival.at >= warm) {
                ++result.byStream[keyOf(arrival.call)].arrived;
            }
            queue.push(arrival.call, now);
        } else {
            const auto ending = endings.top();
            endings.pop();
            ++free;
            const auto &arrival = arrivals[ending.arrival];
            queue.chargeActual(ending.call, Millis(static_cast<std::int64_t>(arrival.serviceMillis)));
            if (arrival.at >= warm) {
                auto &tally = result.byStream[keyOf(arrival.call)];
                tally.completionMillis.push_back(static_cast<double>((now - arrival.at).count()));
                tally.goodAnswers += now <= arrival.call.deadline ? 1 : 0;
            }
        }
        while (free > 0) {
            auto call = queue.pop(now, anyKind);
            if (!call) {
                break;
            }
            const auto index = static_cast<std::size_t>(call->ticket - 1);
            if (now > call->deadline) {
                continue;
            }
            --free;
            endings.push({now + Millis(static_cast<std::int64_t>(arrivals[index].serviceMillis)), index, *call});
        }
    }
    return result;
}

/** Adds up the streams that @p isMeant names. */
template<typename Meant>
Tally sum(const CallResult &result, Meant isMeant)
{
    Tally total;
    for (const auto &[key, tally] : result.byStream) {
        if (isMeant(key)) {
            total.arrived += tally.arrived;
            total.goodAnswers += tally.goodAnswers;
            total.completionMillis.insert(total.completionMillis.end(), tally.completionMillis.begin(), tally.completionMillis.end());
        }
    }
    return total;
}

int slotsOf(Size size)
{
    return (size == Size::Design ? ServersDesign : ServersToday) * SlotsPerServer;
}

/** Four workspaces with three kinds each, two of them large, at 60% of the fleet's capacity. */
std::vector<Stream> ordinaryLoad(int slots)
{
    const double capacityPerSecond = slots * MillisPerSecond / 20.0;
    const double perUnit = 0.6 * capacityPerSecond / 18.0;
    std::vector<Stream> streams;
    for (const auto &[workspace, weight] : std::vector<std::pair<std::string, double>>{{"w1", 2.0}, {"w2", 2.0}, {"w3", 1.0}, {"w4", 1.0}}) {
        for (int caller = 0; caller < 3; ++caller) {
            const auto name = "c" + std::to_string(caller);
            streams.push_back({workspace, weight, "check", 4.0, Urgency::Urgent, name, perUnit * weight / 3.0, 20.0, Millis(2000)});
            streams.push_back({workspace, weight, "forecast", 2.0, Urgency::Normal, name, perUnit * weight / 3.0, 20.0, Millis(5000)});
            streams.push_back({workspace, weight, "scan", 1.0, Urgency::Patient, name, perUnit * weight / 3.0, 20.0, Millis(20000)});
        }
    }
    return streams;
}

/** Floods workspace w1 with ten times the fleet's capacity of one kind and compares with the ordinary load. */
std::vector<Metric> flood(std::uint64_t seed, Size size, const std::string &kind, Urgency urgency, double worth)
{
    const int slots = slotsOf(size);
    const auto ordinary = ordinaryLoad(slots);
    auto flooded = ordinary;
    const double capacityPerSecond = slots * MillisPerSecond / 20.0;
    for (int caller = 0; caller < 4; ++caller) {
        flooded.push_back({"w1", 2.0, kind, worth, urgency, "flood" + std::to_string(caller), 10.0 * capacityPerSecond / 4.0, 20.0, Millis(2000)});
    }
    const auto calm = generate(ordinary, seed);
    const auto stormy = generate(flooded, seed);
    const auto others = [](const std::string &key) { return !key.starts_with("w1/"); };
    const auto ownKinds = [&kind](const std::string &key) { return key.starts_with("w1/") && !key.starts_with("w1/" + kind + "/"); };

    struct Figures {
        double othersKept = 0.0;
        double ownKept = 0.0;
        double slowdown = 0.0;
    };
    const auto measure = [&](CallQueue &calmQueue, CallQueue &stormyQueue) {
        const auto before = simulate(calm, calmQueue, slots);
        const auto after = simulate(stormy, stormyQueue, slots);
        return Figures{ratioOf(sum(after, others).goodAnswers, sum(before, others).goodAnswers),
                       ratioOf(sum(after, ownKinds).goodAnswers, sum(before, ownKinds).goodAnswers),
                       ratioOf(quantileOf(sum(after, others).completionMillis, 0.99), quantileOf(sum(before, others).completionMillis, 0.99))};
    };
    SortedQueue naiveCalm;
    SortedQueue naiveStormy;
    FairQueue chosenCalm;
    FairQueue chosenStormy;
    const auto naive = measure(naiveCalm, naiveStormy);
    const auto chosen = measure(chosenCalm, chosenStormy);
    return {{"goodput that other workspaces keep", naive.othersKept, chosen.othersKept, 0.98, true, "share"},
            {"goodput that other kinds of the flooding workspace keep", naive.ownKept, chosen.ownKept, 0.9, true, "share"},
            {"p99 completion of other workspaces, flooded over calm", naive.slowdown, chosen.slowdown, 1.2, false, "ratio"}};
}

} // namespace

std::vector<Metric> floodPatient(std::uint64_t seed, Size size)
{
    return flood(seed, size, "scan", Urgency::Patient, 1.0);
}

std::vector<Metric> floodUrgent(std::uint64_t seed, Size size)
{
    return flood(seed, size, "check", Urgency::Urgent, 4.0);
}

std::vector<Metric> smallCaller(std::uint64_t seed, Size size)
{
    const int slots = slotsOf(size);
    const double capacityPerSecond = slots * MillisPerSecond / 20.0;
    constexpr int SmallCallers = 20;
    const double smallRate = 0.4 * capacityPerSecond / SmallCallers;
    std::vector<Stream> alone;
    for (int caller = 0; caller < SmallCallers; ++caller) {
        alone.push_back({"technicians", 1.0, "screen", 1.0, Urgency::Urgent, "small" + std::to_string(caller), smallRate, 20.0, Millis(5000)});
    }
    auto beside = alone;
    beside.push_back({"technicians", 1.0, "screen", 1.0, Urgency::Urgent, "large", 50.0 * smallRate, 20.0, Millis(5000)});
    const auto aloneArrivals = generate(alone, seed);
    const auto besideArrivals = generate(beside, seed);
    const auto isSmall = [](const std::string &key) { return key.find("/small") != std::string::npos; };
    const auto measure = [&](CallQueue &aloneQueue, CallQueue &besideQueue) {
        const auto before = simulate(aloneArrivals, aloneQueue, slots);
        const auto after = simulate(besideArrivals, besideQueue, slots);
        return std::pair{ratioOf(quantileOf(sum(after, isSmall).completionMillis, 0.99), quantileOf(sum(before, isSmall).completionMillis, 0.99)),
                         ratioOf(sum(after, isSmall).goodAnswers, sum(before, isSmall).goodAnswers)};
    };
    SortedQueue naiveAlone;
    SortedQueue naiveBeside;
    FairQueue chosenAlone;
    FairQueue chosenBeside;
    const auto naive = measure(naiveAlone, naiveBeside);
    const auto chosen = measure(chosenAlone, chosenBeside);
    return {{"p99 completion of small callers, beside a large one over alone", naive.first, chosen.first, 1.2, false, "ratio"},
            {"goodput that small callers keep beside a large one", naive.second, chosen.second, 0.98, true, "share"}};
}

} // namespace waxwingloft::bench
