#include "commands.h"

#include "jobstory.h"
#include "settingsfile.h"
#include "waxwingloft/process/nearestname.h"
#include "waxwingloft/process/outcome.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace waxwingloft::cli {

namespace {

constexpr auto WaitPause = std::chrono::milliseconds(200);

constexpr std::array<ExitCode, NameTable<Outcome>::names.size()> OutcomeCodes = {
    ExitCode::Ok, // Done
    ExitCode::Refused, // NotRun
    ExitCode::Failed, // Failed
    ExitCode::Unknown, // Unknown
    ExitCode::Failed, // Cancelled
};

ExitCode codeOf(const std::string &outcome)
{
    const auto value = fromName<Outcome>(outcome);
    return OutcomeCodes.at(static_cast<std::size_t>(value.value_or(Outcome::Unknown)));
}

std::string readFile(const std::string &file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::size_t wordsIn(std::string_view name)
{
    return 1 + static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

std::string joined(const std::vector<std::string> &words, std::size_t count)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(count, words.size()); ++index) {
        text += (index == 0 ? "" : " ") + words[index];
    }
    return text;
}

} // namespace

const std::vector<Commands::Command> Commands::table = {
    {"call", 2, "call KIND BODY", "run a request on a backend server and print its answer", &Commands::call},
    {"job submit", 1, "job submit KIND --tasks=N --accelerators=N [--adjacency=...]", "submit a gang job and print its id", &Commands::submitJob},
    {"job wait", 1, "job wait ID", "wait until a job has ended", &Commands::waitForJob},
    {"job show", 1, "job show ID", "show a job and what it waits for", &Commands::showJob},
    {"job cancel", 1, "job cancel ID", "cancel a job", &Commands::cancelJob},
    {"job list", 0, "job list", "list the jobs of the workspace", &Commands::listJobs},
    {"settings get", 1, "settings get PATH", "print the settings at a path, tokens hidden", &Commands::getSettings},
    {"settings set", 2, "settings set PATH JSON [--expected_version=N]", "put a value at a path", &Commands::setSettings},
    {"settings remove", 1, "settings remove PATH", "remove what is at a path", &Commands::removeSettings},
    {"settings export", 1, "settings export /teams/NAME", "print a whole team as TOML, tokens included", &Commands::exportSettings},
    {"settings import", 1, "settings import FILE", "put every team of a TOML file in place", &Commands::importSettings},
    {"settings move", 2, "settings move /teams/OLD NEW", "give a team a new name", &Commands::moveSettings},
    {"status", 0, "status", "show members, guarantees, queues and what is degraded", &Commands::status},
    {"drain", 1, "drain NODE", "let a backend server or worker finish and take no new work", &Commands::drain},
    {"timeline", 0, "timeline [--filter=TEXT] [--since_ms=MS] [--trace=FILE]", "merge the events of all processes", &Commands::timeline},
    {"explain", 2, "explain ID LOGFILE", "tell the story of one job from the logs of all processes, - for standard input", &Commands::explain},
};

Commands::Commands(const Options &options, std::ostream &out, std::ostream &err)
    : options(options)
    , out(out)
    , err(err)
{
}

ExitCode Commands::run(const Words &words)
{
    for (const auto &command : table) {
        const auto nameWords = wordsIn(command.name);
        if (joined(words, nameWords) != command.name) {
            continue;
        }
        const Words arguments(words.begin() + static_cast<std::ptrdiff_t>(nameWords), words.end());
        if (arguments.size() != command.arguments) {
            this->err << "usage: waxwingloft " << command.usage << "\n";
            return ExitCode::Usage;
        }
        return (this->*command.handler)(arguments);
    }
    return this->reportUnknownCommand(words);
}

std::string Commands::help()
{
    std::string text;
    for (const auto &command : table) {
        text += "  " + std::string(command.usage) + "\n      " + std::string(command.purpose) + "\n";
    }
    return text;
}

