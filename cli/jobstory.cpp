#include "jobstory.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <set>
#include <sstream>

namespace waxwingloft::cli {

namespace {

constexpr std::string_view TimeField = "time=";
constexpr std::size_t TimeLength = 23; ///< of a time such as 2026-12-04 08:49:12,146
constexpr std::int64_t MillisPerSecond = 1000;

/** A phase of a job's life ends with the first line that has its text. */
struct Phase {
    std::string_view endsWith;
    std::string_view label;
};

constexpr std::array<Phase, 4> Phases = {{{"A job came in.", "until the placer knew it"},
                                          {"Tasks of a step were assigned.", "until there was room"},
                                          {"A run started.", "until it started"},
                                          {"A job's state changed.", "until its last change of state"}}};

/** A line of an agent with one of these texts ends runs without naming their jobs. */
constexpr std::array<std::string_view, 3> EndsOfRuns = {"runs of its previous incarnation are over", " leaves with ", " runs count as ended"};

bool endsRuns(const LogLine &line)
{
    return std::any_of(EndsOfRuns.begin(), EndsOfRuns.end(), [&line](std::string_view text) { return line.what.find(text) != std::string::npos; });
}

std::optional<std::int64_t> parseTime(const std::string &text)
{
    std::tm parts{};
    std::istringstream stream(text);
    int millis = 0;
    char comma = 0;
    stream >> std::get_time(&parts, "%Y-%m-%d %H:%M:%S") >> comma >> millis;
    if (stream.fail() || comma != ',') {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(timegm(&parts)) * MillisPerSecond + millis;
}

std::map<std::string, std::string> parseFields(const std::string &text)
{
    std::map<std::string, std::string> fields;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto equals = text.find('=', begin);
        if (equals == std::string::npos) {
            break;
        }
        const bool isQuoted = equals + 1 < text.size() && text[equals + 1] == '"';
        const auto valueBegin = equals + (isQuoted ? 2 : 1);
        auto valueEnd = text.find(isQuoted ? '"' : ' ', valueBegin);
        valueEnd = valueEnd == std::string::npos ? text.size() : valueEnd;
        fields[text.substr(begin, equals - begin)] = text.substr(valueBegin, valueEnd - valueBegin);
        begin = text.find_first_not_of(' ', valueEnd + 1);
        begin = begin == std::string::npos ? text.size() : begin;
    }
    return fields;
}

std::string takeField(std::map<std::string, std::string> &fields, const std::string &name)
{
    const auto node = fields.extract(name);
    return node.empty() ? std::string() : node.mapped();
}

} // namespace

std::optional<LogLine> parseLogLine(const std::string &text)
{
    const auto begin = text.find(TimeField);
    if (begin == std::string::npos || text.size() < begin + TimeField.size() + TimeLength) {
        return std::nullopt;
    }
    const auto time = parseTime(text.substr(begin + TimeField.size(), TimeLength));
    auto fields = parseFields(text.substr(std::min(text.size(), begin + TimeField.size() + TimeLength + 1)));
    LogLine line;
    line.level = takeField(fields, "level");
    line.node = takeField(fields, "node");
    line.part = takeField(fields, "part");
    line.what = takeField(fields, "what");
    if (!time || line.what.empty()) {
        return std::nullopt;
    }
    line.atMs = *time;
    line.inputs = std::move(fields);
    return line;
}

JobStory::JobStory(std::string job)
    : job(std::move(job))
{
}

void JobStory::add(LogLine line)
{
    const auto named = line.inputs.find("job");
    if (named != line.inputs.end() && named->second == this->job) {
        line.inputs.erase(named);
        this->ownLines.push_back(std::move(line));
    } else if (named == line.inputs.end() && (line.level != "INFO" || endsRuns(line))) {
        this->hostLines.push_back(std::move(line));
    }
}

std::vector<LogLine> JobStory::steps() const
{
    auto steps = this->ownLines;
    if (steps.empty()) {
        return steps;
    }
    std::set<std::string> executors;
    std::set<std::string> agents;
    auto first = steps.front().atMs;
    auto last = first;
    for (const auto &line : steps) {
        const auto executor = line.inputs.find("executor");
        if (executor != line.inputs.end() && !executor->second.empty()) {
            executors.insert(executor->second);
            agents.insert(line.node);
        }
        first = std::min(first, line.atMs);
        last = std::max(last, line.atMs);
    }
    for (const auto &line : this->hostLines) {
        const bool isNear = line.atMs >= first && line.atMs <= last;
        const bool isNamed = std::any_of(executors.begin(), executors.end(), [&line](const std::string &executor) {
            const auto input = line.inputs.find("executor");
            return line.what.find(executor) != std::string::npos || (input != line.inputs.end() && input->second == executor);
        });
        // An executor may start again under another id.
        if (isNear && (isNamed || (endsRuns(line) && agents.contains(line.node)))) {
            steps.push_back(line);
        }
    }
    std::stable_sort(steps.begin(), steps.end(), [](const LogLine &left, const LogLine &right) { return left.atMs < right.atMs; });
    return steps;
}

bool JobStory::print(std::ostream &stream) const
{
    const auto steps = this->steps();
    if (steps.empty()) {
        return false;
    }
    for (const auto &line : steps) {
        stream << std::setw(8) << line.atMs - steps.front().atMs << " ms  " << (line.level == "INFO" ? "" : line.level + " ") << line.node << " " << line.part
               << ": " << line.what;
        for (const auto &[name, value] : line.inputs) {
            if (!value.empty()) {
                stream << " " << name << "=" << value;
            }
        }
        stream << "\n";
    }
    this->printPhases(stream, steps);
    return true;
}

void JobStory::printPhases(std::ostream &stream, const std::vector<LogLine> &steps) const
{
    auto since = steps.front().atMs;
    for (const auto &phase : Phases) {
        const auto isEnd = [&phase](const LogLine &line) { return line.what == phase.endsWith; };
        const auto found = std::find_if(steps.begin(), steps.end(), isEnd);
        if (found == steps.end()) {
            stream << "not reached: " << phase.label << "\n";
            return;
        }
        // A job changes its state more than once; its last change ends its story.
        const auto lastFound = std::find_if(steps.rbegin(), steps.rend(), isEnd);
        const auto until = &phase == &Phases.back() ? lastFound->atMs : found->atMs;
        stream << std::setw(8) << until - since << " ms  " << phase.label << "\n";
        since = until;
    }
}

} // namespace waxwingloft::cli
