#ifndef WAXWINGLOFT_CONNECTION_PRIVATE_FRONTCODEC_H
#define WAXWINGLOFT_CONNECTION_PRIVATE_FRONTCODEC_H

#include "waxwingloft/connection/frontservice.h"

#include <nlohmann/json.hpp>
#include <string>

namespace waxwingloft {

/** Returns the HTTP status for an error. */
int statusOf(ErrorKind kind);

/** Returns {"outcome", "error": {"kind", "message", "remedy"}}. */
std::string encodeError(Outcome outcome, const Error &error);

/** Parses the JSON of a submitted job; the error lists every mistake. */
Result<JobRequest> parseJobQuestion(const std::string &body);

Result<Announcement> parseAnnouncement(const std::string &body);

Result<SettingsChange> parseSettingsChange(const std::string &body);

nlohmann::json toJson(const JobView &job);
nlohmann::json toJson(const StatusView &status);
nlohmann::json toJson(const Event &event);

} // namespace waxwingloft

#endif
