#include "Pimentoward/Process/Drain.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using std::chrono::milliseconds;

namespace {

const SteadyTime startTime {std::chrono::hours(1)};

template <typename Kind>
bool has(const Drain::Actions &actions)
{
    for (const Drain::Action &action : actions) {
        if (std::holds_alternative<Kind>(action)) {
            return true;
        }
    }
    return false;
}

/// Drives a stop in which one request ends after 5 s; returns how long the process lives on.
milliseconds timeToExit(const Drain::Settings &settings)
{
    Drain drain(settings);
    drain.onStopSignal(startTime);
    bool left = false;
    for (milliseconds passed {0}; passed < std::chrono::minutes(2); passed += milliseconds(50)) {
        const auto actions = drain.tick(startTime + passed);
        if (has<Drain::Leave>(actions)) {
            left = true;
            drain.onOwnershipReleased(startTime + passed);
        }
        if (has<Drain::Exit>(actions)) {
            return passed;
        }
        if (left) {
            drain.onRunningCount(passed < milliseconds(5000) ? 1 : 0);
        }
    }
    return milliseconds::max();
}

} // namespace

TEST_CASE("A planned stop turns readiness off first and leaves only after the balancer's delay")
{
    Drain drain({});
    CHECK(has<Drain::TurnReadinessOff>(drain.onStopSignal(startTime)));
    CHECK(drain.tick(startTime + milliseconds(1999)).empty());
    CHECK(has<Drain::Leave>(drain.tick(startTime + milliseconds(2000))));
}

TEST_CASE("A planned stop waits for running requests; without that it would cut them")
{
    CHECK(timeToExit({}) >= milliseconds(5000));
    Drain::Settings hasty;
    hasty.waitsForRunningWork = false;
    CHECK(timeToExit(hasty) < milliseconds(5000));
}

TEST_CASE("Times that change count for a stop that has not begun, and for no other")
{
    Drain::Settings longer;
    longer.readinessDelay = milliseconds(3000);
    Drain before({});
    before.changeSettings(longer);
    before.onStopSignal(startTime);
    CHECK(before.tick(startTime + milliseconds(2500)).empty());
    Drain during({});
    during.onStopSignal(startTime);
    during.changeSettings(longer);
    CHECK(has<Drain::Leave>(during.tick(startTime + milliseconds(2500))));
}

TEST_CASE("A planned stop ends at its limit, and at once on a second signal")
{
    Drain::Settings shortLimit;
    shortLimit.limit = milliseconds(3000);
    CHECK(timeToExit(shortLimit) == milliseconds(3000));
    Drain drain({});
    drain.onStopSignal(startTime);
    CHECK(has<Drain::Exit>(drain.onStopSignal(startTime + milliseconds(10))));
    CHECK(drain.tick(startTime + milliseconds(20)).empty());
}

TEST_CASE("An idle VM stays for a while after the handover, to refuse what was under way to it")
{
    Drain::Settings settings;
    Drain drain(settings);
    drain.onStopSignal(startTime);
    const SteadyTime left = startTime + settings.readinessDelay;
    CHECK(has<Drain::Leave>(drain.tick(left)));
    drain.onOwnershipReleased(left);
    drain.onRunningCount(0);
    CHECK(drain.tick(left + settings.settleTime - milliseconds(1)).empty());
    CHECK(has<Drain::Exit>(drain.tick(left + settings.settleTime)));
}

TEST_CASE("A stop that takes nothing new first does not exit on a count from before")
{
    Drain::Settings settings;
    settings.stopsAcceptingFirst = GENERATE(true, false);
    Drain drain(settings);
    drain.onStopSignal(startTime);
    const SteadyTime left = startTime + settings.readinessDelay;
    drain.tick(left);
    drain.onOwnershipReleased(left);
    drain.onRunningCount(0);
    const SteadyTime settled = left + settings.settleTime;
    const auto actions = drain.tick(settled);
    // A request arrives here. Without the look after it, the process would be gone.
    REQUIRE(has<Drain::Exit>(actions) == !settings.stopsAcceptingFirst);
    if (!settings.stopsAcceptingFirst) {
        return;
    }
    CHECK(has<Drain::StopAccepting>(actions));
    drain.onStoppedAccepting();
    drain.onRunningCount(1);
    CHECK(drain.tick(settled + milliseconds(50)).empty());
    drain.onRunningCount(0);
    CHECK(has<Drain::Exit>(drain.tick(settled + milliseconds(100))));
}
