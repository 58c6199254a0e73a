#include "tests/support/QueryFake.h"

#include "Pimentoward/Process/OperatorSettings.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::QueryFake;

namespace {

constexpr unsigned seeds = 200;

/// Adds the events of a test to one run.
using Script = std::function<void(QueryFake &, unsigned seed)>;

/// Settings with all faults of replies at once.
QueryFake::Settings allReplyFaults()
{
    QueryFake::Settings settings;
    settings.lost = 0.005;
    settings.failed = 0.02;
    settings.refused = 0.02;
    settings.unsent = 0.02;
    settings.doubled = 0.1;
    settings.crossed = 0.05;
    settings.wrongVersion = 0.01;
    settings.cutBody = 0.01;
    return settings;
}

/// Runs the queries with each seed, and adds up what the checks found.
QueryFake::Findings runSeeds(QueryFake::Settings settings, const Script &script,
                             unsigned count = seeds)
{
    QueryFake::Findings total;
    for (unsigned seed = 0; seed < count; ++seed) {
        settings.seed = seed;
        QueryFake fake(settings);
        script(fake, seed);
        const auto found = fake.run();
        const bool hasNoViolation = found.untruths() == 0 && found.notAnsweredOnce == 0
            && found.extrasAboveBudget == 0 && found.newWorkAfterOut == 0;
        if (!hasNoViolation && total.untruths() == 0) {
            UNSCOPED_INFO("first seed with a violation: " << seed);
        }
        total.add(found);
    }
    return total;
}

/// Checks that the answers and the subrequests of all runs kept the rules.
void requireNoViolations(const QueryFake::Findings &found)
{
    CHECK(found.mixedVersions == 0);
    CHECK(found.foreignRecords == 0);
    CHECK(found.cutBodies == 0);
    CHECK(found.wrongCoverage == 0);
    CHECK(found.notAnsweredOnce == 0);
    CHECK(found.extrasAboveBudget == 0);
    CHECK(found.newWorkAfterOut == 0);
    CHECK(found.falseNotRun == 0);
    REQUIRE(!found.latencies.empty());
}

/// Releases two new versions with other shards. The backend servers drop the version before each of
/// them within a few milliseconds.
void repartitionTwice(QueryFake &fake, unsigned seed)
{
    const milliseconds start(100 + seed % 50);
    fake.at(start, [&fake] { fake.release(2, 4); });
    fake.at(start + milliseconds(seed % 7), [&fake] { fake.drop(1); });
    fake.at(start + milliseconds(8), [&fake] { fake.release(3, 9); });
    fake.at(start + milliseconds(8 + seed % 3), [&fake] { fake.drop(2); });
}

void noEvents(QueryFake &, unsigned) { }

/// Returns the percentile of the times in nanoseconds.
double percentile(std::vector<Duration> times, std::size_t percent)
{
    std::sort(times.begin(), times.end());
    return static_cast<double>(times[times.size() * percent / 100].count());
}

} // namespace

TEST_CASE(
    "Each answer holds its own complete records of one version and is in time under all reply "
    "faults",
    "[request]")
{
    requireNoViolations(runSeeds(allReplyFaults(), noEvents));
    auto withHopDelay = allReplyFaults();
    withHopDelay.longestHop = milliseconds(8);
    requireNoViolations(runSeeds(withHopDelay, repartitionTwice));
    auto coverageFirst = withHopDelay;
    coverageFirst.coverageFirst = true;
    requireNoViolations(runSeeds(coverageFirst, repartitionTwice));
}

