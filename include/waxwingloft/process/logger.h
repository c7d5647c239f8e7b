#ifndef WAXWINGLOFT_PROCESS_LOGGER_H
#define WAXWINGLOFT_PROCESS_LOGGER_H

#include "waxwingloft/process/nametable.h"

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace waxwingloft {

/** Parts of the system that log under a prefix of their own. */
enum class LogPart {
    Main,
    Http,
    Rpc,
    Table,
    Settings,
    Members,
    Requests,
    Gangs,
    Placer,
};

template<>
struct NameTable<LogPart> {
    static constexpr std::array<std::string_view, 9> names = {"main", "http", "rpc", "table", "settings", "members", "requests", "gangs", "placer"};
};

/** A named value of a log line. */
struct LogField {
    std::string_view name;
    std::string value;
};

/** Values that a decision went by, in the order in which they are written. */
using LogFields = std::initializer_list<LogField>;

/** Returns the part of a log line that tells what happened, in which quotes, backslashes and control characters are escaped as in JSON. */
std::string logLine(const std::string &sentence, LogFields fields);

/**
 * Sends the process's log to standard output, a line of key="value" pairs for each entry. Call once, at start.
 * @p infoLinesPerSecond bounds informative lines; the default is ten times what a busy placer of the users' sites writes.
 *
 * Lines are written by a thread of their own from a bounded queue: a reader that stalls makes lines be dropped
 * and counted, and never blocks the caller.
 */
void openLog(const std::string &node, const std::string &level, std::uint32_t infoLinesPerSecond = 400);

/** Writes what is queued. Call before the process ends. */
void closeLog();

/**
 * Bounds the informative lines of a process in each second. Warnings and errors always pass.
 *
 * Thread safe; takes the time from its caller.
 */
class LogBudget
{
public:
    explicit LogBudget(std::uint32_t linesPerSecond);

    void setBound(std::uint32_t linesPerSecond);

    /** Whether a line may be written in @p second. */
    bool tryTake(std::int64_t second);

    /** Returns how many lines were left out since the last call. */
    std::uint64_t takeLeftOut();

private:
    std::atomic<std::uint32_t> linesPerSecond;
    std::atomic<std::int64_t> second = 0;
    std::atomic<std::uint32_t> taken = 0;
    std::atomic<std::uint64_t> leftOut = 0;
};

/** Writes short sentences to the log under the name of one part. */
class Logger
{
public:
    explicit Logger(LogPart part);

    void info(const std::string &sentence, LogFields fields = {}) const;
    void warn(const std::string &sentence, LogFields fields = {}) const;
    void error(const std::string &sentence, LogFields fields = {}) const;

private:
    const std::string name;
};

} // namespace waxwingloft

#endif
