#ifndef WAXWINGLOFT_PROCESS_GUARD_H
#define WAXWINGLOFT_PROCESS_GUARD_H

#include <functional>
#include <string>

namespace waxwingloft {

/**
 * Runs @p work on behalf of a thread that must go on. An exception ends only @p work, with a log line that says @p what it was.
 *
 * Returns whether @p work ended normally.
 */
bool runGuarded(const std::string &what, const std::function<void()> &work);

} // namespace waxwingloft

#endif