TEST_CASE("Each check of replies prevents its kind of wrong answer", "[request]")
{
    constexpr unsigned fewSeeds = 40;
    auto noIdentity = allReplyFaults();
    noIdentity.coordinator.service.checks.identity = false;
    CHECK(runSeeds(noIdentity, noEvents, fewSeeds).foreignRecords > 0);
    auto noVersion = allReplyFaults();
    noVersion.coordinator.service.checks.version = false;
    CHECK(runSeeds(noVersion, noEvents, fewSeeds).mixedVersions > 0);
    auto noCompleteBody = allReplyFaults();
    noCompleteBody.coordinator.service.checks.completeBody = false;
    CHECK(runSeeds(noCompleteBody, noEvents, fewSeeds).cutBodies > 0);
    auto noDeadline = allReplyFaults();
    noDeadline.coordinator.service.checks.deadline = false;
    CHECK(runSeeds(noDeadline, noEvents, fewSeeds).notAnsweredOnce > 0);
}

TEST_CASE("An answer says 'not run' only if nothing ran, even if most subrequests are refused",
          "[request]")
{
    QueryFake::Settings settings;
    settings.shards = 2;
    settings.refused = 0.7;
    settings.unsent = 0.3;
    settings.coverageFirst = true;
    const auto found = runSeeds(settings, noEvents, 40);
    requireNoViolations(found);
    CHECK(found.errors > 0);
    settings.coordinator.service.checks.trueNotRun = false;
    CHECK(runSeeds(settings, noEvents, 40).falseNotRun > 0);
}

TEST_CASE("Hedges and retries stay within their budgets in every second", "[request]")
{
    auto manyFailures = allReplyFaults();
    manyFailures.stragglers = 0.2;
    manyFailures.failed = 0.2;
    manyFailures.operatorSettings[operator_settings::hedgeQuantile] = "50";
    requireNoViolations(runSeeds(manyFailures, noEvents, 40));
    auto noHedgeBudget = manyFailures;
    noHedgeBudget.coordinator.service.hedge.hedges.isEnforced = false;
    CHECK(runSeeds(noHedgeBudget, noEvents, 20).extrasAboveBudget > 0);
    auto noRetryBudget = manyFailures;
    noRetryBudget.coordinator.service.hedge.retries.isEnforced = false;
    CHECK(runSeeds(noRetryBudget, noEvents, 20).extrasAboveBudget > 0);
}

TEST_CASE("Answers keep full coverage if index versions are dropped twice in a row", "[request]")
{
    QueryFake::Settings settings;
    settings.stragglers = 0;
    settings.longestHop = milliseconds(8);
    const auto found = runSeeds(settings, repartitionTwice, 100);
    requireNoViolations(found);
    CHECK(found.wholeAnswers == found.latencies.size());
    settings.coordinator.service.restartsOnVersionGone = false;
    const auto without = runSeeds(settings, repartitionTwice, 100);
    requireNoViolations(without);
    CHECK(without.wholeAnswers < without.latencies.size());
}

TEST_CASE(
    "Without any replica of a shard a time-first query loses coverage and a coverage-first one "
    "fails",
    "[request]")
{
    const Script loseShard = [](QueryFake &fake, unsigned) {
        fake.at(milliseconds(200), [&fake] {
            fake.silence("s2-0", true);
            fake.silence("s2-1", true);
        });
        fake.at(milliseconds(400), [&fake] {
            fake.silence("s2-0", false);
            fake.silence("s2-1", false);
        });
    };
    QueryFake::Settings settings;
    const auto timeFirst = runSeeds(settings, loseShard, 50);
    requireNoViolations(timeFirst);
    CHECK(timeFirst.errors == 0);
    CHECK(timeFirst.wholeAnswers < timeFirst.latencies.size());
    settings.coverageFirst = true;
    const auto coverageFirst = runSeeds(settings, loseShard, 50);
    requireNoViolations(coverageFirst);
    CHECK(coverageFirst.errors > 0);
    CHECK(coverageFirst.wholeAnswers + coverageFirst.errors == coverageFirst.latencies.size());
}

TEST_CASE("A failure domain that is taken out of service gets no new work", "[request]")
{
    const Script takeOut = [](QueryFake &fake, unsigned) {
        fake.at(milliseconds(200), [&fake] { fake.takeOut("a"); });
    };
    QueryFake::Settings settings;
    const auto found = runSeeds(settings, takeOut, 50);
    requireNoViolations(found);
    CHECK(found.errors == 0);
    settings.coordinator.chooser.avoidsLeaving = false;
    CHECK(runSeeds(settings, takeOut, 5).newWorkAfterOut > 0);
}

