#include "platform/WireNames.h"
#include "tests/support/TierRules.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

// Guarantees that hold while the store changes, fails or returns malformed data, and while VMs
// start and stop.

TEST_CASE("CONFIG: a new settings version reaches all VMs and is not replaced by an older one",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld::Settings settings;
    settings.vms = 2;
    settings.adjustDiscovery = [isOn](Discovery::Settings &discovery) {
        discovery.records.requiresNewerSettings = isOn;
    };
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    CHECK(world.ask(request("/added/x")).status == 404);
    const auto addRoute = [](nlohmann::json &document) {
        nlohmann::json route = document["routes"][1];
        route["pathPrefix"] = "/added/";
        route["name"] = "added";
        document["routes"].push_back(route);
    };
    world.site().writeSettings(addRoute);
    world.run(400ms);
    for (std::size_t vm = 0; vm < 2; ++vm) {
        CHECK(world.ask(request("/added/x", vm)).status == 200);
    }
    // Neither an older settings document nor one that cannot be parsed changes anything.
    world.site().writeSettings([](nlohmann::json &document) { document["version"] = 1; });
    world.run(400ms);
    world.store().put(platform::wire::settingsKey, "{\"version\":");
    world.run(400ms);
    for (std::size_t vm = 0; vm < 2; ++vm) {
        CHECK((world.vm(vm).settingsVersion() == 2) == isOn);
        CHECK((world.ask(request("/added/x", vm)).status == 200) == isOn);
    }
}

TEST_CASE("DENIED: a request that all settings allow is never denied during restarts and changes",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld::Settings settings;
    settings.vms = 2;
    settings.adjust
        = [isOn](ServingTaskSettings &serving) { serving.forwarder.checks.settingsFirst = isOn; };
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    // One VM restarts while the store is down. Once the store is up again, a new settings version
    // is written every 20 ms.
    world.stopVm(1);
    world.store().changeMode(KeyValueServer::Mode::Down);
    world.startVm(1);
    for (int index = 0; index < 60; ++index) {
        if (index == 20) {
            world.store().changeMode(KeyValueServer::Mode::Up);
        }
        if (index >= 20) {
            world.site().writeSettings([index](nlohmann::json &document) {
                nlohmann::json longerRoute = document["routes"][1];
                longerRoute["pathPrefix"] = "/one/" + std::to_string(index) + "/";
                longerRoute["name"] = "longer";
                document["routes"].push_back(longerRoute);
            });
        }
        const std::string paths[] = {"/one/x", "/one/41/y?a=b", "/all/%2F", "/once/"};
        world.send(request(paths[index % 4], static_cast<std::size_t>(index % 2)));
        world.run(20ms);
    }
    world.runUntilEnded();
    std::size_t denied = 0;
    for (const TierWorld::Outcome &outcome : world.outcomes()) {
        const bool isAllowed = outcome.status == 200 || outcome.status == 503;
        denied += isAllowed ? 0 : 1;
    }
    CHECK((denied == 0) == isOn);
}

TEST_CASE("RECOVER: VMs that have all restarted serve as soon as the store answers", "[rules]")
{
    TierWorld::Settings settings;
    settings.vms = 2;
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    world.stopVm(0);
    world.stopVm(1);
    world.store().changeMode(KeyValueServer::Mode::Down);
    world.startVm(0);
    world.startVm(1);
    world.run(300ms);
    // No settings are known yet. The request is answered as not run, and not with 404, because it
    // may have a route.
    CHECK(world.ask(request("/one/x")).status == 503);
    world.store().changeMode(KeyValueServer::Mode::Up);
    REQUIRE(world.waitUntilKnown());
    CHECK(world.ask(request("/one/x")).status == 200);
    CHECK(world.ask(request("/all/x", 1)).status == 200);
}

TEST_CASE("A VM keeps serving with the records it has during each kind of store failure", "[rules]")
{
    using Mode = KeyValueServer::Mode;
    const Mode mode
        = GENERATE(Mode::Down, Mode::Busy, Mode::Silent, Mode::LoseAnswers, Mode::Malformed);
    TierWorld world({});
    REQUIRE(world.waitUntilKnown());
    world.store().changeMode(mode);
    world.run(700ms);
    CHECK(world.ask(request("/all/x")).status == 200);
    world.store().changeMode(Mode::Up);
    world.site().writeSettings();
    world.store().dropHistory();
    world.run(2500ms);
    CHECK(world.vm(0).settingsVersion() == 2);
}

TEST_CASE("Malformed backend server records in the store are ignored", "[rules]")
{
    TierWorld world({});
    REQUIRE(world.waitUntilKnown());
    const std::string prefix = platform::wire::backendPrefix;
    for (const char *text :
         {"", "no json", "[]", "{}", "{\"service\":7}", "\xff\xfe",
          "{\"service\":\"single\",\"address\":\"nowhere\",\"zone\":\"a\",\"state\":\"ready\","
          "\"maxConcurrency\":2}",
          "{\"service\":\"single\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"state\":\"lost\","
          "\"maxConcurrency\":2}"}) {
        world.store().put(prefix + "broken", text);
        world.run(30ms);
    }
    world.run(300ms);
    CHECK(world.vm(0).backends() == 13);
    CHECK(world.ask(request("/one/x")).status == 200);
}

TEST_CASE("VMs that follow the feed of another VM get changes, even after that VM has stopped",
          "[rules]")
{
    TierWorld::Settings settings;
    settings.vms = 6;
    settings.adjustDiscovery = [](Discovery::Settings &discovery) {
        discovery.feed.maxDirectVms = 2;
        discovery.feed.maxFeedAge = 900ms;
        discovery.feed.failureBackoff = 1s;
        discovery.relayedWatchTime = 400ms;
    };
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    world.run(1s);
    const std::uint64_t before = world.store().calls().at("/-/kv-watch");
    world.run(2s);
    const std::uint64_t watches = world.store().calls().at("/-/kv-watch") - before;
    // Three VMs watch the store with one call each 400 ms. Six VMs would make twice as many calls.
    CHECK(watches <= 3 * 2000 / 400 + 3);
    CHECK(watches >= 3);
    // Stops all VMs but the last two, one after another. VMs that watch the store are among them.
    for (std::size_t stopped = 0; stopped < 4; ++stopped) {
        world.stopVm(stopped);
        world.site().writeSettings();
        world.run(2s);
        for (std::size_t vm = stopped + 1; vm < settings.vms; ++vm) {
            CHECK(world.vm(vm).settingsVersion() == stopped + 2);
        }
    }
}

TEST_CASE("A VM that starts while the store is down gets the records from another VM and serves",
          "[rules]")
{
    std::vector<Address> seeds;
    TierWorld::Settings settings;
    settings.vms = 2;
    settings.adjustDiscovery = [&seeds](Discovery::Settings &discovery) {
        discovery.feed.seeds = seeds;
        seeds.push_back(discovery.feed.address);
    };
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    world.store().changeMode(KeyValueServer::Mode::Down);
    world.stopVm(1);
    world.startVm(1);
    world.run(1500ms);
    CHECK(world.ask(request("/all/x", 1)).status == 200);
}
