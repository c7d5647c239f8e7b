#ifndef WAXWINGLOFT_TESTS_INGRESS_MISBEHAVIOUR_H
#define WAXWINGLOFT_TESTS_INGRESS_MISBEHAVIOUR_H

#include "crowd.h"

#include "waxwingloft/process/nametable.h"

namespace waxwingloft::tests {

/** What the clients of a crowd do wrong. */
enum class Misbehaviour {
    BodyInOnePiece, ///< a body of legal size, one byte short
    BodyInSmallPieces,
    BodyInChunks, ///< without the last chunk
    OversizedBody, ///< 16 MiB with a length
    OversizedChunks, ///< 16 MiB without a length
    HeaderFields, ///< 200,000 short ones
    JsonFields, ///< a whole body of legal size that consists of very short elements
    DeepNesting,
    PipelinedRequests, ///< whose answers are not read
    SlowSender, ///< a byte at a time
    SlowReader,
    HalfClosed, ///< ends its sending side within the body
    IdleConnections, ///< in large numbers
};

/** Where the clients of a crowd send it. */
enum class Target {
    Route,
    NoRoute, ///< a path that no route has
    Readiness,
    Heartbeats, ///< of an agent
    Operator, ///< health and metrics of an entry
};

} // namespace waxwingloft::tests

template<>
struct waxwingloft::NameTable<waxwingloft::tests::Misbehaviour> {
    static constexpr std::array<std::string_view, 13> names = {"BodyInOnePiece",
                                                               "BodyInSmallPieces",
                                                               "BodyInChunks",
                                                               "OversizedBody",
                                                               "OversizedChunks",
                                                               "HeaderFields",
                                                               "JsonFields",
                                                               "DeepNesting",
                                                               "PipelinedRequests",
                                                               "SlowSender",
                                                               "SlowReader",
                                                               "HalfClosed",
                                                               "IdleConnections"};
};

template<>
struct waxwingloft::NameTable<waxwingloft::tests::Target> {
    static constexpr std::array<std::string_view, 5> names = {"Route", "NoRoute", "Readiness", "Heartbeats", "Operator"};
};

namespace waxwingloft::tests {

/** Returns what each client sends. */
ClientScript scriptOf(Misbehaviour kind, Target target);

/** Returns the number of clients. */
std::size_t crowdOf(Misbehaviour kind, Target target);

} // namespace waxwingloft::tests

#endif
