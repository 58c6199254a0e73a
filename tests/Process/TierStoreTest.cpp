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
    TierFixture::Settings settings;
    settings.vms = 2;
    settings.adjustDiscovery = [isOn](Discovery::Settings &discovery) {
        discovery.records.requiresNewerSettings = isOn;
    };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    CHECK(fixture.sendAndWait(request("/added/x")).status == 404);
    const auto addRoute = [](nlohmann::json &document) {
        nlohmann::json route = document["routes"][1];
        route["pathPrefix"] = "/added/";
        route["name"] = "added";
        document["routes"].push_back(route);
    };
    fixture.site().writeSettings(addRoute);
    fixture.run(400ms);
    for (std::size_t vm = 0; vm < 2; ++vm) {
        CHECK(fixture.sendAndWait(request("/added/x", vm)).status == 200);
    }
    // Neither an older settings document nor one that cannot be parsed changes anything.
    fixture.site().writeSettings([](nlohmann::json &document) { document["version"] = 1; });
    fixture.run(400ms);
    fixture.store().put(platform::wire::settingsKey, "{\"version\":");
    fixture.run(400ms);
    for (std::size_t vm = 0; vm < 2; ++vm) {
        CHECK((fixture.vm(vm).settingsRevision() == 2) == isOn);
        CHECK((fixture.sendAndWait(request("/added/x", vm)).status == 200) == isOn);
    }
}

TEST_CASE("DENIED: a request that all settings allow is never denied during restarts and changes",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture::Settings settings;
    settings.vms = 2;
    settings.adjust
        = [isOn](ServingTaskSettings &serving) { serving.forwarder.checks.settingsFirst = isOn; };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    // One VM restarts while the store is down. Once the store is up again, a new settings version
    // is written every 20 ms.
    fixture.stopVm(1);
    fixture.store().changeMode(KeyValueServer::Mode::Down);
    fixture.startVm(1);
    for (int index = 0; index < 60; ++index) {
        if (index == 20) {
            fixture.store().changeMode(KeyValueServer::Mode::Up);
        }
        if (index >= 20) {
            fixture.site().writeSettings([index](nlohmann::json &document) {
                nlohmann::json longerRoute = document["routes"][1];
                longerRoute["pathPrefix"] = "/one/" + std::to_string(index) + "/";
                longerRoute["name"] = "longer";
                document["routes"].push_back(longerRoute);
            });
        }
        const std::string paths[] = {"/one/x", "/one/41/y?a=b", "/all/%2F", "/once/"};
        fixture.send(request(paths[index % 4], static_cast<std::size_t>(index % 2)));
        fixture.run(20ms);
    }
    fixture.runUntilEnded();
    std::size_t denied = 0;
    for (const TierFixture::Outcome &outcome : fixture.outcomes()) {
        const bool isAllowed = outcome.status == 200 || outcome.status == 503;
        denied += isAllowed ? 0 : 1;
    }
    CHECK((denied == 0) == isOn);
}

TEST_CASE("RECOVER: VMs that have all restarted serve as soon as the store answers", "[rules]")
{
    TierFixture::Settings settings;
    settings.vms = 2;
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    fixture.stopVm(0);
    fixture.stopVm(1);
    fixture.store().changeMode(KeyValueServer::Mode::Down);
    fixture.startVm(0);
    fixture.startVm(1);
    fixture.run(300ms);
    // No settings are known yet. The request is answered as not run, and not with 404, because it
    // may have a route.
    CHECK(fixture.sendAndWait(request("/one/x")).status == 503);
    fixture.store().changeMode(KeyValueServer::Mode::Up);
    REQUIRE(fixture.waitUntilKnown());
    CHECK(fixture.sendAndWait(request("/one/x")).status == 200);
    CHECK(fixture.sendAndWait(request("/all/x", 1)).status == 200);
}

TEST_CASE("A VM keeps serving with the records it has during each kind of store failure", "[rules]")
{
    using Mode = KeyValueServer::Mode;
    const Mode mode
        = GENERATE(Mode::Down, Mode::Busy, Mode::Unresponsive, Mode::LoseAnswers, Mode::Malformed);
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    fixture.store().changeMode(mode);
    fixture.run(700ms);
    CHECK(fixture.sendAndWait(request("/all/x")).status == 200);
    fixture.store().changeMode(Mode::Up);
    fixture.site().writeSettings();
    fixture.store().dropHistory();
    fixture.run(2500ms);
    CHECK(fixture.vm(0).settingsRevision() == 2);
}

