#include "Pimentoward/Rollout/RolloutTraffic.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const SteadyTime start {std::chrono::hours(1)};

RolloutTraffic::Settings trafficSettings()
{
    RolloutTraffic::Settings settings;
    settings.plan.maxShare = 0.1;
    settings.plan.allowance = 50;
    settings.self = "vm";
    settings.reportKeyPrefix = "reports/";
    settings.reportKeySuffix = "/vm/1";
    return settings;
}

/// Backend servers of one service: the number of each version, started in this order.
BackendListPtr backends(const std::vector<std::pair<SoftwareVersion, std::size_t>> &versions)
{
    auto list = std::make_shared<BackendList>();
    Incarnation started = 1;
    for (const auto &[version, count] : versions) {
        for (std::size_t index = 0; index < count; ++index) {
            BackendRecord record;
            record.id = version + "-" + std::to_string(index);
            record.service = "service";
            record.version = version;
            record.incarnation = started++;
            list->byService["service"].push_back(record);
        }
    }
    return list;
}

RolloutTablePtr rollouts(std::optional<RolloutState> state = std::nullopt, bool isShifting = false)
{
    Rollout rollout;
    rollout.order = RolloutOrder {"v2", 20s};
    if (state) {
        rollout.status = RolloutStatus {"v2", *state, isShifting};
    }
    return std::make_shared<RolloutTable>(RolloutTable {{"service", rollout}});
}

const auto noRollouts = std::make_shared<const RolloutTable>();

/// Sends `count` requests that may be repeated. Returns how many go to `version`.
std::size_t sendTo(RolloutTraffic &traffic, const SoftwareVersion &version, std::size_t count)
{
    std::size_t sent = 0;
    for (std::size_t index = 0; index < count; ++index) {
        const RolloutTraffic::Choice choice = traffic.choose("service", true, true, start);
        const SoftwareVersion chosen = choice.preferred.value_or(choice.otherwise.value_or(""));
        traffic.onSent("service", chosen);
        sent += chosen == version ? 1 : 0;
    }
    return sent;
}

} // namespace

TEST_CASE("Without a maximum share all versions of a service get requests")
{
    RolloutTraffic::Settings settings = trafficSettings();
    settings.plan.maxShare = 0;
    RolloutTraffic traffic(settings);
    traffic.update(backends({{"v1", 2}, {"v2", 2}}), rollouts(RolloutState::Serving), {"vm"},
                   start);
    const RolloutTraffic::Choice choice = traffic.choose("service", true, true, start);
    CHECK_FALSE(choice.preferred);
    CHECK_FALSE(choice.otherwise);
}

TEST_CASE("ROUTE: a new version gets no request before an order, nor one that no order names")
{
    RolloutTraffic traffic(trafficSettings());
    traffic.update(backends({{"v1", 2}}), noRollouts, {"vm"}, start);
    // The new version has more servers, and those of the established one have all started again.
    traffic.update(backends({{"v2", 3}, {"v1", 1}}), noRollouts, {"vm"}, start);
    CHECK(sendTo(traffic, "v1", 100) == 100);
    traffic.update(backends({{"v1", 1}, {"v2", 2}, {"v3", 2}}), rollouts(), {"vm"}, start);
    CHECK(sendTo(traffic, "v3", 100) == 0);
}

TEST_CASE("A VM that starts during a roll-out takes the older version for the established one")
{
    RolloutTraffic traffic(trafficSettings());
    traffic.update(backends({{"v1", 1}, {"v2", 3}}), noRollouts, {"vm"}, start);
    CHECK(sendTo(traffic, "v1", 10) == 10);
    // The order tells, whatever has started first.
    RolloutTraffic other(trafficSettings());
    other.update(backends({{"v2", 3}, {"v1", 1}}), rollouts(RolloutState::RolledBack), {"vm"},
                 start);
    CHECK(sendTo(other, "v1", 10) == 10);
}

TEST_CASE("An order gives the target version its share of repeatable first attempts")
{
    RolloutTraffic traffic(trafficSettings());
    traffic.update(backends({{"v1", 2}, {"v2", 2}}), rollouts(), {"vm"}, start);
    const std::size_t sent = sendTo(traffic, "v2", 1000);
    CHECK(sent >= 40);
    CHECK(sent <= 80);
    CHECK_FALSE(traffic.choose("service", false, true, start).preferred);
    CHECK_FALSE(traffic.choose("service", true, false, start).preferred);
    CHECK(traffic.choose("service", true, false, start).otherwise == "v1");
}

TEST_CASE("In the last step all attempts go to the target version, for a limited time")
{
    RolloutTraffic traffic(trafficSettings());
    traffic.update(backends({{"v1", 2}, {"v2", 2}}), rollouts(RolloutState::Serving, true), {"vm"},
                   start);
    CHECK(traffic.choose("service", true, false, start).preferred == "v2");
    CHECK(traffic.choose("service", false, true, start).preferred == "v2");
    CHECK_FALSE(traffic.choose("service", true, false, start + 4s).preferred);
    traffic.update(backends({{"v1", 2}, {"v2", 2}}), rollouts(RolloutState::Complete), {"vm"},
                   start);
    CHECK(sendTo(traffic, "v2", 10) == 10);
    CHECK_FALSE(traffic.hasOpenRollouts());
}

TEST_CASE("EXPOSURE: a version that has shown to be bad gets no further request from this VM")
{
    const bool isSlow = GENERATE(true, false);
    const bool isSeenByOthers = GENERATE(true, false);
    RolloutTraffic traffic(trafficSettings());
    RolloutTable table = *rollouts(RolloutState::Serving);
    if (isSeenByOthers) {
        RolloutReport report {"service", "v2", {}};
        report.counts["route"] = {{0, 20}, {25, 0}};
        table["service"].reports["reports/service/other/1"] = report;
    }
    const auto list = backends({{"v1", 2}, {"v2", 2}});
    traffic.update(list, std::make_shared<RolloutTable>(table), {"vm", "other"}, start);
    for (unsigned index = 0; index < 20 && !isSeenByOthers; ++index) {
        traffic.onReply({"service", "v1", "route", false, 1});
        traffic.onReply({"service", "v2", "route", !isSlow, isSlow ? 4.0 : 1.0});
    }
    CHECK(sendTo(traffic, "v2", 200) == 0);
    // Good replies that arrive later do not put it back.
    table["service"].reports.clear();
    traffic.update(list, std::make_shared<RolloutTable>(table), {"vm", "other"}, start);
    CHECK(sendTo(traffic, "v2", 200) == 0);
}

TEST_CASE("A VM reports what it has counted, once for each change")
{
    RolloutTraffic traffic(trafficSettings());
    traffic.update(backends({{"v1", 2}, {"v2", 2}}), rollouts(), {"vm"}, start);
    CHECK(traffic.takeReports().empty());
    traffic.onReply({"service", "v1", "route", false, 1});
    traffic.onReply({"service", "v2", "route", true, 1});
    const std::vector<RolloutReport> reports = traffic.takeReports();
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().targetVersion == "v2");
    CHECK(reports.front().counts.at("route").target.bad == 1);
    CHECK(reports.front().counts.at("route").other.good == 1);
    CHECK(traffic.takeReports().empty());
    // Another order begins with new counts.
    Rollout changed;
    changed.order = RolloutOrder {"v3", 20s};
    traffic.update(backends({{"v1", 2}, {"v3", 2}}),
                   std::make_shared<RolloutTable>(RolloutTable {{"service", changed}}), {"vm"},
                   start);
    CHECK(traffic.takeReports().empty());
}
