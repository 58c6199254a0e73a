#include "standins/CallerReport.h"
#include "standins/LoadPlan.h"
#include "standins/PolicyComparison.h"
#include "standins/RunRecordsChecker.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

namespace {

LoadPlan::Settings settings()
{
    LoadPlan::Settings settings;
    settings.service = "coach-app";
    settings.recordKind = "badges";
    settings.records = 400;
    settings.rate = 1000;
    settings.length = 2s;
    settings.searchShare = 0.25;
    settings.eveningShare = 0.5;
    settings.seed = 3;
    return settings;
}

LoadSample sample(Duration latency, ResultCode code, double coverage)
{
    LoadSample result;
    result.intended = 1s;
    result.sent = 1s;
    result.ended = 1s + latency;
    result.outcome.requestId = "q-1";
    result.outcome.version = 7;
    result.outcome.code = code;
    result.outcome.coverage = coverage;
    return result;
}

/// The text that GET /records of a backend server with two slots returns after one run of shard
/// "s/00" at the given index version.
std::string records(int concurrent, bool finished, int version)
{
    return nlohmann::json {{"slots", 2},
                           {"runs",
                            {{{"requestId", "q-1/0"},
                              {"shard", "s/00"},
                              {"version", version},
                              {"concurrent", concurrent},
                              {"finished", finished}}}}}
        .dump();
}

RunRecordsChecker::Verdict check(const std::string &records, const LoadSample &sample)
{
    constexpr std::size_t shards = 2;
    RunRecordsChecker checker;
    checker.addBackend(records);
    return checker.check({sample}, shards);
}

} // namespace

TEST_CASE("The quantiles of a histogram are within 1 % of the exact values", "[bench]")
{
    Histogram histogram;
    constexpr int values = 100'000;
    for (int value = 1; value <= values; ++value) {
        histogram.record(std::chrono::microseconds(value));
    }
    for (const double share : {0.01, 0.5, 0.9, 0.99, 0.999}) {
        const auto micros
            = std::chrono::duration<double, std::micro>(histogram.quantile(share)).count();
        CHECK(micros == Approx(share * values).epsilon(0.01));
    }
    CHECK(histogram.max() == 100ms);
    Histogram sum;
    sum.add(histogram);
    sum.add(histogram);
    CHECK(histogram.count() == std::uint64_t {values});
    CHECK(sum.count() == 2 * histogram.count());
    CHECK(sum.quantile(0.5) == histogram.quantile(0.5));
    CHECK(Histogram().quantile(0.5) == Duration::zero());
}

TEST_CASE(
    "A load plan has the configured rate and search share, is sorted by time and fixed by its seed",
    "[bench]")
{
    const auto plan = LoadPlan::make({settings(), settings()});
    CHECK(plan.size() == Approx(4000).epsilon(0.1));
    const auto searches = std::count_if(plan.begin(), plan.end(),
                                        [](const auto &request) { return request.isSearch; });
    CHECK(static_cast<double>(searches) == Approx(0.25 * plan.size()).epsilon(0.15));
    CHECK(std::is_sorted(plan.begin(), plan.end(),
                         [](const auto &a, const auto &b) { return a.at < b.at; }));
    const auto repeated = LoadPlan::make({settings(), settings()});
    REQUIRE(repeated.size() == plan.size());
    CHECK(repeated.back().at == plan.back().at);
    CHECK(repeated.back().callerBody == plan.back().callerBody);
    LoadPlan::Settings constant = settings();
    constant.isPoisson = false;
    CHECK(LoadPlan::make({constant})[9].at == 10ms);
}

TEST_CASE("A report measures latency from the intended send time and separates errors from answers",
          "[bench]")
{
    LoadSample late = sample(20ms, ResultCode::Ok, 1);
    late.sent = late.intended + 15ms;
    const CallerReport report({sample(10ms, ResultCode::Ok, 1), late,
                               sample(30ms, ResultCode::PartialCoverage, 0.5),
                               sample(5ms, ResultCode::NotRunOverloaded, 0)});
    CHECK(report.completeAnswers() == 2);
    CHECK(report.errors() == 1);
    CHECK(report.meanCoverage() == Approx(2.5 / 4));
    CHECK(report.latency().max() == 30ms);
    CHECK(report.toJson()["lateSends"] == 1);
    CHECK(report.toJson()["codes"]["300"] == 1);
}

TEST_CASE("A policy comparison gives the median over rounds and the ratio within each round",
          "[bench]")
{
    PolicyComparison::Result result;
    result.names[0] = "A";
    result.names[1] = "B";
    for (const auto latency : {10ms, 30ms, 20ms}) {
        result.rounds[0].push_back({{sample(2 * latency, ResultCode::Ok, 1)}, {}});
        result.rounds[1].push_back({{sample(latency, ResultCode::Ok, 1)}, {}});
    }
    const auto median = [](const auto &round) { return PolicyComparison::quantileMs(round, 0.5); };
    CHECK(result.spread(0, median).median == Approx(40).epsilon(0.01));
    CHECK(result.spread(0, median).max == Approx(60).epsilon(0.01));
    CHECK(result.ratio(median).median == Approx(2).epsilon(0.02));
}

TEST_CASE("The run records checker finds each kind of violation", "[bench]")
{
    const LoadSample halfCovered = sample(1ms, ResultCode::PartialCoverage, 0.5);
    CHECK(check(records(2, true, 7), halfCovered).isGood());
    CHECK(check(records(3, true, 7), halfCovered).aboveSlots == 1);
    CHECK(check(records(1, false, 7), halfCovered).falseCoverage == 1);
    CHECK(check(records(1, true, 6), halfCovered).falseCoverage == 1);
    CHECK(check(records(1, true, 7), sample(1ms, ResultCode::Ok, 1)).falseCoverage == 1);
    CHECK(check(records(1, false, 7), sample(1ms, ResultCode::NotRunOverloaded, 0)).falseNotRun
          == 1);
}
