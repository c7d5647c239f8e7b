#include "waxwingloft/request/progresswrite.h"

#include "waxwingloft/request/placerdirectory.h"

#include <algorithm>
#include <numeric>

namespace waxwingloft {

std::size_t ProgressWrite::rowCount() const
{
    return 1 + std::max(this->rows.parts.size(), this->storedParts);
}

std::size_t ProgressWrite::byteCount() const
{
    const auto &parts = this->rows.parts;
    return std::accumulate(parts.begin(), parts.end(), this->rows.head.size(), [](std::size_t bytes, const std::string &part) { return bytes + part.size(); });
}

Transaction transactionOf(const std::string &operation, const std::vector<ProgressWrite> &writes)
{
    Transaction transaction{operation, {{std::string(PlacerKey), writes.front().epoch}}, {}};
    for (const auto &write : writes) {
        // Only the leading placer writes these rows, and always with their head, so that the condition on the head covers the parts.
        transaction.conditions.push_back({progressKey(write.job), write.revision});
        transaction.writes.push_back({progressKey(write.job), write.rows.head});
        for (std::size_t part = 0; part < write.rows.parts.size(); ++part) {
            transaction.writes.push_back({progressPartKey(write.job, part), write.rows.parts[part]});
        }
        for (std::size_t part = write.rows.parts.size(); part < write.storedParts; ++part) {
            transaction.writes.push_back({progressPartKey(write.job, part), std::nullopt});
        }
    }
    return transaction;
}

} // namespace waxwingloft
