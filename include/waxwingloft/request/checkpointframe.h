#ifndef WAXWINGLOFT_REQUEST_CHECKPOINTFRAME_H
#define WAXWINGLOFT_REQUEST_CHECKPOINTFRAME_H

#include "waxwingloft/process/error.h"

#include <string>

namespace waxwingloft {

/** Returns @p bytes preceded by a header with their length and XXH3 checksum. */
std::string encodeCheckpointFrame(const std::string &bytes);

/** Checks and removes the header. Returns Damaged when the checkpoint is truncated or corrupt. */
Result<std::string> decodeCheckpointFrame(const std::string &sealed);

} // namespace waxwingloft

#endif