ExitCode Commands::call(const Words &arguments)
{
    const std::map<std::string, std::string> headers{{"Caller", this->options.caller},
                                                     {"Request-Id", this->options.request},
                                                     {"Deadline-Ms", this->options.deadlineMs > 0 ? std::to_string(this->options.deadlineMs) : ""}};
    const auto answer = this->callerClient().post("/v1/work/" + arguments[0], arguments[1], headers);
    if (!succeeded(answer) || !valueOf(answer).isGood()) {
        return this->reportProblem(answer);
    }
    this->out << valueOf(answer).body << "\n";
    return ExitCode::Ok;
}

ExitCode Commands::submitJob(const Words &arguments)
{
    nlohmann::json job{{"kind", arguments[0]},
                       {"tasks", this->options.tasks},
                       {"processors", this->options.processors},
                       {"memory_gb", this->options.memoryGb},
                       {"accelerators", this->options.accelerators},
                       {"run_ms", this->options.runMs},
                       {"payload", this->options.payload}};
    if (!this->options.adjacency.empty()) {
        job["adjacency"] = this->options.adjacency;
    }
    if (!this->options.region.empty()) {
        job["region"] = this->options.region;
    }
    const auto answer = this->callerClient().post("/v1/jobs", job.dump(), {{"Request-Id", this->options.request}});
    if (!succeeded(answer) || !valueOf(answer).isGood()) {
        return this->reportProblem(answer);
    }
    this->out << (this->options.output == OutputForm::Json ? valueOf(answer).body : plainText(valueOf(answer).json()["id"]) + "\n");
    return ExitCode::Ok;
}

ExitCode Commands::waitForJob(const Words &arguments)
{
    const auto giveUpAt = std::chrono::steady_clock::now() + std::chrono::seconds(this->options.timeoutSeconds);
    std::string lastDetail;
    while (true) {
        const auto answer = this->callerClient().get("/v1/jobs/" + arguments[0]);
        if (!succeeded(answer) || !valueOf(answer).isGood()) {
            return this->reportProblem(answer);
        }
        const auto job = valueOf(answer).json();
        if (job.value("state", "") == "ended") {
            this->printJob(job);
            return codeOf(plainText(job["outcome"]));
        }
        const auto detail = job.value("state", "") + ": " + job.value("detail", "");
        if (detail != lastDetail) {
            this->err << detail << "\n";
            lastDetail = detail;
        }
        if (std::chrono::steady_clock::now() >= giveUpAt) {
            return this->reportError(makeError(ErrorKind::DeadlineExceeded, "the job has not ended yet", "wait longer with --timeout_s"), ExitCode::Unknown);
        }
        std::this_thread::sleep_for(WaitPause);
    }
}

ExitCode Commands::showJob(const Words &arguments)
{
    const auto answer = this->callerClient().get("/v1/jobs/" + arguments[0]);
    return succeeded(answer) && valueOf(answer).isGood() ? this->printJob(valueOf(answer).json()) : this->reportProblem(answer);
}

ExitCode Commands::cancelJob(const Words &arguments)
{
    return this->printAnswer(this->callerClient().post("/v1/jobs/" + arguments[0] + "/cancel", "{}"));
}

ExitCode Commands::listJobs(const Words & /*arguments*/)
{
    const auto answer = this->callerClient().get("/v1/jobs");
    if (!succeeded(answer) || !valueOf(answer).isGood() || this->options.output == OutputForm::Json) {
        return this->printAnswer(answer);
    }
    printTable(this->out, {{"ID", "id"}, {"KIND", "kind"}, {"STATE", "state"}, {"OUTCOME", "outcome"}, {"DETAIL", "detail"}}, valueOf(answer).json()["jobs"]);
    return ExitCode::Ok;
}

ExitCode Commands::getSettings(const Words &arguments)
{
    const auto answer = this->operatorClient().get("/v1/settings?path=" + EntryClient::escape(arguments[0]));
    if (!succeeded(answer) || !valueOf(answer).isGood() || this->options.output == OutputForm::Json) {
        return this->printAnswer(answer);
    }
    const auto body = valueOf(answer).json();
    this->out << "# version of the team: " << body["team_version"].dump() << "\n";
    this->out << (body["value"].is_object() ? toToml(body["value"]) : body["value"].dump(2) + "\n");
    return ExitCode::Ok;
}

