#include "tests/support/BackendSimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <vector>

using namespace pimentoward;
using namespace std::chrono_literals;
using tests::BackendSimulation;

namespace {

constexpr std::uint32_t seeds = 300;
constexpr int arrivals = 1200;
constexpr int slots = 3;
/// Mean time between arrivals. With a warm server, no faults and no cancels, each subrequest holds
/// its slot for 2.2 ms on average (1 ms of service and two network delays of 0.6 ms), so two of the
/// three slots are in use on average.
constexpr auto spacing = 1100us;

/// A backend server with three slots that warms up over 60 runs, and a network that delays
/// messages, loses replies and breaks connections.
BackendSimulation::Settings faultySettings()
{
    BackendSimulation::Settings settings;
    settings.dispatcher.slots = slots;
    settings.dispatcher.grace = 20ms;
    settings.model.slots = slots;
    settings.model.serviceTime = 1000us;
    settings.model.warmUpRuns = 60;
    settings.maxDelay = 1ms;
    settings.lostReplies = 0.003;
    settings.brokenConnections = 0.003;
    settings.ignoredCancels = 0.2;
    settings.cancels = 0.1;
    return settings;
}

/// Totals over all seeds. The first three come from the statistics of the simulated backend server.
struct Findings
{
    std::uint64_t overloaded = 0;
    std::uint64_t coldOverloaded = 0;
    std::uint64_t collapses = 0;
    int wrongOutcomeCounts = 0;
    int falseNotRun = 0;
    int slotsStillHeld = 0;
    int succeeded = 0;
    std::uint32_t failedSeed = 0;
};

using Script = std::function<void(BackendSimulation &)>;

Findings runSeeds(const BackendSimulation::Settings &settings, const Script &script,
                  std::uint32_t runs = seeds, Duration interval = spacing)
{
    Findings total;
    for (std::uint32_t seed = 1; seed <= runs; ++seed) {
        BackendSimulation::Settings seeded = settings;
        seeded.model.seed = seed;
        BackendSimulation simulation(seeded, seed);
        simulation.addArrivals(arrivals, interval);
        script(simulation);
        simulation.runToEnd();
        const auto &counts = simulation.model().statistics();
        total.overloaded += counts.overloaded;
        total.coldOverloaded += counts.coldOverloaded;
        total.collapses += counts.collapses;
        total.wrongOutcomeCounts += simulation.wrongOutcomeCounts();
        total.falseNotRun += simulation.falseNotRun();
        total.slotsStillHeld += static_cast<int>(simulation.dispatcher().inFlight());
        total.succeeded += simulation.succeeded();
        if (counts.overloaded + counts.collapses > 0 && total.failedSeed == 0) {
            total.failedSeed = seed;
        }
    }
    UNSCOPED_INFO("first failed seed " << total.failedSeed << ", overloaded " << total.overloaded
                                       << ", cold overloaded " << total.coldOverloaded
                                       << ", collapses " << total.collapses << ", succeeded "
                                       << total.succeeded);
    return total;
}

void checkOutcomes(const Findings &findings)
{
    CHECK(findings.wrongOutcomeCounts == 0);
    CHECK(findings.falseNotRun == 0);
    CHECK(findings.slotsStillHeld == 0);
}

void noFault(BackendSimulation &) { }

void restartTwice(BackendSimulation &simulation)
{
    simulation.after(600ms, [&simulation] { simulation.restart(); });
    simulation.after(900ms, [&simulation] { simulation.restart(); });
}

void becomeColdTwice(BackendSimulation &simulation)
{
    simulation.after(600ms, [&simulation] { simulation.model().makeCold(); });
    simulation.after(1000ms, [&simulation] { simulation.model().makeCold(); });
}

} // namespace

TEST_CASE("Concurrent work at a backend server never exceeds its slots", "[connection]")
{
    const Findings findings = runSeeds(faultySettings(), noFault);
    CHECK(findings.overloaded == 0);
    CHECK(findings.collapses == 0);
    checkOutcomes(findings);
    CHECK(findings.succeeded > static_cast<int>(seeds) * arrivals / 2);
}

TEST_CASE("Freeing slots without proof that the work has ended overloads the backend server",
          "[connection]")
{
    auto settings = faultySettings();
    settings.dispatcher.needsEndProof = false;
    CHECK(runSeeds(settings, noFault).overloaded > 0);
}

TEST_CASE("Two restarts at full load cause no collapse", "[connection]")
{
    const Findings findings = runSeeds(faultySettings(), restartTwice);
    CHECK(findings.overloaded == 0);
    CHECK(findings.coldOverloaded == 0);
    CHECK(findings.collapses == 0);
    checkOutcomes(findings);
}

TEST_CASE("A restart causes no collapse when network delay hides how slow a cold server is",
          "[connection]")
{
    auto settings = faultySettings();
    settings.minDelay = 10ms;
    settings.maxDelay = 14ms;
    const auto restartOnce = [](BackendSimulation &simulation) {
        simulation.after(4000ms, [&simulation] { simulation.restart(); });
    };
    const Findings findings = runSeeds(settings, restartOnce, 60, 8ms);
    CHECK(findings.overloaded == 0);
    CHECK(findings.coldOverloaded == 0);
    CHECK(findings.collapses == 0);
    settings.dispatcher.requiresColdSuccesses = false;
    CHECK(runSeeds(settings, restartOnce, 60, 8ms).collapses > 0);
}

