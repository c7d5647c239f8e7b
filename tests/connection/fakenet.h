#ifndef WAXWINGLOFT_TESTS_CONNECTION_FAKENET_H
#define WAXWINGLOFT_TESTS_CONNECTION_FAKENET_H

#include "../process/faultplan.h"
#include "../process/manualclock.h"
#include "waxwingloft/connection/nodeport.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace waxwingloft::tests {

/** What the network knows of a process. */
struct NetNode {
    std::string name;
    MessageHandler *handler = nullptr;
    HeaderKeeper *headers = nullptr;
};

/**
 * A network between the processes of a site, in one thread: a call runs the handler of the other side
 * on the spot. Every message of a request or gang is two points of the fault plan.
 */
class FakeNet
{
public:
    FakeNet(ManualClock &clock, FaultPlan &plan)
        : clock(clock)
        , plan(plan)
    {
    }

    void join(const std::string &address, NetNode node)
    {
        this->nodes[address] = std::move(node);
    }

    void leave(const std::string &address)
    {
        this->nodes.erase(address);
    }

    /** Holds messages to a process back until it is thawed; its callers time out. */
    void freeze(const std::string &name)
    {
        this->frozen.insert(name);
    }

    void thaw(const std::string &name)
    {
        this->frozen.erase(name);
        this->deliverHeld();
    }

    bool isFrozen(const std::string &name) const
    {
        return this->frozen.contains(name);
    }

    /** Cuts or mends the link between two processes, in both directions. */
    void cut(const std::string &left, const std::string &right)
    {
        this->cuts.insert({left, right});
        this->cuts.insert({right, left});
    }

    void mendAll()
    {
        this->cuts.clear();
        const auto names = this->frozen;
        for (const auto &name : names) {
            this->thaw(name);
        }
        this->deliverHeld();
    }

    /** Called when the plan kills a process; must destroy it. */
    std::function<void(const std::string &)> onKill;

    /** Called when the plan has frozen a process; must thaw it when enough time has passed. */
    std::function<void(const std::string &)> onFreeze;

    Result<Message> call(const std::string &from, HeaderKeeper &fromHeaders, const std::string &address, const Message &message, Millis timeout)
    {
        const auto found = this->nodes.find(address);
        if (found == this->nodes.end()) {
            return makeError(ErrorKind::Unreachable, "nobody listens on " + address);
        }
        const auto to = found->second.name;
        const auto transport = isBackground(message) ? Transport::Deliver : this->plan.pass({from, to, messageName(message)});
        if (transport == Transport::KillAsker) {
            throw ProcessKilled{from};
        }
        if (!this->nodes.contains(address)) {
            return makeError(ErrorKind::Ambiguous, to + " died");
        }
        if (transport == Transport::KillAsked) {
            this->onKill(to);
            return makeError(ErrorKind::Ambiguous, to + " died");
        }
        if (transport == Transport::FreezeAsked) {
            this->freeze(to);
            this->onFreeze(to);
        }
        const bool isLost = transport == Transport::LoseRequest || this->cuts.contains({from, to});
        const bool isHeld = this->frozen.contains(to) || transport == Transport::Delay;
        if (isLost || isHeld) {
            if (isHeld && !isLost) {
                this->held.push_back({address, fromHeaders.outgoing(), message});
            }
            this->clock.sleepFor(timeout);
            return makeError(ErrorKind::Ambiguous, "no answer from " + to);
        }
        auto reply = this->deliver(address, fromHeaders.outgoing(), message);
        if (transport == Transport::Duplicate) {
            reply = this->deliver(address, fromHeaders.outgoing(), message);
        }
        return this->finishCall(transport, from, to, messageName(message), fromHeaders, std::move(reply));
    }

    /** Delivers what was held back to processes that answer again; the answers go nowhere. */
    void deliverHeld()
    {
        std::deque<Held> due;
        due.swap(this->held);
        for (const auto &message : due) {
            const auto found = this->nodes.find(message.address);
            if (found == this->nodes.end()) {
                continue;
            }
            if (this->frozen.contains(found->second.name)) {
                this->held.push_back(message);
                continue;
            }
            this->deliver(message.address, message.header, message.message);
        }
    }

