#include "Pimentoward/Connection/ConnectionBudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

/// Most connections that stand at a time over a row of owners, each of which opens all it may and
/// closes its connections one by one within the handover time after it has lost the ownership.
int mostOverOwners(ConnectionBudget::Settings settings, std::uint32_t seed)
{
    std::mt19937 random(seed);
    SteadyTime now {1h};
    std::vector<ConnectionBudget> owners {{settings, now}};
    int most = 0;
    for (int step = 0; step < 4000; ++step) {
        now += 5ms;
        ConnectionBudget &present = owners.back();
        if (present.mayOpen(now)) {
            present.onOpened(now);
        }
        const bool isSettled = step % 600 > 400;
        int total = present.open();
        for (std::size_t index = 0; index + 1 < owners.size(); ++index) {
            if (owners[index].open() > 0 && (isSettled || random() % 100 == 0)) {
                owners[index].onClosed();
            }
            total += owners[index].open();
        }
        most = std::max(most, total);
        if (step % 600 == 599) {
            owners.emplace_back(settings, now);
        }
    }
    return most;
}

ConnectionBudget::Settings tightSettings()
{
    ConnectionBudget::Settings settings;
    settings.connections = 6;
    settings.slots = 3;
    // Longer than the former owner takes to close: 400 steps and one connection a step.
    settings.handoverTime = 2200ms;
    return settings;
}

} // namespace

TEST_CASE("Connections over all owners stay within the backend server's limit", "[connection]")
{
    auto unbounded = tightSettings();
    unbounded.keepsBack = false;
    int mostUnbounded = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        CHECK(mostOverOwners(tightSettings(), seed) <= tightSettings().connections);
        mostUnbounded = std::max(mostUnbounded, mostOverOwners(unbounded, seed));
    }
    CHECK(mostUnbounded > unbounded.connections);
}

TEST_CASE("Openings eat no more than their share of the backend server", "[connection]")
{
    ConnectionBudget::Settings settings;
    settings.connections = 30;
    settings.slots = 3;
    settings.connectionCost = 6ms;
    const auto openedInOneSecond = [](const ConnectionBudget::Settings &used) {
        const SteadyTime start {1h};
        ConnectionBudget budget(used, start);
        int opened = 0;
        // Every connection breaks at once.
        for (SteadyTime now = start; now < start + 1s; now += 1ms) {
            while (opened < 1000 && budget.mayOpen(now)) {
                budget.onOpened(now);
                budget.onClosed();
                ++opened;
            }
        }
        return opened;
    };
    // 10 % of three slots are 300 ms a second: 50 openings, and one a slot at the start.
    CHECK(openedInOneSecond(settings) <= 53);
    CHECK(openedInOneSecond(settings) >= 50);
    settings.pacesOpenings = false;
    CHECK(openedInOneSecond(settings) == 1000);
}
