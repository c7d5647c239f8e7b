#ifndef WAXWINGLOFT_PROCESS_NEARESTNAME_H
#define WAXWINGLOFT_PROCESS_NEARESTNAME_H

#include <string>
#include <vector>

namespace waxwingloft {

/** Returns the candidate with the smallest edit distance to @p word when it is near, else an empty string. */
std::string nearestName(const std::string &word, const std::vector<std::string> &candidates);

} // namespace waxwingloft

#endif
