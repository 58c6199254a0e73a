#include "platform/WireNames.h"
#include "standins/SiteChecker.h"
#include "tests/support/TierRules.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

// What backend servers state in their replies about new requests. A test whose switch comes from
// GENERATE also runs with the mechanism turned off, and then expects it to be missed.

namespace {

/// Sends `count` requests to the single service and returns the number of answers with status 200.
int served(TierFixture &fixture, int count)
{
    int answers = 0;
    for (int index = 0; index < count; ++index) {
        answers += fixture.sendAndWait(request("/one/x")).status == 200 ? 1 : 0;
    }
    return answers;
}

/// Sends requests until `server` has got one more.
void sendUntilReached(TierFixture &fixture, const ShardServer &server)
{
    const std::uint64_t before = server.arrivals();
    for (int index = 0; index < 100 && server.arrivals() == before; ++index) {
        fixture.sendAndWait(request("/one/x"));
    }
    REQUIRE(server.arrivals() > before);
}

} // namespace

TEST_CASE("DRAIN: a backend server that states in a reply that it is leaving gets no new requests",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture fixture(settingsWith(&ForwarderChecks::leavingReplies, isOn));
    REQUIRE(fixture.waitUntilKnown());
    ShardServer &leaving = *fixture.site().servers("single").front();
    leaving.announceLeaving();
    sendUntilReached(fixture, leaving);
    const std::uint64_t before = leaving.arrivals();
    CHECK(served(fixture, 30) == 30);
    CHECK((leaving.arrivals() == before) == isOn);
    // Neither new settings nor a record that was removed and written again takes the notice back.
    fixture.site().writeSettings();
    fixture.store().remove(std::string(platform::wire::backendPrefix) + "single-0");
    fixture.run(500ms);
    fixture.store().dropHistory();
    fixture.site().registerServer(leaving, "a", "ready");
    fixture.run(500ms);
    CHECK(served(fixture, 30) == 30);
    CHECK((leaving.arrivals() == before) == isOn);
}

TEST_CASE("A backend server that has started again after leaving gets requests", "[rules]")
{
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    ShardServer &server = *fixture.site().servers("single").front();
    server.announceLeaving();
    sendUntilReached(fixture, server);
    fixture.store().put(std::string(platform::wire::backendPrefix) + "single-0",
                        R"({"service":"single","address":")" + server.address().toString()
                            + R"(","zone":"a","maxConcurrency":3,"state":"ready","born":2})");
    fixture.run(500ms);
    sendUntilReached(fixture, server);
}

TEST_CASE("A request whose only backend server is leaving is refused at once", "[rules]")
{
    TierFixture::Settings settings;
    settings.site.singleReplicas = 1;
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    ShardServer &server = *fixture.site().servers("single").front();
    server.announceLeaving();
    CHECK(fixture.sendAndWait(request("/one/x")).status == 200);
    const TierFixture::Outcome outcome = fixture.sendAndWait(request("/one/x"));
    CHECK(outcome.status == 503);
    CHECK(outcome.elapsed < 100ms);
    CHECK(server.arrivals() == 1);
}

TEST_CASE("BUDGET: a backend server gets no requests during the pause that it has asked for",
          "[rules]")
{
    const bool isOn = GENERATE(true, false);
    TierFixture fixture(settingsWith(&ForwarderChecks::requestedPauses, isOn));
    REQUIRE(fixture.waitUntilKnown());
    ShardServer &paused = *fixture.site().servers("single").front();
    paused.refuseWithRetryAfter("1.5");
    sendUntilReached(fixture, paused);
    const SteadyTime pauseEnd = std::chrono::steady_clock::now() + 1500ms;
    const std::uint64_t before = paused.arrivals();
    for (int index = 0; index < 200 && std::chrono::steady_clock::now() < pauseEnd - 100ms;
         ++index) {
        CHECK(fixture.sendAndWait(request("/one/x")).status == 200);
    }
    CHECK((paused.arrivals() == before) == isOn);
    paused.refuseWithRetryAfter("");
    fixture.run(300ms);
    sendUntilReached(fixture, paused);
}

TEST_CASE("If all backend servers of a service have asked for a pause, callers are told its length",
          "[rules]")
{
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    for (ShardServer *server : fixture.site().servers("single")) {
        server->refuseWithRetryAfter("2");
    }
    std::uint64_t arrivals = 0;
    for (int index = 0; index < 20; ++index) {
        const TierFixture::Outcome outcome = fixture.sendAndWait(request("/one/x"));
        CHECK(outcome.status == 503);
        CHECK(outcome.elapsed < 150ms);
        // By then the VM has asked each of the three servers once, so it knows all pauses.
        if (index == 5) {
            const double seconds
                = std::stod(std::string(outcome.reply.headers.value("Retry-After")));
            CHECK(seconds > 1);
            CHECK(seconds <= 2);
        }
    }
    for (const ShardServer *server : fixture.site().servers("single")) {
        arrivals += server->arrivals();
        CHECK(server->runs().empty());
    }
    CHECK(arrivals <= 3);
}

TEST_CASE("A request that waits for the end of a short pause is served", "[rules]")
{
    TierFixture::Settings settings;
    settings.site.singleReplicas = 1;
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    ShardServer &server = *fixture.site().servers("single").front();
    server.refuseWithRetryAfter("0.02");
    fixture.sendAndWait(request("/one/x"));
    server.refuseWithRetryAfter("");
    CHECK(fixture.sendAndWait(request("/one/x")).status == 200);
}

TEST_CASE("Replies without an end neither reach callers nor take memory beyond the limit",
          "[rules]")
{
    constexpr std::size_t replyBytes = 2'000'000;
    TierFixture::Settings settings;
    settings.adjust
        = [](ServingTaskSettings &serving) { serving.forwarder.fleet.replyBytes = replyBytes; };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    for (std::size_t shard = 0; shard < 5; ++shard) {
        fixture.site()
            .servers(Site::shardName(shard))
            .front()
            ->changeFault(
                [](const HttpRequestMessage &) { return ShardServer::Fault::EndlessBody; });
    }
    std::vector<TierFixture::Outcome *> outcomes;
    for (int index = 0; index < 10; ++index) {
        outcomes.push_back(&fixture.send(request("/all/x")));
        fixture.run(20ms);
    }
    fixture.runUntilEnded();
    const SiteChecker checker(5, 0.6);
    for (const TierFixture::Outcome *outcome : outcomes) {
        CHECK(outcome->status == 200);
        CHECK(checker.validateSuccess(*outcome).empty());
    }
}
