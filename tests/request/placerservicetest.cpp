#include "waxwingloft/request/placerservice.h"
#include "process/faketable.h"
#include "waxwingloft/process/metrics.h"
#include "waxwingloft/request/jobcache.h"
#include "waxwingloft/request/jobrows.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace waxwingloft::tests {

namespace {

/** A clock that moves only when told to, for tests with threads. */
class SharedClock : public Clock
{
public:
    Instant now() const override
    {
        return Instant(Millis(this->elapsed.load()));
    }

    std::int64_t wallMillis() const override
    {
        return this->elapsed.load();
    }

    void sleepFor(Millis duration) override
    {
        this->advance(duration);
    }

    bool waitFor(std::unique_lock<std::mutex> & /*lock*/, std::condition_variable & /*wakeUp*/, Millis duration, const std::function<bool()> &isDone) override
    {
        this->advance(duration);
        return isDone();
    }

    void advance(Millis duration)
    {
        this->elapsed += duration.count();
    }

private:
    std::atomic<std::int64_t> elapsed = 1'000'000;
};

/** A table that can stop answering; counts the reads that it fails. Called on several threads. */
class StoppableTable : public TableStore
{
public:
    Result<std::optional<Row>> get(const std::string &key) override
    {
        if (this->isDown) {
            ++this->failedReads;
            return makeError(ErrorKind::PlatformDown, "down");
        }
        const std::lock_guard<std::mutex> guard(this->mutex);
        return this->rows.get(key);
    }

    Result<RowList> list(const std::string &prefix, std::uint64_t since) override
    {
        if (this->onList) {
            this->onList();
        }
        const std::lock_guard<std::mutex> guard(this->mutex);
        return this->rows.list(prefix, since);
    }

    Result<Commit> commit(const Transaction &transaction) override
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (this->isDown) {
            return makeError(ErrorKind::PlatformDown, "down");
        }
        const bool isRejected = this->rejects && std::any_of(transaction.writes.begin(), transaction.writes.end(), this->rejects);
        return isRejected ? Result<Commit>(makeError(ErrorKind::Rejected, "too large")) : this->rows.commit(transaction);
    }

    /** Carries @p transaction out for another process, also while the table does not answer. */
    void commitElsewhere(const Transaction &transaction)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        ASSERT_TRUE(succeeded(this->rows.commit(transaction)));
    }

    std::atomic<bool> isDown = false;
    std::atomic<int> failedReads = 0;
    std::function<void()> onList; ///< called at the begin of each list; set before the first call
    std::function<bool(const Write &)> rejects; ///< whether a transaction with this write is refused for good; set before the first call

private:
    std::mutex mutex;
    FakeRows rows;
};

/** Answers assignments only once a number of them is under way at a time, or after a second. */
class GatheringNodes : public NodePort
{
public:
    explicit GatheringNodes(std::size_t expected)
        : expected(expected)
    {
    }

    Result<Message> call(const std::string & /*address*/, const Message & /*message*/, Millis /*timeout*/) override
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        ++this->underWay;
        this->most = std::max(this->most, this->underWay);
        this->changed.notify_all();
        this->changed.wait_for(lock, std::chrono::seconds(1), [this] { return this->most >= this->expected; });
        --this->underWay;
        return Message(Ack{});
    }

    std::size_t mostAtOnce()
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        return this->most;
    }

private:
    const std::size_t expected;
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t underWay = 0;
    std::size_t most = 0;
};

/** Keeps the notices that are sent. */
class NoticeNodes : public NodePort
{
public:
    Result<Message> call(const std::string &address, const Message &message, Millis /*timeout*/) override
    {
        if (const auto *const notice = std::get_if<RowNotice>(&message)) {
            const std::lock_guard<std::mutex> guard(this->mutex);
            this->sent.push_back(address + " " + notice->row.key);
        }
        return Message(Ack{});
    }

    std::vector<std::string> notices()
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        return this->sent;
    }

private:
    std::mutex mutex;
    std::vector<std::string> sent;
};

