#include "scenarios.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <array>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string_view>

ABSL_FLAG(std::string, scenario, "all", "flood-patient, flood-urgent, small-caller, fragmentation, completion, reclaim, bad-workers, waves or all");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the arrivals; the same seed gives the same figures");
ABSL_FLAG(std::string, size, "today", "size of the fleet: today or design");

namespace waxwingloft::bench {

namespace {

struct Scenario {
    std::string_view name;
    std::vector<Metric> (*run)(std::uint64_t seed, Size size);
};

constexpr std::array<Scenario, 8> Scenarios = {{
    {"flood-patient", &floodPatient},
    {"flood-urgent", &floodUrgent},
    {"small-caller", &smallCaller},
    {"fragmentation", &fragmentation},
    {"completion", &completion},
    {"reclaim", &reclaim},
    {"bad-workers", &badWorkers},
    {"waves", &waves},
}};

void print(std::string_view scenario, std::uint64_t seed, const std::string &size, const Metric &metric)
{
    const bool isMet = metric.higherIsBetter ? metric.chosen >= metric.target : metric.chosen <= metric.target;
    std::cout << nlohmann::ordered_json{{"scenario", scenario},
                                        {"seed", seed},
                                        {"size", size},
                                        {"metric", metric.name},
                                        {"naive", metric.naive},
                                        {"chosen", metric.chosen},
                                        {"target", metric.target},
                                        {"better", metric.higherIsBetter ? "higher" : "lower"},
                                        {"unit", metric.unit},
                                        {"met", isMet}}
                     .dump()
              << std::endl;
}

} // namespace

} // namespace waxwingloft::bench

int main(int argc, char **argv)
{
    using namespace waxwingloft::bench;
    absl::SetProgramUsageMessage("Feeds generated arrivals to the decision objects under a virtual clock and compares them with naive ones.\n"
                                 "One JSON object a line; deterministic for each seed.");
    absl::ParseCommandLine(argc, argv);
    const auto wanted = absl::GetFlag(FLAGS_scenario);
    const auto seed = absl::GetFlag(FLAGS_seed);
    const auto sizeName = absl::GetFlag(FLAGS_size);
    bool isKnown = false;
    for (const auto &scenario : Scenarios) {
        if (wanted != "all" && wanted != scenario.name) {
            continue;
        }
        isKnown = true;
        for (const auto &metric : scenario.run(seed, sizeName == "design" ? Size::Design : Size::Today)) {
            print(scenario.name, seed, sizeName, metric);
        }
    }
    if (!isKnown) {
        std::cerr << "there is no scenario \"" << wanted << "\"; see --help\n";
        return 2;
    }
    return 0;
}
