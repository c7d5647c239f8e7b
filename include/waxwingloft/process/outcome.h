#ifndef WAXWINGLOFT_PROCESS_OUTCOME_H
#define WAXWINGLOFT_PROCESS_OUTCOME_H

#include "waxwingloft/process/nametable.h"

namespace waxwingloft {

/**
 * The true end of a request or job.
 *
 * NotRun is a promise: the work did not run and will not run under that attempt. Unknown says that
 * it may have run.
 */
enum class Outcome {
    Done,
    NotRun,
    Failed,
    Unknown,
    Cancelled,
};

template<>
struct NameTable<Outcome> {
    static constexpr std::array<std::string_view, 5> names = {"done", "not-run", "failed", "unknown", "cancelled"};
};

} // namespace waxwingloft

#endif
