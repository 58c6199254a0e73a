#include "Pimentoward/Rollout/RolloutJudge.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const SteadyTime start {std::chrono::hours(1)};

/// The store's status of one service and the VMs that judge it.
class Judged
{
public:
    explicit Judged(std::size_t vms)
    {
        RolloutJudge::Settings settings;
        settings.plan.maxShare = 0.1;
        settings.plan.allowance = 50;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            m_judges.emplace_back(settings);
        }
        rollout.order = RolloutOrder {"v2", 20s};
        rollout.orderedAt = start;
    }

    /// Lets all VMs except `lost` decide at `now`. A write fails if the status has changed since
    /// the VMs read it. Returns the number of VMs that write.
    std::size_t tick(SteadyTime now, const std::vector<std::size_t> &lost = {})
    {
        const Rollout read = rollout;
        std::size_t writes = 0;
        for (std::size_t vm = 0; vm < m_judges.size(); ++vm) {
            if (std::count(lost.begin(), lost.end(), vm) > 0) {
                continue;
            }
            const auto status = m_judges[vm].decide("service", read, vm, hasTarget, now);
            writes += status ? 1 : 0;
            if (status && read.statusRevision == rollout.statusRevision) {
                rollout.status = status;
                ++rollout.statusRevision;
            }
        }
        return writes;
    }

    /// Ticks from `from` to `to`, each 200 ms.
    void run(SteadyTime from, SteadyTime to, const std::vector<std::size_t> &lost = {})
    {
        for (SteadyTime now = from; now <= to; now += 200ms) {
            tick(now, lost);
        }
    }

    void report(const ReplyCounts &target, const ReplyCounts &other)
    {
        RolloutReport report {"service", "v2", {}};
        report.counts["route"] = {target, other};
        rollout.reports["key"] = report;
    }

    Rollout rollout;
    bool hasTarget = true;

private:
    std::vector<RolloutJudge> m_judges;
};

} // namespace

TEST_CASE("A good version is completed within its duration, after a step that moves all traffic")
{
    Judged judged(3);
    CHECK(judged.tick(start) == 1);
    CHECK(judged.rollout.status->state == RolloutState::Serving);
    judged.report({40, 1}, {50, 1});
    judged.run(start, start + 13s);
    CHECK_FALSE(judged.rollout.status->isShifting);
    judged.run(start + 14s, start + 14s);
    CHECK(judged.rollout.status->isShifting);
    judged.run(start + 14200ms, start + 15s);
    CHECK(judged.rollout.status->state == RolloutState::Complete);
}

TEST_CASE("A good version is completed with little traffic and with none")
{
    const bool hasTraffic = GENERATE(true, false);
    Judged judged(3);
    if (hasTraffic) {
        judged.report({2, 0}, {3, 0});
    }
    judged.run(start, start + 16s);
    CHECK(judged.rollout.status->state == RolloutState::Serving);
    judged.run(start + 16s, start + 19s);
    CHECK(judged.rollout.status->state == RolloutState::Complete);
}

TEST_CASE("A version that gets traffic but answers none of it is not completed")
{
    Judged judged(3);
    judged.report({0, 0}, {50, 0});
    judged.run(start, start + 60s);
    CHECK(judged.rollout.status->state == RolloutState::Serving);
    CHECK_FALSE(judged.rollout.status->isShifting);
}

TEST_CASE("A bad version is rolled back at once, also during the shift, and stays so")
{
    Judged judged(3);
    judged.report({40, 0}, {50, 0});
    judged.run(start, start + 14s);
    REQUIRE(judged.rollout.status->isShifting);
    judged.report({40, 20}, {50, 0});
    judged.tick(start + 14100ms);
    CHECK(judged.rollout.status->state == RolloutState::RolledBack);
    judged.report({400, 0}, {500, 0});
    judged.run(start + 14200ms, start + 30s);
    CHECK(judged.rollout.status->state == RolloutState::RolledBack);
}

TEST_CASE("The next VM judges when the first ones are lost, before the duration is over")
{
    Judged judged(5);
    judged.report({40, 0}, {50, 0});
    judged.tick(start);
    judged.run(start, start + 20s, {0, 1});
    CHECK(judged.rollout.status->state == RolloutState::Complete);
}

TEST_CASE("Two VMs that judge at the same time write one status")
{
    // Both believe to be first: the one whose write fails sees what the other one wrote.
    RolloutJudge::Settings settings;
    settings.plan.maxShare = 0.1;
    RolloutJudge first(settings);
    RolloutJudge second(settings);
    Rollout rollout;
    rollout.order = RolloutOrder {"v2", 20s};
    rollout.orderedAt = start;
    CHECK(first.decide("service", rollout, 0, true, start));
    CHECK(second.decide("service", rollout, 0, true, start));
    rollout.status = RolloutStatus {"v2", RolloutState::RolledBack, false};
    rollout.statusRevision = 7;
    CHECK_FALSE(first.decide("service", rollout, 0, true, start + 19s));
    CHECK_FALSE(second.decide("service", rollout, 0, true, start + 19s));
}

TEST_CASE("A withdrawn order is judged no more, and a changed one from its beginning")
{
    Judged judged(1);
    judged.report({40, 0}, {50, 0});
    judged.run(start, start + 5s);
    judged.rollout.order.reset();
    judged.run(start + 5s, start + 30s);
    CHECK(judged.rollout.status->state == RolloutState::Serving);
    judged.rollout.order = RolloutOrder {"v3", 20s};
    judged.rollout.orderedAt = start + 30s;
    judged.run(start + 30s, start + 31s);
    CHECK(judged.rollout.status->targetVersion == "v3");
    CHECK(judged.rollout.status->state == RolloutState::Serving);
}