    static std::string messageName(const Message &message)
    {
        static const std::map<std::size_t, std::string> names = {{messageIndex<Dispatch>(), "dispatch"},
                                                                 {messageIndex<QueryAttempt>(), "query"},
                                                                 {messageIndex<PrepareGang>(), "prepare"},
                                                                 {messageIndex<StartGang>(), "start"},
                                                                 {messageIndex<StopGang>(), "stop"},
                                                                 {messageIndex<RenewGang>(), "renew"},
                                                                 {messageIndex<AskReport>(), "report"},
                                                                 {messageIndex<FetchSettings>(), "settings"},
                                                                 {messageIndex<NudgePlacer>(), "nudge"},
                                                                 {messageIndex<DrainNode>(), "drain"}};
        const auto found = names.find(message.index());
        return found == names.end() ? "background" : found->second;
    }

private:
    struct Held {
        std::string address;
        Header header;
        Message message;
    };

    static bool isBackground(const Message &message)
    {
        return messageName(message) == "background";
    }

    Result<Message>
    finishCall(Transport transport, const std::string &from, const std::string &to, const std::string &what, HeaderKeeper &fromHeaders, Result<Message> reply)
    {
        if (transport == Transport::KillAskerAfter) {
            throw ProcessKilled{from};
        }
        if (transport == Transport::KillAskedAfter) {
            this->onKill(to);
            return makeError(ErrorKind::Ambiguous, to + " died");
        }
        if (transport == Transport::LoseReply || !succeeded(reply)) {
            return makeError(ErrorKind::Ambiguous, "no answer from " + to);
        }
        const auto earlier = this->earlierReplies.find(what);
        if (transport == Transport::CrossReply && earlier != this->earlierReplies.end()) {
            return earlier->second;
        }
        this->earlierReplies[what] = valueOf(reply);
        fromHeaders.incoming(this->lastReplyHeader);
        return reply;
    }

    Result<Message> deliver(const std::string &address, const Header &header, const Message &message)
    {
        const auto node = this->nodes.at(address);
        node.headers->incoming(header);
        try {
            auto reply = node.handler->handle(header, message);
            const auto still = this->nodes.find(address);
            if (still == this->nodes.end() || still->second.handler != node.handler) {
                return makeError(ErrorKind::Ambiguous, node.name + " died");
            }
            this->lastReplyHeader = node.headers->outgoing();
            return reply;
        } catch (const ProcessKilled &killed) {
            if (killed.node != node.name) {
                throw;
            }
            this->onKill(node.name);
            return makeError(ErrorKind::Ambiguous, node.name + " died");
        }
    }

    ManualClock &clock;
    FaultPlan &plan;
    std::map<std::string, NetNode> nodes;
    std::set<std::string> frozen;
    std::set<std::pair<std::string, std::string>> cuts;
    std::deque<Held> held;
    std::map<std::string, Message> earlierReplies; ///< the latest answer to each sort of message
    Header lastReplyHeader;
};

/** One process's access to the network. */
class FakePort : public NodePort
{
public:
    FakePort(FakeNet &net, HeaderKeeper &headers, std::string node, std::shared_ptr<bool> isAlive)
        : net(net)
        , headers(headers)
        , node(std::move(node))
        , isAlive(std::move(isAlive))
    {
    }

    Result<Message> call(const std::string &address, const Message &message, Millis timeout) override
    {
        if (!*this->isAlive) {
            throw ProcessKilled{this->node};
        }
        return this->net.call(this->node, this->headers, address, message, timeout);
    }

private:
    FakeNet &net;
    HeaderKeeper &headers;
    const std::string node;
    const std::shared_ptr<bool> isAlive; ///< code of a killed process that is still on the stack ends here
};

} // namespace waxwingloft::tests

#endif
