#include "waxwingloft/request/startwaits.h"
#include "jobsite.h"

#include <gtest/gtest.h>

namespace waxwingloft::tests {

namespace {

const Capacity Whole{128'000, 262'144, 8};
const Capacity Half{64'000, 131'072, 4};
constexpr auto Preference = Millis(1500);
constexpr auto Longest = Millis(3000);

ReadyWait waitOf(const std::string &job, WaitCause cause)
{
    return {{JobId{job}, 0, 0, 0}, 1, cause, {}};
}

double valueOf(const Metrics &metrics, const std::string &series)
{
    const auto text = metrics.text();
    const auto found = text.find("\n" + series + " ");
    return found == std::string::npos ? 0.0 : std::stod(text.substr(found + series.size() + 2));
}

double longWaits(const Metrics &metrics, WaitCause cause)
{
    return valueOf(metrics, "waxwingloft_long_waits_total{cause=\"" + std::string(nameOf(cause)) + "\"}");
}

/** Returns the causes of the long waits that the leading placer of a site has counted. */
std::map<std::string, double> causesAt(const JobSite &site)
{
    std::map<std::string, double> causes;
    for (const auto name : NameTable<WaitCause>::names) {
        const auto count = valueOf(*site.placers[*site.leader].metrics, "waxwingloft_long_waits_total{cause=\"" + std::string(name) + "\"}");
        if (count > 0) {
            causes[std::string(name)] = count;
        }
    }
    return causes;
}

} // namespace

// Jobs stood beside room and no process said so.
TEST(StartWaits, CountsEachLongWaitOnceByItsCause)
{
    Metrics metrics;
    StartWaits waits(Preference, Longest);
    waits.setMetrics(metrics);
    Instant now;
    waits.update({waitOf("a", WaitCause::OneRack), waitOf("b", WaitCause::Avoided)}, {}, now);
    waits.update({waitOf("a", WaitCause::OneRack)}, {}, now + Longest - Millis(1));
    EXPECT_EQ(valueOf(metrics, "waxwingloft_long_waits"), 0.0);
    for (const auto later : {Longest, Longest + Millis(1000)}) {
        waits.update({waitOf("a", WaitCause::OneRack)}, {}, now + later);
        EXPECT_EQ(longWaits(metrics, WaitCause::OneRack), 1.0);
        EXPECT_EQ(longWaits(metrics, WaitCause::Avoided), 0.0) << "it did not wait for so long";
        EXPECT_EQ(valueOf(metrics, "waxwingloft_long_waits"), 1.0);
    }
    waits.update({}, {}, now + Longest * 2);
    EXPECT_EQ(valueOf(metrics, "waxwingloft_long_waits"), 0.0);
}

TEST(StartWaits, AWaitThatEndsBeginsAnew)
{
    Metrics metrics;
    StartWaits waits(Preference, Longest);
    waits.setMetrics(metrics);
    Instant now;
    waits.update({waitOf("a", WaitCause::NoRoom)}, {}, now);
    waits.update({}, {}, now + Millis(2000));
    waits.update({waitOf("a", WaitCause::NoRoom)}, {}, now + Millis(2500));
    waits.update({waitOf("a", WaitCause::NoRoom)}, {}, now + Millis(4000));
    EXPECT_EQ(longWaits(metrics, WaitCause::NoRoom), 0.0);
}

// A preference that was given up came back with the next look, as it held nothing back any more.
TEST(StartWaits, APreferenceIsOverdueUntilTheJobBegins)
{
    StartWaits waits(Preference, Longest);
    Instant now;
    waits.update({waitOf("a", WaitCause::Avoided)}, {}, now);
    waits.update({waitOf("a", WaitCause::OneRack)}, {}, now + Preference - Millis(1));
    EXPECT_FALSE(waits.isOverdue(JobId{"a"}, WaitCause::OneRack));
    waits.update({waitOf("a", WaitCause::OneRack)}, {}, now + Preference);
    EXPECT_TRUE(waits.isOverdue(JobId{"a"}, WaitCause::OneRack));
    EXPECT_FALSE(waits.isOverdue(JobId{"a"}, WaitCause::Avoided)) << "it held the job back for a moment only";
    waits.update({waitOf("a", WaitCause::Reserved)}, {}, now + Preference + Millis(250));
    EXPECT_TRUE(waits.isOverdue(JobId{"a"}, WaitCause::OneRack));
    waits.update({}, {JobId{"a"}}, now + Preference + Millis(500));
    EXPECT_FALSE(waits.isOverdue(JobId{"a"}, WaitCause::OneRack));
}

// A gang waited for a rack for 14.5 s, as one look in a while found no room for it and its wait began anew.
TEST(StartWaits, AWaitThatIsBrokenOffForALookGoesOnForPreferences)
{
    Metrics metrics;
    StartWaits waits(Preference, Longest);
    waits.setMetrics(metrics);
    Instant now;
    for (int span = 0; span < 3; ++span, now += Millis(750)) {
        EXPECT_FALSE(waits.isOverdue(JobId{"a"}, WaitCause::OneRack)) << "only time beside room counts";
        waits.update({waitOf("a", WaitCause::OneRack)}, {}, now);
        waits.update({waitOf("a", WaitCause::OneRack)}, {}, now + Millis(500));
        waits.update({}, {}, now + Millis(650));
    }
    EXPECT_TRUE(waits.isOverdue(JobId{"a"}, WaitCause::OneRack));
    EXPECT_EQ(longWaits(metrics, WaitCause::OneRack), 0.0) << "the logged wait is without a break";
    waits.update({}, {}, now + Longest);
    EXPECT_FALSE(waits.isOverdue(JobId{"a"}, WaitCause::OneRack)) << "it has had no room for too long";
}

TEST(StartWaits, AWaitThatEverySecondLookMissesIsOverdueToo)
{
    StartWaits waits(Preference, Longest);
    Instant now;
    for (int look = 0; look < 16; ++look, now += Millis(250)) {
        waits.update(look % 2 == 0 ? std::vector{waitOf("a", WaitCause::Reserved)} : std::vector<ReadyWait>(), {}, now);
    }
    EXPECT_TRUE(waits.isOverdue(JobId{"a"}, WaitCause::Reserved));
}

// A start that no executor answers held up its job without a word of the placer.
TEST(StartWaits, NamesAStartThatIsNotAnswered)
{
    JobSite site(4);
    for (auto &agent : site.agents) {
        agent.executor->fate = OrderFate::Lost;
    }
    site.submit(oneStep(1, Half));
    site.advance(Millis(3600));
    EXPECT_EQ(causesAt(site), (std::map<std::string, double>{{"start-open", 1.0}}));
}

TEST(StartWaits, NamesAWriteThatIsNotCommitted)
{
    JobSite site(4);
    site.submit(oneStep(1, Half));
    site.advance(Millis(10));
    site.submit(oneStep(1, Half));
    site.placers[0].cache->reset(valueOf(site.rows.list("jobs/", 0)));
    site.placers[0].reachesTable = false;
    site.advance(Millis(3600));
    EXPECT_EQ(causesAt(site), (std::map<std::string, double>{{"write-open", 1.0}}));
}

TEST(StartWaits, SaysNothingOfAFleetThatIsMostlyInUse)
{
    JobSite site(4);
    makeRunsLastFor(site, Millis(60'000));
    site.submit(oneStep(3, Whole));
    site.advance(Millis(1000));
    site.submit(oneStep(2, Whole, true));
    site.advance(Millis(6000));
    EXPECT_TRUE(causesAt(site).empty());
}

} // namespace waxwingloft::tests
