#include "Pimentoward/Connection/CallerBudget.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

using Stage = CallerUsage::Stage;

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1'048'576;
/// Share of large requests: 6 MB.
constexpr CallerBudget::Settings eightMegabytes {8 * megabyte, 0};
constexpr SteadyTime start {};

/// Updates the budget and lets connections give way as CallerServer does. Returns how many did.
std::size_t receive(CallerBudget &budget, CallerBudget::ConnectionId connection, std::size_t bytes,
                    SteadyTime now)
{
    budget.update(connection, {Stage::Receiving, bytes, bytes}, now);
    std::size_t gaveWay = 0;
    while (const auto choice = budget.nextToGiveWay(now)) {
        budget.remove(choice->connection);
        ++gaveWay;
    }
    return gaveWay;
}

} // namespace

// Load pattern of the class: large bodies that stop short of their end, and ordinary requests.
TEST_CASE("Large bodies that stop short of their end leave room for ordinary requests")
{
    CallerBudget budget(eightMegabytes);
    CallerBudget without({0, 0});
    constexpr CallerBudget::ConnectionId crowd = 100;
    for (CallerBudget::ConnectionId id = 1; id <= crowd; ++id) {
        receive(budget, id, megabyte, start);
        receive(without, id, megabyte, start);
    }
    CHECK(budget.bytes() <= eightMegabytes.bytes);
    CHECK(without.bytes() == crowd * megabyte);
    for (CallerBudget::ConnectionId id = crowd + 1; id <= 2 * crowd; ++id) {
        CHECK(receive(budget, id, 4 * kilobyte, start) == 0);
    }
}

TEST_CASE("Of large bodies that progress, the one that began last gives way")
{
    CallerBudget budget(eightMegabytes);
    for (CallerBudget::ConnectionId id = 1; id <= 6; ++id) {
        budget.update(id, {Stage::Receiving, megabyte, megabyte}, start + id * 1ms);
    }
    CHECK_FALSE(budget.nextToGiveWay(start + 10ms));
    budget.update(1, {Stage::Receiving, 2 * megabyte, 2 * megabyte}, start + 10ms);
    const auto choice = budget.nextToGiveWay(start + 10ms);
    REQUIRE(choice);
    CHECK(choice->connection == 6);
    CHECK(choice->limit == CallerBudget::Limit::LargeRequests);
}

TEST_CASE("A body that has stopped gives way before a later one that progresses")
{
    CallerBudget budget(eightMegabytes);
    budget.update(1, {Stage::Receiving, megabyte, megabyte}, start);
    budget.update(2, {Stage::Receiving, 2 * megabyte, 2 * megabyte}, start);
    SteadyTime now = start + CallerBudget::requestRateWindow * 2;
    // A few bytes from time to time are no progress.
    budget.update(2, {Stage::Receiving, 2 * megabyte, 2 * megabyte + 10}, now);
    CHECK_FALSE(budget.nextToGiveWay(now));
    budget.update(3, {Stage::Receiving, 4 * megabyte, 4 * megabyte}, now);
    const auto choice = budget.nextToGiveWay(now);
    REQUIRE(choice);
    CHECK(choice->connection == 2);
}

TEST_CASE("A request that was passed on never gives way")
{
    CallerBudget budget(eightMegabytes);
    budget.update(1, {Stage::Running, 20 * megabyte, 0}, start);
    CHECK_FALSE(budget.nextToGiveWay(start + 1h));
    CHECK(receive(budget, 2, kilobyte, start + 1h) == 1);
    CHECK(budget.bytes() == 20 * megabyte);
}

TEST_CASE("A reply that its caller does not read gives way only if nothing else does")
{
    CallerBudget budget(eightMegabytes);
    budget.update(1, {Stage::Replying, 20 * megabyte, 0}, start);
    CHECK_FALSE(budget.nextToGiveWay(start + 1s));
    const SteadyTime now = start + CallerBudget::replyRateWindow;
    budget.update(2, {Stage::Receiving, megabyte, megabyte}, now);
    REQUIRE(budget.nextToGiveWay(now));
    CHECK(budget.nextToGiveWay(now)->connection == 2);
    budget.remove(2);
    REQUIRE(budget.nextToGiveWay(now));
    CHECK(budget.nextToGiveWay(now)->connection == 1);
}

TEST_CASE("A new connection takes the place of the one that has waited longest without a request")
{
    constexpr std::size_t descriptors = 200;
    CallerBudget budget({0, descriptors});
    CallerBudget::ConnectionId lastId = 0;
    while (budget.mayAccept(0)) {
        budget.update(++lastId, {Stage::Silent, CallerBudget::connectionBytes, 0},
                      start + lastId * 1ms);
    }
    // The other addresses of the VM and backend servers keep descriptors of their own.
    CHECK(lastId < descriptors - 64);
    CHECK(budget.nextToClose()->connection == 1);
    budget.update(9, {Stage::Receiving, kilobyte, 1}, start + 1s);
    CHECK(budget.nextToClose()->connection == 9);
    for (CallerBudget::ConnectionId id = 1; id <= lastId; ++id) {
        budget.update(id, {Stage::Running, kilobyte, 1}, start + 2s);
    }
    CHECK_FALSE(budget.nextToClose());
}

TEST_CASE("More connections to backend servers leave fewer to callers")
{
    constexpr std::size_t descriptors = 400;
    CallerBudget budget({0, descriptors});
    for (CallerBudget::ConnectionId id = 1; id <= 100; ++id) {
        budget.update(id, {Stage::Idle, CallerBudget::connectionBytes, 0}, start);
    }
    CHECK(budget.mayAccept(0));
    CHECK_FALSE(budget.mayAccept(descriptors / 2 + 50));
}
