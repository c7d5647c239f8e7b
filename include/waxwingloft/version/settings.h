#ifndef WAXWINGLOFT_VERSION_SETTINGS_H
#define WAXWINGLOFT_VERSION_SETTINGS_H

#include "waxwingloft/process/clock.h"
#include "waxwingloft/process/ids.h"
#include "waxwingloft/process/nametable.h"
#include "waxwingloft/version/shape.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwingloft {

/** How sensitive a kind of work is to queueing delay. */
enum class Urgency {
    Urgent,
    Normal,
    Patient,
};

template<>
struct NameTable<Urgency> {
    static constexpr std::array<std::string_view, 3> names = {"urgent", "normal", "patient"};
};

/** How a kind of work runs. */
enum class WorkForm {
    Call, ///< one request to a backend server, answered on the caller's connection
    Gang, ///< a job of tasks on workers
};

template<>
struct NameTable<WorkForm> {
    static constexpr std::array<std::string_view, 2> names = {"call", "gang"};
};

/** The properties shared by all calls or jobs of one kind of a team. */
struct KindOfWork {
    KindId id;
    WorkForm form = WorkForm::Call;
    Urgency urgency = Urgency::Normal;
    double worth = 1.0; ///< weight relative to the other kinds of a workspace
    bool idempotent = true; ///< may run more than once
    bool checkpointable = false; ///< can resume from a checkpoint
    Millis deadline = Millis(30000); ///< longest time from accepting a call to answering it
    std::size_t maxBodyBytes = 1 << 20; ///< limit on the request body
};

/** A number of equal shapes that a workspace may reclaim from preemptible jobs at any time. */
struct Guarantee {
    std::uint32_t count = 1;
    Shape shape;
    std::string region; ///< region of the reserved workers; empty for the region of each placer

    bool operator==(const Guarantee &) const = default;
};

/** Queue and rate limits of a workspace. */
struct WorkspaceLimits {
    std::uint32_t maxQueuedPerCaller = 64;
    std::uint32_t maxQueued = 1024;
    double requestsPerSecondPerCaller = 200.0;
};

/** One customer of a team, with its tokens, guarantees and limits. */
struct Workspace {
    WorkspaceId id;
    TeamId team;
    double weight = 1.0; ///< share of contended capacity relative to other workspaces
    std::vector<Guarantee> guarantees;
    WorkspaceLimits limits;
    Millis reclaimGrace = Millis(30000); ///< time that a preemptible job gets to checkpoint when a job of this workspace that is not urgent preempts it
    std::vector<std::string> tokens; ///< bearer tokens of its callers; must not be logged
};

/** A team and its kinds of work; one subtree of the settings. */
struct Team {
    TeamId id;
    SettingsVersion version = 0; ///< settings version that last changed this subtree
    std::unordered_map<KindId, KindOfWork> kinds;
};

/**
 * One version of the settings, indexed for lookup. Immutable once published.
 */
struct Settings {
    SettingsVersion version = 0;
    std::unordered_map<TeamId, Team> teams;
    std::map<WorkspaceId, Workspace> workspaces;
    std::unordered_map<std::string, WorkspaceId> workspaceByToken;

    const Workspace *findWorkspace(const WorkspaceId &id) const;
    const Workspace *findByToken(const std::string &token) const;
    const Team *findTeam(const TeamId &id) const;
    const KindOfWork *findKind(const TeamId &team, const KindId &kind) const;

    /** Returns the settings version that last changed the team; zero for an unknown team. */
    SettingsVersion teamVersion(const TeamId &team) const;
};

} // namespace waxwingloft

#endif
