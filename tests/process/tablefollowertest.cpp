#include "waxwingloft/process/tablefollower.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>

namespace waxwingloft::tests {

namespace {

/** A table whose answers are written down beforehand, one after the other; then it stays silent. */
class ScriptedTable : public TableStore, public TableFeed
{
public:
    Result<std::optional<Row>> get(const std::string & /*key*/) override
    {
        return std::optional<Row>();
    }

    Result<RowList> list(const std::string & /*prefix*/, std::uint64_t /*since*/) override
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        ++this->lists;
        if (this->listFailures > 0) {
            --this->listFailures;
            return makeError(ErrorKind::PlatformDown, "down");
        }
        return RowList{{{"t/a", "listed", 5, ""}}, 5};
    }

    Result<Commit> commit(const Transaction & /*transaction*/) override
    {
        return Commit{};
    }

    Result<ChangeBatch> changes(const std::string & /*table*/, std::uint64_t after, Millis wait) override
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        if (this->script.empty()) {
            lock.unlock();
            std::this_thread::sleep_for(Millis(5));
            return ChangeBatch{{}, after};
        }
        std::this_thread::sleep_for(this->answerTime);
        this->askedAfter.push_back(after);
        this->waits.push_back(wait);
        auto next = this->script.front();
        this->script.erase(this->script.begin());
        return next;
    }

    std::mutex mutex;
    int lists = 0;
    int listFailures = 0;
    Millis answerTime = Millis(0); ///< of the feed
    std::vector<std::uint64_t> askedAfter; ///< of the answers that were written down
    std::vector<Millis> waits; ///< of the same
    std::vector<Result<ChangeBatch>> script;
};

/** Keeps what it is told, and lets a test wait for it. */
class RecordingObserver : public TableObserver
{
public:
    void reset(const RowList &rows) override
    {
        this->note("reset " + rows.rows.front().value);
    }

    void apply(const ChangeBatch &batch) override
    {
        for (const auto &change : batch.changes) {
            this->note(change.row.value);
        }
    }

    void seenAt(Instant askedAt) override
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->asked.push_back(askedAt);
    }

    /** Returns as of when the rows were known after each reset and batch. */
    std::vector<Instant> askedTimes()
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        return this->asked;
    }

    std::vector<std::string> waitFor(std::size_t count)
    {
        constexpr auto Patience = std::chrono::seconds(30);
        std::unique_lock<std::mutex> lock(this->mutex);
        this->wakeUp.wait_for(lock, Patience, [this, count] { return this->notes.size() >= count; });
        return this->notes;
    }

private:
    void note(const std::string &text)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->notes.push_back(text);
        this->wakeUp.notify_all();
    }

    std::mutex mutex;
    std::condition_variable wakeUp;
    std::vector<std::string> notes;
    std::vector<Instant> asked;
};

ChangeBatch changeTo(const std::string &value, std::uint64_t revision)
{
    return {{{{"t/a", value, revision, ""}, false}}, revision};
}

} // namespace

TEST(TableFollower, ListsThenFollowsAndListsAgainWhenHistoryIsLost)
{
    ScriptedTable table;
    table.listFailures = 1;
    table.script = {
        changeTo("one", 6), makeError(ErrorKind::PlatformDown, "cut"), changeTo("two", 7), makeError(ErrorKind::Stale, "gone"), changeTo("three", 8)};
    RecordingObserver observer;
    SystemClock clock;
    TableFollower follower(table, table, clock, "t", observer, TableFollowerOptions{Millis(10), Millis(1), Millis(5)});
    const std::vector<std::string> expected = {"reset listed", "one", "two", "reset listed", "three"};
    EXPECT_EQ(observer.waitFor(expected.size()), expected);
    follower.stop();
    EXPECT_EQ(table.lists, 3);
    EXPECT_EQ(table.askedAfter, (std::vector<std::uint64_t>{5, 6, 6, 7, 5}));
}

/** Guards against a view that counts as fresh as of its answer, which a slow store or a paused process may make much later than what it shows. */
TEST(TableFollower, TheRowsAreKnownAsOfWhenTheQuestionWasSent)
{
    constexpr auto AnswerTime = Millis(300);
    ScriptedTable table;
    table.answerTime = AnswerTime;
    table.script = {changeTo("one", 6), makeError(ErrorKind::PlatformDown, "cut"), changeTo("two", 7)};
    RecordingObserver observer;
    SystemClock clock;
    const auto before = clock.now();
    TableFollower follower(table, table, clock, "t", observer, TableFollowerOptions{Millis(10), Millis(1), Millis(5)});
    observer.waitFor(3);
    follower.stop();
    const auto asked = observer.askedTimes();
    ASSERT_GE(asked.size(), 3U) << "the list, and the two batches that were answered";
    EXPECT_GE(asked[0], before);
    EXPECT_GE(asked[2] - asked[1], 2 * AnswerTime) << "one answered and one unanswered question lie between";
    EXPECT_LE(asked[1] + AnswerTime, clock.now());
}

TEST(TableFollower, ReadsTheTableWhenTheFeedIsSilentAndThatIsWanted)
{
    ScriptedTable table;
    table.script = {makeError(ErrorKind::PlatformDown, "silent"), changeTo("one", 6), changeTo("two", 7)};
    RecordingObserver observer;
    SystemClock clock;
    TableFollowerOptions options{Millis(10), Millis(1), Millis(5)};
    options.listsAfterFailure = true;
    TableFollower follower(table, table, clock, "t", observer, options);
    const std::vector<std::string> expected = {"reset listed", "reset listed", "one", "two"};
    EXPECT_EQ(observer.waitFor(expected.size()), expected);
    follower.stop();
    EXPECT_EQ(table.waits, (std::vector<Millis>{options.wait, Millis(0), options.wait}));
}

/** Guards against a follower that reads the table over and over while the feed fails at once. */
TEST(TableFollower, PausesWhileTheFeedFailsThoughTheTableCanBeRead)
{
    constexpr auto Pause = Millis(40);
    constexpr int Failures = 5;
    ScriptedTable table;
    table.script.assign(Failures, makeError(ErrorKind::PlatformDown, "down"));
    table.script.push_back(changeTo("one", 6));
    RecordingObserver observer;
    SystemClock clock;
    TableFollowerOptions options{Millis(10), Pause, Pause};
    options.listsAfterFailure = true;
    const auto before = clock.now();
    TableFollower follower(table, table, clock, "t", observer, options);
    observer.waitFor(Failures + 2);
    EXPECT_GE(clock.now() - before, Failures * Pause / 2) << "a pause takes at least half of what is set";
    follower.stop();
}

} // namespace waxwingloft::tests
