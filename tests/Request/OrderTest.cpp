#include "Pimentoward/Request/Order.h"
#include "tests/support/ClaimSimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace pimentoward;

namespace {

constexpr unsigned seeds = 400;
constexpr unsigned ordersPerRun = 60;

/// What the checks found over all seeds.
struct Findings
{
    unsigned doubleRuns = 0;
    unsigned falseNotRun = 0;
    unsigned unansweredWithoutCrash = 0;
    unsigned succeeded = 0;
    unsigned writes = 0;
    unsigned firstFailingSeed = seeds;
};

/// Runs the orders with each seed, and checks the records of the simulation for double runs and
/// false "not run" answers.
Findings runSeeds(const tests::ClaimSimulation::Settings &settings)
{
    Findings findings;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        tests::ClaimSimulation simulation(settings, seed);
        simulation.run(ordersPerRun);
        const unsigned before = findings.doubleRuns + findings.falseNotRun;
        for (const auto &[key, runs] : simulation.runsByKey()) {
            findings.doubleRuns += runs > 1 ? 1 : 0;
        }
        for (const auto &answer : simulation.callerAnswers()) {
            const bool ran = simulation.runsByRequest().count(answer.requestId) > 0;
            findings.falseNotRun += promisesNotRun(answer.outcome.code) && ran ? 1 : 0;
            findings.succeeded += answer.outcome.code == ResultCode::Ok ? 1 : 0;
        }
        findings.unansweredWithoutCrash += simulation.unanswered() > simulation.crashed() ? 1 : 0;
        findings.writes += simulation.storeWrites();
        if (findings.doubleRuns + findings.falseNotRun > before) {
            findings.firstFailingSeed = std::min(findings.firstFailingSeed, seed);
        }
    }
    return findings;
}

} // namespace

TEST_CASE("An order runs at most once for each idempotency key and 'not run' answers are true")
{
    const Findings findings = runSeeds({});
    CAPTURE(findings.firstFailingSeed, findings.succeeded, findings.writes);
    CHECK(findings.doubleRuns == 0);
    CHECK(findings.falseNotRun == 0);
    CHECK(findings.unansweredWithoutCrash == 0);
    // The checks above are meaningful only if orders succeed.
    CHECK(findings.succeeded > seeds);
}

TEST_CASE("Orders run twice if they are dispatched without a claim")
{
    tests::ClaimSimulation::Settings settings;
    settings.order.claimFirst = false;
    CHECK(runSeeds(settings).doubleRuns > 0);
}

TEST_CASE("Orders run twice if claims are granted before they are committed")
{
    tests::ClaimSimulation::Settings settings;
    settings.bucket.waitForCommit = false;
    CHECK(runSeeds(settings).doubleRuns > 0);
}

TEST_CASE("Orders run twice if writes of unknown outcome are not read back")
{
    tests::ClaimSimulation::Settings settings;
    settings.bucket.readBackUnsure = false;
    CHECK(runSeeds(settings).doubleRuns > 0);
}

TEST_CASE("Orders run twice if requests of unknown outcome are retried")
{
    tests::ClaimSimulation::Settings settings;
    settings.order.onlyRetryNotRun = false;
    CHECK(runSeeds(settings).doubleRuns > 0);
}

TEST_CASE("Group commit needs fewer store writes for the same orders")
{
    tests::ClaimSimulation::Settings withoutGroupCommit;
    withoutGroupCommit.bucket.groupCommit = false;
    const Findings grouped = runSeeds({});
    const Findings ungrouped = runSeeds(withoutGroupCommit);
    CHECK(ungrouped.doubleRuns == 0);
    CHECK(ungrouped.writes > grouped.writes);
}
