#include "Pimentoward/Request/HedgePolicy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <vector>

using namespace pimentoward;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/// Returns the maximum number of extra subrequests above the allowed share in any second. An extra
/// subrequest is tried at every opportunity, and primaries come in bursts with idle time in
/// between.
double maxExcess(bool isEnforced)
{
    std::mt19937 random(7);
    RetryBudget::Settings settings;
    settings.isEnforced = isEnforced;
    RetryBudget budget(settings);
    std::map<std::int64_t, std::pair<double, double>> seconds;
    SteadyTime now {std::chrono::hours(1)};
    for (int step = 0; step < 200'000; ++step) {
        const bool isIdle = random() % 2000 == 0;
        now += isIdle ? Duration(milliseconds(random() % 5000)) : microseconds(random() % 2000);
        auto &[primaries, extraRequests]
            = seconds[std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count()];
        if (random() % 3 != 0) {
            budget.addPrimary(now);
            ++primaries;
        } else if (budget.tryAcquire(now)) {
            ++extraRequests;
        }
    }
    double maxFound = 0;
    for (const auto &[second, counts] : seconds) {
        maxFound = std::max(maxFound, counts.second - counts.first * settings.percent / 100);
    }
    return maxFound;
}

} // namespace

TEST_CASE("The retry budget holds in every second, also after idle time", "[request]")
{
    CHECK(maxExcess(false) > 100);
    CHECK(maxExcess(true) <= 0);
}

TEST_CASE("The minimum of the retry budget allows a retry without primary subrequests", "[request]")
{
    RetryBudget budget({5, 1, true});
    const SteadyTime now {std::chrono::hours(1)};
    CHECK(budget.tryAcquire(now));
    CHECK_FALSE(budget.tryAcquire(now));
    CHECK(budget.tryAcquire(now + std::chrono::seconds(1)));
    CHECK(budget.refused() == 1);
}

TEST_CASE("A latency quantile is accurate to the width of its bucket", "[request]")
{
    std::mt19937 random(3);
    for (const double percent : {50.0, 95.0, 99.0}) {
        LatencyEstimate estimate;
        std::vector<Duration> samples;
        for (int sample = 0; sample < 5000; ++sample) {
            samples.push_back(microseconds(500 + random() % 20'000));
            estimate.add(samples.back());
        }
        std::sort(samples.begin(), samples.end());
        const auto index = static_cast<std::size_t>(percent / 100 * 4999);
        const auto exact = static_cast<double>(samples[index].count());
        const auto estimated = static_cast<double>(estimate.quantile(percent).value().count());
        CHECK(estimated >= exact * 0.99);
        CHECK(estimated <= exact * 1.1);
    }
}

TEST_CASE("A latency estimate has no quantile without samples and follows a change", "[request]")
{
    LatencyEstimate estimate;
    CHECK_FALSE(estimate.quantile(95));
    for (int sample = 0; sample < 8000; ++sample) {
        estimate.add(milliseconds(2));
    }
    for (int sample = 0; sample < 20'000; ++sample) {
        estimate.add(milliseconds(9));
    }
    CHECK(estimate.quantile(50).value() >= milliseconds(9));
}

TEST_CASE("Hedges that are cancelled at once do not lower the hedge delay", "[request]")
{
    HedgePolicy policy;
    for (int sample = 0; sample < 2000; ++sample) {
        policy.addLatency(milliseconds(20));
    }
    const auto before = policy.hedgeDelay();
    REQUIRE(before.has_value());
    for (int sample = 0; sample < 50'000; ++sample) {
        policy.addCancelled(milliseconds(1));
    }
    CHECK(policy.hedgeDelay() == before);
    for (int sample = 0; sample < 50'000; ++sample) {
        policy.addCancelled(milliseconds(90));
    }
    CHECK(*policy.hedgeDelay() > *before);
}

TEST_CASE("Retry backoffs double, vary at random and are reproducible with the same seed",
          "[request]")
{
    HedgePolicy policy;
    HedgePolicy sameSeed;
    for (unsigned round = 1; round < 20; ++round) {
        const Duration backoff = policy.retryBackoff(round);
        CHECK(backoff == sameSeed.retryBackoff(round));
        const Duration mean = std::min<Duration>(milliseconds(4) * (1 << std::min(round - 1, 10U)),
                                                 milliseconds(64));
        CHECK(backoff >= mean / 2);
        CHECK(backoff <= mean * 3 / 2);
    }
}
