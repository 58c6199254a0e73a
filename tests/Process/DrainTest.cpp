#include "Pimentoward/Process/Drain.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using std::chrono::milliseconds;

namespace {

const SteadyTime startTime {std::chrono::hours(1)};

template <typename ActionType>
bool has(const Drain::Actions &actions)
{
    for (const Drain::Action &action : actions) {
        if (std::holds_alternative<ActionType>(action)) {
            return true;
        }
    }
    return false;
}

/// Simulates a planned stop during which one request runs until 5 s after the stop signal. Returns
/// the time from the signal until the process exits.
milliseconds timeToExit(const Drain::Settings &settings)
{
    Drain drain(settings);
    drain.onStopSignal(startTime);
    bool hasLeft = false;
    for (milliseconds elapsed {0}; elapsed < std::chrono::minutes(2); elapsed += milliseconds(50)) {
        const auto actions = drain.tick(startTime + elapsed);
        if (has<Drain::Leave>(actions)) {
            hasLeft = true;
            drain.onOwnershipReleased(startTime + elapsed);
        }
        if (has<Drain::Exit>(actions)) {
            return elapsed;
        }
        if (hasLeft) {
            drain.onRunningCount(elapsed < milliseconds(5000) ? 1 : 0);
        }
    }
    return milliseconds::max();
}

} // namespace

TEST_CASE("A planned stop turns readiness off and leaves the group only after the readiness delay")
{
    Drain drain({});
    CHECK(has<Drain::TurnReadinessOff>(drain.onStopSignal(startTime)));
    CHECK(drain.tick(startTime + milliseconds(1999)).empty());
    CHECK(has<Drain::Leave>(drain.tick(startTime + milliseconds(2000))));
}

TEST_CASE("A planned stop waits until running requests have ended, unless waiting is off")
{
    CHECK(timeToExit({}) >= milliseconds(5000));
    Drain::Settings withoutWaiting;
    withoutWaiting.waitsForRunningWork = false;
    CHECK(timeToExit(withoutWaiting) < milliseconds(5000));
}

TEST_CASE("Changed settings apply only to a planned stop that has not begun")
{
    Drain::Settings longerDelay;
    longerDelay.readinessDelay = milliseconds(3000);
    Drain before({});
    before.changeSettings(longerDelay);
    before.onStopSignal(startTime);
    CHECK(before.tick(startTime + milliseconds(2500)).empty());
    Drain during({});
    during.onStopSignal(startTime);
    during.changeSettings(longerDelay);
    CHECK(has<Drain::Leave>(during.tick(startTime + milliseconds(2500))));
}

// Guards against accepted requests that are cut at the limit because new ones kept the process from
// refusing any.
TEST_CASE("A stop under continued arrivals stops accepting when the last answers are due")
{
    Drain::Settings settings;
    settings.stopsAcceptingFirst = true;
    Drain drain(settings);
    const auto actions = drain.onStopSignal(startTime);
    REQUIRE(has<Drain::TurnReadinessOff>(actions));
    const SteadyTime lastAnswerAt = std::get<Drain::TurnReadinessOff>(actions.front()).lastAnswerAt;
    CHECK(lastAnswerAt == startTime + settings.limit - settings.answerMargin);
    const SteadyTime leaveTime = startTime + settings.readinessDelay;
    drain.tick(leaveTime);
    drain.onOwnershipReleased(leaveTime);
    drain.onRunningCount(1);
    CHECK(drain.tick(lastAnswerAt - milliseconds(1)).empty());
    CHECK(has<Drain::StopAccepting>(drain.tick(lastAnswerAt)));
    drain.onStoppedAccepting();
    drain.onRunningCount(1);
    CHECK(drain.tick(lastAnswerAt + milliseconds(50)).empty());
    drain.onRunningCount(0);
    CHECK(has<Drain::Exit>(drain.tick(lastAnswerAt + milliseconds(100))));
}

TEST_CASE("A planned stop ends at its time limit, and at once on an interrupt")
{
    Drain::Settings shortLimit;
    shortLimit.limit = milliseconds(3000);
    CHECK(timeToExit(shortLimit) == milliseconds(3000));
    Drain drain({});
    drain.onInterrupt(startTime);
    CHECK(has<Drain::Exit>(drain.onInterrupt(startTime + milliseconds(10))));
    CHECK(drain.onInterrupt(startTime + milliseconds(15)).empty());
    CHECK(drain.tick(startTime + milliseconds(20)).empty());
}

// Guards against requests that are cut when service managers repeat the stop signal.
TEST_CASE("A repeated stop signal neither ends a planned stop nor extends it")
{
    Drain::Settings settings;
    Drain drain(settings);
    drain.onStopSignal(startTime);
    CHECK(drain.onStopSignal(startTime + milliseconds(10)).empty());
    CHECK(has<Drain::Leave>(drain.tick(startTime + settings.readinessDelay)));
    CHECK(drain.onStopSignal(startTime + settings.readinessDelay).empty());
    CHECK(has<Drain::Exit>(drain.tick(startTime + settings.limit)));
    CHECK(drain.onStopSignal(startTime + settings.limit).empty());
}

TEST_CASE(
    "An idle VM runs for the settle time after the handover, to refuse requests sent before it")
{
    Drain::Settings settings;
    Drain drain(settings);
    drain.onStopSignal(startTime);
    const SteadyTime leaveTime = startTime + settings.readinessDelay;
    CHECK(has<Drain::Leave>(drain.tick(leaveTime)));
    drain.onOwnershipReleased(leaveTime);
    drain.onRunningCount(0);
    CHECK(drain.tick(leaveTime + settings.settleTime - milliseconds(1)).empty());
    CHECK(has<Drain::Exit>(drain.tick(leaveTime + settings.settleTime)));
}

TEST_CASE(
    "A stop that stops accepting requests first counts running requests again before the exit")
{
    Drain::Settings settings;
    settings.stopsAcceptingFirst = GENERATE(true, false);
    Drain drain(settings);
    drain.onStopSignal(startTime);
    const SteadyTime leaveTime = startTime + settings.readinessDelay;
    drain.tick(leaveTime);
    drain.onOwnershipReleased(leaveTime);
    drain.onRunningCount(0);
    const SteadyTime settledTime = leaveTime + settings.settleTime;
    const auto actions = drain.tick(settledTime);
    // A request arrives here. Without the count after StopAccepting the process would already have
    // exited.
    REQUIRE(has<Drain::Exit>(actions) == !settings.stopsAcceptingFirst);
    if (!settings.stopsAcceptingFirst) {
        return;
    }
    CHECK(has<Drain::StopAccepting>(actions));
    drain.onStoppedAccepting();
    drain.onRunningCount(1);
    CHECK(drain.tick(settledTime + milliseconds(50)).empty());
    drain.onRunningCount(0);
    CHECK(has<Drain::Exit>(drain.tick(settledTime + milliseconds(100))));
}