TEST_CASE("Becoming cold twice at full load without a restart causes no collapse", "[connection]")
{
    const Findings findings = runSeeds(faultySettings(), becomeColdTwice);
    CHECK(findings.overloaded == 0);
    // The change cannot be noticed before the first slow reply, so each slot may be refilled once.
    CHECK(findings.coldOverloaded <= std::uint64_t {2} * slots * seeds);
    CHECK(findings.collapses == 0);
    checkOutcomes(findings);
}

TEST_CASE("After a restart the full limit is reached within twice the server's own warm-up",
          "[connection]")
{
    constexpr std::uint32_t runs = 60;
    constexpr auto restartAt = 800ms;
    // 60 runs, one at a time: the service time falls from 8 ms to 1 ms (4.5 ms on average), and
    // each run has 1.2 ms of network delay.
    constexpr Duration warmUp = 60 * (4500us + 1200us);
    std::vector<Duration> recoveries;
    for (std::uint32_t seed = 1; seed <= runs; ++seed) {
        auto settings = faultySettings();
        settings.lostReplies = settings.brokenConnections = 0;
        settings.model.seed = seed;
        BackendSimulation simulation(settings, seed);
        simulation.addArrivals(arrivals + 400, spacing);
        simulation.after(restartAt, [&simulation] { simulation.restart(); });
        std::optional<Duration> recovery;
        for (Duration elapsed = 2ms; elapsed < 900ms; elapsed += 1ms) {
            simulation.after(restartAt + elapsed, [&, elapsed] {
                if (!recovery && !simulation.dispatcher().coldStart().isCold()) {
                    recovery = elapsed;
                }
            });
        }
        simulation.runToEnd();
        recoveries.push_back(recovery.value_or(1h));
    }
    std::sort(recoveries.begin(), recoveries.end());
    const auto millis = [](Duration duration) { return duration / 1ms; };
    INFO("median " << millis(recoveries[runs / 2]) << " ms, maximum " << millis(recoveries.back())
                   << " ms, warm-up " << millis(warmUp) << " ms");
    CHECK(recoveries[runs / 2] <= 2 * warmUp);
    CHECK(recoveries.back() <= 2 * warmUp);
}

TEST_CASE("Without the cold limit the backend server collapses", "[connection]")
{
    auto settings = faultySettings();
    settings.dispatcher.appliesColdLimit = false;
    CHECK(runSeeds(settings, restartTwice).collapses > 0);
    CHECK(runSeeds(settings, becomeColdTwice).collapses > 0);
}

TEST_CASE("A cancelled subrequest holds its slot until its end is proved or overdue",
          "[connection]")
{
    const SteadyTime start {1h};
    BackendDispatcher dispatcher({});
    REQUIRE(dispatcher.enqueue(1, RequestClass::Interactive, start + 100ms, start).size() == 1);
    CHECK(dispatcher.enqueue(2, RequestClass::Interactive, start + 900ms, start).empty());
    const auto cancelActions = dispatcher.cancel(1, start + 1ms);
    REQUIRE(cancelActions.size() == 1);
    CHECK(std::holds_alternative<BackendDispatcher::CancelRunning>(cancelActions.front()));
    CHECK(dispatcher.cancel(1, start + 2ms).empty());
    CHECK(dispatcher.onOutcome(1, {ResultCode::MayHaveRun, 1ms, false, 0}, start + 3ms).empty());
    CHECK(dispatcher.nextTimer() == start + 300ms);
    CHECK(dispatcher.onTimer(start + 299ms).empty());
    CHECK(dispatcher.onTimer(start + 300ms).size() == 1);
    // The acknowledgement frees the slot of the second subrequest.
    REQUIRE(dispatcher.cancel(2, start + 301ms).size() == 1);
    CHECK(dispatcher.inFlight() == 1);
    dispatcher.onCancelAcknowledged(2, start + 302ms);
    CHECK(dispatcher.inFlight() == 0);
}

TEST_CASE("Subrequests that cannot meet their deadlines are refused as not run", "[connection]")
{
    const SteadyTime start {1h};
    BackendDispatcher dispatcher({});
    dispatcher.enqueue(1, RequestClass::Interactive, start + 100ms, start);
    dispatcher.onOutcome(1, {ResultCode::Ok, 20ms, true, 1}, start + 20ms);
    const SteadyTime now = start + 20ms;
    REQUIRE(dispatcher.enqueue(2, RequestClass::Interactive, now + 500ms, now).size() == 1);
    const auto isRefused = [](const BackendDispatcher::Actions &actions) {
        return actions.size() == 1
            && std::get<BackendDispatcher::Refuse>(actions.front()).reason.code
            == ResultCode::NotRunDeadline;
    };
    // Waiting until the running subrequest has ended and then running takes 40 ms.
    CHECK(isRefused(dispatcher.enqueue(3, RequestClass::Interactive, now + 39ms, now)));
    CHECK(dispatcher.enqueue(4, RequestClass::Interactive, now + 41ms, now).empty());
    CHECK(isRefused(dispatcher.enqueue(5, RequestClass::Evening, now + 59ms, now)));
    CHECK(dispatcher.nextTimer() == now + 21ms);
    CHECK(isRefused(dispatcher.onTimer(now + 21ms)));
    CHECK(dispatcher.load().queueLength == 0);
}
