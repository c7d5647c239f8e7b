#ifndef WAXWINGLOFT_REQUEST_ENDPROOF_H
#define WAXWINGLOFT_REQUEST_ENDPROOF_H

#include "waxwingloft/process/nametable.h"

namespace waxwingloft {

/** Why an agent takes a run to be over. */
enum class EndProof {
    Listed, ///< its executor lists its end
    Refused, ///< its executor refused to start it
    Unlisted, ///< its executor no longer lists it
    LeaseExpired, ///< the executor does not answer, and every lease that it can hold has expired
    ExecutorLeft, ///< the executor said that it ends, and nobody listens at its address any more
    NeverOrdered, ///< no start of it can have been carried out, and the executor drains
    NoRoom, ///< no start of it can have been carried out, and the executor has no room for it
};

template<>
struct NameTable<EndProof> {
    static constexpr std::array<std::string_view, 7> names = {"listed", "refused", "unlisted", "lease-expired", "executor-left", "never-ordered", "no-room"};
};

} // namespace waxwingloft

#endif
