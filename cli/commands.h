#ifndef WAXWINGLOFT_CLI_COMMANDS_H
#define WAXWINGLOFT_CLI_COMMANDS_H

#include "entryclient.h"
#include "printer.h"

#include <string>
#include <vector>

namespace waxwingloft::cli {

/** Exit codes of the command line tool. */
enum class ExitCode {
    Ok = 0,
    Usage = 2, ///< the command line or a file has mistakes
    Refused = 3, ///< the entry refused; nothing has run or changed
    Failed = 4, ///< the work ran and failed, or was cancelled
    Unknown = 5, ///< the work may have run
    Unreachable = 6, ///< no entry answered
};

/** What the flags of the command line say. */
struct Options {
    std::string entry;
    std::string token;
    std::string operatorToken;
    OutputForm output = OutputForm::Table;
    std::string caller;
    std::string request;
    int deadlineMs = 0;
    int tasks = 1;
    int processors = 0;
    int memoryGb = 0;
    int accelerators = 0;
    std::string adjacency;
    int runMs = 0;
    std::string region;
    std::string payload;
    std::string filter;
    std::int64_t sinceMs = 0;
    std::string trace;
    std::int64_t expectedVersion = 0;
    int timeoutSeconds = 60;
};

/** The commands of the tool; each asks one entry and prints the answer. */
class Commands
{
public:
    Commands(const Options &options, std::ostream &out, std::ostream &err);

    /** Runs the command that @p words name, such as {"job", "show", "ID"}. */
    ExitCode run(const std::vector<std::string> &words);

    /** Returns one line of help for each command. */
    static std::string help();

private:
    using Words = std::vector<std::string>;
    using Handler = ExitCode (Commands::*)(const Words &);

    struct Command {
        std::string_view name; ///< one or two words
        std::size_t arguments = 0;
        std::string_view usage;
        std::string_view purpose;
        Handler handler;
    };

    static const std::vector<Command> table;

    ExitCode call(const Words &arguments);
    ExitCode submitJob(const Words &arguments);
    ExitCode waitForJob(const Words &arguments);
    ExitCode showJob(const Words &arguments);
    ExitCode cancelJob(const Words &arguments);
    ExitCode listJobs(const Words &arguments);
    ExitCode getSettings(const Words &arguments);
    ExitCode setSettings(const Words &arguments);
    ExitCode removeSettings(const Words &arguments);
    ExitCode exportSettings(const Words &arguments);
    ExitCode importSettings(const Words &arguments);
    ExitCode moveSettings(const Words &arguments);
    ExitCode status(const Words &arguments);
    ExitCode drain(const Words &arguments);
    ExitCode timeline(const Words &arguments);
    ExitCode explain(const Words &arguments);

    ExitCode changeSettings(const std::string &action, const std::string &path, const nlohmann::json &value);
    ExitCode printAnswer(const Result<EntryAnswer> &answer);
    ExitCode printJob(const nlohmann::json &job);
    ExitCode reportProblem(const Result<EntryAnswer> &answer);
    ExitCode reportError(const Error &error, ExitCode code);
    ExitCode reportUnknownCommand(const Words &words);
    nlohmann::json filterEvents(const nlohmann::json &events) const;
    EntryClient callerClient() const;
    EntryClient operatorClient() const;

    const Options options;
    std::ostream &out;
    std::ostream &err;
};

} // namespace waxwingloft::cli

#endif
