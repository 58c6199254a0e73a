#include "Pimentoward/Discovery/FeedChooser.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const SteadyTime start {std::chrono::hours(1)};
constexpr std::size_t manyVms = 87;

FeedChooser::Member member(std::size_t index)
{
    const std::string domain(1, static_cast<char>('a' + index % 3));
    return {
        "vm-" + std::to_string(index), domain, {"10.0.0." + std::to_string(index + 1), 7000}, 0};
}

/// Returns the choosers of VMs that all know each other.
std::vector<FeedChooser> choosers(std::size_t vms)
{
    std::vector<FeedChooser> result;
    for (std::size_t index = 0; index < vms; ++index) {
        FeedChooser::Settings settings;
        settings.self = member(index).id;
        settings.failureDomain = member(index).failureDomain;
        settings.address = member(index).address;
        result.emplace_back(settings);
        for (std::size_t other = 0; other < vms; ++other) {
            result.back().onMemberPresent(member(other));
        }
    }
    return result;
}

/// Number of VMs that ask the store itself.
std::size_t countDirectVms(const std::vector<FeedChooser> &choosers, SteadyTime now)
{
    std::size_t count = 0;
    for (const FeedChooser &chooser : choosers) {
        count += chooser.choose(now).vm ? 0 : 1;
    }
    return count;
}

} // namespace

TEST_CASE("With few VMs each asks the store, and with many, only one per failure domain does")
{
    CHECK(countDirectVms(choosers(7), start) == 7);
    CHECK(countDirectVms(choosers(12), start) == 12);
    CHECK(countDirectVms(choosers(13), start) == 3);
    CHECK(countDirectVms(choosers(manyVms), start) == 3);
}

TEST_CASE(
    "A VM asks a VM of its own failure domain first, and others if that one fails or is stale")
{
    auto all = choosers(manyVms);
    for (std::size_t index = 0; index < manyVms; ++index) {
        FeedChooser &chooser = all[index];
        const auto first = chooser.choose(start);
        if (!first.vm) {
            continue;
        }
        const auto domainOf
            = [](const Address &address) { return (std::stoul(address.host.substr(7)) - 1) % 3; };
        CHECK(domainOf(*first.vm) == index % 3);
        chooser.onFailed(*first.vm, start);
        const auto second = chooser.choose(start);
        REQUIRE(second.vm.has_value());
        CHECK(domainOf(*second.vm) != index % 3);
        chooser.onAnswered(*second.vm, 10s, start);
        const auto third = chooser.choose(start);
        REQUIRE(third.vm.has_value());
        CHECK(*third.vm != *second.vm);
        // The VM that failed is asked again after its penalty time.
        CHECK(*chooser.choose(start + 15s).vm == *first.vm);
    }
}

TEST_CASE("If all VMs are stale, a few more VMs ask the store and the others ask the freshest VM")
{
    auto all = choosers(manyVms);
    for (FeedChooser &chooser : all) {
        for (std::size_t round = 0; round < 10; ++round) {
            if (const auto choice = chooser.choose(start); choice.vm) {
                chooser.onAnswered(*choice.vm, 5s + round * 1s, start);
            }
        }
    }
    CHECK(countDirectVms(all, start) == 6);
    CHECK(countDirectVms(all, start + 3s) == 3);
}

TEST_CASE("If no VM is ready, VMs are asked again until the store is asked")
{
    auto all = choosers(manyVms);
    for (FeedChooser &chooser : all) {
        for (std::size_t round = 0; round < 10; ++round) {
            if (const auto choice = chooser.choose(start); choice.vm) {
                chooser.onUnready(*choice.vm, start);
            }
        }
    }
    // Two VMs in each failure domain ask the store at once, so that the others can soon follow
    // them.
    CHECK(countDirectVms(all, start) == 6);
    CHECK(countDirectVms(all, start + 2500ms) == manyVms);
}

