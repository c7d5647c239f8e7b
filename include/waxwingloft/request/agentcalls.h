#ifndef WAXWINGLOFT_REQUEST_AGENTCALLS_H
#define WAXWINGLOFT_REQUEST_AGENTCALLS_H

#include "waxwingloft/connection/backendport.h"
#include "waxwingloft/connection/messages.h"
#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/request/attemptledger.h"
#include "waxwingloft/version/settingspublisher.h"

#include <atomic>
#include <optional>

namespace waxwingloft {

/** What an agent needs for the requests of its backend server. */
struct AgentCallsContext {
    Clock &clock;
    EventLog &events;
    const SettingsPublisher &settings;
    BackendPort &backend;
    Incarnation incarnation = 0;
    std::uint32_t slots = 0;
};

/**
 * The last gatekeeper before a backend server: incarnation, settings version, drain, tombstones and
 * slots are checked here, whatever the sender believes. Thread safe.
 */
class AgentCalls
{
public:
    AgentCalls(const AgentCallsContext &context, AttemptLedgerOptions options);

    /** Runs one dispatch to its end and returns the answer. Blocks meanwhile. */
    AttemptReply dispatch(const Header &header, const Dispatch &dispatch);

    /** Says what became of an attempt; one that has not started never will. */
    AttemptReply query(const QueryAttempt &query);

    /** Refuses all new requests from now on. */
    void drain();

    bool isDraining() const;

    /** Waits until no request runs or @p limit has passed. Returns whether none runs. */
    bool waitUntilIdle(Millis limit);

    Load load() const;

private:
    using Check = std::optional<Error> (AgentCalls::*)(const Header &, const Dispatch &) const;
    static const std::array<Check, 4> checks;

    std::optional<Error> checkIncarnation(const Header &header, const Dispatch &dispatch) const;
    std::optional<Error> checkVersion(const Header &header, const Dispatch &dispatch) const;
    std::optional<Error> checkAge(const Header &header, const Dispatch &dispatch) const;
    std::optional<Error> checkDrain(const Header &header, const Dispatch &dispatch) const;
    bool tryTakeSlot();
    AttemptReply run(const Dispatch &dispatch);
    AttemptReply refuse(const AttemptId &attempt, Error error) const;

    AgentCallsContext context;
    AttemptLedger ledger;
    std::atomic<std::uint32_t> inUse = 0;
    std::atomic<bool> draining = false;
};

} // namespace waxwingloft

#endif
