#ifndef WAXWINGLOFT_CLI_JOBSTORY_H
#define WAXWINGLOFT_CLI_JOBSTORY_H

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace waxwingloft::cli {

/** One line of a structured log. */
struct LogLine {
    std::int64_t atMs = 0; ///< since the epoch
    std::string level;
    std::string node;
    std::string part;
    std::string what;
    std::map<std::string, std::string> inputs; ///< all other fields
};

/** Reads a line with fields such as key="value"; nothing when it has no time or no text. What stands before the time is left out. */
std::optional<LogLine> parseLogLine(const std::string &text);

/**
 * The story of one job, put together from the logs of all processes.
 *
 * Besides the lines that name the job it holds those about executors that ran it: warnings, as these often are the cause, and what ended all runs of one.
 */
class JobStory
{
public:
    explicit JobStory(std::string job);

    /** Takes in a line of any process, in any order. */
    void add(LogLine line);

    /** Prints the steps in order with the time since the first, and how long each phase took. Returns whether anything is known. */
    bool print(std::ostream &stream) const;

private:
    std::vector<LogLine> steps() const;
    void printPhases(std::ostream &stream, const std::vector<LogLine> &steps) const;

    std::string job;
    std::vector<LogLine> ownLines;
    std::vector<LogLine> hostLines; ///< that name no job
};

} // namespace waxwingloft::cli

#endif
