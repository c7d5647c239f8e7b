#ifndef WAXWINGLOFT_BENCH_SCENARIOS_H
#define WAXWINGLOFT_BENCH_SCENARIOS_H

#include "metric.h"

#include <vector>

namespace waxwingloft::bench {

/** Each runs naive and chosen policy on the same stream of arrivals and returns its figures. */
std::vector<Metric> floodPatient(std::uint64_t seed, Size size);
std::vector<Metric> floodUrgent(std::uint64_t seed, Size size);
std::vector<Metric> smallCaller(std::uint64_t seed, Size size);
std::vector<Metric> fragmentation(std::uint64_t seed, Size size);
std::vector<Metric> completion(std::uint64_t seed, Size size);
std::vector<Metric> reclaim(std::uint64_t seed, Size size);
std::vector<Metric> badWorkers(std::uint64_t seed, Size size);
std::vector<Metric> waves(std::uint64_t seed, Size size);

} // namespace waxwingloft::bench

#endif
