#ifndef WAXWINGLOFT_STANDINS_ANNOUNCER_H
#define WAXWINGLOFT_STANDINS_ANNOUNCER_H

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace waxwingloft::standins {

/** Announces a stand-in to its agent at once and every second after that, until it is destroyed. */
class Announcer
{
public:
    /** @p agent is the base URL of the agent; @p body the JSON to post to /v1/announce. */
    Announcer(std::string agent, std::string body);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

private:
    void run();

    const std::string agent;
    const std::string body;
    std::mutex mutex;
    std::condition_variable wakeUp;
    bool isStopping = false;
    std::thread thread;
};

/** Splits "127.0.0.1:9000" into host and port. */
std::pair<std::string, int> splitAddress(const std::string &address);

/** Blocks SIGTERM and SIGINT in this thread and those it starts; call first in main(). */
void blockStopSignals();

/** Returns when one of the blocked signals arrives. */
void waitForStopSignal();

} // namespace waxwingloft::standins

#endif
