#include "waxwingloft/connection/doubtnotifier.h"

#include <gtest/gtest.h>
#include <set>

namespace waxwingloft::tests {

namespace {

/** Notes who was told of what; nobody is at "gone". */
class NoticePort : public NodePort
{
public:
    Result<Message> call(const std::string &address, const Message &message, Millis /*timeout*/) override
    {
        if (address == "gone") {
            return makeError(ErrorKind::Unreachable, "nobody");
        }
        const auto &notice = std::get<RelayTableCall>(message);
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->told.insert(address + " " + std::string(nameOf(notice.kind)) + " " + notice.key);
        return Message(RelayTableAnswer{});
    }

    std::mutex mutex;
    std::set<std::string> told;
};

} // namespace

// The answer to the caller must not leave before the entries know that it may try next, and must not wait for one that is gone.
TEST(DoubtNotifier, HasToldAllPeersThatCanBeReachedWhenItReturns)
{
    SystemClock clock;
    NoticePort port;
    DoubtNotifierOptions options;
    options.wait = Millis(30'000); // far above what it takes, so that a busy machine changes no verdict
    DoubtNotifier notifier(
        port,
        clock,
        [] {
            return std::vector<std::string>{"b", "gone", "c"};
        },
        options);
    notifier.notify("submit/1");
    const std::lock_guard<std::mutex> guard(port.mutex);
    EXPECT_EQ(port.told, (std::set<std::string>{"b note-doubt submit/1", "c note-doubt submit/1"}));
}

} // namespace waxwingloft::tests
