#include "platform/WireNames.h"
#include "tests/support/TierRules.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

// Limits on the load that all VMs together put on backend servers. Each test also runs with the
// mechanism that enforces the limit turned off, and then expects the limit to be exceeded.

namespace {

using Fault = ShardServer::Fault;

} // namespace

TEST_CASE("BUDGET: hedges and retries of all VMs together stay within the retry budget", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    constexpr double ratio = 0.2;
    constexpr double slack = 6;
    TierFixture::Settings settings;
    settings.vms = 2;
    settings.adjust = [&](ServingTaskSettings &serving) {
        serving.forwarder.retryBudget.ratio = ratio;
        serving.forwarder.retryBudget.sharedAllowance = slack;
        serving.forwarder.checks.gather.budget = isOn;
    };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    addFaults(fixture, {Fault::ConnectionReset, Fault::Shed, Fault::Failure}, 0.6);
    constexpr int requests = 100;
    for (int index = 0; index < requests; ++index) {
        fixture.send(request("/all/x", static_cast<std::size_t>(index % 2)));
        fixture.run(5ms);
    }
    fixture.runUntilEnded();
    bool isWithinLimit = true;
    for (std::size_t shard = 0; shard < 5; ++shard) {
        std::uint64_t arrivals = 0;
        for (const ShardServer *server : fixture.site().servers(Site::shardName(shard))) {
            arrivals += server->arrivals();
        }
        isWithinLimit
            = isWithinLimit && static_cast<double>(arrivals) <= requests * (1 + ratio) + slack;
    }
    CHECK(isWithinLimit == isOn);
}

TEST_CASE("BUDGET: backend servers are given no more time than the caller has left", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture::Settings settings = settingsWith(&ForwarderChecks::timeLeft, isOn);
    // There are enough backend servers, and few enough requests, that no request waits in a queue.
    settings.site.singleReplicas = 6;
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    // Replies are lost after the service time of 150 ms, so a retry has that much less time left.
    addFaults(fixture, {Fault::ConnectionReset}, 0.5);
    for (ShardServer *server : fixture.site().allServers()) {
        server->changeServiceTime(150ms);
    }
    constexpr std::chrono::milliseconds callerTime {600};
    std::map<std::string, SteadyTime> sentAt;
    for (int index = 0; index < 12; ++index) {
        TierFixture::Request sent = request("/one/x");
        sent.timeLeft = callerTime;
        const SteadyTime now = std::chrono::steady_clock::now();
        sentAt[fixture.send(sent).requestId] = now;
        fixture.run(80ms);
    }
    fixture.runUntilEnded();
    bool isWithinLimit = true;
    for (const ShardServer *server : fixture.site().allServers()) {
        for (const ShardServer::Run &run : server->runs()) {
            const SteadyTime until = run.started + run.timeLeft;
            isWithinLimit = isWithinLimit && until <= sentAt.at(run.requestId) + callerTime + 50ms;
        }
    }
    CHECK(isWithinLimit == isOn);
}

TEST_CASE("GONE: work for a caller that has disconnected ends within half a second", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture fixture(settingsWith(&ForwarderChecks::callerGone, isOn));
    REQUIRE(fixture.waitUntilKnown());
    for (ShardServer *server : fixture.site().allServers()) {
        server->changeServiceTime(3s);
    }
    TierFixture::Request sent = request("/one/x");
    sent.timeLeft = 4s;
    sent.disconnectAfter = 100ms;
    fixture.send(sent);
    sent.path = "/all/x";
    fixture.send(sent);
    fixture.run(600ms);
    std::size_t busy = 0;
    for (const ShardServer *server : fixture.site().allServers()) {
        busy += server->runningJobs();
    }
    CHECK((busy == 0) == isOn);
}

