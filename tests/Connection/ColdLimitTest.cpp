#include "Pimentoward/Connection/ColdLimit.h"

#include "Pimentoward/Process/RendezvousHash.h"

#include <catch2/catch.hpp>

#include <deque>
#include <string>
#include <vector>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const SteadyTime start {std::chrono::hours(1)};

/// Maximum number of requests in one second if each of `vms` VMs sends a request in every
/// millisecond in which its limit allows it.
std::size_t maxInOneSecond(std::size_t vms, double perSecond)
{
    std::vector<MemberId> names;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        names.push_back("vm-" + std::to_string(vm));
    }
    std::vector<ColdLimit> limits(vms);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        limits[vm].changeColdUntil(start + 10s);
        limits[vm].changeShare(perSecond, RendezvousHash::rank(names, names[vm], "server"), vms);
    }
    std::deque<SteadyTime> sent;
    std::size_t maxSent = 0;
    for (SteadyTime now = start; now < start + 5s; now += 1ms) {
        for (ColdLimit &limit : limits) {
            if (limit.allows(now)) {
                limit.onSent(now);
                sent.push_back(now);
            }
        }
        while (!sent.empty() && sent.front() + 1s <= now) {
            sent.pop_front();
        }
        maxSent = std::max(maxSent, sent.size());
    }
    return maxSent;
}

} // namespace

TEST_CASE(
    "All VMs together stay within the limit of a cold backend server and use at least half of it")
{
    const std::size_t vms = GENERATE(1, 2, 7, 8, 67, 300);
    const double perSecond = GENERATE(0.5, 2.0, 20.0, 200.0);
    const double bound
        = perSecond * ColdLimit::Settings().ratio + ColdLimit::Settings().sharedAllowance;
    const auto maxSent = static_cast<double>(maxInOneSecond(vms, perSecond));
    CHECK(maxSent <= bound);
    CHECK(maxSent >= 0.5 * bound - 1);
}

TEST_CASE("A backend server that is warm or has no cold limit gets any number of requests")
{
    ColdLimit limit;
    limit.changeShare(1, 0, 1);
    limit.changeColdUntil(start + 1s);
    for (int index = 0; index < 100; ++index) {
        limit.onSent(start);
    }
    CHECK_FALSE(limit.allows(start));
    CHECK(limit.allows(start + 1s));
    limit.changeColdUntil(start + 10s);
    limit.changeShare(0, 0, 1);
    CHECK(limit.allows(start));
}

TEST_CASE("After a change of its share a VM still counts the requests that it has just sent")
{
    ColdLimit limit;
    limit.changeColdUntil(start + 10s);
    limit.changeShare(10, 0, 1);
    while (limit.allows(start)) {
        limit.onSent(start);
    }
    limit.changeShare(10, 0, 3);
    CHECK_FALSE(limit.allows(start + 1s));
    limit.changeShare(10, 0, 2);
    limit.onSent(start + 100ms);
    CHECK(limit.allows(start + 1200ms));
}

TEST_CASE("Each VM has a different rank for a backend server")
{
    const std::vector<MemberId> names {"a", "b", "c", "d"};
    std::vector<bool> isRankTaken(names.size(), false);
    for (const MemberId &name : names) {
        const std::size_t rank = RendezvousHash::rank(names, name, "server");
        REQUIRE(rank < names.size());
        CHECK_FALSE(isRankTaken[rank]);
        isRankTaken[rank] = true;
    }
}
