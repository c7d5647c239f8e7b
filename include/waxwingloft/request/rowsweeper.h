#ifndef WAXWINGLOFT_REQUEST_ROWSWEEPER_H
#define WAXWINGLOFT_REQUEST_ROWSWEEPER_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/tablestore.h"

#include <cstddef>

namespace waxwingloft {

/** How long rows are kept, and how many are deleted in one sweep. */
struct RowSweeperOptions {
    Millis jobRetention = Millis(24 * 3600 * 1000); ///< after a job has ended
    Millis claimRetention = Millis(24 * 3600 * 1000); ///< after a claim was made; a request id may run again after that
    std::size_t maxDeletes = 200;
};

/** Deletes rows of the table that nothing needs any more. Run by the placer of a region. */
class RowSweeper
{
public:
    RowSweeper(TableStore &table, Clock &clock, IdSource &ids, RowSweeperOptions options);

    /** Deletes old rows, each only when it is still as it was read. Returns how many are gone. */
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
