#ifndef WAXWINGLOFT_REQUEST_GANGJOBSERVICE_H
#define WAXWINGLOFT_REQUEST_GANGJOBSERVICE_H

#include "waxwingloft/connection/frontservice.h"
#include "waxwingloft/connection/nodeport.h"
#include "waxwingloft/process/duty.h"
#include "waxwingloft/process/memberdirectory.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/request/placer.h"

#include <functional>
#include <string>
#include <vector>

namespace waxwingloft {

/** Dependencies of a GangJobService. */
struct GangJobServiceContext {
    Clock &clock;
    EventLog &events;
    Metrics &metrics;
    const SettingsPublisher &settings;
    TableStore &table;
    NodePort &peers;
    IdSource &ids;
    JobStore &jobs;
    const MemberDirectory &members;
    const Placer &placer;
    const Duty &placerDuty;
    std::function<void()> wakePlacer; ///< makes the placer of this process check the jobs now
    std::string region; ///< of this entry
    Millis callTimeout = Millis(0); ///< for a call to another process
};

/**
 * Lets callers submit, show, list and cancel the gang jobs of their own workspace.
 *
 * A job is accepted once its row is in the table. Thread safe.
 */
class GangJobService
{
public:
    explicit GangJobService(const GangJobServiceContext &context);

    Result<JobId> submitJob(const JobRequest &question);
    Result<JobView> showJob(const std::string &token, const JobId &id);
    Result<std::vector<JobView>> listJobs(const std::string &token);
    Status cancelJob(const std::string &token, const JobId &id);

private:
    /** A caller's workspace and team, copied from the current settings. */
    struct Caller {
        WorkspaceId workspace;
        TeamId team;
    };

    Result<Caller> callerOf(const std::string &token) const;
    Status withdrawJob(const std::string &token, const JobId &id, const Error &notFound);
    Result<JobRecord> findOwn(const std::string &token, const JobId &id);
    Result<std::string> chooseRegion(const JobRequest &question) const;
    JobView viewOf(const JobRecord &record) const;
    void notifyPlacer(const std::string &region);

    GangJobServiceContext context;
};

} // namespace waxwingloft

#endif
