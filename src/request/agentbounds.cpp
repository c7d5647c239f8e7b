#include "waxwingloft/request/agentbounds.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace waxwingloft {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxListed = 400; ///< agents of each kind; keeps the row below 48 KB with names of 50 bytes

AgentBounds boundsOf(const Json &json)
{
    AgentBounds bounds;
    bounds.isComplete = json.at("complete").get<bool>();
    for (const auto &agent : json.at("open")) {
        bounds.open.insert(NodeId{agent.get<std::string>()});
    }
    for (const auto &item : json.at("silent")) {
        bounds.silent[NodeId{item.at(0).get<std::string>()}] = {Millis(item.at(1).get<std::int64_t>()), Millis(item.at(2).get<std::int64_t>())};
    }
    return bounds;
}

} // namespace

StoredBounds storedBoundsOf(const std::optional<Row> &row, const Logger &log)
{
    if (!row) {
        return {};
    }
    auto bounds = parseAgentBounds(row->value);
    if (!succeeded(bounds)) {
        log.error("Row " + row->key + " is left out: " + toString(errorOf(bounds)));
        return {AgentBounds(), row->revision};
    }
    return {std::move(valueOf(bounds)), row->revision};
}

std::string encodeAgentBounds(const AgentBounds &bounds)
{
    const bool isComplete = bounds.isComplete && bounds.open.size() <= MaxListed;
    auto open = Json::array();
    if (isComplete) {
        for (const auto &agent : bounds.open) {
            open.push_back(agent.value);
        }
    }
    auto silent = Json::array();
    for (const auto &[agent, runs] : bounds.silent) {
        if (silent.size() < MaxListed) {
            silent.push_back({agent.value, runs.begun.count(), runs.all.count()});
        }
    }
    return Json{{"complete", isComplete}, {"open", std::move(open)}, {"silent", std::move(silent)}}.dump();
}

Result<AgentBounds> parseAgentBounds(const std::string &value)
{
    try {
        return boundsOf(Json::parse(value));
    } catch (const Json::exception &error) {
        return makeError(ErrorKind::Damaged, std::string("the bounds of agents cannot be parsed: ") + error.what(), "remove the row or upgrade this process");
    }
}

} // namespace waxwingloft
