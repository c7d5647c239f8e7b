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

/** How much a kind of work suffers from waiting. */
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

/** A kind of work of a team. */
struct KindOfWork {
    KindId id;
    WorkForm form = WorkForm::Call;
    Urgency urgency = Urgency::Normal;
    double worth = 1.0; ///< weight against the other kinds of a workspace
    bool idempotent = true; ///< may run more than once
    bool checkpointable = false; ///< can go on from a checkpoint
    Millis deadline = Millis(30000); ///< longest time from acceptance to answer of a call
    std::size_t maxBodyBytes = 1 << 20; ///< largest request body
};

/** A number of equal shapes that a workspace may have back at any time. */
struct Guarantee {
    std::uint32_t count = 1;
    Shape shape;
    std::string region; ///< where it is kept; empty for the region of each placer

    bool operator==(const Guarantee &) const = default;
};

/** Bounds on what a workspace's callers may have waiting. */
struct WorkspaceLimits {
    std::uint32_t maxQueuedPerCaller = 64;
    std::uint32_t maxQueued = 1024;
    double requestsPerSecondPerCaller = 200.0;
};

/** A customer's part of a team: tokens, guarantees and limits. */
struct Workspace {
    WorkspaceId id;
    TeamId team;
    double weight = 1.0; ///< share of contended capacity against other workspaces
    std::vector<Guarantee> guarantees;
    WorkspaceLimits limits;
    Millis reclaimGrace = Millis(30000); ///< time a lent job gets to checkpoint when this workspace asks patiently
    std::vector<std::string> tokens; ///< bearer tokens of its callers; never logged
};

/** One subtree of the settings. */
struct Team {
    TeamId id;
    SettingsVersion version = 0; ///< settings version of its latest change
    std::unordered_map<KindId, KindOfWork> kinds;
};

/**
 * Everything that a settings version says, resolved for fast lookup. Immutable once published.
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

    /** Returns the version of the team's subtree; zero for an unknown team. */
    SettingsVersion teamVersion(const TeamId &team) const;
};

} // namespace waxwingloft

#endif