/** Delivers nothing. */
class SilentNodes : public NodePort
{
public:
    Result<Message> call(const std::string & /*address*/, const Message & /*message*/, Millis /*timeout*/) override
    {
        return makeError(ErrorKind::Unreachable, "silent");
    }
};

/** Waits in real time until @p isDone returns true. */
void waitUntil(const std::function<bool()> &isDone)
{
    for (int step = 0; step < 5000 && !isDone(); ++step) {
        std::this_thread::sleep_for(Millis(1));
    }
    ASSERT_TRUE(isDone());
}

/** The placer's service of an entry, which looks at its leadership each millisecond. */
struct ServiceSite {
    explicit ServiceSite(NodePort &nodes, const std::string &name = "e0")
        : events(this->clock, name, 10)
        , placer(this->clock, TaskPlacerOptions(), JobRankOptions())
        , cache(this->placer)
        , options(withShortInterval())
        , service(this->clock, this->events, this->ids, this->table, nodes, NodeId{name}, name + ":1", this->placer, this->cache, this->options)
    {
    }

    static PlacerServiceOptions withShortInterval()
    {
        PlacerServiceOptions options;
        options.electionInterval = Millis(1);
        return options;
    }

    /** Starts the service and waits until it leads. */
    void lead()
    {
        this->service.start();
        waitUntil([this] { return this->placer.isLeader(); });
    }

    SharedClock clock;
    EventLog events;
    IdSource ids{1};
    StoppableTable table;
    TaskPlacer placer;
    JobCache cache;
    const PlacerServiceOptions options;
    PlacerService service;
};

/** Returns a report of agent @p index to the present term of @p placer. */
AgentReport reportOf(const TaskPlacer &placer, std::size_t index)
{
    AgentReport report;
    report.node = NodeId{"a" + std::to_string(index)};
    report.address = report.node.value + ":1";
    report.generation = 1;
    report.sequence = 1;
    report.epoch = placer.view().epoch;
    report.incarnation = {"x" + std::to_string(index), 1};
    report.service = "tune";
    report.capacity = {128'000, 524'288, 8};
    return report;
}

} // namespace

// Grants were counted from the latest look at the leadership, also when that had not been renewed.
TEST(PlacerService, GrantsAgentLeasesOnlyForTheGrantPeriodAfterItsLastRenewalWasSent)
{
    const TaskPlacerOptions placerOptions;
    SilentNodes nodes;
    ServiceSite site(nodes);
    site.lead();

    site.table.isDown = true;
    site.clock.advance(site.options.lease.term - site.options.lease.safety - Millis(100));
    waitUntil([&site] { return site.table.failedReads > 1; });
    site.clock.advance(placerOptions.grantPeriod - (site.options.lease.term - site.options.lease.safety) + Millis(200));
    ASSERT_TRUE(site.placer.isLeader());
    const auto answer = site.placer.report(reportOf(site.placer, 0));
    ASSERT_TRUE(succeeded(answer));
    EXPECT_EQ(valueOf(answer).agentLease, Millis(0));
}

// A successor relies on the row, so that a lease which outlasts it must not be granted before.
TEST(PlacerService, WritesThatAnAgentIsNotSilentBeforeItGetsALease)
{
    SilentNodes nodes;
    ServiceSite site(nodes);
    const std::string key(AgentBoundsKey);
    AgentBounds bounds;
    bounds.silent[NodeId{"a0"}] = Millis(2000);
    ASSERT_TRUE(succeeded(site.table.commit({"op", {}, {{key, encodeAgentBounds(bounds)}}})));
    site.lead();
    auto report = reportOf(site.placer, 0);
    const auto leaseOfReport = [&] {
        ++report.sequence;
        return std::get<AssignmentSync>(site.service.handle(Header(), report)).agentLease;
    };
    const auto isListed = [&] { return valueOf(parseAgentBounds(valueOf(site.table.get(key))->value)).silent.contains(report.node); };
    const bool wasListed = isListed();
    const auto first = leaseOfReport();
    EXPECT_TRUE(first == Millis(0) || !wasListed);
    waitUntil([&] { return leaseOfReport() > Millis(0); });
    EXPECT_FALSE(isListed());
}

