#ifndef WAXWINGLOFT_REQUEST_CLAIMSTORE_H
#define WAXWINGLOFT_REQUEST_CLAIMSTORE_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/tablestore.h"

#include <optional>

namespace waxwingloft {

/** The agent and the attempt allowed to run a request that must run at most once. */
struct Claim {
    NodeId node;
    std::string address;
    Incarnation incarnation = 0;
    AttemptId attempt;
    std::int64_t claimedAtWallMillis = 0;
    std::uint64_t revision = 0; ///< of its row in the table
};

/** Parses the row of a claim. */
Result<Claim> parseClaim(const Row &row);

/** Stores the claims of requests that must run at most once as rows of the table. Thread safe. */
class ClaimStore
{
public:
    ClaimStore(TableStore &table, IdSource &ids);

    Result<std::optional<Claim>> find(const WorkspaceId &workspace, const RequestId &request);

    /**
     * Writes @p claim if its row still has the claim's revision; revision zero requires that no row exists.
     *
     * Returns the new revision, or Conflict if another process wrote the row first.
     */
    Result<std::uint64_t> put(const WorkspaceId &workspace, const RequestId &request, const Claim &claim);

private:
    TableStore &table;
    IdSource &ids;
};

} // namespace waxwingloft

#endif
