#include "waxwingloft/request/rowsweeper.h"

#include "waxwingloft/request/claimstore.h"
#include "waxwingloft/request/jobrows.h"
#include "waxwingloft/request/jobstore.h"

#include <utility>

namespace waxwingloft {

const std::array<RowSweeper::Rule, NameTable<SweptRows>::names.size()> RowSweeper::rules = {
    {{"job/", &RowSweeper::isExpiredJob}, {"claim/", &RowSweeper::isExpiredClaim}, {"withdrawals/", &RowSweeper::isExpiredWithdrawal}}};

RowSweeper::RowSweeper(TableStore &table, Clock &clock, IdSource &ids, std::vector<SweptRows> kinds, RowSweeperOptions options)
    : table(table)
    , clock(clock)
    , ids(ids)
    , kinds(std::move(kinds))
    , options(options)
{
}

std::size_t RowSweeper::sweep()
{
    std::size_t deleted = 0;
    for (const auto kind : this->kinds) {
        deleted += this->deleteExpired(rules.at(static_cast<std::size_t>(kind)), this->options.maxDeletes - deleted);
    }
    return deleted;
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

bool RowSweeper::isExpiredWithdrawal(const Row &row) const
{
    const auto withdrawal = parseWithdrawal(row.value);
    return succeeded(withdrawal) && this->clock.wallMillis() - valueOf(withdrawal).withdrawnAt >= this->options.withdrawalRetention.count();
}

std::size_t RowSweeper::deleteExpired(const Rule &rule, std::size_t limit)
{
    const auto listed = this->table.list(std::string(rule.prefix), 0);
    std::size_t deleted = 0;
    if (!succeeded(listed)) {
        return deleted;
    }
    for (const auto &row : valueOf(listed).rows) {
        if (deleted >= limit) {
            break;
        }
        if ((this->*rule.isExpired)(row)) {
            deleted += succeeded(this->table.commit({this->ids.next(), {{row.key, row.revision}}, {{row.key, std::nullopt}}})) ? 1 : 0;
        }
    }
    return deleted;
}

} // namespace waxwingloft
