#ifndef WAXWINGLOFT_REQUEST_EXECUTORSPEEDS_H
#define WAXWINGLOFT_REQUEST_EXECUTORSPEEDS_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/request/livejob.h"
#include "waxwingloft/request/liveworker.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace waxwingloft {

/** Parameters of ExecutorSpeeds. Speeds are compared as natural logarithms. */
struct ExecutorSpeedOptions {
    std::uint32_t windowPercent = 20; ///< progress over which the pace of a run is measured; percentages are whole numbers and come once a second
    Millis shortestWindow = Millis(700); ///< over which a pace is measured; reports arrive some 0.1 s early or late
    std::size_t minPeers = 3; ///< runs of the same step on other executors that a pace is compared with; one of them may be seven times as long
    std::size_t minRuns = 6; ///< of an executor before its speed counts; their upper median stands up to three long tasks among them
    std::size_t minRunsOfClass = 2; ///< of an executor to put it into a class once there are two
    std::size_t maxRuns = 15; ///< that the speed of an executor is the median of
    std::size_t changedRuns = 6; ///< newest runs that show a change of speed when all but one differ by changedBy to one side
    double changedBy = 0.6; ///< about factor 1.8; twice what tasks of one step commonly differ by (factor 1.35)
    std::size_t minKnown = 6; ///< executors of known speed before two classes of speed are looked for
    std::size_t minClass = 2; ///< executors in a class; a single one may have had nothing but long tasks
    double minSpread = 0.4; ///< between the means of the classes; about factor 1.5, as tasks of one step commonly differ by 1.35
    double minSeparation = 5.0; ///< of the means of the classes, in standard deviations within them and of a speed; halves of one normal distribution have 2.7
    double keptSeparation = 4.0; ///< the same once the classes are in use, so that they do not come and go
    Millis refreshInterval = Millis(1000); ///< between two computations of the classes
    Millis stepMemory = Millis(30'000); ///< after its last progress, for which the paces of a step are compared with
    std::size_t maxSteps = 1000; ///< whose paces are kept; the oldest go first
    std::size_t maxPeers = 64; ///< paces kept for each step
    std::size_t maxNodes = 10'000; ///< whose speeds are kept; the largest deployments have 7,500
};

/**
 * Learns from the progress of runs how fast executors are relative to each other.
 *
 * Addresses fleets in which some executors take twice as long as others for the same work while the estimates of callers are
 * off by more than that: the pace of a run is compared with the paces of other runs of the same step on other executors only.
 * Speeds are kept while an executor is idle. Reports two classes of speed once the executors clearly fall into two, and none
 * before, so that a fleet of even speed is served by capacity alone. Bounded in size. Not thread safe.
 */
class ExecutorSpeeds
{
public:
    explicit ExecutorSpeeds(ExecutorSpeedOptions options = {});

    /** Takes in the progress of the runs of @p worker, as of a report received at @p now. */
    void learn(LiveWorker &worker, const std::map<JobId, LiveJob> &jobs, Instant now);

    /** Takes in that a run of @p step (a key with index zero) at @p node does the share @p perSecond of its work in a second. Needs a rate above zero. */
    void observe(const NodeId &node, const TaskKey &step, const TaskRun &run, double perSecond, bool isGang, Instant now);

    /** Forgets what is known of @p node, as its machine has changed. */
    void forget(const NodeId &node);

    /** Computes the classes anew when the refresh interval has passed; @p fleet is the number of executors.
     */
    void refresh(Instant now, std::size_t fleet);

    /**
     * Returns the speed of @p node: 1.0 for the faster class, and for all while there is one class.
     *
     * Once most executors are judged, those that are not count as slower: work that can wait tries them first.
     */
    double of(const NodeId &node) const;

    /** Returns the speed of the slower class; nothing while there is one class. */
    std::optional<double> slowerSpeed() const;

    /** Returns how many executors are in the slower class. */
    std::size_t slowerCount() const;

private:
    struct Pace {
        NodeId node;
        double logRate = 0.0;
    };

    struct Step {
        std::map<TaskRun, Pace> paces;
        Instant lastAt;
    };

    struct Sample {
        TaskRun run;
        double logSpeed = 0.0;
    };

    struct Node {
        std::deque<Sample> samples; ///< one for each run, the newest last
        std::optional<double> logSpeed;
        Instant lastAt;
    };

    static double upperMedianOf(std::vector<double> &values);
    static double speedOf(const Node &known);
    std::optional<double> referenceFor(const NodeId &node, const Step &step) const;
    void addSample(const NodeId &node, const TaskRun &run, double logSpeed, Instant now);
    void dropBeforeChange(Node &known) const;
    void dropOld(Instant now);
    void centre();
    double noise() const;
    void classify(std::size_t fleet);

    const ExecutorSpeedOptions options;
    std::map<TaskKey, Step> steps;
    std::map<NodeId, Node> nodes;
    std::map<NodeId, double> judged; ///< speeds of the executors that belong to a class
    double unjudgedSpeed = 1.0;
    std::optional<double> slowerClass;
    std::optional<Instant> refreshedAt;
};

} // namespace waxwingloft

#endif
