#include "site.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace waxwingloft::tests {

namespace {

constexpr Millis SettingsPropagationLimit{4000};
constexpr Millis UrgentStartLimit{5700};
constexpr Millis LeaveNoticeLimit{3000};

const Shape WholeWorker{1, {16, 32, 8}, Adjacency::Worker};

Result<JobId> submit(Site &site, const std::string &entry, const std::string &token, const std::string &kind, const std::string &id)
{
    return site.entry(entry).submitJob({token, RequestId{id}, KindId{kind}, WholeWorker, Millis(6000), "", "{}"});
}

/** Returns when the first task of a job started, or nothing. */
std::optional<Instant> startOf(Site &site, const std::string &job)
{
    std::optional<Instant> first;
    for (const auto &[name, worker] : site.workers) {
        for (const auto &[attempt, group] : worker->groups) {
            if (site.jobOf[attempt] == job && !group.order.id.empty()) {
                first = std::min(first.value_or(group.startedAt), group.startedAt);
            }
        }
    }
    return first;
}

std::string placerOf(Site &site)
{
    for (const auto *name : {"entry-1", "entry-2"}) {
        if (valueOf(site.entry(name).status(Site::operatorToken)).placer == name) {
            return name;
        }
    }
    return {};
}

bool allHave(Site &site, SettingsVersion version)
{
    const auto live = site.live();
    return std::all_of(live.begin(), live.end(), [version](const SiteProcess *process) { return process->settings.version() >= version; });
}

/** Fills every worker with a preemptible job. */
void fillWithPreemptibleWork(Site &site)
{
    for (const auto *id : {"a", "b", "c"}) {
        ASSERT_TRUE(succeeded(submit(site, "entry-1", "other-caller-token", "fit", id)));
    }
    site.advance(Millis(1500));
    ASSERT_TRUE(startOf(site, "other.a") && startOf(site, "other.b") && startOf(site, "other.c"));
}

} // namespace

TEST(SiteTest, settingsAreInForceEverywhereWithinFourSeconds)
{
    Site site;
    const auto version = site.setSettings("entry-1", "/teams/moulds/note", "1");
    ASSERT_TRUE(succeeded(version));
    site.advance(SettingsPropagationLimit);
    EXPECT_TRUE(allHave(site, valueOf(version)));
}

TEST(SiteTest, settingsAreInForceWithinFourSecondsAlsoWithoutTheShardsLeader)
{
    Site site;
    const auto leaderRecord = parseDuty(site.rows.rows.at("duty/shard/vejle-1").value);
    site.kill(valueOf(leaderRecord).holder.value);
    const auto version = site.setSettings("entry-2", "/teams/moulds/note", "2");
    ASSERT_TRUE(succeeded(version));
    site.advance(SettingsPropagationLimit);
    EXPECT_TRUE(allHave(site, valueOf(version)));
}

TEST(SiteTest, aProcessThatStartsWhileTheTableIsDownLearnsTheSettingsFromItsPeers)
{
    Site site;
    site.rows.isDown = true;
    site.kill("entry-2");
    site.restart("entry-2");
    EXPECT_FALSE(site.process("entry-2").sync.isKnown()) << "not ready before it has settings";
    site.advance(SettingsPropagationLimit);
    EXPECT_TRUE(site.process("entry-2").sync.isKnown());
    EXPECT_EQ(site.process("entry-2").settings.version(), site.process("entry-1").settings.version());
}

TEST(SiteTest, aLeavingServerGetsNothingNew)
{
    Site site;
    site.process("server-1").agent->drain();
    const auto call = [&site](const std::string &entry, int number) {
        const auto body = "cube-" + std::to_string(number);
        return site.entry(entry).call({Site::callerToken, CallerId{"c"}, RequestId{}, KindId{"check"}, Millis(0), body}).outcome;
    };
    for (int number = 0; number < 10; ++number) {
        EXPECT_EQ(call(number % 2 == 0 ? "entry-1" : "entry-2", number), Outcome::Done) << "no call may fail from the moment the drain starts";
    }
    site.advance(LeaveNoticeLimit);
    for (const auto *entry : {"entry-1", "entry-2"}) {
        const auto status = site.entry(entry).status(Site::operatorToken);
        for (const auto &view : valueOf(status).members) {
            if (view.member.node.value == "server-1") {
                EXPECT_EQ(view.member.state, MemberState::Leaving) << entry;
            }
        }
    }
}

// A submission that lay at a frozen entry was accepted after its cancellation had been told that there is no such job.
TEST(SiteTest, aJobThatWasCancelledBeforeItIsSubmittedNeverRuns)
{
    Site site;
    const JobId id{"plant.late"};
    EXPECT_FALSE(succeeded(site.entry("entry-1").cancelJob(Site::callerToken, id)));
    ASSERT_TRUE(succeeded(submit(site, "entry-2", Site::callerToken, "probe", "late")));
    site.advance(UrgentStartLimit);
    EXPECT_FALSE(startOf(site, "plant.late").has_value());
    const auto shown = site.entry("entry-2").showJob(Site::callerToken, id);
    ASSERT_TRUE(succeeded(shown));
    EXPECT_EQ(valueOf(shown).outcome, Outcome::Cancelled);
}

TEST(SiteTest, nobodyCancelsAJobOfAnotherWorkspaceBeforeItIsSubmitted)
{
    Site site;
    EXPECT_FALSE(succeeded(site.entry("entry-1").cancelJob(Site::callerToken, JobId{"other.late"})));
    EXPECT_FALSE(site.rows.rows.contains("job/other.late"));
}

TEST(SiteTest, anUrgentOwnerStartsInTimeWithReclaim)
{
    Site site;
    fillWithPreemptibleWork(site);
    const auto submittedAt = site.clock.now();
    ASSERT_TRUE(succeeded(submit(site, "entry-1", Site::callerToken, "probe", "urgent")));
    site.advance(UrgentStartLimit);
    ASSERT_TRUE(startOf(site, "plant.urgent").has_value());
    EXPECT_LE(*startOf(site, "plant.urgent") - submittedAt, UrgentStartLimit);
}

TEST(SiteTest, anUrgentOwnerStartsInTimeWithReclaimAndALostPlacer)
{
    Site site;
    fillWithPreemptibleWork(site);
    const auto placer = placerOf(site);
    ASSERT_FALSE(placer.empty());
    site.kill(placer);
    const auto submittedAt = site.clock.now();
    ASSERT_TRUE(succeeded(submit(site, placer == "entry-1" ? "entry-2" : "entry-1", Site::callerToken, "probe", "urgent")));
    site.advance(UrgentStartLimit);
    ASSERT_TRUE(startOf(site, "plant.urgent").has_value());
    EXPECT_LE(*startOf(site, "plant.urgent") - submittedAt, UrgentStartLimit);
}

} // namespace waxwingloft::tests
