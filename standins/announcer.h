#ifndef WAXWINGLOFT_STANDINS_ANNOUNCER_H
#define WAXWINGLOFT_STANDINS_ANNOUNCER_H

#include <condition_variable>
#include <httplib.h>
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

/** Blocks SIGTERM and SIGINT in this thread and those it starts; call first in main(). */
void blockStopSignals();

/**
 * Serves on @p address until a stop signal arrives; announces itself to @p agent unless that is empty.
 *
 * Returns the exit code of the program.
 */
int serveUntilStopped(httplib::Server &http, const std::string &address, const std::string &agent, const std::string &announcement);

} // namespace waxwingloft::standins

#endif
