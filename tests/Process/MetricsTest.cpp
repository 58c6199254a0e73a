#include "Pimentoward/Process/Metrics.h"

#include <catch2/catch.hpp>

using namespace pimentoward;

TEST_CASE("Metrics are rendered in the Prometheus text format", "[metrics]")
{
    Metrics metrics;
    metrics.counter("runs_total", "Runs.", {{"class", "a\"b"}}).add(2);
    metrics.counter("runs_total", "Runs.", {{"class", "a\"b"}}).add();
    metrics.gauge("open", "Open.", [] { return 1.5; });
    metrics.distribution("wait_seconds", "Wait.").record(std::chrono::milliseconds(250));
    CHECK(metrics.render()
          == "# HELP runs_total Runs.\n# TYPE runs_total counter\n"
             "runs_total{class=\"a\\\"b\"} 3\n"
             "# HELP open Open.\n# TYPE open gauge\nopen 1.5\n"
             "# HELP wait_seconds Wait.\n# TYPE wait_seconds summary\n"
             "wait_seconds_sum 0.25\nwait_seconds_count 1\n");
}

TEST_CASE("A distribution estimates its percentiles over the last window", "[metrics]")
{
    MetricsDistribution distribution;
    constexpr int values = 10'000;
    for (int index = 0; index < values; ++index) {
        // 7919 and the number of values are coprime, so each value occurs once, in mixed order.
        distribution.record(std::chrono::milliseconds(index * 7919 % values));
    }
    CHECK(*distribution.median() == Approx(5).epsilon(0.05));
    CHECK(*distribution.percentile99() == Approx(9.9).epsilon(0.05));
    CHECK(*distribution.mean() == Approx(4.9995));
    distribution.rotate();
    distribution.record(std::chrono::hours(1));
    CHECK(*distribution.percentile99() == Approx(9.9).epsilon(0.05));
    distribution.rotate();
    CHECK_FALSE(distribution.percentile99());
    CHECK(*distribution.mean() == Approx(3600));
    CHECK(distribution.count() == values + 1);
}
