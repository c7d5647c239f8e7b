#include "waxwingloft/process/error.h"

namespace waxwingloft {

namespace {

constexpr std::array<std::string_view, NameTable<ErrorKind>::names.size()> Remedies = {
    "correct the request as the message says and send it again",
    "send a valid token in the Authorization header",
    "use a token that may do this, or ask the owner of the team",
    "check the name; list calls show what exists",
    "read the current state and repeat the change on top of it",
    "send a smaller body or raise the limit in the settings of the team",
    "slow down and retry after the time given",
    "retry later or ask for a smaller shape",
    "allow more time or retry when the load is lower",
    "retry; the process that answered is catching up",
    "retry; another process will take the request",
    "check that the peer runs and that its address is right",
    "retry when the platform's table service answers again; see the status page",
    "query the request by its id before you send it again",
    "go on from an earlier checkpoint or start afresh",
    "report this with the time line of the request",
    "shorten or split what the call carries; it is refused whenever it is repeated",
};

} // namespace

std::string_view defaultRemedy(ErrorKind kind)
{
    return Remedies.at(static_cast<std::size_t>(kind));
}

Error makeError(ErrorKind kind, std::string message)
{
    return Error{kind, std::move(message), std::string(defaultRemedy(kind))};
}

Error makeError(ErrorKind kind, std::string message, std::string remedy)
{
    return Error{kind, std::move(message), std::move(remedy)};
}

std::string toString(const Error &error)
{
    return error.remedy.empty() ? error.message : error.message + "; " + error.remedy;
}

} // namespace waxwingloft
