#ifndef WAXWINGLOFT_TESTS_CONNECTION_FAKEBACKEND_H
#define WAXWINGLOFT_TESTS_CONNECTION_FAKEBACKEND_H

#include "../process/faultplan.h"
#include "waxwingloft/connection/backendport.h"

#include <functional>
#include <map>
#include <string>

namespace waxwingloft::tests {

/** How often each payload ran, over all backend servers. */
using RunCounts = std::map<std::string, int>;

/** A backend server that answers with the payload, echoed. It survives its agent. */
class FakeBackend : public BackendPort
{
public:
    FakeBackend(RunCounts &runs, FaultPlan &plan, std::string node)
        : runs(runs)
        , plan(plan)
        , node(std::move(node))
    {
    }

    Result<std::string> run(const BackendRequest &request, Millis /*timeout*/) override
    {
        const auto transport = this->plan.pass({this->node, "backend", "run"});
        if (transport == Transport::KillAsker) {
            throw ProcessKilled{this->node};
        }
        if (transport == Transport::LoseRequest) {
            return makeError(ErrorKind::Unreachable, "connection refused");
        }
        ++this->runs[request.payload];
        if (this->failsAlways) {
            return makeError(ErrorKind::Internal, "failed");
        }
        if (transport == Transport::KillAskerAfter) {
            throw ProcessKilled{this->node};
        }
        if (transport == Transport::LoseReply) {
            return makeError(ErrorKind::Ambiguous, "connection lost");
        }
        return "echo " + request.payload;
    }

    bool failsAlways = false;

private:
    RunCounts &runs;
    FaultPlan &plan;
    const std::string node;
};

} // namespace waxwingloft::tests

#endif
