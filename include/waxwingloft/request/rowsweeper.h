#ifndef WAXWINGLOFT_REQUEST_ROWSWEEPER_H
#define WAXWINGLOFT_REQUEST_ROWSWEEPER_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/tablestore.h"

#include <cstddef>

namespace waxwingloft {

/** Retention times of rows, and the limit on deletions in one sweep. */
struct RowSweeperOptions {
    Millis jobRetention = Millis(24 * 3600 * 1000); ///< counted from the end of the job
    Millis claimRetention = Millis(24 * 3600 * 1000); ///< counted from the claim; afterwards a request with the same id would run again
    std::size_t maxDeletes = 200;
};

/** Deletes expired jobs and claims from the table. Run by the leading placer of a region. */
class RowSweeper
{
public:
    RowSweeper(TableStore &table, Clock &clock, IdSource &ids, RowSweeperOptions options);

    /** Deletes expired rows, each only if it has not changed since it was read. Returns the number of deleted rows. */
    std::size_t sweep();

private:
    using IsExpired = bool (RowSweeper::*)(const Row &) const;

    bool isExpiredJob(const Row &row) const;
    bool isExpiredClaim(const Row &row) const;
    std::size_t deleteExpired(const std::string &prefix, IsExpired isExpired, std::size_t limit);

    TableStore &table;
    Clock &clock;
    IdSource &ids;
    const RowSweeperOptions options;
};

} // namespace waxwingloft

#endif
