#ifndef WAXWINGLOFT_REQUEST_ROWSWEEPER_H
#define WAXWINGLOFT_REQUEST_ROWSWEEPER_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/tablestore.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

namespace waxwingloft {

/** Kinds of rows that are kept for a time only. */
enum class SweptRows {
    Jobs,
    Claims,
    Withdrawals,
};

template<>
struct NameTable<SweptRows> {
    static constexpr std::array<std::string_view, 3> names = {"jobs", "claims", "withdrawals"};
};

/** Retention times of rows, and the limit on deletions in one sweep. */
struct RowSweeperOptions {
    Millis jobRetention = Millis(24 * 3600 * 1000); ///< counted from the end of the job
    Millis claimRetention = Millis(24 * 3600 * 1000); ///< counted from the claim; afterwards a request with the same id would run again
    Millis withdrawalRetention = Millis(24 * 3600 * 1000); ///< counted from the withdrawal; afterwards the job could be submitted
    std::size_t maxDeletes = 200;
};

/** Deletes expired rows from the table. Run by the leading placer. */
class RowSweeper
{
public:
    /** Sweeps the rows of @p kinds. */
    RowSweeper(TableStore &table, Clock &clock, IdSource &ids, std::vector<SweptRows> kinds, RowSweeperOptions options);

    /** Deletes expired rows, each only if it has not changed since it was read. Returns the number of deleted rows. */
    std::size_t sweep();

private:
    using IsExpired = bool (RowSweeper::*)(const Row &) const;

    /** Where the rows of a kind are, and which of them have expired. */
    struct Rule {
        std::string_view prefix;
        IsExpired isExpired;
    };

    static const std::array<Rule, NameTable<SweptRows>::names.size()> rules;

    bool isExpiredJob(const Row &row) const;
    bool isExpiredClaim(const Row &row) const;
    bool isExpiredWithdrawal(const Row &row) const;
    std::size_t deleteExpired(const Rule &rule, std::size_t limit);

    TableStore &table;
    Clock &clock;
    IdSource &ids;
    const std::vector<SweptRows> kinds;
    const RowSweeperOptions options;
};

} // namespace waxwingloft

#endif
