#ifndef WAXWINGLOFT_REVIEW_STANDINS_H
#define WAXWINGLOFT_REVIEW_STANDINS_H

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingloft::review {

/** Returns the time of the machine's steady clock in milliseconds, which all processes of a test share. */
std::int64_t nowMillis();

/** Returns the host of IP:PORT. */
std::string hostOf(const std::string &address);

/** Returns the port of IP:PORT. */
int portOf(const std::string &address);

/** Runs a stand-in of the platform's store. Arguments: its address. */
int runStore(const std::vector<std::string> &arguments);

/**
 * Runs a stand-in of an executor, which notes each start and end in a file.
 *
 * Arguments: its address, the address that takes its heartbeats, its id, its zone, its rack, and the file of its notes.
 * Work is told by the spec: "work MS" is done after that time, "lasting" never. Checkpoints hold the milliseconds done.
 */
int runExecutor(const std::vector<std::string> &arguments);

} // namespace waxwingloft::review

#endif
