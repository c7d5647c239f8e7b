#include "waxwingloft/request/claimstore.h"

#include <nlohmann/json.hpp>

namespace waxwingloft {

namespace {

std::string keyOf(const WorkspaceId &workspace, const RequestId &request)
{
    return "claim/" + workspace.value + "/" + request.value;
}

std::string encode(const Claim &claim)
{
    return nlohmann::json{{"node", claim.node.value},
                          {"address", claim.address},
                          {"incarnation", claim.incarnation},
                          {"attempt", claim.attempt.value},
                          {"claimed_at_ms", claim.claimedAtWallMillis}}
        .dump();
}

} // namespace

Result<Claim> parseClaim(const Row &row)
{
    const auto json = nlohmann::json::parse(row.value, nullptr, false);
    if (!json.is_object()) {
        return makeError(ErrorKind::Internal, "row " + row.key + " of the table is not a JSON object");
    }
    Claim claim;
    claim.node.value = json.value("node", "");
    claim.address = json.value("address", "");
    claim.incarnation = json.value("incarnation", Incarnation(0));
    claim.attempt.value = json.value("attempt", "");
    claim.claimedAtWallMillis = json.value("claimed_at_ms", std::int64_t(0));
    claim.revision = row.revision;
    return claim;
}

ClaimStore::ClaimStore(TableStore &table, IdSource &ids)
    : table(table)
    , ids(ids)
{
}

Result<std::optional<Claim>> ClaimStore::find(const WorkspaceId &workspace, const RequestId &request)
{
    const auto row = this->table.get(keyOf(workspace, request));
    if (!succeeded(row)) {
        return errorOf(row);
    }
    if (!valueOf(row)) {
        return std::optional<Claim>();
    }
    auto claim = parseClaim(*valueOf(row));
    return succeeded(claim) ? Result<std::optional<Claim>>(std::move(valueOf(claim))) : errorOf(claim);
}

Result<std::uint64_t> ClaimStore::put(const WorkspaceId &workspace, const RequestId &request, const Claim &claim)
{
    const auto key = keyOf(workspace, request);
    const auto committed = this->table.commit({this->ids.next(), {{key, claim.revision}}, {{key, encode(claim)}}});
    return succeeded(committed) ? Result<std::uint64_t>(valueOf(committed).revision) : errorOf(committed);
}

} // namespace waxwingloft
