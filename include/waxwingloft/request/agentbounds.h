#ifndef WAXWINGLOFT_REQUEST_AGENTBOUNDS_H
#define WAXWINGLOFT_REQUEST_AGENTBOUNDS_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/logger.h"
#include "waxwingloft/process/tablestore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingloft {

/** Key of the row that holds the AgentBounds. Its table is followed by nobody. */
constexpr std::string_view AgentBoundsKey = "bounds/agents";

/**
 * What a leading placer leaves in the table about agents that its successor may never hear of.
 *
 * An agent without an entry may have got a lease at any time of the term.
 */
struct AgentBounds {
    std::map<NodeId, Millis> silent; ///< agents that get no lease, and for how long their runs may be live from when the row was written

    bool operator==(const AgentBounds &) const = default;
};

/** Bounds as read from the table. */
struct StoredBounds {
    AgentBounds bounds;
    std::uint64_t revision = 0; ///< of the row; zero when there is none
};

/** Returns the bounds in @p row; no agent is listed without a row, or when it cannot be parsed, which is logged. */
StoredBounds storedBoundsOf(const std::optional<Row> &row, const Logger &log);

/** Returns the row's value. What would make the row too large is left out, so that a reader waits longer. */
std::string encodeAgentBounds(const AgentBounds &bounds);

/** Parses the row's value; Damaged when it is not valid. */
Result<AgentBounds> parseAgentBounds(const std::string &value);

} // namespace waxwingloft

#endif
