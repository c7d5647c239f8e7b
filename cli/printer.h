#ifndef WAXWINGLOFT_CLI_PRINTER_H
#define WAXWINGLOFT_CLI_PRINTER_H

#include "waxwingloft/process/nametable.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace waxwingloft::cli {

/** How results are printed. */
enum class OutputForm {
    Table,
    Json,
};

/** One column of a table: its title and the field that it shows. */
struct Column {
    std::string title;
    std::string field;
};

/** Prints a list of JSON objects as an aligned table; a list without rows prints only the titles. */
void printTable(std::ostream &stream, const std::vector<Column> &columns, const nlohmann::json &rows);

/** Returns a JSON value as text without quotes. */
std::string plainText(const nlohmann::json &value);

/** Prints the merged time line, one event a line. */
void printTimeline(std::ostream &stream, const nlohmann::json &events);

/** Returns the events in the Trace Event format that trace viewers open. */
nlohmann::json traceEvents(const nlohmann::json &events);

/** Prints a status answer within 80 columns. */
void printStatus(std::ostream &stream, const nlohmann::json &status);

} // namespace waxwingloft::cli

namespace waxwingloft {

template<>
struct NameTable<cli::OutputForm> {
    static constexpr std::array<std::string_view, 2> names = {"table", "json"};
};

} // namespace waxwingloft

#endif