ExitCode Commands::setSettings(const Words &arguments)
{
    const auto value = nlohmann::json::parse(arguments[1], nullptr, false);
    if (value.is_discarded()) {
        return this->reportError(makeError(ErrorKind::InvalidInput, "the value is not JSON", "quote strings twice, such as '\"urgent\"'"), ExitCode::Usage);
    }
    return this->changeSettings("set", arguments[0], value);
}

ExitCode Commands::removeSettings(const Words &arguments)
{
    return this->changeSettings("remove", arguments[0], nullptr);
}

ExitCode Commands::exportSettings(const Words &arguments)
{
    const auto answer = this->operatorClient().get("/v1/settings?reveal=true&path=" + EntryClient::escape(arguments[0]));
    if (!succeeded(answer) || !valueOf(answer).isGood()) {
        return this->reportProblem(answer);
    }
    const std::string prefix = "/teams/";
    const auto name = arguments[0].starts_with(prefix) ? arguments[0].substr(prefix.size()) : std::string();
    if (name.empty() || name.find('/') != std::string::npos) {
        return this->reportError(makeError(ErrorKind::InvalidInput, "only a whole team can be exported", "give /teams/NAME"), ExitCode::Usage);
    }
    this->out << toToml({{"teams", {{name, valueOf(answer).json()["value"]}}}});
    return ExitCode::Ok;
}

ExitCode Commands::importSettings(const Words &arguments)
{
    const auto parsed = parseSettingsFile(readFile(arguments[0]), arguments[0]);
    if (!succeeded(parsed)) {
        return this->reportError(errorOf(parsed), ExitCode::Usage);
    }
    for (const auto &[team, subtree] : valueOf(parsed)["teams"].items()) {
        const auto code = this->changeSettings("set", "/teams/" + team, subtree);
        if (code != ExitCode::Ok) {
            return code;
        }
    }
    return ExitCode::Ok;
}

ExitCode Commands::moveSettings(const Words &arguments)
{
    return this->changeSettings("move", arguments[0], arguments[1]);
}

ExitCode Commands::status(const Words & /*arguments*/)
{
    const auto answer = this->operatorClient().get("/v1/status");
    if (!succeeded(answer) || !valueOf(answer).isGood() || this->options.output == OutputForm::Json) {
        return this->printAnswer(answer);
    }
    printStatus(this->out, valueOf(answer).json());
    return ExitCode::Ok;
}

ExitCode Commands::drain(const Words &arguments)
{
    return this->printAnswer(this->operatorClient().post("/v1/nodes/" + arguments[0] + "/drain", "{}"));
}

ExitCode Commands::explain(const Words &arguments)
{
    std::ifstream file;
    const bool isStandardInput = arguments[1] == "-";
    if (!isStandardInput) {
        file.open(arguments[1]);
        if (!file) {
            this->err << "cannot read " << arguments[1] << "; name a file with the log lines of all processes, or - for standard input\n";
            return ExitCode::Usage;
        }
    }
    auto &input = isStandardInput ? std::cin : static_cast<std::istream &>(file);
    JobStory story(arguments[0]);
    for (std::string text; std::getline(input, text);) {
        auto line = parseLogLine(text);
        if (line) {
            story.add(std::move(*line));
        }
    }
    if (!story.print(this->out)) {
        this->err << "no line names job " << arguments[0] << "; give the logs of all entries and agents of that time\n";
        return ExitCode::Failed;
    }
    return ExitCode::Ok;
}