TEST_CASE("A schedule with several entries takes effect on time while queries are running",
          "[request]")
{
    const Script applySchedule = [](QueryFake &fake, unsigned) {
        fake.at(milliseconds(100), [&fake] {
            fake.release(2, 5);
            const WallTime now = fake.clock().wallNow();
            using Kind = ScheduleEntry::Kind;
            fake.schedule({{"r2", 1, Kind::VersionRelease, "2", now + milliseconds(150), {}, false},
                           {"d", 1, Kind::FailureDomainOut, "b", now + milliseconds(50),
                            now + milliseconds(200), false},
                           {"s", 2, Kind::BackendServerInService, "s0-0", now - seconds(9),
                            now - seconds(8), true},
                           {"s", 1, Kind::BackendServerInService, "s0-0", now, {}, false}});
        });
        fake.at(milliseconds(250), [&fake] { fake.drop(1); });
    };
    QueryFake::Settings settings;
    settings.stragglers = 0;
    const auto found = runSeeds(settings, applySchedule, 50);
    requireNoViolations(found);
    CHECK(found.wholeAnswers == found.latencies.size());
}

TEST_CASE("No hedge is sent to a server whose last report was cold", "[request]")
{
    QueryFake::Settings settings;
    settings.cold = 0.3;
    settings.stragglers = 0.05;
    const auto found = runSeeds(settings, noEvents, 40);
    requireNoViolations(found);
    CHECK(found.extras > 0);
    CHECK(found.extrasOntoCold == 0);
    settings.coordinator.chooser.hedgesOnlyToIdle = false;
    const auto without = runSeeds(settings, noEvents, 40);
    CHECK(without.extrasOntoCold > 0);
}

TEST_CASE("Load reports and hedges keep one slow replica from raising the tail latency",
          "[request]")
{
    QueryFake::Settings settings;
    settings.shards = 20;
    settings.queries = 1500;
    settings.deadline = seconds(1);
    settings.stragglers = 0;
    settings.slowServers = {"s3-0"};
    for (unsigned seed = 0; seed < 2; ++seed) {
        CAPTURE(seed);
        settings.seed = seed;
        settings.coordinator = {};
        const auto with = QueryFake(settings).run();
        requireNoViolations(with);
        settings.coordinator.service.hedge.isHedgingEnabled = false;
        const auto onlyReports = QueryFake(settings).run();
        settings.coordinator.chooser.usesReports = false;
        const auto without = QueryFake(settings).run();
        const double bound = percentile(without.latencies, 99) / 3;
        CHECK(percentile(with.latencies, 99) <= bound);
        CHECK(percentile(onlyReports.latencies, 99) <= bound);
    }
}

TEST_CASE("Hedging cuts the tail latency of stragglers to a third for at most 5 % extra load",
          "[request]")
{
    QueryFake::Settings settings;
    settings.shards = 20;
    settings.queries = 1000;
    settings.deadline = seconds(1);
    settings.queryPeriod = milliseconds(5);
    for (unsigned seed = 0; seed < 5; ++seed) {
        CAPTURE(seed);
        settings.seed = seed;
        settings.coordinator.service.hedge.isHedgingEnabled = false;
        const auto without = QueryFake(settings).run();
        settings.coordinator.service.hedge.isHedgingEnabled = true;
        const auto with = QueryFake(settings).run();
        requireNoViolations(with);
        const double tail = percentile(with.latencies, 99) / percentile(without.latencies, 99);
        const double median = percentile(with.latencies, 50) / percentile(without.latencies, 50);
        const double extra = static_cast<double>(with.extras) / with.primaries;
        CHECK(tail <= 1.0 / 3);
        CHECK(median <= 1.05);
        CHECK(extra <= 0.05);
    }
}
