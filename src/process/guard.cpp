#include "waxwingloft/process/guard.h"

#include "waxwingloft/process/logger.h"

#include <exception>

namespace waxwingloft {

namespace {

void logEnd(const std::string &what, const std::string &reason)
{
    Logger(LogPart::Main).error("An unexpected error ended a piece of work; report it to the developers with this line.", {{"work", what}, {"error", reason}});
}

} // namespace

bool runGuarded(const std::string &what, const std::function<void()> &work)
{
    try {
        work();
        return true;
    } catch (const std::exception &error) {
        logEnd(what, error.what());
    } catch (...) {
        logEnd(what, "of an unknown type");
    }
    return false;
}

} // namespace waxwingloft
