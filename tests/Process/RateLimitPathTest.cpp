#include "Pimentoward/Sharing/RateAdmission.h"
#include "tests/support/LoopbackHost.h"
#include "tests/support/ScriptedServer.h"
#include "tests/support/TestLoop.h"
#include "tests/support/TierRules.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

// A rate limit over several VMs, from callers to backend servers.

namespace {

using Json = nlohmann::json;

constexpr int statusTooManyRequests = 429;
constexpr unsigned firstHost = 60;

unsigned numberOf(const std::string &vm)
{
    return static_cast<unsigned>(std::stoul(vm.substr(3)));
}

/// VMs that share on the same port of different hosts, and need not wait before they grant.
TierFixture::Settings sharingSettings(std::uint16_t port)
{
    TierFixture::Settings settings;
    settings.vms = 3;
    settings.adjust = [port](ServingTaskSettings &serving) {
        const std::string host = loopbackHost(firstHost + numberOf(serving.forwarder.fleet.self));
        serving.sharing.listen = Address {host, port};
        serving.sharing.granter.takeoverTime = 0s;
        serving.sharing.granter.fullTime = 0s;
    };
    settings.adjustDiscovery = [](Discovery::Settings &discovery) {
        discovery.feed.address.host = loopbackHost(firstHost + numberOf(discovery.feed.self));
    };
    return settings;
}

bool accepts(const Address &address)
{
    const LoopPtr loop = newLoop();
    HttpClient client(loop.get(), address);
    ResultCode code = ResultCode::Ok;
    bool hasEnded = false;
    client.send({"GET", "/", {}, {}, 500ms},
                [&](const std::optional<HttpAnswer> &answer, const Reason &reason) {
                    code = answer ? ResultCode::Ok : reason.code;
                    hasEnded = true;
                });
    runLoop(loop.get(), 1s, [&] { return hasEnded; });
    return code == ResultCode::Ok;
}

} // namespace

TEST_CASE("QUOTA: VMs keep a workspace's limit together, and returned callers find room", "[rules]")
{
    const std::uint16_t port = unusedAddress().port;
    TierFixture fixture(sharingSettings(port));
    REQUIRE(fixture.waitUntilKnown());
    fixture.site().writeSettings([](Json &document) {
        document["tenants"]
            = {{{"name", "alpha"}, {"apiKeys", {"a-1"}}, {"ratePerS", 6}, {"burst", 12}}};
    });
    fixture.run(3s);
    std::vector<TierFixture::Outcome *> outcomes;
    const auto send = [&](std::size_t vm) {
        TierFixture::Request sent = request("/one/x");
        sent.headers = {{"Authorization", "Token a-1"}};
        sent.vm = vm;
        outcomes.push_back(&fixture.send(sent));
    };
    for (std::size_t index = 0; index < 60; ++index) {
        send(index % 3);
    }
    fixture.runUntilEnded();
    std::size_t admitted = 0;
    double lastReturn = 0;
    for (const TierFixture::Outcome *outcome : outcomes) {
        admitted += outcome->status == 200 ? 1 : 0;
        if (outcome->status != 200) {
            CHECK(outcome->status == statusTooManyRequests);
            const std::string text(outcome->reply.headers.value("Retry-After"));
            CHECK_FALSE(text.empty());
            lastReturn = std::max(lastReturn, std::strtod(text.c_str(), nullptr));
        }
    }
    // The whole burst is let through wherever it arrives, and little more.
    CHECK(admitted >= 12);
    CHECK(admitted <= 15);
    CHECK(lastReturn > 2);
    outcomes.clear();
    fixture.run(1s);
    for (std::size_t index = 0; index < 3; ++index) {
        send(index);
    }
    fixture.runUntilEnded();
    for (const TierFixture::Outcome *outcome : outcomes) {
        CHECK(outcome->status == 200);
    }
}

TEST_CASE("Settings without a limited workspace open no listener for other VMs")
{
    const std::uint16_t port = unusedAddress().port;
    TierFixture fixture(sharingSettings(port));
    REQUIRE(fixture.waitUntilKnown());
    const Address exchange {loopbackHost(firstHost), port};
    const auto write = [&](double rate) {
        fixture.site().writeSettings([rate](Json &document) {
            document["tenants"] = {{{"name", "alpha"}, {"apiKeys", {"a-1"}}, {"ratePerS", rate}}};
        });
        fixture.run(400ms);
    };
    CHECK_FALSE(accepts(exchange));
    write(0);
    CHECK_FALSE(accepts(exchange));
    write(5);
    CHECK(accepts(exchange));
}
