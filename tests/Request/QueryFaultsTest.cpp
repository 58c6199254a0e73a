#include "tests/support/QuerySimulation.h"

#include "Pimentoward/Process/OperatorSettings.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::QuerySimulation;

namespace {

constexpr unsigned seeds = 200;

/// Adds the events of a test to one run.
using Script = std::function<void(QuerySimulation &, unsigned seed)>;

/// Settings with all faults of replies at once.
QuerySimulation::Settings allReplyFaults()
{
    QuerySimulation::Settings settings;
    settings.lost = 0.005;
    settings.failed = 0.02;
    settings.refused = 0.02;
    settings.unsent = 0.02;
    settings.duplicated = 0.1;
    settings.mismatched = 0.05;
    settings.wrongVersion = 0.01;
    settings.truncatedBody = 0.01;
    return settings;
}

/// Runs the queries with each seed, and adds up what the checks found.
QuerySimulation::Findings runSeeds(QuerySimulation::Settings settings, const Script &script,
                                   unsigned count = seeds)
{
    QuerySimulation::Findings total;
    for (unsigned seed = 0; seed < count; ++seed) {
        settings.seed = seed;
        QuerySimulation simulation(settings);
        script(simulation, seed);
        const auto found = simulation.run();
        const bool hasNoViolation = found.incorrectAnswers() == 0 && found.notAnsweredOnce == 0
            && found.extraRequestsAboveBudget == 0 && found.sentAfterOutOfService == 0;
        if (!hasNoViolation && total.incorrectAnswers() == 0) {
            UNSCOPED_INFO("first seed with a violation: " << seed);
        }
        total.add(found);
    }
    return total;
}

/// Checks that no answer and no subrequest of any run violated a rule.
void requireNoViolations(const QuerySimulation::Findings &found)
{
    CHECK(found.mixedVersions == 0);
    CHECK(found.mismatchedRecords == 0);
    CHECK(found.truncatedBodies == 0);
    CHECK(found.wrongCoverage == 0);
    CHECK(found.notAnsweredOnce == 0);
    CHECK(found.extraRequestsAboveBudget == 0);
    CHECK(found.sentAfterOutOfService == 0);
    CHECK(found.falseNotRun == 0);
    REQUIRE(!found.latencies.empty());
}

/// Releases two new versions with other shards. The backend servers drop the version before each of
/// them within a few milliseconds.
void repartitionTwice(QuerySimulation &simulation, unsigned seed)
{
    const milliseconds start(100 + seed % 50);
    simulation.after(start, [&simulation] { simulation.release(2, 4); });
    simulation.after(start + milliseconds(seed % 7), [&simulation] { simulation.drop(1); });
    simulation.after(start + milliseconds(8), [&simulation] { simulation.release(3, 9); });
    simulation.after(start + milliseconds(8 + seed % 3), [&simulation] { simulation.drop(2); });
}

void noEvents(QuerySimulation &, unsigned) { }

/// Returns the given percentile of the times, in nanoseconds.
double percentile(std::vector<Duration> times, std::size_t percent)
{
    std::sort(times.begin(), times.end());
    return static_cast<double>(times[times.size() * percent / 100].count());
}

} // namespace

TEST_CASE(
    "Under all reply faults each answer is in time and holds only its own complete records of one "
    "version",
    "[request]")
{
    requireNoViolations(runSeeds(allReplyFaults(), noEvents));
    auto withTransferDelay = allReplyFaults();
    withTransferDelay.maxTransferDelay = milliseconds(8);
    requireNoViolations(runSeeds(withTransferDelay, repartitionTwice));
    auto coverageFirst = withTransferDelay;
    coverageFirst.coverageFirst = true;
    requireNoViolations(runSeeds(coverageFirst, repartitionTwice));
}

