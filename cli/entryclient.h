#ifndef WAXWINGLOFT_CLI_ENTRYCLIENT_H
#define WAXWINGLOFT_CLI_ENTRYCLIENT_H

#include "waxwingloft/process/error.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace waxwingloft::cli {

/** An answer of an entry: its HTTP status, its true outcome where there is one, and its body. */
struct EntryAnswer {
    int status = 0;
    std::string outcome;
    std::string body;

    bool isGood() const
    {
        return this->status >= 200 && this->status < 300;
    }

    /** Returns the body as JSON; null when it is not. */
    nlohmann::json json() const;
};

/** Asks one entry over HTTP. */
class EntryClient
{
public:
    /** @p base is such as "http://127.0.0.1:8001". */
    EntryClient(std::string base, std::string token, int timeoutSeconds);

    /** Returns Unreachable when the entry does not answer. */
    Result<EntryAnswer> get(const std::string &path) const;
    Result<EntryAnswer> post(const std::string &path, const std::string &body, const std::map<std::string, std::string> &headers = {}) const;

    static std::string escape(const std::string &text);

private:
    const std::string base;
    const std::string token;
    const int timeoutSeconds;
};

} // namespace waxwingloft::cli

#endif
