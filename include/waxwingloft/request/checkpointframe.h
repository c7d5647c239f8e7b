#ifndef WAXWINGLOFT_REQUEST_CHECKPOINTFRAME_H
#define WAXWINGLOFT_REQUEST_CHECKPOINTFRAME_H

#include "waxwingloft/process/error.h"

#include <string>

namespace waxwingloft {

/** Returns @p bytes with a head that gives their length and XXH3 checksum. */
std::string sealCheckpoint(const std::string &bytes);

/** Returns the bytes of a sealed checkpoint, or an error when it is cut short or changed. */
Result<std::string> openCheckpoint(const std::string &sealed);

} // namespace waxwingloft

#endif
