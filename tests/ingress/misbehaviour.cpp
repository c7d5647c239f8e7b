#include "misbehaviour.h"

#include "ingresssite.h"

namespace waxwingloft::tests {

namespace {

using namespace std::string_literals;

constexpr std::size_t SubmissionBytes = 262'144; ///< limits.max_body_bytes of the operator
constexpr std::size_t HeartbeatBytes = std::size_t(1) << 20U; ///< of a listener
constexpr std::size_t OversizedBytes = std::size_t(16) << 20U;
constexpr std::size_t ChunkBytes = 1024;
constexpr auto SlowPause = Millis(500); ///< far below every timeout for a silent client

struct Place {
    std::string path;
    std::size_t bodyBytes;
};

Place placeOf(Target target)
{
    switch (target) {
    case Target::Route:
        return {IngressSite::jobPath("00000000000000ff"), SubmissionBytes};
    case Target::NoRoute:
        return {"/nowhere/at/all", SubmissionBytes};
    case Target::Readiness:
        return {"/waxwingloft/readyz", SubmissionBytes};
    case Target::Heartbeats:
        return {"/waxwingloft/instances/i-9/heartbeat", HeartbeatBytes};
    case Target::Operator:
        return {"/metrics", SubmissionBytes};
    }
    return {};
}

std::string requestLine(const std::string &method, Target target)
{
    return method + " " + placeOf(target).path + " HTTP/1.1\r\n" + IngressSite::callerHeaders();
}

std::string lengthOf(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/** A body with a length of which all but @p missing bytes are sent. */
ClientScript bodyScript(Target target, std::size_t bytes, std::size_t missing)
{
    ClientScript script;
    script.head = requestLine("POST", target) + lengthOf(bytes);
    script.part = std::string(ChunkBytes, ' ');
    script.repeats = (bytes - missing) / ChunkBytes;
    script.tail = std::string((bytes - missing) % ChunkBytes, ' ');
    return script;
}

ClientScript chunkScript(Target target, std::size_t bytes)
{
    ClientScript script;
    script.head = requestLine("POST", target) + "Transfer-Encoding: chunked\r\n\r\n";
    script.part = "400\r\n" + std::string(ChunkBytes, ' ') + "\r\n";
    script.repeats = bytes / ChunkBytes - 1;
    return script;
}

ClientScript headerScript(Target target)
{
    ClientScript script;
    script.head = requestLine("GET", target);
    for (int field = 0; field < 200; ++field) {
        script.part += "a: b\r\n";
    }
    script.repeats = 1000;
    script.tail = "\r\n";
    return script;
}

/** A whole request whose body is @p open, @p element as often as fits, and @p close. */
ClientScript jsonScript(Target target, const std::string &open, const std::string &element, const std::string &close)
{
    const auto room = placeOf(target).bodyBytes - open.size() - close.size() - 1;
    ClientScript script;
    script.part = element;
    while (script.part.size() < ChunkBytes) {
        script.part += element;
    }
    script.repeats = room / script.part.size();
    script.tail = close;
    script.head = requestLine("POST", target) + lengthOf(open.size() + script.repeats * script.part.size() + close.size()) + open;
    return script;
}

ClientScript elementsScript(Target target)
{
    if (target == Target::Heartbeats) {
        return jsonScript(target, R"({"seq":1,"service":"s","state":"ready","address":"a:1","capacity":{"cpu":1,"mem_mb":1},"more":[{})", ",{}", "]}");
    }
    return jsonScript(target, R"({"spec":"s","steps":[{})", ",{}", "]}");
}

ClientScript pipelinedScript(Target target, Reading reading, std::size_t requests)
{
    ClientScript script;
    for (int request = 0; request < 10; ++request) {
        script.part += requestLine("GET", target) + "\r\n";
    }
    script.repeats = requests / 10;
    script.reading = reading;
    return script;
}

} // namespace

ClientScript scriptOf(Misbehaviour kind, Target target)
{
    const auto bytes = placeOf(target).bodyBytes;
    ClientScript script;
    switch (kind) {
    case Misbehaviour::BodyInOnePiece:
        return bodyScript(target, bytes, 1);
    case Misbehaviour::BodyInSmallPieces:
        script = bodyScript(target, bytes, 1);
        script.pieceBytes = ChunkBytes;
        return script;
    case Misbehaviour::BodyInChunks:
        return chunkScript(target, bytes);
    case Misbehaviour::OversizedBody:
        return bodyScript(target, OversizedBytes, 0);
    case Misbehaviour::OversizedChunks:
        return chunkScript(target, OversizedBytes);
    case Misbehaviour::HeaderFields:
        return headerScript(target);
    case Misbehaviour::JsonFields:
        return elementsScript(target);
    case Misbehaviour::DeepNesting:
        return jsonScript(target, R"({"spec":"s","steps":)", "[", "");
    case Misbehaviour::PipelinedRequests:
        return pipelinedScript(target, Reading::None, 20'000);
    case Misbehaviour::SlowSender:
        script = bodyScript(target, bytes, 1);
        script.pieceBytes = 1;
        script.pause = SlowPause;
        return script;
    case Misbehaviour::SlowReader:
        script = pipelinedScript(target, Reading::Slow, 20'000);
        script.pause = SlowPause;
        return script;
    case Misbehaviour::HalfClosed:
        script = bodyScript(target, bytes, bytes / 2);
        script.halfCloses = true;
        return script;
    case Misbehaviour::IdleConnections:
        script.head = "POST ";
        return script;
    }
    return script;
}

std::size_t crowdOf(Misbehaviour kind, Target target)
{
    // More connections than a machine has descriptors for, as descriptors are what they take.
    constexpr std::size_t MoreThanDescriptors = 4500;
    // Their unfinished bodies together are larger than the machine's memory, 160 MB and 128 MB.
    constexpr std::size_t Submitters = 700;
    constexpr std::size_t Heartbeats = 200;
    if (kind == Misbehaviour::IdleConnections) {
        return MoreThanDescriptors;
    }
    return target == Target::Heartbeats ? Heartbeats : Submitters;
}

} // namespace waxwingloft::tests
