#include "commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdlib>
#include <iostream>

ABSL_FLAG(std::string, entry, "", "base URL of an entry; default from WAXWINGLOFT_ENTRY, else http://127.0.0.1:8001");
ABSL_FLAG(std::string, token, "", "token of the workspace; better given in WAXWINGLOFT_TOKEN");
ABSL_FLAG(std::string, operator_token, "", "token for operators; better given in WAXWINGLOFT_OPERATOR_TOKEN");
ABSL_FLAG(std::string, output, "table", "how to print: table or json");
ABSL_FLAG(std::string, caller, "", "name of the caller inside the workspace");
ABSL_FLAG(std::string, request, "", "request id; the same id twice names the same request or job");
ABSL_FLAG(int, deadline_ms, 0, "longest wait for the answer of a call; 0 takes that of the kind");
ABSL_FLAG(int, tasks, 1, "tasks of the gang, 1 to 512");
ABSL_FLAG(int, processors, 0, "cores for each task");
ABSL_FLAG(int, memory_gb, 0, "GiB of memory for each task");
ABSL_FLAG(int, accelerators, 0, "accelerators for each task");
ABSL_FLAG(std::string, adjacency, "", "where all tasks must stand together: worker, rack, data-centre or region");
ABSL_FLAG(int, run_ms, 0, "expected run time");
ABSL_FLAG(std::string, region, "", "region to run in; empty for any");
ABSL_FLAG(std::string, payload, "", "what the worker gets");
ABSL_FLAG(std::string, filter, "", "only events that contain this text");
ABSL_FLAG(std::int64_t, since_ms, 0, "only events after this time, in milliseconds since the epoch");
ABSL_FLAG(std::string, trace, "", "also write the events to this file for a trace viewer");
ABSL_FLAG(std::int64_t, expected_version, 0, "version of the team that the change builds on; 0 skips the comparison");
ABSL_FLAG(int, timeout_s, 60, "longest wait for an answer");

namespace {

std::string flagOr(const std::string &flag, const char *variable, const std::string &fallback)
{
    if (!flag.empty()) {
        return flag;
    }
    const char *const value = std::getenv(variable);
    return value == nullptr ? fallback : value;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace waxwingloft;
    absl::SetProgramUsageMessage("Talks to an entry of waxwingloft.\n\n" + cli::Commands::help()
                                 + "\nExit codes: 0 done, 2 wrong command line or file, 3 refused and not run, 4 failed or cancelled,\n"
                                   "5 unknown: it may have run, 6 no entry answered.\n");
    const auto rest = absl::ParseCommandLine(argc, argv);
    const auto output = fromName<cli::OutputForm>(absl::GetFlag(FLAGS_output));
    if (rest.size() < 2 || !output) {
        std::cerr << (output ? "usage: waxwingloft COMMAND ...; see --help\n" : "--output takes " + allNames<cli::OutputForm>() + "\n");
        return static_cast<int>(cli::ExitCode::Usage);
    }
    const cli::Options options{flagOr(absl::GetFlag(FLAGS_entry), "WAXWINGLOFT_ENTRY", "http://127.0.0.1:8001"),
                               flagOr(absl::GetFlag(FLAGS_token), "WAXWINGLOFT_TOKEN", ""),
                               flagOr(absl::GetFlag(FLAGS_operator_token), "WAXWINGLOFT_OPERATOR_TOKEN", ""),
                               *output,
                               absl::GetFlag(FLAGS_caller),
                               absl::GetFlag(FLAGS_request),
                               absl::GetFlag(FLAGS_deadline_ms),
                               absl::GetFlag(FLAGS_tasks),
                               absl::GetFlag(FLAGS_processors),
                               absl::GetFlag(FLAGS_memory_gb),
                               absl::GetFlag(FLAGS_accelerators),
                               absl::GetFlag(FLAGS_adjacency),
                               absl::GetFlag(FLAGS_run_ms),
                               absl::GetFlag(FLAGS_region),
                               absl::GetFlag(FLAGS_payload),
                               absl::GetFlag(FLAGS_filter),
                               absl::GetFlag(FLAGS_since_ms),
                               absl::GetFlag(FLAGS_trace),
                               absl::GetFlag(FLAGS_expected_version),
                               absl::GetFlag(FLAGS_timeout_s)};
    cli::Commands commands(options, std::cout, std::cerr);
    return static_cast<int>(commands.run({rest.begin() + 1, rest.end()}));
}
