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

/** Dependencies of AgentCalls. */
struct AgentCallsContext {
    Clock &clock;
    EventLog &events;
    const SettingsPublisher &settings;
    BackendPort &backend;
    Incarnation incarnation = 0;
    std::uint32_t slots = 0;
};

/**
 * Final admission check before a backend server: verifies incarnation, settings version, age, drain,
 * tombstones and free slots, because the sender's view may be stale. Thread safe.
 */
class AgentCalls
{
public:
    AgentCalls(const AgentCallsContext &context, AttemptLedgerOptions options);

    /** Runs one dispatch and returns its answer. Blocks until it has ended. */
    AttemptReply dispatch(const Header &header, const Dispatch &dispatch);

    /** Returns the state of an attempt. Tombstones one that has not started, so that it never will. */
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