// One job's row that the table refused for good was written again and again, together with those of all others, so that nothing started any more.
TEST(PlacerService, ARowThatTheTableRefusesForGoodHoldsUpNoOtherJob)
{
    const JobId refusedJob{"0000000000000001"};
    const JobId otherJob{"0000000000000002"};
    SilentNodes nodes;
    ServiceSite site(nodes);
    site.table.rejects = [&refusedJob](const Write &write) {
        return write.key == progressKey(refusedJob) && valueOf(parseProgressHead(write.value.value_or(""))).state == JobPhase::Running;
    };
    site.lead();
    const auto stateOf = [&site](const JobId &job) {
        const auto row = valueOf(site.table.get(progressKey(job)));
        return row ? valueOf(parseProgressHead(row->value)).state : JobPhase::Pending;
    };
    auto report = reportOf(site.placer, 0);
    site.service.handle(Header(), report);
    site.clock.advance(TaskPlacerOptions().settleTime);
    for (const auto &id : {refusedJob, otherJob}) {
        JobSubmission job;
        job.id = id;
        job.service = "tune";
        job.graph.steps.resize(1);
        job.graph.steps[0].needs = {1000, 1000, 1};
        site.placer.submit(job);
    }
    site.service.nudge();
    waitUntil([&] { return stateOf(otherJob) == JobPhase::Running; });
    EXPECT_TRUE(site.placer.isLeader());
    waitUntil([&] {
        site.clock.advance(Millis(20));
        site.service.nudge();
        return stateOf(refusedJob) == JobPhase::Failed;
    });
    EXPECT_EQ(stateOf(otherJob), JobPhase::Running);
    site.service.stop();
}

// Where reading the jobs took longer than the lease, each entry lost leadership before its term began, in turn and for good.
TEST(PlacerService, RenewsItsLeadershipWhileItReadsTheJobs)
{
    SilentNodes nodes;
    ServiceSite site(nodes);
    const auto duty = [&site] { return *valueOf(site.table.get("duty/placer")); };
    site.table.onList = [&site, &duty] {
        for (auto passed = Millis(0); passed < 2 * site.options.lease.term; passed += site.options.lease.term / 2) {
            const auto before = duty().revision;
            site.clock.advance(site.options.lease.term / 2);
            waitUntil([&] { return duty().revision > before; });
        }
    };
    site.lead();
    EXPECT_EQ(valueOf(parseDuty(duty().value)).epoch, 1U) << "it was never lost";
    const auto answer = site.placer.report(reportOf(site.placer, 0));
    ASSERT_TRUE(succeeded(answer));
    EXPECT_GT(valueOf(answer).agentLease, Millis(0)) << "leases count from the latest renewal";
    site.service.stop();
}

// The leader learnt of a job only through the change feed, which can hear nothing for seconds.
TEST(PlacerService, TheLeaderTakesOverARowThatAnEntryHasJustWritten)
{
    NoticeNodes nodes;
    ServiceSite site(nodes);
    site.lead();
    JobSubmission job;
    job.id = JobId{"0000000000000001"};
    job.acceptedAt = site.clock.wallMillis();
    job.graph.steps.resize(1);
    const Row row{submissionKey(job.id), encodeSubmission(job), 5, {}};
    EXPECT_TRUE(std::holds_alternative<Ack>(site.service.handle(Header(), RowNotice{row})));
    EXPECT_EQ(site.placer.view().jobs, 1U);
    EXPECT_TRUE(std::holds_alternative<Ack>(site.service.handle(Header(), RowNotice{{cancellationKey(job.id), "{}", 6, {}}})));
    EXPECT_EQ(site.cache.stateOf(job.id), JobPhase::Cancelled);

    job.id = JobId{"0000000000000002"};
    job.acceptedAt = site.clock.wallMillis() - 60'000;
    site.service.handle(Header(), RowNotice{{submissionKey(job.id), encodeSubmission(job), 7, {}}});
    site.service.handle(Header(), RowNotice{{submissionKey(job.id), "not a submission", 7, {}}});
    site.service.handle(Header(), RowNotice{{progressKey(job.id), "{}", 7, {}}});
    EXPECT_EQ(site.placer.view().jobs, 1U) << "a notice that is late may be of a job that was removed meanwhile";
    site.service.stop();
}

