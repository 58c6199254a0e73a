#include "tests/support/TierRules.h"
#include "platform/WireNames.h"
#include "standins/SiteChecker.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

// What callers and backend servers must see, whatever fails. Each case also runs with the mechanism
// off that keeps the promise, and must then see it broken.

namespace {

using Fault = ShardServer::Fault;

/// How often each request of `service` was run, by request id.
std::map<std::string, int> runsOf(TierWorld &world, const std::string &service)
{
    std::map<std::string, int> runs;
    for (const ShardServer *server : world.site().servers(service)) {
        for (const ShardServer::Run &run : server->runs()) {
            ++runs[run.requestId];
        }
    }
    return runs;
}

/// Successes whose content is not what their request asked for.
std::size_t wrongSuccesses(TierWorld &world, std::size_t requests)
{
    std::vector<TierWorld::Outcome *> outcomes;
    for (std::size_t index = 0; index < requests; ++index) {
        outcomes.push_back(&world.send(request(index % 3 == 0 ? "/one/x" : "/all/x")));
        world.run(3ms);
    }
    world.runUntilEnded();
    const SiteChecker checker(5, 0.6);
    return static_cast<std::size_t>(
        std::count_if(outcomes.begin(), outcomes.end(), [&](const TierWorld::Outcome *outcome) {
            return outcome->status == 200 && !checker.wrongSuccess(*outcome).empty();
        }));
}

} // namespace

TEST_CASE("MIXED: faulty replies never reach a caller as a success", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld world(settingsWith(&ForwarderChecks::replyIdentity, isOn));
    REQUIRE(world.waitUntilKnown());
    addFaults(world,
              {Fault::CutReply, Fault::Garbage, Fault::ExtraReply, Fault::StrayReply,
               Fault::NoLength, Fault::LostReply, Fault::Failure, Fault::Unsigned, Fault::Encoded,
               Fault::Shed},
              0.2);
    const std::size_t wrong = wrongSuccesses(world, 200);
    CHECK((wrong == 0) == isOn);
}

TEST_CASE("MIXED: an answer that covers too little is no success", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld::Settings settings;
    settings.adjust
        = [isOn](ServingTaskSettings &serving) { serving.forwarder.checks.gather.coverage = isOn; };
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    for (std::size_t shard = 0; shard < 3; ++shard) {
        for (ShardServer *server : world.site().servers(Site::shardName(shard))) {
            server->changeFault([](const HttpRequestMessage &) { return Fault::Failure; });
        }
    }
    const TierWorld::Outcome outcome = world.ask(request("/all/x"));
    CHECK((outcome.status != 200) == isOn);
}

