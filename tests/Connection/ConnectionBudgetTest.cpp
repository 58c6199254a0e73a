#include "Pimentoward/Connection/ConnectionBudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

/// Returns the maximum number of connections open at one time over a sequence of owners. Each owner
/// opens as many as it may. After losing ownership it closes them one by one within the handover
/// time.
int maxConnectionsOverOwners(ConnectionBudget::Settings settings, std::uint32_t seed)
{
    std::mt19937 random(seed);
    SteadyTime now {1h};
    std::vector<ConnectionBudget> owners {{settings, now}};
    int maxTotal = 0;
    for (int step = 0; step < 4000; ++step) {
        now += 5ms;
        ConnectionBudget &current = owners.back();
        if (current.mayOpen(now)) {
            current.onOpened(now);
        }
        const bool mustClose = step % 600 > 400;
        int total = current.openConnections();
        for (std::size_t index = 0; index + 1 < owners.size(); ++index) {
            if (owners[index].openConnections() > 0 && (mustClose || random() % 100 == 0)) {
                owners[index].onClosed();
            }
            total += owners[index].openConnections();
        }
        maxTotal = std::max(maxTotal, total);
        if (step % 600 == 599) {
            owners.emplace_back(settings, now);
        }
    }
    return maxTotal;
}

ConnectionBudget::Settings tightSettings()
{
    ConnectionBudget::Settings settings;
    settings.connections = 6;
    settings.slots = 3;
    // The handover time is longer than the previous owner takes to close its connections: 400 steps
    // of 5 ms, then one connection per step.
    settings.handoverTime = 2200ms;
    return settings;
}

} // namespace

TEST_CASE("Connections of all owners together stay within the backend server's limit",
          "[connection]")
{
    auto unreserved = tightSettings();
    unreserved.reservesHandoverShare = false;
    int maxUnreserved = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        CHECK(maxConnectionsOverOwners(tightSettings(), seed) <= tightSettings().connections);
        maxUnreserved = std::max(maxUnreserved, maxConnectionsOverOwners(unreserved, seed));
    }
    CHECK(maxUnreserved > unreserved.connections);
}

TEST_CASE("Opening connections uses no more than its share of the backend server's time",
          "[connection]")
{
    ConnectionBudget::Settings settings;
    settings.connections = 30;
    settings.slots = 3;
    settings.connectionCost = 6ms;
    const auto openedInOneSecond = [](const ConnectionBudget::Settings &used) {
        const SteadyTime start {1h};
        ConnectionBudget budget(used, start);
        int opened = 0;
        // Every connection breaks as soon as it is open.
        for (SteadyTime now = start; now < start + 1s; now += 1ms) {
            while (opened < 1000 && budget.mayOpen(now)) {
                budget.onOpened(now);
                budget.onClosed();
                ++opened;
            }
        }
        return opened;
    };
    // 10 % of the time of three slots is 300 ms per second. This pays for 50 openings, and one per
    // slot is allowed at once at the start.
    CHECK(openedInOneSecond(settings) <= 53);
    CHECK(openedInOneSecond(settings) >= 50);
    settings.pacesOpenings = false;
    CHECK(openedInOneSecond(settings) == 1000);
}
