#include "waxwingloft/request/agentbounds.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace waxwingloft {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxListed = 400; ///< agents; keeps the row below 48 KB with names of 50 bytes

AgentBounds boundsOf(const Json &json)
{
    AgentBounds bounds;
    for (const auto &item : json.at("silent")) {
        bounds.silent[NodeId{item.at(0).get<std::string>()}] = Millis(item.at(1).get<std::int64_t>());
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
    auto silent = Json::array();
    for (const auto &[agent, left] : bounds.silent) {
        if (silent.size() < MaxListed) {
            // The version before reads a time for runs that have begun and one for all, and needs the fields below.
            silent.push_back({agent.value, left.count(), left.count()});
        }
    }
    return Json{{"complete", true}, {"open", Json::array()}, {"silent", std::move(silent)}}.dump();
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