TEST_CASE("UNASKED: backend servers get each request as its caller sent it", "[rules]")
{
    TierWorld world({});
    REQUIRE(world.waitUntilKnown());
    TierWorld::Request sent = request("/once/a%20b/c?d=e&f=%2F");
    sent.method = "POST";
    sent.body = std::string(40'000, 'x') + "end";
    const TierWorld::Outcome outcome = world.ask(sent);
    REQUIRE(outcome.status == 200);
    std::size_t runs = 0;
    for (const ShardServer *server : world.site().servers("single")) {
        for (const ShardServer::Run &run : server->runs()) {
            ++runs;
            CHECK(run.requestId == outcome.requestId);
            CHECK(run.method == sent.method);
            CHECK(run.target == sent.path);
            CHECK(run.body == sent.body);
            CHECK(run.timeLeft <= sent.timeLeft);
        }
    }
    CHECK(runs == 1);
}

TEST_CASE("TWICE and REFUSED: what may not be repeated runs once, and \"not run\" is true",
          "[rules]")
{
    const bool isOnce = GENERATE(true, false);
    const bool isTrue = GENERATE(true, false);
    TierWorld::Settings settings;
    settings.adjust = [&](ServingTaskSettings &serving) {
        serving.forwarder.checks.gather.atMostOnce = isOnce;
        serving.forwarder.checks.gather.trueNotRun = isTrue;
    };
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    addFaults(world, {Fault::LostReply, Fault::CutReply, Fault::Shed, Fault::Garbage}, 0.4);
    std::vector<TierWorld::Outcome *> outcomes;
    for (int index = 0; index < 60; ++index) {
        TierWorld::Request sent = request("/once/x");
        sent.method = "POST";
        sent.body = "order";
        outcomes.push_back(&world.send(sent));
        world.run(4ms);
    }
    world.runUntilEnded();
    const auto runs = runsOf(world, "single");
    const auto twice = std::count_if(runs.begin(), runs.end(),
                                     [](const auto &entry) { return entry.second > 1; });
    const auto untrue
        = std::count_if(outcomes.begin(), outcomes.end(), [&](const TierWorld::Outcome *outcome) {
              return outcome->status == 503 && runs.count(outcome->requestId) > 0;
          });
    CHECK((twice == 0) == isOnce);
    CHECK((untrue == 0) == isTrue);
}

TEST_CASE("DRAIN: a backend server that is leaving gets nothing new", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld world(settingsWith(&ForwarderChecks::outOfService, isOn));
    REQUIRE(world.waitUntilKnown());
    ShardServer &leaving = *world.site().servers("single").front();
    world.site().registerServer(leaving, "a", "draining");
    world.run(500ms);
    const std::uint64_t before = leaving.arrivals();
    for (int index = 0; index < 30; ++index) {
        CHECK(world.ask(request("/one/x")).status == 200);
    }
    CHECK((leaving.arrivals() == before) == isOn);
}

TEST_CASE("EVAC: a failure domain out of service gets nothing, until it is taken back", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld world(settingsWith(&ForwarderChecks::outOfService, isOn));
    REQUIRE(world.waitUntilKnown());
    ShardServer &server = *world.site().servers("single").front();
    const std::string key = std::string(platform::wire::domainOutPrefix) + "a";
    world.store().put(key, "{}");
    world.run(500ms);
    const std::uint64_t before = server.arrivals();
    for (int index = 0; index < 20; ++index) {
        CHECK(world.ask(request("/one/x")).status == 200);
    }
    CHECK((server.arrivals() == before) == isOn);
    world.store().remove(key);
    world.run(500ms);
    for (int index = 0; index < 20; ++index) {
        world.ask(request("/one/x"));
    }
    CHECK(server.arrivals() > before);
}

TEST_CASE("ROUTE: an address that another service has taken over runs nothing of the former one",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld::Settings settings = settingsWith(&ForwarderChecks::expectedBackend, isOn);
    settings.site.singles = 1;
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    // The store has not told yet: the record still names the former server.
    ShardServer &server = *world.site().servers("single").front();
    server.changeId("other-1");
    const TierWorld::Outcome outcome = world.ask(request("/once/x"));
    CHECK((server.runs().empty()) == isOn);
    CHECK((outcome.status == 503) == isOn);
}

TEST_CASE("CONFIG: a request that outlasts its route's time is answered then", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld::Settings settings;
    settings.adjust = [isOn](ServingTaskSettings &serving) {
        serving.forwarder.plans.timing.endsAtTimeout = isOn;
    };
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    for (ShardServer *server : world.site().allServers()) {
        server->changeFault([](const HttpRequestMessage &) { return Fault::Mute; });
    }
    TierWorld::Request sent = request("/one/x");
    sent.timeLeft = 3s;
    const TierWorld::Outcome outcome = world.ask(sent);
    CHECK((outcome.took <= 1200ms) == isOn);
    CHECK(outcome.status == 504);
}

TEST_CASE("LOST: a stopping VM answers what it has read and still takes what comes", "[rules]")
{
    TierWorld world({});
    REQUIRE(world.waitUntilKnown());
    for (ShardServer *server : world.site().allServers()) {
        server->changeWorkTime(150ms);
    }
    std::vector<TierWorld::Outcome *> outcomes;
    for (int index = 0; index < 10; ++index) {
        outcomes.push_back(&world.send(request(index % 2 == 0 ? "/one/x" : "/all/x")));
        world.run(10ms);
        if (index == 4) {
            world.vm(0).serving().postNotReady();
        }
    }
    world.vm(0).serving().postStopAccepting([] {});
    world.runUntilEnded();
    for (const TierWorld::Outcome *outcome : outcomes) {
        CHECK(outcome->status == 200);
    }
}