TEST(PlacerService, TellsTheLeaderOfTheRowsThatItWrites)
{
    NoticeNodes nodes;
    ServiceSite site(nodes, "e1");
    site.table.commit(Transaction{"op", {}, {{"duty/placer", encodeDuty({NodeId{"e0"}, "e0:1", 3, Millis(2500)})}}});
    site.service.start();
    waitUntil([&site, &nodes] {
        site.service.noticeRow({"jobs/1", "{}", 5, {}});
        return !nodes.notices().empty();
    });
    site.service.stop();
    EXPECT_EQ(nodes.notices().front(), "e0:1 jobs/1");
}

// An entry that had just started again crashed by a notice of a peer that still took it for the leader.
TEST(PlacerService, TakesANoticeThatComesInBeforeItIsStarted)
{
    SilentNodes nodes;
    ServiceSite site(nodes);
    JobSubmission job;
    job.id = JobId{"0000000000000001"};
    job.acceptedAt = site.clock.wallMillis();
    job.graph.steps.resize(1);
    site.service.handle(Header(), RowNotice{{submissionKey(job.id), encodeSubmission(job), 5, {}}});
    EXPECT_TRUE(site.cache.contains(job.id));
}

// A notice that reached an entry after its term was acknowledged, so that it was not repeated and the next leader did not know the job.
TEST(PlacerService, DoesNotAcknowledgeANoticeOfARowWithoutLeading)
{
    SilentNodes nodes;
    ServiceSite site(nodes);
    JobSubmission job;
    job.id = JobId{"0000000000000001"};
    job.acceptedAt = site.clock.wallMillis();
    job.graph.steps.resize(1);
    const RowNotice notice{{submissionKey(job.id), encodeSubmission(job), 5, {}}};
    const auto isAcknowledged = [&] { return std::holds_alternative<Ack>(site.service.handle(Header(), notice)); };
    EXPECT_FALSE(isAcknowledged());
    site.lead();
    EXPECT_TRUE(isAcknowledged());
    EXPECT_EQ(site.placer.view().jobs, 1U);
    site.service.stop();
    EXPECT_FALSE(isAcknowledged());
}

// A stopped leader said nothing but to the table, which does not take the release during an outage.
TEST(PlacerService, AStoppedLeaderTellsItsPeersAlsoWhileTheTableIsDown)
{
    NoticeNodes nodes;
    ServiceSite site(nodes);
    site.service.setPeers([] { return std::vector<std::string>{"e1:1", "e2:1"}; });
    site.lead();
    site.table.isDown = true;
    site.service.stop();
    auto sent = nodes.notices();
    std::sort(sent.begin(), sent.end());
    EXPECT_EQ(sent, (std::vector<std::string>{"e1:1 duty/placer", "e2:1 duty/placer"}));
    site.table.isDown = false;
    EXPECT_EQ(valueOf(parseDuty(valueOf(site.table.get("duty/placer"))->value)).holder, NodeId{"e0"}) << "otherwise this shows nothing";
}

TEST(PlacerService, LeadsAtOnceWhenTheLeaderHasSaidThatItGaveUp)
{
    SilentNodes nodes;
    ServiceSite site(nodes);
    const DutyRecord grant{NodeId{"e9"}, "e9:1", 3, Millis(2500)};
    site.table.commitElsewhere({"other-leads", {}, {{"duty/placer", encodeDuty(grant)}}});
    site.service.start();
    const auto tell = [&site](const DutyRecord &record) { site.service.handle(Header(), RowNotice{{"duty/placer", encodeDuty(record), 0, {}}}); };
    site.service.handle(Header(), RowNotice{{"duty/placer", R"({"holder":7,"epoch":"x","term_ms":0})", 0, {}}});
    tell(grant);
    std::this_thread::sleep_for(Millis(50));
    EXPECT_FALSE(site.placer.isLeader()) << "a grant with a term is not given up";
    tell({grant.holder, grant.address, grant.epoch, Millis(0)});
    waitUntil([&site] { return site.placer.isLeader(); });
    site.service.stop();
}

