#include "Pimentoward/Request/Order.h"
#include "tests/support/ClaimFake.h"

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

/// Runs the orders with each seed, and checks the records of the fake for double runs and false
/// "not run" answers.
Findings runSeeds(const tests::ClaimFake::Settings &settings)
{
    Findings findings;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        tests::ClaimFake fake(settings, seed);
        fake.run(ordersPerRun);
        const unsigned before = findings.doubleRuns + findings.falseNotRun;
        for (const auto &[key, runs] : fake.runsByKey()) {
            findings.doubleRuns += runs > 1 ? 1 : 0;
        }
        for (const auto &answer : fake.told()) {
            const bool ran = fake.runsByRequest().count(answer.requestId) > 0;
            findings.falseNotRun += promisesNotRun(answer.outcome.code) && ran ? 1 : 0;
            findings.succeeded += answer.outcome.code == ResultCode::Ok ? 1 : 0;
        }
        findings.unansweredWithoutCrash += fake.unanswered() > fake.crashed() ? 1 : 0;
        findings.writes += fake.storeWrites();
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
    // The checks above prove something only if orders do succeed.
    CHECK(findings.succeeded > seeds);
}

TEST_CASE("Orders run twice if they are dispatched without a claim")
{
    tests::ClaimFake::Settings settings;
    settings.order.claimFirst = false;
    CHECK(runSeeds(settings).doubleRuns > 0);
}

TEST_CASE("Orders run twice if claims are granted before they are committed")
{
    tests::ClaimFake::Settings settings;
    settings.bucket.waitForCommit = false;
    CHECK(runSeeds(settings).doubleRuns > 0);
}

TEST_CASE("Orders run twice if writes of unknown outcome are not read back")
{
    tests::ClaimFake::Settings settings;
    settings.bucket.readBackUnsure = false;
    CHECK(runSeeds(settings).doubleRuns > 0);
}

TEST_CASE("Orders run twice if requests of unknown outcome are retried")
{
    tests::ClaimFake::Settings settings;
    settings.order.onlyRetryNotRun = false;
    CHECK(runSeeds(settings).doubleRuns > 0);
}

TEST_CASE("Group commit needs fewer store writes for the same orders")
{
    tests::ClaimFake::Settings withoutGroupCommit;
    withoutGroupCommit.bucket.groupCommit = false;
    const Findings grouped = runSeeds({});
    const Findings ungrouped = runSeeds(withoutGroupCommit);
    CHECK(ungrouped.doubleRuns == 0);
    CHECK(ungrouped.writes > grouped.writes);
}
