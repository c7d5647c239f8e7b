#ifndef WAXWINGLOFT_REQUEST_PROGRESSWRITE_H
#define WAXWINGLOFT_REQUEST_PROGRESSWRITE_H

#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/tablestore.h"
#include "waxwingloft/request/jobrows.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwingloft {

/** A conditional write of the progress of one job. */
struct ProgressWrite {
    Epoch epoch = 0; ///< of the term that decided it; the write must fail once another one has begun
    JobId job;
    std::uint64_t revision = 0; ///< that the row must still have; otherwise the write fails
    std::uint64_t change = 0; ///< LiveJob::change that the rows contain
    ProgressRows rows;
    std::size_t storedParts = 0; ///< part rows that the table holds; those that the new rows do not replace are removed

    /** Returns how many rows it writes or removes. */
    std::size_t rowCount() const;

    /** Returns the bytes of the values that it writes. */
    std::size_t byteCount() const;
};

/** Returns the transaction that makes all of @p writes, which are of one term, if that term lasts and no row was written meanwhile. */
Transaction transactionOf(const std::string &operation, const std::vector<ProgressWrite> &writes);

} // namespace waxwingloft

#endif