// An entry that took leadership again after another had led and left kept its old term: agents reported to the other, and nothing started.
TEST(PlacerService, BeginsANewTermWhenAnotherEntryHasLedSince)
{
    SilentNodes nodes;
    ServiceSite site(nodes);
    site.lead();
    const auto before = site.placer.view().epoch;
    site.table.isDown = true;
    site.clock.advance(site.options.lease.term);
    waitUntil([&site] { return site.table.failedReads > 1; });
    site.table.commitElsewhere({"other-leads", {}, {{std::string(PlacerKey), encodePlacer({NodeId{"e9"}, "e9:1"})}}});
    site.table.commitElsewhere({"other-leaves", {}, {{"duty/placer", encodeDuty({NodeId{}, "", 7, Millis(0)})}}});
    site.table.isDown = false;
    waitUntil([&] { return site.placer.view().epoch > before; });
    const auto row = site.table.get(std::string(PlacerKey));
    EXPECT_EQ(valueOf(parsePlacer(valueOf(row)->value)).address, "e0:1") << "agents report to the address in this row";
    site.service.stop();
}

// A leader that the table turned away went on through peers for as long as that lasted, with each start some 0.3 s later.
TEST(PlacerService, ALeaderWithoutADirectWayToTheTableHandsOver)
{
    NoticeNodes nodes;
    ServiceSite site(nodes);
    std::atomic<bool> isIndirect = false;
    std::atomic<int> looks = 0;
    site.service.setTableWatch([&isIndirect, &looks] {
        ++looks;
        return isIndirect.load();
    });
    const auto pass = [&site, &looks](Millis duration) {
        site.clock.advance(duration);
        const int before = looks;
        waitUntil([&looks, before] { return looks >= before + 3; });
    };
    site.lead();
    isIndirect = true;
    pass(Millis(0));
    pass(site.options.handOverAfter - Millis(100));
    EXPECT_TRUE(site.placer.isLeader()) << "a short disturbance is no reason";
    pass(Millis(200));
    EXPECT_FALSE(site.placer.isLeader());
    const auto row = site.table.get("duty/placer");
    EXPECT_TRUE(valueOf(parseDuty(valueOf(row)->value)).holder.isEmpty()) << "another entry need not wait for the lease to lapse";
    pass(site.options.yieldTime - Millis(100));
    EXPECT_FALSE(site.placer.isLeader()) << "it leaves the others time to take over";
    pass(Millis(200));
    waitUntil([&site] { return site.placer.isLeader(); });
    pass(site.options.handOverAfter + Millis(100));
    EXPECT_TRUE(site.placer.isLeader()) << "nobody else could lead";
    site.service.stop();
}

// Assignments waited for seconds behind those of other agents, as only four were sent at a time.
TEST(PlacerService, SendsTheAssignmentsOfAWideGangAtOnce)
{
    constexpr std::size_t Members = 26; // the widest urgent gang of the users' sheets
    GatheringNodes nodes(Members);
    ServiceSite site(nodes);
    site.lead();
    for (std::size_t index = 0; index < Members; ++index) {
        ASSERT_TRUE(succeeded(site.placer.report(reportOf(site.placer, index))));
    }
    site.clock.advance(TaskPlacerOptions().settleTime);
    JobSubmission job;
    job.id = JobId{"0000000000000001"};
    job.service = "tune";
    job.acceptedAt = site.clock.wallMillis();
    job.maxAttempts = 3;
    job.graph.steps.resize(1);
    job.graph.steps[0].count = Members;
    job.graph.steps[0].needs = {15'000, 61'000, 8};
    job.graph.steps[0].isGang = true;
    site.placer.submit(job);
    site.service.nudge();
    waitUntil([&nodes] { return nodes.mostAtOnce() > 0; });
    site.service.stop();
    EXPECT_EQ(nodes.mostAtOnce(), Members);
}

} // namespace waxwingloft::tests
