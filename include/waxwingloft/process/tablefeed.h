#ifndef WAXWINGLOFT_PROCESS_TABLEFEED_H
#define WAXWINGLOFT_PROCESS_TABLEFEED_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/tablestore.h"

namespace waxwingloft {

/** A row that changed, or its removal. */
struct RowChange {
    Row row;
    bool isRemoved = false;
};

/** Changes of a table in order, complete up to a revision. */
struct ChangeBatch {
    std::vector<RowChange> changes;
    std::uint64_t revision = 0;
};

/** Follows the changes of a table. Errors as those of TableStore; Stale when the history asked for is gone. */
class TableFeed
{
public:
    virtual ~TableFeed() = default;

    /** Returns the changes of @p table after revision @p after; waits up to @p wait for the first. */
    virtual Result<ChangeBatch> changes(const std::string &table, std::uint64_t after, Millis wait) = 0;
};

} // namespace waxwingloft

#endif
