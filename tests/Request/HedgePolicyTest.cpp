#include "Pimentoward/Request/HedgePolicy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <vector>

using namespace pimentoward;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/// Extra subrequests above the share in the worst second, where every chance is used and the
/// primaries come in bursts with idle time between them.
double worstExcess(bool isEnforced)
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
        auto &[primaries, extras]
            = seconds[std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count()];
        if (random() % 3 != 0) {
            budget.addPrimary(now);
            ++primaries;
        } else if (budget.take(now)) {
            ++extras;
        }
    }
    double worst = 0;
    for (const auto &[second, counts] : seconds) {
        worst = std::max(worst, counts.second - counts.first * settings.percent / 100);
    }
    return worst;
}

} // namespace

TEST_CASE("The budget holds in every second, also after idle time", "[request]")
{
    CHECK(worstExcess(false) > 100);
    CHECK(worstExcess(true) <= 0);
}

TEST_CASE("The budget's floor lets few primaries retry", "[request]")
{
    RetryBudget budget({5, 1, true});
    const SteadyTime now {std::chrono::hours(1)};
    CHECK(budget.take(now));
    CHECK_FALSE(budget.take(now));
    CHECK(budget.take(now + std::chrono::seconds(1)));
    CHECK(budget.refused() == 1);
}

TEST_CASE("A latency quantile is exact to its bucket", "[request]")
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
        const auto learned = static_cast<double>(estimate.quantile(percent).value().count());
        CHECK(learned >= exact * 0.99);
        CHECK(learned <= exact * 1.1);
    }
}

TEST_CASE("A latency estimate follows a change and starts unknown", "[request]")
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

TEST_CASE("Retry pauses double, vary and repeat with their seed", "[request]")
{
    HedgePolicy policy;
    HedgePolicy same;
    for (unsigned attempt = 1; attempt < 20; ++attempt) {
        const Duration pause = policy.retryPause(attempt);
        CHECK(pause == same.retryPause(attempt));
        const Duration mean = std::min<Duration>(
            milliseconds(4) * (1 << std::min(attempt - 1, 10U)), milliseconds(64));
        CHECK(pause >= mean / 2);
        CHECK(pause <= mean * 3 / 2);
    }
}
