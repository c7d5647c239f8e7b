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
#include <set>
#include <string>
#include <string_view>

namespace waxwingloft {

/** Key of the row that holds the AgentBounds. Its table is followed by nobody. */
constexpr std::string_view AgentBoundsKey = "bounds/agents";

/** For how long runs may still be live. */
struct RunBounds {
    Millis begun = Millis(0); ///< those that were reported as begun
    Millis all = Millis(0); ///< also those that may begin late

    bool operator==(const RunBounds &) const = default;
};

/**
 * What a leading placer leaves in the table about agents that its successor may never hear of.
 *
 * An agent without an entry may have got a lease at any time of the term, but with no call open that could prolong its runs further.
 */
struct AgentBounds {
    bool isComplete = false; ///< false when nothing is known: any agent may have open calls
    std::set<NodeId> open; ///< agents that may have got leases while calls without an answer could still be carried out
    std::map<NodeId, RunBounds> silent; ///< agents that get no lease; counted from when the row was written

    bool operator==(const AgentBounds &) const = default;

    bool mayHaveOpenCalls(const NodeId &agent) const
    {
        return !this->isComplete || this->open.contains(agent);
    }
};

/** Bounds as read from the table. */
struct StoredBounds {
    AgentBounds bounds;
    std::uint64_t revision = 0; ///< of the row; zero when there is none
};

/** Returns the bounds in @p row; nothing is known without a row, or when it cannot be parsed, which is logged. */
StoredBounds storedBoundsOf(const std::optional<Row> &row, const Logger &log);

/** Returns the row's value. What would make the row too large is left out, so that a reader waits longer. */
std::string encodeAgentBounds(const AgentBounds &bounds);

/** Parses the row's value; Damaged when it is not valid. */
Result<AgentBounds> parseAgentBounds(const std::string &value);

} // namespace waxwingloft

#endif
