#include "Pimentoward/Rollout/RolloutPlan.h"

#include <catch2/catch.hpp>

#include <random>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

RolloutPlan::Settings planSettings()
{
    RolloutPlan::Settings settings;
    settings.maxShare = 0.1;
    settings.allowance = 50;
    return settings;
}

std::vector<MemberId> membersOf(std::size_t count)
{
    std::vector<MemberId> members;
    for (std::size_t index = 0; index < count; ++index) {
        members.push_back("vm-" + std::to_string(index));
    }
    return members;
}

std::vector<RolloutPlan::Part> partsOf(std::size_t vms)
{
    const std::vector<MemberId> members = membersOf(vms);
    std::vector<RolloutPlan::Part> parts;
    parts.reserve(vms);
    for (const MemberId &member : members) {
        parts.push_back(RolloutPlan::part(planSettings(), members, member, "service"));
    }
    return parts;
}

/// Requests that go to the target version out of `requests` that reach random VMs.
std::uint64_t sentToTarget(const std::vector<RolloutPlan::Part> &parts, std::uint64_t requests,
                           unsigned seed)
{
    struct Vm
    {
        RolloutPlan::Part part;
        std::uint64_t seen = 0;
        std::uint64_t sent = 0;
    };
    std::vector<Vm> all;
    all.reserve(parts.size());
    for (const RolloutPlan::Part &part : parts) {
        all.push_back({part, 0, 0});
    }
    std::mt19937 random(seed);
    std::uint64_t total = 0;
    for (std::uint64_t request = 0; request < requests; ++request) {
        Vm &vm = all[random() % all.size()];
        const bool isTarget = vm.part.allows(vm.sent, vm.seen);
        ++vm.seen;
        vm.sent += isTarget ? 1 : 0;
        total += isTarget ? 1 : 0;
    }
    return total;
}

} // namespace

TEST_CASE("All VMs together send the target version less than its share, at any number of VMs")
{
    const std::size_t vms = GENERATE(1, 3, 7, 63, 300, 6000);
    const RolloutPlan::Settings settings = planSettings();
    const std::vector<RolloutPlan::Part> parts = partsOf(vms);
    for (const std::uint64_t requests : {50, 500, 20'000}) {
        for (unsigned seed = 0; seed < 20; ++seed) {
            const std::uint64_t sent = sentToTarget(parts, requests, seed);
            // What remains is left for the shift and for VMs that forget what they have sent.
            const double limit = 0.6 * settings.maxShare * static_cast<double>(requests)
                + 0.6 * settings.allowance;
            CHECK(static_cast<double>(sent) <= limit);
        }
    }
}

TEST_CASE("Few VMs send enough to the target version to compare it, also with little traffic")
{
    CHECK(sentToTarget(partsOf(63), 500, 1) >= 15);
    CHECK(sentToTarget(partsOf(300), 5000, 1) >= 60);
    // Without chosen senders, each of 300 VMs would see one request of the target version.
    CHECK(RolloutPlan::senders(planSettings(), 300) <= 30);
    CHECK(RolloutPlan::senders(planSettings(), 6000) == 16);
    CHECK(RolloutPlan::senders(planSettings(), 2) == 2);
}

TEST_CASE("A VM that is not listed, or not chosen, sends nothing to the target version")
{
    const std::vector<MemberId> members = membersOf(63);
    CHECK(RolloutPlan::part(planSettings(), members, "other", "service").share == 0);
    std::size_t senders = 0;
    for (const MemberId &member : members) {
        const RolloutPlan::Part part
            = RolloutPlan::part(planSettings(), members, member, "service");
        senders += part.share > 0 ? 1 : 0;
        CHECK((part.share > 0 || !part.allows(0, 1000)));
    }
    CHECK(senders == RolloutPlan::senders(planSettings(), members.size()));
}

TEST_CASE("The shift is as short as the share requires")
{
    CHECK(RolloutPlan::shiftTime(planSettings(), {"v2", 20s}) == 600ms);
    CHECK(RolloutPlan::shiftTime(planSettings(), {"v2", 1s}) == 300ms);
    CHECK(RolloutPlan::shiftTime(planSettings(), {"v2", 1h}) == 1s);
}
