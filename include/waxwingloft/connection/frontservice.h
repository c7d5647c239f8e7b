#ifndef WAXWINGLOFT_CONNECTION_FRONTSERVICE_H
#define WAXWINGLOFT_CONNECTION_FRONTSERVICE_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/error.h"
#include "waxwingloft/process/eventlog.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/member.h"
#include "waxwingloft/process/outcome.h"
#include "waxwingloft/version/settingstree.h"
#include "waxwingloft/version/shape.h"

#include <optional>
#include <string>
#include <vector>

namespace waxwingloft {

/** What a caller asks for, as it came in. */
struct CallRequest {
    std::string token;
    CallerId caller;
    RequestId request; ///< empty for a fresh one, under which no other copy can exist
    KindId kind;
    Millis deadline = Millis(0); ///< zero takes the deadline of the kind
    std::string payload;
};

/** The true end of a call and the whole answer, if there is one. */
struct CallAnswer {
    Outcome outcome = Outcome::Unknown;
    Error error; ///< meaningful unless the outcome is Done
    std::string payload;
};

/** A gang job as a caller submits it. */
struct JobRequest {
    std::string token;
    RequestId request; ///< empty for a fresh id; the same id twice names the same job
    KindId kind;
    Shape shape;
    Millis declaredRunTime = Millis(0);
    std::string region; ///< empty for any
    std::string payload;
};

/** A gang job as its caller may see it. */
struct JobView {
    JobId id;
    KindId kind;
    std::string state; ///< "queued", "placed" or "ended"
    std::optional<Outcome> outcome; ///< once it has ended
    std::string detail; ///< why it ended, or what it waits for
    Shape shape;
    std::string region;
    std::vector<NodeId> workers;
};

/** One backend server or worker on the status page. */
struct MemberView {
    Member member;
    std::uint32_t inUse = 0;
};

/** One guarantee on the status page. */
struct GuaranteeView {
    WorkspaceId workspace;
    std::string shape;
    std::string state; ///< "free", "claimed by JOB" or "without workers"
};

/** What an entry tells operators about itself and the fleet. */
struct StatusView {
    NodeId node;
    SettingsVersion settingsVersion = 0;
    std::vector<MemberView> members;
    std::vector<GuaranteeView> guarantees; ///< only from the entry that places
    std::vector<std::string> degraded; ///< what does not work, since when, and what that means
    std::size_t queuedRequests = 0;
    std::size_t waitingJobs = 0;
    std::size_t runningJobs = 0;
    std::string placer; ///< node that places the jobs of the entry's region
};

/**
 * What callers and operators may ask of an entry, free of any encoding.
 *
 * Every call checks its token. Thread safe; calls block until they are answered.
 */
class FrontService
{
public:
    virtual ~FrontService() = default;

    virtual CallAnswer call(const CallRequest &question) = 0;
    virtual Result<JobId> submitJob(const JobRequest &question) = 0;
    virtual Result<JobView> showJob(const std::string &token, const JobId &id) = 0;
    virtual Result<std::vector<JobView>> listJobs(const std::string &token) = 0;
    virtual Status cancelJob(const std::string &token, const JobId &id) = 0;

    /** Returns the settings at a path and their version; tokens are hidden unless @p reveal is set. */
    virtual Result<nlohmann::json> settingsAt(const std::string &operatorToken, const std::string &path, bool reveal) = 0;

    /** Returns the version of the team that @p path lies in, to build a change on. */
    virtual Result<SettingsVersion> teamVersion(const std::string &operatorToken, const std::string &path) = 0;

    /** Changes the settings; returns the version that is accepted. */
    virtual Result<SettingsVersion> changeSettings(const std::string &operatorToken, const SettingsChange &change) = 0;

    virtual Result<StatusView> status(const std::string &operatorToken) = 0;

    /** Asks a backend server or worker to take no new work. */
    virtual Status drain(const std::string &operatorToken, const NodeId &node) = 0;

    /** Returns the events of all reachable processes after @p since, in order, and the processes that did not answer. */
    virtual Result<std::vector<Event>> timeline(const std::string &operatorToken, HybridTime since, std::vector<std::string> &silent) = 0;
};

/** Whether a process is alive and whether it wants new requests. */
class HealthService
{
public:
    virtual ~HealthService() = default;

    /** Returns why the process is not ready, or nothing when it is. */
    virtual std::optional<std::string> whyNotReady() const = 0;

    virtual std::string metricsText() const = 0;
};

/** What a backend server or worker says when it announces itself to its agent. */
struct Announcement {
    MemberRole role = MemberRole::BackendServer;
    std::string address; ///< base URL on loopback
    std::vector<KindId> kinds;
    std::uint32_t slots = 0;
    Resources resources;
    bool isLeaving = false;
};

/** Takes the announcements of what stands behind an agent. */
class AnnouncementService
{
public:
    virtual ~AnnouncementService() = default;

    virtual Status announce(const Announcement &announcement) = 0;
};

} // namespace waxwingloft

#endif
