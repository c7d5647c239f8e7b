#include "waxwingloft/request/rowsweeper.h"

#include "waxwingloft/request/claimstore.h"
#include "waxwingloft/request/jobstore.h"

namespace waxwingloft {

RowSweeper::RowSweeper(TableStore &table, Clock &clock, IdSource &ids, RowSweeperOptions options)
    : table(table)
    , clock(clock)
    , ids(ids)
    , options(options)
{
}

std::size_t RowSweeper::sweep()
{
    const auto jobs = this->deleteExpired("job/", &RowSweeper::isExpiredJob, this->options.maxDeletes);
    return jobs + this->deleteExpired("claim/", &RowSweeper::isExpiredClaim, this->options.maxDeletes - jobs);
}

bool RowSweeper::isExpiredJob(const Row &row) const
{
    const auto record = parseJob(row);
    return succeeded(record) && valueOf(record).state == JobState::Ended
        && this->clock.wallMillis() - valueOf(record).endedAtWallMillis >= this->options.jobRetention.count();
}

bool RowSweeper::isExpiredClaim(const Row &row) const
{
    const auto claim = parseClaim(row);
    return succeeded(claim) && this->clock.wallMillis() - valueOf(claim).claimedAtWallMillis >= this->options.claimRetention.count();
}

std::size_t RowSweeper::deleteExpired(const std::string &prefix, IsExpired isExpired, std::size_t limit)
{
    const auto listed = this->table.list(prefix, 0);
    std::size_t deleted = 0;
    if (!succeeded(listed)) {
        return deleted;
    }
    for (const auto &row : valueOf(listed).rows) {
        if (deleted >= limit) {
            break;
        }
        if ((this->*isExpired)(row)) {
            deleted += succeeded(this->table.commit({this->ids.next(), {{row.key, row.revision}}, {{row.key, std::nullopt}}})) ? 1 : 0;
        }
    }
    return deleted;
}

} // namespace waxwingloft
