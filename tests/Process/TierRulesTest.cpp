#include "tests/support/TierRules.h"
#include "platform/WireNames.h"
#include "standins/SiteChecker.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

// Guarantees to callers and backend servers that hold under all failures. A test whose switch comes
// from GENERATE also runs with the mechanism behind the guarantee turned off, and then expects the
// guarantee to be broken.

namespace {

using Fault = ShardServer::Fault;

constexpr int statusBadGateway = 502;

/// Returns how often backend servers of `service` ran each request, by request ID.
std::map<std::string, int> runsOf(TierFixture &fixture, const std::string &service)
{
    std::map<std::string, int> runs;
    for (const ShardServer *server : fixture.site().servers(service)) {
        for (const ShardServer::Run &run : server->runs()) {
            ++runs[run.requestId];
        }
    }
    return runs;
}

/// Sends `requests` requests. Returns the number of successful answers whose content does not match
/// their request.
std::size_t wrongSuccesses(TierFixture &fixture, std::size_t requests)
{
    std::vector<TierFixture::Outcome *> outcomes;
    for (std::size_t index = 0; index < requests; ++index) {
        outcomes.push_back(&fixture.send(request(index % 3 == 0 ? "/one/x" : "/all/x")));
        fixture.run(3ms);
    }
    fixture.runUntilEnded();
    const SiteChecker checker(5, 0.6);
    return static_cast<std::size_t>(
        std::count_if(outcomes.begin(), outcomes.end(), [&](const TierFixture::Outcome *outcome) {
            return outcome->status == 200 && !checker.validateSuccess(*outcome).empty();
        }));
}

} // namespace

TEST_CASE("MIXED: faulty replies never reach a caller as a success", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture fixture(settingsWith(&ForwarderChecks::replyIdentity, isOn));
    REQUIRE(fixture.waitUntilKnown());
    addFaults(fixture,
              {Fault::TruncatedReply, Fault::MalformedReply, Fault::ExtraReply,
               Fault::MismatchedReply, Fault::NoLength, Fault::ConnectionReset, Fault::Failure,
               Fault::Unsigned, Fault::Encoded, Fault::Shed},
              0.2);
    const std::size_t wrong = wrongSuccesses(fixture, 200);
    CHECK((wrong == 0) == isOn);
}

TEST_CASE("MIXED: a reply without a status reaches no caller and starts no other answer", "[rules]")
{
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    addFaults(fixture, {Fault::NoStatus}, 1);
    for (const char *path : {"/one/x", "/all/x"}) {
        CHECK(fixture.sendAndWait(request(path)).status == statusBadGateway);
    }
    addFaults(fixture, {Fault::NoStatus}, 0.5);
    CHECK(wrongSuccesses(fixture, 200) == 0);
    const auto hasStatus
        = [](const TierFixture::Outcome &outcome) { return outcome.status >= 200; };
    CHECK(std::all_of(fixture.outcomes().begin(), fixture.outcomes().end(), hasStatus));
}

TEST_CASE("MIXED: an answer below the minimum coverage is not a success", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture::Settings settings;
    settings.adjust
        = [isOn](ServingTaskSettings &serving) { serving.forwarder.checks.gather.coverage = isOn; };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    for (std::size_t shard = 0; shard < 3; ++shard) {
        for (ShardServer *server : fixture.site().servers(Site::shardName(shard))) {
            server->changeFault([](const HttpRequestMessage &) { return Fault::Failure; });
        }
    }
    const TierFixture::Outcome outcome = fixture.sendAndWait(request("/all/x"));
    CHECK((outcome.status != 200) == isOn);
}

