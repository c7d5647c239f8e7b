#ifndef WAXWINGLOFT_TESTS_READINESS_READINESSSITE_H
#define WAXWINGLOFT_TESTS_READINESS_READINESSSITE_H

#include "ingress/httpexecutor.h"
#include "ingress/ingresssite.h"
#include "troubledstore.h"
#include "troubleplan.h"
#include "waitingjobs.h"

#include <array>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwingloft::tests {

/** Three entries and nine agents with their executors in three racks, as processes on loopback addresses of this test process, with troubles. */
class ReadinessSite
{
public:
    static constexpr std::uint32_t Entries = 3;
    static constexpr std::uint32_t Executors = 9;

    /** Logs go to @p folder. */
    ReadinessSite(const std::string &folder, WaitingJobs &jobs);
    ~ReadinessSite();
    ReadinessSite(const ReadinessSite &) = delete;
    ReadinessSite &operator=(const ReadinessSite &) = delete;

    /** Waits until all entries are ready. */
    bool waitUntilReady(Millis patience);

    /** Begins the trouble. A trouble that meets a process that is gone does nothing. */
    void begin(const Trouble &trouble);

    /** Ends troubles whose time is over and starts again what has been gone for long enough. */
    void look();

    /** Returns when the last trouble ended; nothing while one lasts. */
    std::optional<Instant> lastTroubleEnd() const;

    /** Sends the job once, to @p entry; returns whether it was accepted. */
    bool submit(const PlannedJob &job, std::uint32_t entry) const;

    /** Returns the state that a caller is shown; empty if no entry answers. */
    std::string stateOf(const std::string &job) const;

    /** Writes a line with the time to the log of the run. */
    void note(const std::string &text);

private:
    /** Something that is done once its time has come. */
    struct Pending {
        Instant at;
        TroubleKind kind;
        std::uint32_t target;
    };

    struct Entry {
        std::unique_ptr<DaemonProcess> process;
        int lives = 0;
        bool isLeaving = false; ///< SIGTERM has been sent
        Millis goneFor = Millis(0); ///< once it is gone
        int pauses = 0;
    };

    struct Machine {
        std::unique_ptr<DaemonProcess> agent;
        std::unique_ptr<HttpExecutor> executor;
        std::string executorId;
        int lives = 0;
        int pauses = 0; ///< of the agent
        int orderTroubles = 0;
        bool isLost = false;
    };

    using Begin = void (ReadinessSite::*)(const Trouble &);
    using End = void (ReadinessSite::*)(std::uint32_t);

    struct Handling {
        Begin begin;
        End end;
    };

    static const std::array<Handling, 13> Handlings;

    void troubleStore(const Trouble &trouble);
    void mendStore(std::uint32_t target);
    void terminateLeader(const Trouble &trouble);
    void killLeader(const Trouble &trouble);
    void startEntry(std::uint32_t target);
    void pauseEntry(const Trouble &trouble);
    void continueEntry(std::uint32_t target);
    void pauseAgent(const Trouble &trouble);
    void continueAgent(std::uint32_t target);
    void killExecutor(const Trouble &trouble);
    void startExecutor(std::uint32_t target);
    void loseExecutor(const Trouble &trouble);
    void troubleOrders(const Trouble &trouble);
    void mendOrders(std::uint32_t target);

    void endLater(const Trouble &trouble);
    void removeExecutor(Machine &machine);
    void updateUsable(const Machine &machine);
    void startAgent(std::uint32_t target);
    std::uint32_t leader(std::uint32_t otherwise) const;
    std::string logOf(std::uint32_t entry) const;
    std::string settings(const std::string &templateFile, const std::string &host, const std::string &name) const;

    const std::string folder;
    WaitingJobs &jobs;
    SystemClock clock;
    std::ofstream notes;
    TroubledStore store;
    std::array<Entry, Entries> entries;
    std::array<Machine, Executors> machines;
    std::vector<Pending> pending;
    int storeTroubles = 0; ///< that overlap; the store is mended with the last
    Instant lastEnd;
};

} // namespace waxwingloft::tests

#endif
