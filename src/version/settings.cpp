#include "waxwingloft/version/settings.h"

namespace waxwingloft {

const Workspace *Settings::findWorkspace(const WorkspaceId &id) const
{
    const auto found = this->workspaces.find(id);
    return found == this->workspaces.end() ? nullptr : &found->second;
}

const Workspace *Settings::findByToken(const std::string &token) const
{
    const auto found = this->workspaceByToken.find(token);
    return found == this->workspaceByToken.end() ? nullptr : this->findWorkspace(found->second);
}

const Team *Settings::findTeam(const TeamId &id) const
{
    const auto found = this->teams.find(id);
    return found == this->teams.end() ? nullptr : &found->second;
}

const KindOfWork *Settings::findKind(const TeamId &team, const KindId &kind) const
{
    const auto *const found = this->findTeam(team);
    if (found == nullptr) {
        return nullptr;
    }
    const auto entry = found->kinds.find(kind);
    return entry == found->kinds.end() ? nullptr : &entry->second;
}

SettingsVersion Settings::teamVersion(const TeamId &team) const
{
    const auto *const found = this->findTeam(team);
    return found == nullptr ? 0 : found->version;
}

} // namespace waxwingloft