TEST_CASE("UNASKED: backend servers receive each request as its caller sent it", "[rules]")
{
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    TierFixture::Request sent = request("/once/a%20b/c?d=e&f=%2F");
    sent.method = "POST";
    sent.body = std::string(40'000, 'x') + "end";
    const TierFixture::Outcome outcome = fixture.sendAndWait(sent);
    REQUIRE(outcome.status == 200);
    std::size_t runs = 0;
    for (const ShardServer *server : fixture.site().servers("single")) {
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

TEST_CASE("TWICE and REFUSED: a non-repeatable request runs at most once, and \"not run\" is true",
          "[rules]")
{
    const bool isAtMostOnceOn = GENERATE(true, false);
    const bool isTrueNotRunOn = GENERATE(true, false);
    TierFixture::Settings settings;
    settings.adjust = [&](ServingTaskSettings &serving) {
        serving.forwarder.checks.gather.atMostOnce = isAtMostOnceOn;
        serving.forwarder.checks.gather.trueNotRun = isTrueNotRunOn;
    };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    addFaults(fixture,
              {Fault::ConnectionReset, Fault::TruncatedReply, Fault::Shed, Fault::MalformedReply},
              0.4);
    std::vector<TierFixture::Outcome *> outcomes;
    for (int index = 0; index < 60; ++index) {
        TierFixture::Request sent = request("/once/x");
        sent.method = "POST";
        sent.body = "order";
        outcomes.push_back(&fixture.send(sent));
        fixture.run(4ms);
    }
    fixture.runUntilEnded();
    const auto runs = runsOf(fixture, "single");
    const auto repeatedRuns = std::count_if(runs.begin(), runs.end(),
                                            [](const auto &entry) { return entry.second > 1; });
    const auto falseNotRuns
        = std::count_if(outcomes.begin(), outcomes.end(), [&](const TierFixture::Outcome *outcome) {
              return outcome->status == 503 && runs.count(outcome->requestId) > 0;
          });
    CHECK((repeatedRuns == 0) == isAtMostOnceOn);
    CHECK((falseNotRuns == 0) == isTrueNotRunOn);
}

TEST_CASE("DRAIN: a draining backend server gets no new requests", "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture fixture(settingsWith(&ForwarderChecks::outOfService, isOn));
    REQUIRE(fixture.waitUntilKnown());
    ShardServer &leaving = *fixture.site().servers("single").front();
    fixture.site().registerServer(leaving, "a", "draining");
    fixture.run(500ms);
    const std::uint64_t before = leaving.arrivals();
    for (int index = 0; index < 30; ++index) {
        CHECK(fixture.sendAndWait(request("/one/x")).status == 200);
    }
    CHECK((leaving.arrivals() == before) == isOn);
}

TEST_CASE("EVAC: a failure domain out of service gets no requests until it is back in service",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture fixture(settingsWith(&ForwarderChecks::outOfService, isOn));
    REQUIRE(fixture.waitUntilKnown());
    ShardServer &server = *fixture.site().servers("single").front();
    const std::string key = std::string(platform::wire::domainOutPrefix) + "a";
    fixture.store().put(key, "{}");
    fixture.run(500ms);
    const std::uint64_t before = server.arrivals();
    for (int index = 0; index < 20; ++index) {
        CHECK(fixture.sendAndWait(request("/one/x")).status == 200);
    }
    CHECK((server.arrivals() == before) == isOn);
    fixture.store().remove(key);
    fixture.run(500ms);
    for (int index = 0; index < 20; ++index) {
        fixture.sendAndWait(request("/one/x"));
    }
    CHECK(server.arrivals() > before);
}

TEST_CASE("ROUTE: a server that took over an address runs no requests for the former server",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture::Settings settings = settingsWith(&ForwarderChecks::expectedBackend, isOn);
    settings.site.singleReplicas = 1;
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    // The record in the store still names the former server.
    ShardServer &server = *fixture.site().servers("single").front();
    server.changeId("other-1");
    const TierFixture::Outcome outcome = fixture.sendAndWait(request("/once/x"));
    CHECK((server.runs().empty()) == isOn);
    CHECK((outcome.status == 503) == isOn);
}

TEST_CASE("CONFIG: a request that exceeds its route's timeout is answered at the timeout",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture::Settings settings;
    settings.adjust = [isOn](ServingTaskSettings &serving) {
        serving.forwarder.plans.timing.endsAtTimeout = isOn;
    };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    for (ShardServer *server : fixture.site().allServers()) {
        server->changeFault([](const HttpRequestMessage &) { return Fault::NoReply; });
    }
    TierFixture::Request sent = request("/one/x");
    sent.timeLeft = 3s;
    const TierFixture::Outcome outcome = fixture.sendAndWait(sent);
    CHECK((outcome.elapsed <= 1200ms) == isOn);
    CHECK(outcome.status == 504);
}

TEST_CASE("LOST: a stopping VM answers requests that wait to be accepted or read", "[rules]")
{
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    // The serving task is busy while callers connect and send, and then finds the stop first.
    fixture.vm(0).serving().postRunningCount(
        [](std::size_t) { std::this_thread::sleep_for(200ms); });
    constexpr std::size_t requests = 20;
    std::vector<TierFixture::Outcome *> outcomes;
    outcomes.reserve(requests);
    for (std::size_t index = 0; index < requests; ++index) {
        outcomes.push_back(&fixture.send(request(index % 2 == 0 ? "/one/x" : "/all/x")));
    }
    fixture.run(50ms);
    std::atomic<std::size_t> unanswered = 0;
    fixture.vm(0).serving().postNotReady(std::chrono::steady_clock::now() + 5s);
    fixture.vm(0).serving().postStopAccepting([] {});
    fixture.vm(0).serving().postRunningCount([&](std::size_t count) { unanswered = count; });
    fixture.runUntilEnded();
    CHECK(unanswered == outcomes.size());
    for (const TierFixture::Outcome *outcome : outcomes) {
        CHECK(outcome->status == 200);
    }
}

TEST_CASE("LOST: a stopping VM answers the requests that it has read and still accepts new ones",
          "[rules]")
{
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    for (ShardServer *server : fixture.site().allServers()) {
        server->changeServiceTime(150ms);
    }
    std::vector<TierFixture::Outcome *> outcomes;
    for (int index = 0; index < 10; ++index) {
        outcomes.push_back(&fixture.send(request(index % 2 == 0 ? "/one/x" : "/all/x")));
        fixture.run(10ms);
        if (index == 4) {
            fixture.vm(0).serving().postNotReady(std::chrono::steady_clock::now() + 5s);
        }
    }
    fixture.vm(0).serving().postStopAccepting([] {});
    fixture.runUntilEnded();
    for (const TierFixture::Outcome *outcome : outcomes) {
        CHECK(outcome->status == 200);
    }
}