TEST_CASE("Each check of replies prevents its kind of wrong answer", "[request]")
{
    constexpr unsigned fewSeeds = 40;
    auto noIdentity = allReplyFaults();
    noIdentity.coordinator.service.checks.identity = false;
    CHECK(runSeeds(noIdentity, noEvents, fewSeeds).mismatchedRecords > 0);
    auto noVersion = allReplyFaults();
    noVersion.coordinator.service.checks.version = false;
    CHECK(runSeeds(noVersion, noEvents, fewSeeds).mixedVersions > 0);
    auto noCompleteBody = allReplyFaults();
    noCompleteBody.coordinator.service.checks.completeBody = false;
    CHECK(runSeeds(noCompleteBody, noEvents, fewSeeds).truncatedBodies > 0);
    auto noDeadline = allReplyFaults();
    noDeadline.coordinator.service.checks.deadline = false;
    CHECK(runSeeds(noDeadline, noEvents, fewSeeds).notAnsweredOnce > 0);
}

TEST_CASE("An answer says 'not run' only if nothing ran, even if most subrequests are refused",
          "[request]")
{
    QuerySimulation::Settings settings;
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
    CHECK(runSeeds(noHedgeBudget, noEvents, 20).extraRequestsAboveBudget > 0);
    auto noRetryBudget = manyFailures;
    noRetryBudget.coordinator.service.hedge.retries.isEnforced = false;
    CHECK(runSeeds(noRetryBudget, noEvents, 20).extraRequestsAboveBudget > 0);
}

TEST_CASE("Answers keep full coverage if index versions are dropped twice in a row", "[request]")
{
    QuerySimulation::Settings settings;
    settings.stragglers = 0;
    settings.maxTransferDelay = milliseconds(8);
    const auto found = runSeeds(settings, repartitionTwice, 100);
    requireNoViolations(found);
    CHECK(found.completeAnswers == found.latencies.size());
    settings.coordinator.service.restartsOnVersionGone = false;
    const auto withoutRestarts = runSeeds(settings, repartitionTwice, 100);
    requireNoViolations(withoutRestarts);
    CHECK(withoutRestarts.completeAnswers < withoutRestarts.latencies.size());
}

TEST_CASE(
    "Without any replica of a shard a time-first query loses coverage and a coverage-first one "
    "fails",
    "[request]")
{
    const Script loseShard = [](QuerySimulation &simulation, unsigned) {
        simulation.after(milliseconds(200), [&simulation] {
            simulation.setUnresponsive("s2-0", true);
            simulation.setUnresponsive("s2-1", true);
        });
        simulation.after(milliseconds(400), [&simulation] {
            simulation.setUnresponsive("s2-0", false);
            simulation.setUnresponsive("s2-1", false);
        });
    };
    QuerySimulation::Settings settings;
    const auto timeFirst = runSeeds(settings, loseShard, 50);
    requireNoViolations(timeFirst);
    CHECK(timeFirst.errors == 0);
    CHECK(timeFirst.completeAnswers < timeFirst.latencies.size());
    settings.coverageFirst = true;
    const auto coverageFirst = runSeeds(settings, loseShard, 50);
    requireNoViolations(coverageFirst);
    CHECK(coverageFirst.errors > 0);
    CHECK(coverageFirst.completeAnswers + coverageFirst.errors == coverageFirst.latencies.size());
}

TEST_CASE("A failure domain that is taken out of service gets no new work", "[request]")
{
    const Script takeOutOfService = [](QuerySimulation &simulation, unsigned) {
        simulation.after(milliseconds(200), [&simulation] { simulation.takeOutOfService("a"); });
    };
    QuerySimulation::Settings settings;
    const auto found = runSeeds(settings, takeOutOfService, 50);
    requireNoViolations(found);
    CHECK(found.errors == 0);
    settings.coordinator.chooser.avoidsLeaving = false;
    CHECK(runSeeds(settings, takeOutOfService, 5).sentAfterOutOfService > 0);
}

