#include "platform/WireNames.h"
#include "standins/SiteChecker.h"
#include "tests/support/TierWorld.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

// What callers and backend servers must see, whatever fails. Each case also runs with the mechanism
// off that keeps the promise, and must then see it broken.

namespace {

using Fault = ShardServer::Fault;

TierWorld::Request request(const std::string &path, std::size_t vm = 0)
{
    TierWorld::Request request;
    request.path = path;
    request.vm = vm;
    return request;
}

/// A world in which all VMs have one check of theirs on or off.
TierWorld::Settings settingsWith(bool ForwarderChecks::*check, bool isOn)
{
    TierWorld::Settings settings;
    settings.adjust = [=](ServingTaskSettings &serving) { serving.forwarder.checks.*check = isOn; };
    return settings;
}

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

/// Meets each share of requests with a fault drawn from `faults`.
void addFaults(TierWorld &world, const std::vector<Fault> &faults, double share)
{
    const auto random = std::make_shared<std::mt19937>(7);
    for (ShardServer *server : world.site().allServers()) {
        server->changeFault([random, faults, share](const HttpRequestMessage &) {
            const bool isMet = std::uniform_real_distribution<double>(0, 1)(*random) < share;
            return isMet ? faults[(*random)() % faults.size()] : Fault::None;
        });
    }
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

TEST_CASE("BUDGET: hedges and retries of all VMs keep their common bound", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    constexpr double ratio = 0.2;
    constexpr double slack = 6;
    TierWorld::Settings settings;
    settings.vms = 2;
    settings.adjust = [&](ServingTaskSettings &serving) {
        serving.forwarder.retryBudget.ratio = ratio;
        serving.forwarder.retryBudget.fixedForAll = slack;
        serving.forwarder.checks.gather.budget = isOn;
    };
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    addFaults(world, {Fault::LostReply, Fault::Shed, Fault::Failure}, 0.6);
    constexpr int requests = 100;
    for (int index = 0; index < requests; ++index) {
        world.send(request("/all/x", static_cast<std::size_t>(index % 2)));
        world.run(5ms);
    }
    world.runUntilEnded();
    bool isKept = true;
    for (std::size_t shard = 0; shard < 5; ++shard) {
        std::uint64_t arrivals = 0;
        for (const ShardServer *server : world.site().servers(Site::shardName(shard))) {
            arrivals += server->arrivals();
        }
        isKept = isKept && static_cast<double>(arrivals) <= requests * (1 + ratio) + slack;
    }
    CHECK(isKept == isOn);
}

TEST_CASE("BUDGET: backend servers are handed no more time than is left", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld::Settings settings = settingsWith(&ForwarderChecks::timeLeft, isOn);
    // Enough of them, and few requests, so that none waits in a queue before it runs.
    settings.site.singles = 6;
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    // Replies are lost after a while; what is sent again has that much less time.
    addFaults(world, {Fault::LostReply}, 0.5);
    for (ShardServer *server : world.site().allServers()) {
        server->changeWorkTime(150ms);
    }
    constexpr std::chrono::milliseconds given {600};
    std::map<std::string, SteadyTime> sentAt;
    for (int index = 0; index < 12; ++index) {
        TierWorld::Request sent = request("/one/x");
        sent.timeLeft = given;
        const SteadyTime now = std::chrono::steady_clock::now();
        sentAt[world.send(sent).requestId] = now;
        world.run(80ms);
    }
    world.runUntilEnded();
    bool isKept = true;
    for (const ShardServer *server : world.site().allServers()) {
        for (const ShardServer::Run &run : server->runs()) {
            const SteadyTime until = run.started + run.timeLeft;
            isKept = isKept && until <= sentAt.at(run.requestId) + given + 50ms;
        }
    }
    CHECK(isKept == isOn);
}

TEST_CASE("GONE: work for a caller that has left ends within half a second", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld world(settingsWith(&ForwarderChecks::callerGone, isOn));
    REQUIRE(world.waitUntilKnown());
    for (ShardServer *server : world.site().allServers()) {
        server->changeWorkTime(3s);
    }
    TierWorld::Request sent = request("/one/x");
    sent.timeLeft = 4s;
    sent.leaveAfter = 100ms;
    world.send(sent);
    sent.path = "/all/x";
    world.send(sent);
    world.run(600ms);
    std::size_t busy = 0;
    for (const ShardServer *server : world.site().allServers()) {
        busy += server->busy();
    }
    CHECK((busy == 0) == isOn);
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

TEST_CASE("FAILBACK: a cold backend server gets no more in a second than it bears", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    constexpr double perSecond = 4;
    constexpr double ratio = 1.5;
    constexpr double slack = 2;
    TierWorld::Settings settings;
    settings.vms = 2;
    settings.site.coldRequestsPerSecond = perSecond;
    settings.adjust = [=](ServingTaskSettings &serving) {
        serving.forwarder.fleet.cold.ratio = ratio;
        serving.forwarder.fleet.cold.fixedForAll = slack;
        serving.forwarder.checks.coldLimit = isOn;
    };
    TierWorld world(settings);
    REQUIRE(world.waitUntilKnown());
    ShardServer &cold = *world.site().servers("single").front();
    world.site().registerServer(cold, "a", "ready", 10s);
    world.run(500ms);
    const std::size_t before = cold.runs().size();
    for (int index = 0; index < 200; ++index) {
        world.send(request("/one/x", static_cast<std::size_t>(index % 2)));
        world.run(10ms);
    }
    world.runUntilEnded();
    std::size_t most = 0;
    for (std::size_t first = before; first < cold.runs().size(); ++first) {
        std::size_t count = 0;
        while (first + count < cold.runs().size()
               && cold.runs()[first + count].started < cold.runs()[first].started + 1s) {
            ++count;
        }
        most = std::max(most, count);
    }
    CHECK((static_cast<double>(most) <= perSecond * ratio + slack) == isOn);
    // It is used within its bound, and nothing is refused for it.
    CHECK(most > 0);
    for (const TierWorld::Outcome &outcome : world.outcomes()) {
        CHECK(outcome.status == 200);
    }
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

TEST_CASE("BUDGET: an address that another service has taken over gets no more than one try",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld world(settingsWith(&ForwarderChecks::misdirected, isOn));
    REQUIRE(world.waitUntilKnown());
    // The VM does not hear of it, as one that is cut off from the store.
    ShardServer &server = *world.site().servers("single").front();
    server.changeId("other-1");
    for (int index = 0; index < 60; ++index) {
        world.send(request("/one/x"));
        world.run(20ms);
    }
    world.runUntilEnded();
    CHECK((server.arrivals() <= 1) == isOn);
    CHECK(server.runs().empty());
    // Its record names a new run there: it is asked again.
    server.changeId("single-0");
    world.store().put(std::string(platform::wire::backendPrefix) + "single-0",
                      R"({"service":"single","address":")" + server.address().toString()
                          + R"(","zone":"a","maxConcurrency":3,"state":"ready","born":2})");
    world.run(500ms);
    for (int index = 0; index < 20; ++index) {
        CHECK(world.ask(request("/one/x")).status == 200);
    }
    CHECK_FALSE(server.runs().empty());
}

TEST_CASE("CONFIG: a request that outlasts its route's time is answered then", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierWorld::Settings settings;
    settings.adjust
        = [isOn](ServingTaskSettings &serving) { serving.forwarder.timing.endsAtTimeout = isOn; };
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
    world.vm(0).serving().postStopTaking([] {});
    world.runUntilEnded();
    for (const TierWorld::Outcome *outcome : outcomes) {
        CHECK(outcome->status == 200);
    }
}