ExitCode Commands::timeline(const Words & /*arguments*/)
{
    const auto answer = this->operatorClient().get("/v1/timeline?since_ms=" + std::to_string(this->options.sinceMs));
    if (!succeeded(answer) || !valueOf(answer).isGood()) {
        return this->reportProblem(answer);
    }
    const auto body = valueOf(answer).json();
    const auto events = this->filterEvents(body["events"]);
    for (const auto &address : body["silent"]) {
        this->err << "no answer from " << plainText(address) << "; its events are missing\n";
    }
    if (!this->options.trace.empty()) {
        std::ofstream(this->options.trace) << traceEvents(events).dump() << "\n";
    }
    if (this->options.output == OutputForm::Json) {
        this->out << events.dump(2) << "\n";
    } else {
        printTimeline(this->out, events);
    }
    return ExitCode::Ok;
}

ExitCode Commands::changeSettings(const std::string &action, const std::string &path, const nlohmann::json &value)
{
    const char *const user = std::getenv("USER");
    const nlohmann::json change{{"action", action},
                                {"path", path},
                                {"value", value},
                                {"expected_version", this->options.expectedVersion},
                                {"changed_by", user == nullptr ? "an operator" : user}};
    return this->printAnswer(this->operatorClient().post("/v1/settings", change.dump()));
}

ExitCode Commands::printAnswer(const Result<EntryAnswer> &answer)
{
    if (!succeeded(answer) || !valueOf(answer).isGood()) {
        return this->reportProblem(answer);
    }
    const auto body = valueOf(answer).json();
    if (this->options.output == OutputForm::Json || !body.is_object()) {
        this->out << valueOf(answer).body;
        return ExitCode::Ok;
    }
    for (const auto &[key, value] : body.items()) {
        this->out << key << ": " << plainText(value) << "\n";
    }
    return ExitCode::Ok;
}

ExitCode Commands::printJob(const nlohmann::json &job)
{
    if (this->options.output == OutputForm::Json) {
        this->out << job.dump(2) << "\n";
        return ExitCode::Ok;
    }
    printTable(this->out,
               {{"ID", "id"}, {"KIND", "kind"}, {"STATE", "state"}, {"OUTCOME", "outcome"}, {"REGION", "region"}, {"DETAIL", "detail"}},
               nlohmann::json::array({job}));
    return ExitCode::Ok;
}

ExitCode Commands::reportProblem(const Result<EntryAnswer> &answer)
{
    if (!succeeded(answer)) {
        return this->reportError(errorOf(answer), ExitCode::Unreachable);
    }
    const auto body = valueOf(answer).json();
    if (this->options.output == OutputForm::Json) {
        this->out << valueOf(answer).body << "\n";
    }
    const auto error = body.is_object() ? body.value("error", nlohmann::json::object()) : nlohmann::json::object();
    const auto outcome = body.is_object() ? body.value("outcome", "unknown") : "unknown";
    this->err << outcome << ": " << error.value("message", "the entry answered with status " + std::to_string(valueOf(answer).status)) << "; "
              << error.value("remedy", "") << "\n";
    return codeOf(outcome);
}

ExitCode Commands::reportError(const Error &error, ExitCode code)
{
    this->err << toString(error) << "\n";
    return code;
}

ExitCode Commands::reportUnknownCommand(const Words &words)
{
    std::vector<std::string> names;
    for (const auto &command : table) {
        names.emplace_back(command.name);
    }
    const auto given = joined(words, 2);
    const auto nearest = nearestName(given, names);
    this->err << "there is no command \"" << given << "\"" << (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?") << "; see --help\n";
    return ExitCode::Usage;
}

nlohmann::json Commands::filterEvents(const nlohmann::json &events) const
{
    auto kept = nlohmann::json::array();
    for (const auto &event : events) {
        const auto matches = [this](const auto &field) { return plainText(field).find(this->options.filter) != std::string::npos; };
        if (this->options.filter.empty() || std::any_of(event.begin(), event.end(), matches)) {
            kept.push_back(event);
        }
    }
    return kept;
}

EntryClient Commands::callerClient() const
{
    return {this->options.entry, this->options.token, this->options.timeoutSeconds};
}

EntryClient Commands::operatorClient() const
{
    return {this->options.entry, this->options.operatorToken, this->options.timeoutSeconds};
}

} // namespace waxwingloft::cli
