#ifndef WAXWINGLOFT_PROCESS_ERROR_H
#define WAXWINGLOFT_PROCESS_ERROR_H

#include "waxwingloft/process/nametable.h"

#include <string>
#include <variant>

namespace waxwingloft {

/** What went wrong, as far as the reader of the error can act on it. */
enum class ErrorKind {
    InvalidInput,
    Unauthenticated,
    Forbidden,
    NotFound,
    Conflict,
    TooLarge,
    LimitExceeded,
    NoCapacity,
    DeadlineExceeded,
    Stale,
    Draining,
    Unreachable,
    PlatformDown,
    Ambiguous,
    Damaged,
    Internal,
    Rejected, ///< the same call is refused whenever it is repeated
};

template<>
struct NameTable<ErrorKind> {
    static constexpr std::array<std::string_view, 17> names = {"invalid-input",
                                                               "unauthenticated",
                                                               "forbidden",
                                                               "not-found",
                                                               "conflict",
                                                               "too-large",
                                                               "limit-exceeded",
                                                               "no-capacity",
                                                               "deadline-exceeded",
                                                               "stale",
                                                               "draining",
                                                               "unreachable",
                                                               "platform-down",
                                                               "ambiguous",
                                                               "damaged",
                                                               "internal",
                                                               "rejected"};
};

/** A typed error. The message says what is wrong; the remedy says what the reader can do about it. */
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;
};

/** Returns the remedy that fits every error of @p kind when nothing more precise is known. */
std::string_view defaultRemedy(ErrorKind kind);

/** Builds an error with the default remedy of its kind. */
Error makeError(ErrorKind kind, std::string message);

/** Builds an error with a remedy of its own. */
Error makeError(ErrorKind kind, std::string message, std::string remedy);

/** Returns "message; remedy" for logs and terminals. */
std::string toString(const Error &error);

/** Either a value or the error that kept it from being made. */
template<typename T>
using Result = std::variant<T, Error>;

/** The value of a successful operation that has nothing to return. */
struct Done {
};

using Status = Result<Done>;

template<typename T>
bool succeeded(const Result<T> &result)
{
    return std::holds_alternative<T>(result);
}

template<typename T>
const T &valueOf(const Result<T> &result)
{
    return std::get<T>(result);
}

template<typename T>
T &valueOf(Result<T> &result)
{
    return std::get<T>(result);
}

template<typename T>
const Error &errorOf(const Result<T> &result)
{
    return std::get<Error>(result);
}

} // namespace waxwingloft

#endif
