#ifndef WAXWINGLOFT_REQUEST_CLAIMSTORE_H
#define WAXWINGLOFT_REQUEST_CLAIMSTORE_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/tablestore.h"

#include <optional>

namespace waxwingloft {

/** Which agent may run a request that must run at most once, and under which attempt. */
struct Claim {
    NodeId node;
    std::string address;
    Incarnation incarnation = 0;
    AttemptId attempt;
    std::int64_t claimedAtWallMillis = 0;
    std::uint64_t revision = 0; ///< of its row
};

/** Parses the row of a claim. */
Result<Claim> parseClaim(const Row &row);

/** The claims of requests that must run at most once, as rows of the table. Thread safe. */
class ClaimStore
{
public:
    ClaimStore(TableStore &table, IdSource &ids);

    Result<std::optional<Claim>> find(const WorkspaceId &workspace, const RequestId &request);

    /**
     * Writes @p claim when the row still has the revision in it; zero demands that there is none.
     *
     * Returns the new revision. Conflict when another process was first.
     */
    Result<std::uint64_t> put(const WorkspaceId &workspace, const RequestId &request, const Claim &claim);

private:
    TableStore &table;
    IdSource &ids;
};

} // namespace waxwingloft

#endif
