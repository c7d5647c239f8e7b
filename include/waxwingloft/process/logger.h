#ifndef WAXWINGLOFT_PROCESS_LOGGER_H
#define WAXWINGLOFT_PROCESS_LOGGER_H

#include "waxwingloft/process/nametable.h"

#include <string>

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

/** Sends the process's log to standard error, each line with time, level, node and part. Call once, at start. */
void openLog(const std::string &node, const std::string &level);

/** Writes short sentences to the log under the prefix of one part. */
class Logger
{
public:
    explicit Logger(LogPart part);

    void info(const std::string &sentence) const;
    void warn(const std::string &sentence) const;
    void error(const std::string &sentence) const;

private:
    const std::string name;
};

} // namespace waxwingloft

#endif
