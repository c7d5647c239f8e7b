#ifndef WAXWINGLOFT_PROCESS_NODECONFIG_H
#define WAXWINGLOFT_PROCESS_NODECONFIG_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/nametable.h"
#include "waxwingloft/process/resources.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

/** What a daemon does. */
enum class NodeRole {
    Entry,
    Agent,
    JobEntry, ///< takes jobs of callers on the users' platform; may hold the office of the placer
    JobAgent, ///< stands beside one executor of the users' platform
};

template<>
struct NameTable<NodeRole> {
    static constexpr std::array<std::string_view, 4> names = {"entry", "agent", "job-entry", "job-agent"};
};

/** Whether a role serves jobs on the users' platform. */
constexpr bool isJobRole(NodeRole role)
{
    return role == NodeRole::JobEntry || role == NodeRole::JobAgent;
}

/** Addresses and bounds of a process on the users' platform. */
struct JobNodeConfig {
    std::string storeAddress; ///< IP:PORT of the platform's store
    std::string frontAddress; ///< of an entry: IP:PORT for callers
    std::string readyAddress; ///< of an entry: IP:PORT at which the balancer asks
    std::string heartbeatAddress; ///< of an agent: IP:PORT for its executor's heartbeats
    std::string executorAddress; ///< of an agent: IP:PORT of its executor
    Millis longestLease = Millis(6000); ///< that executors grant
    Millis wantedLease = Millis(6000); ///< bridges 4 s without the agent and its start; what dies with its executor counts as running so long

    std::optional<Millis> zoneCloseTime; ///< from the acknowledgement of a closed zone's row until nothing starts there; left out, zones are not closed
    double storeWritesPerSecond = 100.0; ///< that the store takes from all processes together

    /** Returns the calls on the store that an entry may make a second; only the placer in office comes near it. */
    double entryCallsPerSecond() const
    {
        constexpr double EntryShare = 0.4; ///< leaves the greater part to submissions at the other entries
        return EntryShare * this->storeWritesPerSecond;
    }

    /** Returns the lease to hold. */
    Millis lease() const
    {
        return std::min(this->wantedLease, this->longestLease);
    }
};

/** What clients of a process may take. No client within the platform's limits reaches these bounds. */
struct IngressConfig {
    std::size_t memoryMb = 160; ///< of the machine; requests that are not answered hold at most an eighth of it
    std::size_t connections = 2000; ///< of one listener
    std::size_t headerBytes = 16'384; ///< of one request
    std::size_t headerFields = 100; ///< of one request
    std::size_t waitingRequests = 512; ///< whole requests of one listener that wait for a worker
    Millis headerTime = Millis(3000); ///< from the first byte of a request to the end of its headers
    Millis bodyTime = Millis(3000); ///< for a body in addition to the time at the lowest rate
    std::size_t bodyBytesPerSecond = 16'384; ///< lowest rate of a body
    Millis answerTime = Millis(5000); ///< for a client to read an answer
    Millis idleTime = Millis(15'000); ///< of a connection without requests
};

/** The settings file of one process. */
struct NodeConfig {
    NodeRole role = NodeRole::Agent;
    std::string node; ///< unique over all processes
    Location location;
    std::string shard; ///< of an agent; defaults to its data centre
    std::string rpcAddress; ///< IP:PORT that other processes reach it at
    std::string httpAddress; ///< IP:PORT; an agent's is on loopback
    std::vector<std::string> entries; ///< RPC addresses of the entries, its own may be among them
    std::string tableUrl;
    std::string objectsUrl;
    std::string operatorToken; ///< of an entry
    std::string logLevel = "info";
    double tableCallsPerSecond = 20.0; ///< share of this process in the platform's limit
    Millis balancerWait = Millis(500); ///< time between not ready and taking no more requests
    Millis shutdownLimit = Millis(20000); ///< longest wait for requests in hand
    std::uint32_t httpThreads = 64;
    std::uint32_t rpcThreads = 32;
    Millis taskLease = Millis(3000); ///< of an entry: tasks end when they are not renewed for this long
    Millis checkpointInterval = Millis(60000); ///< of an agent: time between two periodic checkpoints of a gang
    JobNodeConfig jobs;
    IngressConfig ingress;
    std::uint32_t eventCapacity = 20000; ///< events kept for the time line
};

/** One mistake in a settings file, with its place. */
struct ConfigMistake {
    std::size_t line = 0;
    std::size_t column = 0;
    std::string message;
};

/** A parsed settings file and every mistake in it. */
struct ParsedNodeConfig {
    NodeConfig config;
    std::vector<ConfigMistake> mistakes;
};

/** Parses the text of a settings file. Reports all mistakes, not only the first. */
ParsedNodeConfig parseNodeConfig(const std::string &text);

/**
 * Sets the time in which closed zones take effect from @p text, whole milliseconds from 2,000 to 600,000, which goes before that of the settings file.
 *
 * An empty text changes nothing: the platform leaves a value out where a deployment has none. Returns whether the text is valid.
 */
bool setZoneCloseTime(NodeConfig &config, const std::string &text);

/** Returns "FILE:LINE:COLUMN: message". */
std::string toString(const ConfigMistake &mistake, const std::string &file);

} // namespace waxwingloft

#endif
