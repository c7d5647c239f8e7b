#include "role.h"

#include "waxwingloft/process/logger.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

ABSL_FLAG(std::string, config, "", "settings file of this process, in TOML; by default what WAXWINGLOFT_CONFIG names");
ABSL_FLAG(std::string, zone_close_ms, "", "goes before jobs.zone_close_ms of the settings file; empty leaves that in force");
ABSL_FLAG(bool, check_config, false, "report every mistake in the settings file and exit");

namespace waxwingloft {

namespace {

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;
constexpr int ExitCannotStart = 3;
constexpr int ExitUnfinished = 4;

using RoleMaker = std::unique_ptr<Role> (*)(const NodeConfig &);
constexpr std::array<RoleMaker, NameTable<NodeRole>::names.size()> RoleMakers = {&makeEntryRole, &makeAgentRole, &makeJobEntryRole, &makeJobAgentRole};

std::string configFile()
{
    const auto file = absl::GetFlag(FLAGS_config);
    const char *const fallback = std::getenv("WAXWINGLOFT_CONFIG");
    return file.empty() && fallback != nullptr ? std::string(fallback) : file;
}

std::optional<NodeConfig> readConfig(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << file << ": cannot be read; check the path given with --config\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    auto parsed = parseNodeConfig(text.str());
    for (const auto &mistake : parsed.mistakes) {
        std::cerr << toString(mistake, file) << "\n";
    }
    if (!setZoneCloseTime(parsed.config, absl::GetFlag(FLAGS_zone_close_ms))) {
        std::cerr << "--zone_close_ms: expected whole milliseconds from 2000 to 600000, or nothing\n";
        return std::nullopt;
    }
    return parsed.mistakes.empty() ? std::optional<NodeConfig>(parsed.config) : std::nullopt;
}

/** Blocks the signals that end the process, in this thread and all that it starts. */
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** Ends the process at once at a second signal. */
void watchForSecondSignal(sigset_t signals)
{
    std::thread([signals] {
        int signal = SIGHUP;
        while (signal == SIGHUP) {
            sigwait(&signals, &signal);
        }
        std::_Exit(ExitUnfinished);
    }).detach();
}

/** Waits for a signal that ends the process. Settings are read at the start only, so a hang-up changes nothing. */
void waitForEnd(const sigset_t &signals, const Logger &log)
{
    int signal = 0;
    sigwait(&signals, &signal);
    while (signal == SIGHUP) {
        log.info("Settings are read at the start only; restart this process to put a changed file in force.");
        sigwait(&signals, &signal);
    }
}

[[noreturn]] void run(const NodeConfig &config)
{
    const auto signals = blockSignals();
    openLog(config.node, config.logLevel);
    const Logger log(LogPart::Main);
    const auto role = RoleMakers.at(static_cast<std::size_t>(config.role))(config);
    role->start();
    log.info("Started as " + std::string(nameOf(config.role)) + ", RPC on " + config.rpcAddress + ", HTTP on " + config.httpAddress + ".");
    waitForEnd(signals, log);
    log.info("Stopping: no new work, finishing what is in hand.");
    watchForSecondSignal(signals);
    const bool isFinished = role->finish(config.shutdownLimit);
    log.info(isFinished ? "Stopped; nothing was cut off." : "Stopped at the deadline with work in hand.");
    // Threads that wait in reads of idle connections are not joined: callers may keep those open for long.
    closeLog();
    std::_Exit(isFinished ? ExitOk : ExitUnfinished);
}

} // namespace

} // namespace waxwingloft

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Runs one process of waxwingloft, an entry or an agent.\n\n"
                                 "  waxwingloftd --config=FILE                  run until SIGTERM\n"
                                 "  waxwingloftd --config=FILE --check_config   report every mistake in FILE\n\n"
                                 "Exit codes: 0 stopped cleanly, 2 mistakes in the command line or settings,\n"
                                 "3 cannot start, 4 stopped with work in hand.");
    const auto rest = absl::ParseCommandLine(argc, argv);
    const auto file = waxwingloft::configFile();
    if (rest.size() > 1 || file.empty()) {
        std::cerr << "usage: waxwingloftd --config=FILE [--check_config]; see --help\n";
        return waxwingloft::ExitUsage;
    }
    const auto config = waxwingloft::readConfig(file);
    if (!config) {
        return waxwingloft::ExitUsage;
    }
    if (absl::GetFlag(FLAGS_check_config)) {
        std::cout << file << ": no mistakes\n";
        return waxwingloft::ExitOk;
    }
    try {
        waxwingloft::run(*config);
    } catch (const std::runtime_error &error) {
        std::cerr << config->node << ": " << error.what() << "\n";
        return waxwingloft::ExitCannotStart;
    }
}