TEST_CASE("FAILBACK: a cold backend server gets no more requests per second than its limit",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    constexpr double perSecond = 4;
    constexpr double ratio = 1.5;
    constexpr double slack = 2;
    TierFixture::Settings settings;
    settings.vms = 2;
    settings.site.coldRequestsPerSecond = perSecond;
    settings.adjust = [=](ServingTaskSettings &serving) {
        serving.forwarder.fleet.cold.ratio = ratio;
        serving.forwarder.fleet.cold.sharedAllowance = slack;
        serving.forwarder.checks.coldLimit = isOn;
    };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    ShardServer &cold = *fixture.site().servers("single").front();
    fixture.site().registerServer(cold, "a", "ready", 10s);
    fixture.run(500ms);
    const std::size_t before = cold.runs().size();
    for (int index = 0; index < 200; ++index) {
        fixture.send(request("/one/x", static_cast<std::size_t>(index % 2)));
        fixture.run(10ms);
    }
    fixture.runUntilEnded();
    std::size_t maxPerSecond = 0;
    for (std::size_t first = before; first < cold.runs().size(); ++first) {
        std::size_t count = 0;
        while (first + count < cold.runs().size()
               && cold.runs()[first + count].started < cold.runs()[first].started + 1s) {
            ++count;
        }
        maxPerSecond = std::max(maxPerSecond, count);
    }
    CHECK((static_cast<double>(maxPerSecond) <= perSecond * ratio + slack) == isOn);
    // The server gets requests within its limit, and no request is refused because of the limit.
    CHECK(maxPerSecond > 0);
    for (const TierFixture::Outcome &outcome : fixture.outcomes()) {
        CHECK(outcome.status == 200);
    }
}

// Guards against a cold backend server that gets the usual load because the store, which would tell
// that it is cold, is silent.
TEST_CASE("FAILBACK: a backend server that becomes cold while the store is silent is spared",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    constexpr double perSecond = 4;
    TierFixture::Settings settings;
    settings.vms = 2;
    settings.site.coldRequestsPerSecond = perSecond;
    settings.adjust
        = [=](ServingTaskSettings &serving) { serving.forwarder.checks.healthChecks = isOn; };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    ShardServer &cold = *fixture.site().servers("single").front();
    for (int index = 0; index < 50; ++index) {
        fixture.send(request("/one/x", static_cast<std::size_t>(index % 2)));
        fixture.run(10ms);
    }
    // While the store answers, nothing else is asked.
    CHECK(cold.healthChecks() == 0);
    fixture.store().changeMode(KeyValueServer::Mode::Unresponsive);
    fixture.run(1500ms);
    cold.becomeCold(20s);
    std::size_t before = 0;
    for (int index = 0; index < 300; ++index) {
        // The first second is given for the checks that are due.
        before = index == 100 ? cold.runs().size() : before;
        fixture.send(request("/one/x", static_cast<std::size_t>(index % 2)));
        fixture.run(10ms);
    }
    fixture.runUntilEnded();
    constexpr double seconds = 2;
    const ColdLimit::Settings limit;
    const auto runs = static_cast<double>(cold.runs().size() - before);
    CHECK((runs <= seconds * (perSecond * limit.ratio + limit.sharedAllowance)) == isOn);
    for (const TierFixture::Outcome &outcome : fixture.outcomes()) {
        CHECK(outcome.status == 200);
    }
}

TEST_CASE("BUDGET: an address that now belongs to another service gets at most one request",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture fixture(settingsWith(&ForwarderChecks::misdirected, isOn));
    REQUIRE(fixture.waitUntilKnown());
    // The VM does not learn of this, as if it were cut off from the store.
    ShardServer &server = *fixture.site().servers("single").front();
    server.changeId("other-1");
    for (int index = 0; index < 60; ++index) {
        fixture.send(request("/one/x"));
        fixture.run(20ms);
    }
    fixture.runUntilEnded();
    CHECK((server.arrivals() <= 1) == isOn);
    CHECK(server.runs().empty());
    // A new record announces a new run of the server at this address, which gets requests again.
    server.changeId("single-0");
    fixture.store().put(std::string(platform::wire::backendPrefix) + "single-0",
                        R"({"service":"single","address":")" + server.address().toString()
                            + R"(","zone":"a","maxConcurrency":3,"state":"ready","born":2})");
    fixture.run(500ms);
    for (int index = 0; index < 20; ++index) {
        CHECK(fixture.sendAndWait(request("/one/x")).status == 200);
    }
    CHECK_FALSE(server.runs().empty());
}
