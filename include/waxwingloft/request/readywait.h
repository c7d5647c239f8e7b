#ifndef WAXWINGLOFT_REQUEST_READYWAIT_H
#define WAXWINGLOFT_REQUEST_READYWAIT_H

#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/taskkey.h"
#include "waxwingloft/request/waitcause.h"

#include <cstddef>
#include <cstdint>

namespace waxwingloft {

/** A job with nothing running and a task of it whose turn has come, while the executors have room for the task twice over and are less than half in use. */
struct ReadyWait {
    TaskKey task; ///< the first one of its step that waits
    std::uint32_t tasks = 0; ///< of its step
    WaitCause cause = WaitCause::NoRoom;
    NodeId agent; ///< of the run or the executor that holds it back; empty where there is none or more than one
};

} // namespace waxwingloft

#endif
