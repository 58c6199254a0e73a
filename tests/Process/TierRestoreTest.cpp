#include "platform/WireNames.h"
#include "tests/support/TierRules.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vmCount = 6;

/// VMs of which two follow the store and the others follow these.
TierFixture::Settings relayingSettings()
{
    TierFixture::Settings settings;
    settings.vms = vmCount;
    settings.adjustDiscovery = [](Discovery::Settings &discovery) {
        discovery.feed.maxDirectVms = 2;
        discovery.feed.maxFeedAge = 900ms;
        discovery.feed.failureBackoff = 500ms;
        discovery.relayedWatchTime = 400ms;
    };
    return settings;
}

/// True if each VM from the first on has these settings, all backend servers and all VMs.
bool allKnow(TierFixture &fixture, Revision settings, std::size_t firstVm = 0)
{
    for (std::size_t vm = firstVm; vm < vmCount; ++vm) {
        if (fixture.vm(vm).settingsRevision() != settings || fixture.vm(vm).backends() != 13
            || fixture.vm(vm).members() != vmCount - firstVm) {
            return false;
        }
    }
    return true;
}

bool areRegistered(TierFixture &fixture, std::size_t count)
{
    return fixture.store().model().range(platform::wire::memberPrefix, "").items.size() == count;
}

} // namespace

TEST_CASE("A store that comes back from a copy reverts nothing in force, and VMs register again",
          "[rules]")
{
    TierFixture fixture(relayingSettings());
    // A copy from before the VMs registered themselves.
    const KeyValueModel saved = fixture.store().model();
    REQUIRE(fixture.waitUntilKnown());
    fixture.site().writeSettings();
    fixture.run(1s);
    REQUIRE(allKnow(fixture, 2));
    fixture.store().restore(saved);
    fixture.run(2500ms);
    CHECK(allKnow(fixture, 2));
    CHECK(areRegistered(fixture, vmCount));
    // A second one, while a VM that others follow stops.
    fixture.store().restore(saved);
    fixture.stopVm(0);
    fixture.run(4s);
    CHECK(areRegistered(fixture, vmCount - 1));
    fixture.site().writeSettings();
    fixture.run(2s);
    for (std::size_t vm = 1; vm < vmCount; ++vm) {
        CHECK(fixture.vm(vm).settingsRevision() == 3);
        CHECK(fixture.vm(vm).backends() == 13);
        CHECK(fixture.sendAndWait(request("/one/x", vm)).status == 200);
    }
}

TEST_CASE("A restore that VMs learn of while the store is away changes nothing until it answers",
          "[rules]")
{
    TierFixture fixture(relayingSettings());
    REQUIRE(fixture.waitUntilKnown());
    const KeyValueModel saved = fixture.store().model();
    fixture.site().writeSettings();
    fixture.run(1s);
    fixture.store().restore(saved);
    fixture.store().changeMode(KeyValueServer::Mode::Down);
    fixture.run(1s);
    CHECK(allKnow(fixture, 2));
    fixture.store().changeMode(KeyValueServer::Mode::Up);
    fixture.run(1s);
    fixture.site().writeSettings();
    fixture.run(2s);
    CHECK(allKnow(fixture, 3));
}

TEST_CASE("A lower revision without a higher era is refused", "[rules]")
{
    TierFixture fixture(relayingSettings());
    const KeyValueModel saved = fixture.store().model();
    REQUIRE(fixture.waitUntilKnown());
    const std::string added = std::string(platform::wire::domainOutPrefix) + "a";
    fixture.store().put(added, "");
    fixture.run(1s);
    const std::size_t withoutDomain = fixture.vm(0).backends();
    CHECK(withoutDomain < 13);
    fixture.store().model() = saved;
    fixture.run(2s);
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        CHECK(fixture.vm(vm).backends() == withoutDomain);
    }
}