TEST_CASE("Malformed backend server records in the store are ignored", "[rules]")
{
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    const std::string prefix = platform::wire::backendPrefix;
    for (const char *text :
         {"", "no json", "[]", "{}", "{\"service\":7}", "\xff\xfe",
          "{\"service\":\"single\",\"address\":\"nowhere\",\"zone\":\"a\",\"state\":\"ready\","
          "\"maxConcurrency\":2}",
          "{\"service\":\"single\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"state\":\"lost\","
          "\"maxConcurrency\":2}"}) {
        fixture.store().put(prefix + "broken", text);
        fixture.run(30ms);
    }
    fixture.run(300ms);
    CHECK(fixture.vm(0).backends() == 13);
    CHECK(fixture.sendAndWait(request("/one/x")).status == 200);
}

TEST_CASE("An odd entry among those of the backend servers stops neither the VM nor its feed",
          "[rules]")
{
    const std::string valid = R"("service":"single","zone":"a","state":"ready",)";
    const std::string address = R"("address":"127.0.0.1:9")";
    constexpr std::size_t depth = 500'000;
    const std::string text = GENERATE_COPY(
        std::string(depth, '['), "{" + valid + address + ",\"maxConcurrency\":1e999}",
        "{" + valid + address + ",\"maxConcurrency\":18446744073709551615}",
        "{" + valid + address + ",\"maxConcurrency\":2,\"born\":18446744073709551616}",
        "{" + valid + address + ",\"maxConcurrency\":2,\"coldLeftMs\":-1e300}",
        "{" + valid + "\"address\":\"127.0.0.1:0\",\"maxConcurrency\":2}",
        "{" + valid + "\"address\":\"127.0.0.1:-1\",\"maxConcurrency\":2}",
        "{" + valid + "\"address\":\"127.0.0.1:65536\",\"maxConcurrency\":2}",
        "{" + valid + "\"address\":\"127.0.0.1:1000000000\",\"maxConcurrency\":2}",
        "{" + valid + address + ",\"maxConcurrency\":2,\"x\":" + std::string(depth, '['));
    TierFixture::Settings settings;
    settings.vms = 5;
    settings.adjustDiscovery
        = [](Discovery::Settings &discovery) { discovery.feed.maxDirectVms = 1; };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    fixture.store().put(std::string(platform::wire::backendPrefix) + "odd", text);
    fixture.run(300ms);
    fixture.site().writeSettings();
    // Some VMs list all records again, others only get the changes.
    fixture.store().dropHistory();
    fixture.run(1500ms);
    for (std::size_t vm = 0; vm < settings.vms; ++vm) {
        CHECK(fixture.vm(vm).backends() == 13);
        CHECK(fixture.vm(vm).settingsRevision() == 2);
        CHECK(fixture.sendAndWait(request("/one/x", vm)).status == 200);
    }
}

TEST_CASE("VMs that follow the feed of another VM get changes, even after that VM has stopped",
          "[rules]")
{
    TierFixture::Settings settings;
    settings.vms = 6;
    settings.adjustDiscovery = [](Discovery::Settings &discovery) {
        discovery.feed.maxDirectVms = 2;
        discovery.feed.maxFeedAge = 900ms;
        discovery.feed.failureBackoff = 1s;
        discovery.relayedWatchTime = 400ms;
    };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    fixture.run(1s);
    const std::uint64_t before = fixture.store().calls().at("/-/kv-watch");
    fixture.run(2s);
    const std::uint64_t watches = fixture.store().calls().at("/-/kv-watch") - before;
    // Three VMs watch the store with one call every 400 ms. Six VMs would make twice as many calls.
    CHECK(watches <= 3 * 2000 / 400 + 3);
    CHECK(watches >= 3);
    // Stops all VMs but the last two, one after another. VMs that watch the store are among them.
    for (std::size_t stopped = 0; stopped < 4; ++stopped) {
        fixture.stopVm(stopped);
        fixture.site().writeSettings();
        fixture.run(2s);
        for (std::size_t vm = stopped + 1; vm < settings.vms; ++vm) {
            CHECK(fixture.vm(vm).settingsRevision() == stopped + 2);
        }
    }
}

TEST_CASE("A VM that starts while the store is down gets the records from another VM and serves",
          "[rules]")
{
    std::vector<Address> seeds;
    TierFixture::Settings settings;
    settings.vms = 2;
    settings.adjustDiscovery = [&seeds](Discovery::Settings &discovery) {
        discovery.feed.seeds = seeds;
        seeds.push_back(discovery.feed.address);
    };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    fixture.store().changeMode(KeyValueServer::Mode::Down);
    fixture.stopVm(1);
    fixture.startVm(1);
    fixture.run(1500ms);
    CHECK(fixture.sendAndWait(request("/all/x", 1)).status == 200);
}
