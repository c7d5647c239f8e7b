#ifndef WAXWINGLOFT_BENCH_GANGSIMULATION_H
#define WAXWINGLOFT_BENCH_GANGSIMULATION_H

#include "waxwingloft/process/workerhealth.h"
#include "waxwingloft/request/gangscheduler.h"

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace waxwingloft::bench {

/** One job of a stream, with the run time that no policy is told. */
struct GangArrival {
    GangJob job;
    Millis actualRunTime{0};
    std::optional<Instant> cancelledAt;
};

/** What became of one job. */
struct GangTally {
    GangArrival arrival;
    std::optional<Instant> firstStart;
    std::optional<Instant> endedAt;
    int failedAttempts = 0;
};

/** A worker of the simulated fleet. */
struct WorkerSpec {
    NodeId node;
    Location location;
    Resources capacity;
};

/** What to run. */
struct GangSetup {
    std::vector<WorkerSpec> workers;
    Settings settings;
    std::vector<GangArrival> arrivals;
    std::optional<WorkerIndex> blackHole; ///< worker that fails everything after a second
    Instant measureFrom;
    Instant measureUntil;
};

/** Figures of one run. */
struct GangFigures {
    std::map<JobId, GangTally> jobs;
    double usableShare = 0.0; ///< of free accelerators, those on wholly free workers, time average
    double idlePlaceableShare = 0.0; ///< of all accelerators, idle ones that a waiting job would fit on, time average
    int violations = 0; ///< broken invariants and guarantees without workers
    double acceleratorSecondsLost = 0.0; ///< in failed attempts
    double busyShare = 0.0; ///< of accelerators, time average
};

/** Which policy runs. */
enum class PolicyChoice {
    Naive, ///< one line sorted by urgency and arrival, first fit, no reclaim, no quarantine
    Chosen,
};

/** Runs a stream of gangs through a policy under a virtual clock. No processes, no network. */
GangFigures simulateGangs(const GangSetup &setup, PolicyChoice choice);

} // namespace waxwingloft::bench

#endif
