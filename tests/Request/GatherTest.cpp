#include "Pimentoward/Request/Gather.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const SteadyTime start {std::chrono::hours(1)};

/// A Gather whose backend servers are chosen by the test.
struct GatherFixture
{
    explicit GatherFixture(std::size_t parts = 1, double minCoverage = 1)
    {
        for (std::size_t part = 0; part < parts; ++part) {
            plan.parts.push_back("s" + std::to_string(part));
        }
        plan.isFanout = parts > 1;
        plan.isIdempotent = true;
        plan.maxAttempts = 2;
        plan.minCoverage = minCoverage;
        plan.answerBy = start + 150ms;
        plan.deadline = start + 800ms;
        plan.refuseBy = start + 100ms;
        plan.hedgeDelay = 1h;
    }

    Gather gather() const { return {plan, environment}; }

    GatherPlan plan;
    /// The next choices for each part in turn; once none are left, no backend server has capacity.
    std::deque<Gather::Choice> choices;
    Gather::Environment environment {
        [this](const ServiceName &, const std::vector<BackendServerId> &, SendPurpose, SteadyTime) {
            if (choices.empty()) {
                return Gather::Choice {"", true, std::nullopt};
            }
            Gather::Choice choice = choices.front();
            choices.pop_front();
            return choice;
        },
        [](const ServiceName &, SteadyTime) { return true; }};
};

std::size_t sends(const GatherActions &actions)
{
    std::size_t count = 0;
    for (const GatherAction &action : actions) {
        count += std::holds_alternative<GatherSend>(action) ? 1 : 0;
    }
    return count;
}

const GatherOutcome *outcomeOf(const GatherActions &actions)
{
    const auto *finish = actions.empty() ? nullptr : std::get_if<GatherFinish>(&actions.back());
    return finish == nullptr ? nullptr : &finish->outcome;
}

Gather::Choice pausedUntil(SteadyTime time)
{
    return {"", false, time};
}

ClassifiedReply notRun()
{
    ClassifiedReply reply;
    reply.kind = ReplyKind::NotRun;
    reply.reason = "refused by backend server";
    return reply;
}

} // namespace

TEST_CASE("A part that was refused waits for a free backend server and is then sent again")
{
    GatherFixture fixture;
    fixture.choices = {{"a", true, {}}};
    Gather gather = fixture.gather();
    REQUIRE(sends(gather.start(start)) == 1);
    CHECK(gather.onReply(1, notRun(), start + 5ms).empty());
    CHECK(gather.isWaiting());
    fixture.choices = {{"b", true, {}}};
    CHECK(sends(gather.onFreeCapacity({"s0"}, start + 20ms)) == 1);
    CHECK_FALSE(gather.isWaiting());
}

TEST_CASE("A part that was refused waits no longer than a request of which nothing was sent")
{
    GatherFixture fixture;
    fixture.choices = {{"a", true, {}}};
    Gather gather = fixture.gather();
    gather.start(start);
    gather.onReply(1, notRun(), start + 5ms);
    CHECK(gather.nextTimer() == fixture.plan.refuseBy);
    const GatherActions actions = gather.onTimer(fixture.plan.refuseBy);
    const GatherOutcome *outcome = outcomeOf(actions);
    REQUIRE(outcome != nullptr);
    CHECK(outcome->reply.status == 503);
}

TEST_CASE("Nothing is sent after the deadline, even if the process was paused until then")
{
    GatherFixture fixture;
    Gather gather = fixture.gather();
    gather.start(start);
    REQUIRE(gather.isWaiting());
    fixture.choices = {{"a", true, {}}};
    const GatherActions actions = gather.onFreeCapacity({"s0"}, fixture.plan.deadline + 3s);
    CHECK(sends(actions) == 0);
    REQUIRE(outcomeOf(actions) != nullptr);
}

TEST_CASE("A query that cannot reach its minimum coverage is refused before any part is sent")
{
    GatherFixture fixture(3, 0.6);
    fixture.choices = {{"a", true, {}}, {"", false, {}}, {"", false, {}}};
    Gather gather = fixture.gather();
    const GatherActions actions = gather.start(start);
    CHECK(sends(actions) == 0);
    const GatherOutcome *outcome = outcomeOf(actions);
    REQUIRE(outcome != nullptr);
    CHECK(outcome->reply.status == 503);
    CHECK(outcome->sends == 0);
}

TEST_CASE("Retry-After states when enough paused backend servers accept requests again")
{
    GatherFixture fixture(4, 0.5);
    fixture.choices = {pausedUntil(start + 9s), pausedUntil(start + 2s), pausedUntil(start + 4s),
                       pausedUntil(start + 6s)};
    Gather gather = fixture.gather();
    const GatherActions actions = gather.start(start);
    const GatherOutcome *outcome = outcomeOf(actions);
    REQUIRE(outcome != nullptr);
    CHECK(outcome->reply.headers.value("Retry-After") == "4.000");
}

TEST_CASE("A part waits for a pause that ends in time")
{
    GatherFixture fixture;
    fixture.choices = {pausedUntil(start + 50ms)};
    Gather gather = fixture.gather();
    CHECK(gather.start(start).empty());
    CHECK(gather.isWaiting());
}
