#ifndef WAXWINGLOFT_PROCESS_TABLECLIENT_H
#define WAXWINGLOFT_PROCESS_TABLECLIENT_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/settlingstore.h"
#include "waxwingloft/process/tokenbucket.h"

#include <cstdint>
#include <mutex>
#include <random>

namespace waxwingloft {

/** Bounds on what one process asks of the platform's table service. */
struct TableBudget {
    double callsPerSecond = 20.0; ///< share of this process in the platform's limit
    double burst = 40.0; ///< calls that may be made at once after a quiet time
    int settleTries = 4; ///< reads that settle a commit whose answer was lost
    Millis backoffBase = Millis(50); ///< first step of the full-jitter backoff
    Millis backoffLimit = Millis(5000); ///< longest step of the full-jitter backoff
    int failuresToOpen = 5; ///< consecutive failures after which the breaker opens
};

/**
 * The only way of this process to the table service: budget, backoff, breaker and settled commits.
 *
 * A commit whose answer was lost is settled by reading back the operation id on the first written
 * row. When it is still undecided after all tries, or when its caller has no more time, the error is Ambiguous. Thread safe.
 */
class TableClient : public SettlingStore
{
public:
    TableClient(TableStore &store, Clock &clock, TableBudget budget, std::uint64_t seed);

    Result<std::optional<Row>> get(const std::string &key) override;
    Result<RowList> list(const std::string &prefix, std::uint64_t since) override;
    Result<Commit> commit(const Transaction &transaction) override;
    Result<Commit> commitWhile(const Transaction &transaction, const SettleCheck &mayGoOn) override;

    /** Returns since when the service has been failing, or nothing while it answers. */
    std::optional<Instant> downSince() const;

private:
    template<typename T, typename Call>
    Result<T> guarded(Call call);
    Result<Commit> settle(const Transaction &transaction, const SettleCheck &mayGoOn);
    std::optional<Commit> findOwnWrite(const std::string &key, const std::string &operation);
    Status enter();
    void noteResult(bool answered);
    Millis jitteredPause(int tryNumber);

    TableStore &store;
    Clock &clock;
    const TableBudget budget;
    mutable std::mutex mutex;
    TokenBucket bucket;
    std::mt19937_64 random;
    int consecutiveFailures = 0;
    std::optional<Instant> failingSince;
    Instant closedUntil;
};

} // namespace waxwingloft

#endif