TEST_CASE("A VM asks seeds only if the store does not answer it")
{
    FeedChooser::Settings settings;
    settings.self = "vm-9";
    settings.failureDomain = "a";
    settings.seeds = {member(0).address};
    FeedChooser chooser(settings);
    CHECK_FALSE(chooser.choose(start).vm.has_value());
    chooser.onStoreResult(false, start);
    CHECK(chooser.choose(start).vm.has_value());
    chooser.onStoreResult(true, start);
    CHECK_FALSE(chooser.choose(start).vm.has_value());
}

TEST_CASE("A VM asks the store itself once no VM has answered for too long")
{
    auto all = choosers(manyVms);
    for (FeedChooser &chooser : all) {
        const auto first = chooser.choose(start);
        if (!first.vm) {
            continue;
        }
        chooser.onFailed(*first.vm, start);
        CHECK(chooser.choose(start + 2s).vm.has_value());
        CHECK_FALSE(chooser.choose(start + 2500ms).vm.has_value());
        chooser.onAnswered(*first.vm, 1s, start + 3s);
        CHECK(chooser.choose(start + 4s).vm.has_value());
    }
}

TEST_CASE("VMs that are cut off from the store do not hold up the VMs that ask them")
{
    auto all = choosers(manyVms);
    // In all failure domains but one, the VM that asks the store is cut off from it.
    std::set<std::string> directVms;
    for (const FeedChooser &chooser : all) {
        if (const auto choice = chooser.choose(start); choice.vm) {
            directVms.insert(choice.vm->toString());
        }
    }
    REQUIRE(directVms.size() == 3);
    const std::string healthy = *directVms.begin();
    for (std::size_t index = 0; index < manyVms; ++index) {
        FeedChooser &chooser = all[index];
        std::optional<SteadyTime> reachedAt;
        for (SteadyTime now = start; now < start + 20s && !reachedAt; now += 1500ms) {
            const auto choice = chooser.choose(now);
            if (!choice.vm || choice.vm->toString() == healthy) {
                reachedAt = now;
            } else {
                chooser.onAnswered(*choice.vm, 10s, now);
            }
        }
        CHECK(reachedAt.value_or(start + 20s) <= start + 4500ms);
    }
}

TEST_CASE("A VM whose data is too old asks the store, but with pauses between the calls")
{
    auto all = choosers(manyVms);
    std::size_t storeCalls = 0;
    FeedChooser &chooser = all[5];
    chooser.onStoreResult(true, start);
    for (SteadyTime now = start; now < start + 20s; now += 1500ms) {
        if (const auto choice = chooser.choose(now); choice.vm) {
            chooser.onAnswered(*choice.vm, now - start + 3s, now);
        } else {
            ++storeCalls;
            chooser.onStoreResult(false, now);
        }
    }
    CHECK(storeCalls >= 2);
    CHECK(storeCalls <= 4);
}

TEST_CASE("The VM with the highest capacity asks the store for its failure domain")
{
    auto all = choosers(manyVms);
    FeedChooser::Member largest = member(30);
    largest.capacity = 100;
    for (std::size_t index = 0; index < manyVms; index += 3) {
        all[index].onMemberPresent(largest);
        const auto choice = all[index].choose(start);
        CHECK((index == 30 ? !choice.vm : choice.vm == largest.address));
    }
}

TEST_CASE("A VM that knows no other VM asks the seeds, unless it is a seed, then the store")
{
    FeedChooser::Settings settings;
    settings.self = "vm-9";
    settings.failureDomain = "a";
    settings.address = member(9).address;
    settings.seeds = {member(0).address, member(1).address};
    FeedChooser chooser(settings);
    chooser.onStoreResult(false, start);
    const auto first = chooser.choose(start).vm;
    REQUIRE(first.has_value());
    chooser.onFailed(*first, start);
    const auto second = chooser.choose(start).vm;
    REQUIRE(second.has_value());
    CHECK(*second != *first);
    chooser.onUnready(*second, start);
    // A seed is asked again after its pause, because both seeds may be starting too.
    CHECK(chooser.choose(start + 300ms).vm == second);
    CHECK_FALSE(chooser.choose(start + 1200ms).vm.has_value());
    settings.address = member(1).address;
    CHECK_FALSE(FeedChooser(settings).choose(start).vm.has_value());
}
