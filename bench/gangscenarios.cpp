#include "gangsimulation.h"
#include "scenarios.h"

#include <cmath>
#include <random>

namespace waxwingloft::bench {

namespace {

constexpr double MillisPerSecond = 1000.0;
constexpr double HoursSimulated = 24.0;
constexpr double SecondsPerHour = 3600.0;
constexpr std::int64_t Cores = 128;
constexpr std::int64_t MemoryGb = 256;
constexpr std::int64_t AcceleratorsOfWorker = 8;
constexpr int WorkersPerRack = 3;
constexpr int WorkersToday = 10;
constexpr int WorkersDesign = 200; ///< of 8 accelerators; the other workers of the design size carry single ones
constexpr double UrgentBound = 5.7; ///< seconds from submit to start

/** One sort of job in a mix. */
struct Sort {
    std::string workspace;
    std::string kind;
    Urgency urgency = Urgency::Normal;
    double worth = 1.0;
    bool idempotent = true;
    bool checkpointable = false;
    Shape shape;
    double share = 1.0; ///< of the accelerator time of the mix
    double meanSeconds = 1200.0;
    double sigma = 0.8;
};

Shape shapeOf(std::uint32_t tasks, std::int64_t accelerators, Adjacency adjacency)
{
    return Shape{tasks, {accelerators * 8, accelerators * 16, accelerators}, adjacency};
}

int workerCount(Size size)
{
    return size == Size::Design ? WorkersDesign : WorkersToday;
}

std::vector<WorkerSpec> makeWorkers(Size size)
{
    std::vector<WorkerSpec> workers;
    for (int index = 0; index < workerCount(size); ++index) {
        const auto rack = std::to_string(index / WorkersPerRack);
        workers.push_back(
            {NodeId{"w" + std::to_string(index)}, {"r", "d" + std::to_string(index / 30), "rack" + rack}, {Cores, MemoryGb, AcceleratorsOfWorker}});
    }
    return workers;
}

/** Draws jobs so that they ask for @p load of the fleet's accelerator time. Declared times are off by up to ten times either way. */
std::vector<GangArrival> draw(const std::vector<Sort> &sorts, double load, Size size, double hours, std::uint64_t seed)
{
    std::vector<GangArrival> arrivals;
    const double capacity = workerCount(size) * static_cast<double>(AcceleratorsOfWorker);
    double shares = 0.0;
    for (const auto &sort : sorts) {
        shares += sort.share;
    }
    for (std::size_t index = 0; index < sorts.size(); ++index) {
        const auto &sort = sorts[index];
        std::mt19937_64 random(seed * 1000 + index);
        const double accelerators = static_cast<double>(sort.shape.total().accelerators);
        const double perSecond = load * capacity * sort.share / shares / (accelerators * sort.meanSeconds);
        std::exponential_distribution<double> gap(perSecond);
        std::lognormal_distribution<double> runTime(std::log(sort.meanSeconds) - sort.sigma * sort.sigma / 2.0, sort.sigma);
        std::uniform_real_distribution<double> lie(-1.0, 1.0);
        int number = 0;
        for (double at = gap(random); at < hours * SecondsPerHour; at += gap(random)) {
            const double seconds = runTime(random);
            GangJob job;
            job.id.value = sort.workspace + "." + sort.kind + std::to_string(sort.shape.total().accelerators) + "." + std::to_string(number++);
            job.workspace.value = sort.workspace;
            job.kind.value = sort.kind;
            job.urgency = sort.urgency;
            job.worth = sort.worth;
            job.idempotent = sort.idempotent;
            job.checkpointable = sort.checkpointable;
            job.shape = sort.shape;
            job.declaredRunTime = Millis(static_cast<std::int64_t>(seconds * std::pow(10.0, lie(random)) * MillisPerSecond));
            job.submittedAt = Instant(Millis(static_cast<std::int64_t>(at * MillisPerSecond)));
            arrivals.push_back({job, Millis(static_cast<std::int64_t>(std::max(1.0, seconds) * MillisPerSecond)), std::nullopt});
        }
    }
    return arrivals;
}

GangSetup makeSetup(std::vector<GangArrival> arrivals, Size size, double hours)
{
    GangSetup setup;
    setup.workers = makeWorkers(size);
    setup.arrivals = std::move(arrivals);
    setup.measureFrom = Instant(Millis(static_cast<std::int64_t>(0.1 * hours * SecondsPerHour * MillisPerSecond)));
    setup.measureUntil = Instant(Millis(static_cast<std::int64_t>(hours * SecondsPerHour * MillisPerSecond)));
    return setup;
}

void addWorkspace(Settings &settings, const std::string &name, double weight, std::vector<Guarantee> guarantees)
{
    Workspace workspace;
    workspace.id.value = name;
    workspace.weight = weight;
    workspace.guarantees = std::move(guarantees);
    workspace.reclaimGrace = Millis(30000);
    settings.workspaces.emplace(workspace.id, workspace);
}

std::vector<double> waitsOf(const GangFigures &figures, const GangSetup &setup, std::int64_t accelerators)
{
    std::vector<double> waits;
    for (const auto &[id, tally] : figures.jobs) {
        const auto &job = tally.arrival.job;
        if (job.shape.total().accelerators == accelerators && job.submittedAt >= setup.measureFrom) {
            const auto started = tally.firstStart.value_or(setup.measureUntil);
            waits.push_back(std::max(0.0, static_cast<double>((started - job.submittedAt).count()) / MillisPerSecond));
        }
    }
    return waits;
}

/** Completion over the run time on an empty fleet, which no policy can beat. */
std::vector<double> slowdownsOf(const GangFigures &figures, const GangSetup &setup)
{
    std::vector<double> slowdowns;
    for (const auto &[id, tally] : figures.jobs) {
        if (tally.arrival.job.submittedAt >= setup.measureFrom && tally.endedAt && !tally.arrival.cancelledAt) {
            slowdowns.push_back(static_cast<double>((*tally.endedAt - tally.arrival.job.submittedAt).count())
                                / static_cast<double>(tally.arrival.actualRunTime.count()));
        }
    }
    return slowdowns;
}

std::vector<Sort> mixedGangs()
{
    return {{"plants", "probe", Urgency::Normal, 1.0, true, true, shapeOf(1, 1, Adjacency::Region), 0.2, 1200.0, 0.8},
            {"plants", "probe", Urgency::Normal, 1.0, true, true, shapeOf(1, 2, Adjacency::Region), 0.2, 1200.0, 0.8},
            {"moulds", "tune", Urgency::Normal, 1.0, true, true, shapeOf(1, 4, Adjacency::Worker), 0.2, 1800.0, 0.8},
            {"moulds", "simulation", Urgency::Normal, 2.0, false, true, shapeOf(1, 8, Adjacency::Worker), 0.2, 3600.0, 0.8},
            {"moulds", "simulation", Urgency::Normal, 2.0, false, true, shapeOf(2, 8, Adjacency::Rack), 0.1, 3600.0, 0.8},
            {"moulds", "simulation", Urgency::Normal, 2.0, false, true, shapeOf(3, 8, Adjacency::Rack), 0.1, 3600.0, 0.8}};
}

std::vector<Sort> bothUsersMix()
{
    return {{"drejeled", "simulation", Urgency::Normal, 8.0, false, true, shapeOf(1, 8, Adjacency::Worker), 0.4, 7200.0, 0.8},
            {"drejeled", "simulation", Urgency::Normal, 8.0, false, true, shapeOf(2, 4, Adjacency::Rack), 0.2, 7200.0, 0.8},
            {"technicians", "fit", Urgency::Normal, 2.0, true, false, shapeOf(1, 1, Adjacency::Region), 0.2, 900.0, 0.8},
            {"salons", "fit", Urgency::Patient, 1.0, true, false, shapeOf(1, 2, Adjacency::Region), 0.2, 900.0, 0.8}};
}

/** Share of the owner's urgent jobs that started in time, of those submitted while its guarantee was not used up. */
double shareStartedInTime(const GangFigures &figures, const GangSetup &setup, std::uint32_t guaranteed)
{
    std::vector<const GangTally *> owners;
    for (const auto &[id, tally] : figures.jobs) {
        if (tally.arrival.job.urgency == Urgency::Urgent && tally.arrival.job.submittedAt >= setup.measureFrom) {
            owners.push_back(&tally);
        }
    }
    double entitled = 0.0;
    double inTime = 0.0;
    for (const auto *owner : owners) {
        const auto submittedAt = owner->arrival.job.submittedAt;
        const auto isUnderWay = [submittedAt](const GangTally *other) {
            return other->arrival.job.submittedAt < submittedAt && (!other->endedAt || *other->endedAt > submittedAt);
        };
        if (std::count_if(owners.begin(), owners.end(), isUnderWay) >= static_cast<std::ptrdiff_t>(guaranteed)) {
            continue;
        }
        entitled += 1.0;
        const bool isInTime = owner->firstStart && static_cast<double>((*owner->firstStart - submittedAt).count()) / MillisPerSecond <= UrgentBound;
        inTime += isInTime ? 1.0 : 0.0;
    }
    return ratioOf(inTime, entitled);
}

} // namespace

std::vector<Metric> fragmentation(std::uint64_t seed, Size size)
{
    const double hours = size == Size::Today ? 4.0 * HoursSimulated : HoursSimulated;
    auto setup = makeSetup(draw(mixedGangs(), 0.85, size, hours, seed), size, hours);
    addWorkspace(setup.settings, "plants", 1.0, {});
    addWorkspace(setup.settings, "moulds", 1.0, {});
    const auto naive = simulateGangs(setup, PolicyChoice::Naive);
    const auto chosen = simulateGangs(setup, PolicyChoice::Chosen);
    const auto largest = 3 * AcceleratorsOfWorker;
    const auto naiveWait = meanOf(waitsOf(naive, setup, largest));
    const auto chosenWait = meanOf(waitsOf(chosen, setup, largest));
    return {{"free accelerators usable by whole-worker gangs", naive.usableShare, chosen.usableShare, 0.9, true, "share"},
            {"wait of the largest gangs, naive over chosen", 1.0, ratioOf(naiveWait, chosenWait), 5.0, true, "ratio"},
            {"mean wait of the largest gangs", naiveWait, chosenWait, naiveWait / 5.0, false, "s"},
            {"mean slowdown of all", meanOf(slowdownsOf(naive, setup)), meanOf(slowdownsOf(chosen, setup)), meanOf(slowdownsOf(naive, setup)), false, "ratio"}};
}

std::vector<Metric> completion(std::uint64_t seed, Size size)
{
    auto setup = makeSetup(draw(bothUsersMix(), 0.6, size, HoursSimulated, seed), size, HoursSimulated);
    addWorkspace(setup.settings, "drejeled", 3.0, {});
    addWorkspace(setup.settings, "technicians", 2.0, {});
    addWorkspace(setup.settings, "salons", 1.0, {});
    const auto naive = simulateGangs(setup, PolicyChoice::Naive);
    const auto chosen = simulateGangs(setup, PolicyChoice::Chosen);
    return {{"mean slowdown over a clairvoyant lower bound", meanOf(slowdownsOf(naive, setup)), meanOf(slowdownsOf(chosen, setup)), 1.3, false, "ratio"}};
}

std::vector<Metric> reclaim(std::uint64_t seed, Size size)
{
    std::vector<Sort> sorts = {{"salons", "fit", Urgency::Patient, 1.0, true, true, shapeOf(1, 2, Adjacency::Region), 0.7, 1800.0, 0.8},
                               {"salons", "fit", Urgency::Patient, 1.0, true, false, shapeOf(1, 4, Adjacency::Worker), 0.3, 1800.0, 0.8}};
    auto arrivals = draw(sorts, 1.2, size, HoursSimulated, seed);
    const std::vector<Sort> urgent = {{"drejeled", "check", Urgency::Urgent, 4.0, false, true, shapeOf(1, 8, Adjacency::Worker), 1.0, 300.0, 0.5}};
    const auto owners = draw(urgent, 0.1, size, HoursSimulated, seed + 1);
    arrivals.insert(arrivals.end(), owners.begin(), owners.end());
    auto setup = makeSetup(std::move(arrivals), size, HoursSimulated);
    const auto guaranteed = static_cast<std::uint32_t>(workerCount(size) / 2);
    addWorkspace(setup.settings, "drejeled", 3.0, {{guaranteed, shapeOf(1, 8, Adjacency::Worker), ""}});
    addWorkspace(setup.settings, "salons", 1.0, {});
    const auto startsInTime = [&setup, guaranteed](const GangFigures &figures) { return shareStartedInTime(figures, setup, guaranteed); };
    const auto naive = simulateGangs(setup, PolicyChoice::Naive);
    const auto chosen = simulateGangs(setup, PolicyChoice::Chosen);
    return {{"urgent starts under the guarantee within 5.7 s, reclaim included", startsInTime(naive), startsInTime(chosen), 1.0, true, "share"},
            {"guarantees broken", 0.0, static_cast<double>(chosen.violations), 0.0, false, "decisions"}};
}

std::vector<Metric> badWorkers(std::uint64_t seed, Size size)
{
    auto sorts = bothUsersMix();
    std::erase_if(sorts, [](const Sort &sort) { return !sort.idempotent; });
    auto setup = makeSetup(draw(sorts, 0.6, size, HoursSimulated, seed), size, HoursSimulated);
    addWorkspace(setup.settings, "technicians", 2.0, {});
    addWorkspace(setup.settings, "salons", 1.0, {});
    setup.blackHole = 0;
    const auto naive = simulateGangs(setup, PolicyChoice::Naive);
    const auto chosen = simulateGangs(setup, PolicyChoice::Chosen);
    return {
        {"work lost to a black-hole worker, naive over chosen", 1.0, ratioOf(naive.acceleratorSecondsLost, chosen.acceleratorSecondsLost), 20.0, true, "ratio"},
        {"work lost to a black-hole worker",
         naive.acceleratorSecondsLost,
         chosen.acceleratorSecondsLost,
         naive.acceleratorSecondsLost / 20.0,
         false,
         "accelerator seconds"}};
}

std::vector<Metric> waves(std::uint64_t seed, Size size)
{
    auto arrivals = draw(mixedGangs(), 0.9, size, HoursSimulated, seed);
    std::mt19937_64 random(seed);
    for (auto &arrival : arrivals) {
        auto &submittedAt = arrival.job.submittedAt;
        const auto hour = std::chrono::duration_cast<std::chrono::hours>(submittedAt.time_since_epoch()).count();
        submittedAt = Instant(
            Millis(static_cast<std::int64_t>(static_cast<double>(hour) * SecondsPerHour * MillisPerSecond) + static_cast<std::int64_t>(random() % 60000)));
        if (random() % 4 == 0) {
            arrival.cancelledAt = Instant(Millis(static_cast<std::int64_t>((static_cast<double>(hour) + 0.5) * SecondsPerHour * MillisPerSecond)));
        }
    }
    auto setup = makeSetup(std::move(arrivals), size, HoursSimulated);
    addWorkspace(setup.settings, "plants", 1.0, {});
    addWorkspace(setup.settings, "moulds", 1.0, {});
    const auto naive = simulateGangs(setup, PolicyChoice::Naive);
    const auto chosen = simulateGangs(setup, PolicyChoice::Chosen);
    return {{"accelerators idle with placeable work waiting", naive.idlePlaceableShare, chosen.idlePlaceableShare, 0.01, false, "share"}};
}

} // namespace waxwingloft::bench
