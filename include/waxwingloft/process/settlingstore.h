#ifndef WAXWINGLOFT_PROCESS_SETTLINGSTORE_H
#define WAXWINGLOFT_PROCESS_SETTLINGSTORE_H

#include "waxwingloft/process/tablestore.h"

#include <functional>

namespace waxwingloft {

/** A table service that settles commits whose answer was lost, for as long as the caller wants. */
class SettlingStore : public TableStore
{
public:
    /** Whether the settling of a commit may go on. Asked before each try. */
    using SettleCheck = std::function<bool()>;

    /** As commit(); a commit without an answer is settled while @p mayGoOn returns true, and ends as Ambiguous after that. */
    virtual Result<Commit> commitWhile(const Transaction &transaction, const SettleCheck &mayGoOn) = 0;
};

} // namespace waxwingloft

#endif
