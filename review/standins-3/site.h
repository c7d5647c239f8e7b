#ifndef WAXWINGLOFT_REVIEW_SITE_H
#define WAXWINGLOFT_REVIEW_SITE_H

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace waxwingloft::review {

/** An answer to a caller; the status is zero when there was none. */
struct Answer {
    int status = 0;
    nlohmann::json body;
};

/** A note of an executor. */
struct Note {
    std::int64_t at = 0; ///< since the start of the test, in milliseconds
    std::string event; ///< start or end
    std::string executor;
    std::string task;
    std::uint32_t run = 0;
    std::string spec;
    std::string checkpoint;
    std::string how;
};

/**
 * A small deployment on loopback addresses: three entries, eleven agents with an executor each, and the platform's store.
 *
 * All are processes that this one starts and ends. What callers send and are answered, and what executors run, is written to a record.
 */
class Site
{
public:
    /** Starts a deployment whose notes and answers are written to the file @p record. Arguments that start stand-ins are for this program, @p self. */
    Site(std::string self, const std::string &record);
    ~Site();

    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /** Waits until all entries are ready and every executor has reported. Returns false after 20 seconds. */
    bool waitUntilReady();

    /** Hands a job in, at another entry after no answer, 502 or 504. Returns the last answer. */
    Answer submit(const std::string &job, const nlohmann::json &body);

    /** Asks for the state of a job, at each entry in turn until one answers. */
    std::string stateOf(const std::string &job);

    /** Asks one entry for the number of waiting jobs; -1 without an answer. */
    int waitingAt(std::size_t entry);

    /** Returns the notes of all executors so far, in order of time. */
    std::vector<Note> notes();

    /** Returns the starts of the tasks of @p job. */
    std::vector<Note> startsOf(const std::string &job);

    /** Returns the executor whose id is @p id. */
    std::size_t indexOf(const std::string &id) const;

    /** Kills the executor @p index; its address refuses connections until it is started again. */
    void killExecutor(std::size_t index);

    /** Stops the processes of the executor @p index for good without closing its connections: it answers nothing any more. */
    void silenceExecutor(std::size_t index);

    /** Starts an executor in a new incarnation under a new id. */
    void startExecutor(std::size_t index);

    /** Kills the agent @p index. */
    void killAgent(std::size_t index);

    /** Returns the time since the start of the test, in milliseconds. */
    std::int64_t elapsed() const;

    /** Waits until @p millis have passed since the start of the test. */
    void sleepUntil(std::int64_t millis) const;

    /** Writes a line to the record. */
    void say(const std::string &line);

    /** Writes the notes of all executors to the record. */
    void recordNotes();

    /** Kills the entry @p index. */
    void killEntry(std::size_t index);

    /** Starts the entry @p index again. */
    void startEntry(std::size_t index);

    /** Returns the memory of the entry @p index in kilobytes. */
    std::int64_t memoryOf(std::size_t index) const;

    /** Writes @p count copies of the rows of @p job, which has ended, under ids of their own, as if as many jobs like it had been run. */
    void copyEndedJob(const std::string &job, std::size_t count);

private:
    struct Machine {
        std::string name;
        std::string ip;
        std::string zone;
        std::map<std::string, std::string> settings; ///< by placeholder of the templates
        std::string app; ///< address of the executor
        std::string control;
        int lives = 0; ///< of the executor
    };

    Machine makeMachine(const std::string &name, const std::string &zone, bool isEntry);
    void startDaemon(const Machine &machine, const std::string &role);
    void startProcess(const std::string &name, const std::vector<std::string> &command, const std::string &config);
    void signal(const std::string &name, int number, bool ends);
    void writeRoutes();
    bool isReady(const Machine &entry) const;
    Answer call(const Machine &entry, const std::string &method, const std::string &path, const std::string &body);
    std::string freeAddress(const std::string &ip) const;

    const std::string self;
    std::ofstream record;
    const std::int64_t zero;
    std::string folder;
    std::string store;
    std::vector<Machine> entries;
    std::vector<Machine> sides;
    std::map<std::string, pid_t> processes;
};

} // namespace waxwingloft::review

#endif
