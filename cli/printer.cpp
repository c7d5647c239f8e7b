#include "printer.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <map>

namespace waxwingloft::cli {

namespace {

constexpr std::size_t Gap = 2;
constexpr std::int64_t MillisPerSecond = 1000;
constexpr std::int64_t MicrosPerMilli = 1000;

std::string timeText(std::int64_t millis)
{
    const std::time_t seconds = millis / MillisPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof(text), "%H:%M:%S", &parts);
    std::string fraction = std::to_string(millis % MillisPerSecond);
    return std::string(text) + "." + std::string(3 - fraction.size(), '0') + fraction;
}

} // namespace

std::string plainText(const nlohmann::json &value)
{
    if (value.is_null()) {
        return "-";
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printTable(std::ostream &stream, const std::vector<Column> &columns, const nlohmann::json &rows)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const auto &column : columns) {
        lines.front().push_back(column.title);
    }
    for (const auto &row : rows) {
        auto &line = lines.emplace_back();
        for (const auto &column : columns) {
            line.push_back(row.contains(column.field) ? plainText(row[column.field]) : "-");
        }
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto &line : lines) {
        for (std::size_t index = 0; index < line.size(); ++index) {
            widths[index] = std::max(widths[index], line[index].size());
        }
    }
    for (const auto &line : lines) {
        for (std::size_t index = 0; index + 1 < line.size(); ++index) {
            stream << std::left << std::setw(static_cast<int>(widths[index] + Gap)) << line[index];
        }
        stream << line.back() << "\n";
    }
}

void printTimeline(std::ostream &stream, const nlohmann::json &events)
{
    for (const auto &event : events) {
        stream << timeText(event.value("millis", std::int64_t(0))) << "  " << std::left << std::setw(16) << event.value("node", "") << "  " << std::setw(17)
               << event.value("kind", "") << "  " << event.value("subject", "");
        const auto detail = event.value("detail", "");
        stream << (detail.empty() ? "" : "  " + detail) << "\n";
    }
}

nlohmann::json traceEvents(const nlohmann::json &events)
{
    std::map<std::string, int> processes;
    auto list = nlohmann::json::array();
    for (const auto &event : events) {
        const auto node = event.value("node", "");
        const auto [entry, isNew] = processes.emplace(node, static_cast<int>(processes.size()) + 1);
        if (isNew) {
            list.push_back({{"ph", "M"}, {"name", "process_name"}, {"pid", entry->second}, {"args", {{"name", node}}}});
        }
        list.push_back({{"ph", "i"},
                        {"s", "p"},
                        {"name", event.value("kind", "") + " " + event.value("subject", "")},
                        {"pid", entry->second},
                        {"tid", 1},
                        {"ts", event.value("millis", std::int64_t(0)) * MicrosPerMilli + event.value("counter", std::int64_t(0))},
                        {"args", {{"detail", event.value("detail", "")}, {"workspace", event.value("workspace", "")}}}});
    }
    return {{"traceEvents", list}};
}

void printStatus(std::ostream &stream, const nlohmann::json &status)
{
    stream << "entry " << status.value("node", "") << ", settings version " << status.value("settings_version", 0) << ", placer " << plainText(status["placer"])
           << "\n"
           << "requests queued " << status.value("queued_requests", 0) << ", jobs waiting " << status.value("waiting_jobs", 0) << ", running "
           << status.value("running_jobs", 0) << "\n";
    for (const auto &text : status["degraded"]) {
        stream << "degraded: " << plainText(text) << "\n";
    }
    if (!status["guarantees"].empty()) {
        stream << "\n";
        printTable(stream, {{"WORKSPACE", "workspace"}, {"GUARANTEE", "shape"}, {"STATE", "state"}}, status["guarantees"]);
    }
    stream << "\n";
    printTable(stream,
               {{"NODE", "node"},
                {"ROLE", "role"},
                {"STATE", "state"},
                {"PLACE", "data_centre"},
                {"RACK", "rack"},
                {"SLOTS", "slots"},
                {"IN USE", "in_use"},
                {"ACCEL", "accelerators"}},
               status["members"]);
}

} // namespace waxwingloft::cli
