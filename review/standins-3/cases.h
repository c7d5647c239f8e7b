#ifndef WAXWINGLOFT_REVIEW_CASES_H
#define WAXWINGLOFT_REVIEW_CASES_H

#include <string>

namespace waxwingloft::review {

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/** Runs the case @p name and writes the file @p record. Returns one of the codes above. TROUBLE=0 in the environment leaves the disruption out. */
int runCase(const std::string &self, const std::string &name, const std::string &record);

} // namespace waxwingloft::review

#endif