TEST_CASE("A schedule with several entries takes effect on time while queries are running",
          "[request]")
{
    const Script applySchedule = [](QuerySimulation &simulation, unsigned) {
        simulation.after(milliseconds(100), [&simulation] {
            simulation.release(2, 5);
            const WallTime now = simulation.clock().wallNow();
            using Kind = ScheduleEntry::Kind;
            simulation.schedule(
                {{"r2", 1, Kind::VersionRelease, "2", now + milliseconds(150), {}, false},
                 {"d", 1, Kind::FailureDomainOut, "b", now + milliseconds(50),
                  now + milliseconds(200), false},
                 {"s", 2, Kind::BackendServerInService, "s0-0", now - seconds(9), now - seconds(8),
                  true},
                 {"s", 1, Kind::BackendServerInService, "s0-0", now, {}, false}});
        });
        simulation.after(milliseconds(250), [&simulation] { simulation.drop(1); });
    };
    QuerySimulation::Settings settings;
    settings.stragglers = 0;
    const auto found = runSeeds(settings, applySchedule, 50);
    requireNoViolations(found);
    CHECK(found.completeAnswers == found.latencies.size());
}

TEST_CASE("No hedge is sent to a server whose last report was cold", "[request]")
{
    QuerySimulation::Settings settings;
    settings.cold = 0.3;
    settings.stragglers = 0.05;
    const auto found = runSeeds(settings, noEvents, 40);
    requireNoViolations(found);
    CHECK(found.extraRequests > 0);
    CHECK(found.extraRequestsToColdServers == 0);
    settings.coordinator.chooser.hedgesOnlyToIdle = false;
    const auto withAllHedges = runSeeds(settings, noEvents, 40);
    CHECK(withAllHedges.extraRequestsToColdServers > 0);
}

TEST_CASE("Load reports and hedges keep one slow replica from raising the tail latency",
          "[request]")
{
    QuerySimulation::Settings settings;
    settings.shards = 20;
    settings.queries = 1500;
    settings.deadline = seconds(1);
    settings.stragglers = 0;
    settings.slowServers = {"s3-0"};
    for (unsigned seed = 0; seed < 2; ++seed) {
        CAPTURE(seed);
        settings.seed = seed;
        settings.coordinator = {};
        const auto withBoth = QuerySimulation(settings).run();
        requireNoViolations(withBoth);
        settings.coordinator.service.hedge.isHedgingEnabled = false;
        const auto onlyReports = QuerySimulation(settings).run();
        settings.coordinator.chooser.usesReports = false;
        const auto withNeither = QuerySimulation(settings).run();
        const double bound = percentile(withNeither.latencies, 99) / 3;
        CHECK(percentile(withBoth.latencies, 99) <= bound);
        CHECK(percentile(onlyReports.latencies, 99) <= bound);
    }
}

TEST_CASE("Hedging cuts the tail latency of stragglers to a third for at most 5 % extra load",
          "[request]")
{
    QuerySimulation::Settings settings;
    settings.shards = 20;
    settings.queries = 1000;
    settings.deadline = seconds(1);
    settings.queryPeriod = milliseconds(5);
    for (unsigned seed = 0; seed < 5; ++seed) {
        CAPTURE(seed);
        settings.seed = seed;
        settings.coordinator.service.hedge.isHedgingEnabled = false;
        const auto withoutHedging = QuerySimulation(settings).run();
        settings.coordinator.service.hedge.isHedgingEnabled = true;
        const auto withHedging = QuerySimulation(settings).run();
        requireNoViolations(withHedging);
        const double tail
            = percentile(withHedging.latencies, 99) / percentile(withoutHedging.latencies, 99);
        const double median
            = percentile(withHedging.latencies, 50) / percentile(withoutHedging.latencies, 50);
        const double extra = static_cast<double>(withHedging.extraRequests) / withHedging.primaries;
        CHECK(tail <= 1.0 / 3);
        CHECK(median <= 1.05);
        CHECK(extra <= 0.05);
    }
}
