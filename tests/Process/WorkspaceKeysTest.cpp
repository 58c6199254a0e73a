#include "platform/RecordReader.h"
#include "tests/support/TierRules.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

// Who asks: a caller's key names its workspace, and the key stays in the VM.

namespace {

using Json = nlohmann::json;

constexpr int statusUnauthorized = 401;
constexpr int statusTooManyRequests = 429;

/// Adds workspaces `alpha` (keys a-1 and a-2) and `beta` (key b-1), and makes "/one/" public.
void addWorkspaces(Json &document)
{
    document["tenants"] = {{{"name", "alpha"}, {"apiKeys", {"a-1", "a-2"}}, {"ratePerS", 1000}},
                           {{"name", "beta"}, {"apiKeys", {"b-1"}}}};
    document["routes"][1]["public"] = true;
}

TierFixture::Request withHeaders(const std::string &path, std::vector<HttpHeader> headers)
{
    TierFixture::Request sent = request(path);
    sent.headers = std::move(headers);
    return sent;
}

/// The workspaces that the backend servers were told, and whether any was shown a key.
struct Shown
{
    std::vector<std::string> workspaces;
    bool hasKey = false;
};

Shown shownToServers(TierFixture &fixture, const RequestId &id)
{
    Shown shown;
    for (const ShardServer *server : fixture.site().allServers()) {
        for (const ShardServer::Run &run : server->runs()) {
            if (run.requestId != id) {
                continue;
            }
            for (const HttpHeader &field : run.headers.fields()) {
                if (equalIgnoringCase(field.name, "X-Tenant")) {
                    shown.workspaces.push_back(field.value);
                }
                shown.hasKey = shown.hasKey || equalIgnoringCase(field.name, "Authorization");
            }
        }
    }
    return shown;
}

/// Decides as the test says, at once or when the test runs the hook.
class AdmissionFake : public RequestAdmission
{
public:
    void admit(const Workspace &workspace, SteadyTime, SteadyTime, DecisionHook done) override
    {
        asked.push_back(workspace.name);
        pending.push_back(std::move(done));
    }

    std::vector<std::string> asked;
    std::vector<DecisionHook> pending;
};

} // namespace

TEST_CASE("UNASKED: a backend server learns the workspace of the key, and never the key", "[rules]")
{
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    fixture.site().writeSettings(addWorkspaces);
    fixture.run(400ms);
    const auto [path, headers, workspace]
        = GENERATE(table<std::string, std::vector<HttpHeader>, std::string>(
            {{"/all/x", {{"Authorization", "Token a-2"}}, "alpha"},
             {"/once/x", {{"authorization", "token  b-1 "}, {"X-Tenant", "alpha"}}, "beta"},
             {"/all/x",
              {{"x-tenant", "alpha"}, {"X-TENANT", "b"}, {"AUTHORIZATION", "Token b-1"}},
              "beta"},
             {"/one/x", {{"Authorization", "Token a-1"}}, "alpha"},
             {"/one/x", {{"Authorization", "Token wrong"}, {"X-Tenant", "alpha"}}, ""},
             {"/one/x", {{"X-Tenant", "alpha"}}, ""}}));
    CAPTURE(path, workspace);
    const TierFixture::Outcome outcome = fixture.sendAndWait(withHeaders(path, headers));
    REQUIRE(outcome.status == 200);
    const Shown shown = shownToServers(fixture, outcome.requestId);
    CHECK_FALSE(shown.hasKey);
    CHECK(shown.workspaces.size()
          == (workspace.empty()                   ? 0U
                  : path == std::string("/all/x") ? 5U
                                                  : 1U));
    for (const std::string &name : shown.workspaces) {
        CHECK(name == workspace);
    }
}

TEST_CASE("ROUTE: without a valid key nothing runs on a route that is not public", "[rules]")
{
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    fixture.site().writeSettings(addWorkspaces);
    fixture.run(400ms);
    const std::vector<HttpHeader> headers = GENERATE(
        std::vector<HttpHeader> {}, std::vector<HttpHeader> {{"Authorization", "Token a-3"}},
        std::vector<HttpHeader> {{"Authorization", "Token"}},
        std::vector<HttpHeader> {{"Authorization", "Token a-"}},
        std::vector<HttpHeader> {{"Authorization", "Basic a-1"}},
        std::vector<HttpHeader> {{"Authorization", "a-1"}},
        std::vector<HttpHeader> {{"Authorization", "Token a-1"}, {"Authorization", "Token b-1"}},
        std::vector<HttpHeader> {{"X-Tenant", "alpha"}});
    CHECK(fixture.sendAndWait(withHeaders("/all/x", headers)).status == statusUnauthorized);
    for (const ShardServer *server : fixture.site().allServers()) {
        CHECK(server->runs().empty());
    }
}

TEST_CASE("Settings without workspaces forward keys and names as they came", "[rules]")
{
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    const TierFixture::Outcome outcome = fixture.sendAndWait(
        withHeaders("/one/x", {{"Authorization", "Token a-1"}, {"X-Tenant", "other"}}));
    REQUIRE(outcome.status == 200);
    const Shown shown = shownToServers(fixture, outcome.requestId);
    CHECK(shown.hasKey);
    CHECK(shown.workspaces == std::vector<std::string> {"other"});
}

// Load: all slots of a service are taken, so that requests wait in the VM when their key ends.
TEST_CASE("CONFIG: a key that is taken away ends requests that still wait for a slot", "[rules]")
{
    TierFixture::Settings settings;
    // A request of which nothing could be sent waits for a fifth of this time.
    settings.site.adjustRoute = [](Json &route) { route["targetLatencyMs"] = 5000; };
    TierFixture fixture(settings);
    REQUIRE(fixture.waitUntilKnown());
    fixture.site().writeSettings(addWorkspaces);
    fixture.run(400ms);
    for (ShardServer *server : fixture.site().servers(Site::singleService)) {
        server->changeServiceTime(1500ms);
    }
    std::vector<TierFixture::Outcome *> outcomes;
    for (int index = 0; index < 40; ++index) {
        TierFixture::Request sent = withHeaders(
            "/once/x", {{"Authorization", index % 2 == 0 ? "Token a-1" : "Token a-2"}});
        sent.timeLeft = 3000ms;
        outcomes.push_back(&fixture.send(sent));
    }
    fixture.run(100ms);
    fixture.site().writeSettings([](Json &document) {
        addWorkspaces(document);
        document["tenants"][0]["apiKeys"] = {"a-2"};
    });
    fixture.run(500ms);
    CHECK(fixture.sendAndWait(withHeaders("/all/x", {{"Authorization", "Token a-1"}})).status
          == statusUnauthorized);
    fixture.runUntilEnded();
    std::size_t ended = 0;
    for (const TierFixture::Outcome *outcome : outcomes) {
        const bool isUnauthorized = outcome->status == statusUnauthorized;
        const bool hasLostKey = outcome->request.headers.front().value == "Token a-1";
        CHECK((!isUnauthorized || hasLostKey));
        CHECK((!isUnauthorized || shownToServers(fixture, outcome->requestId).workspaces.empty()));
        ended += isUnauthorized ? 1 : 0;
    }
    CHECK(ended > 0);
}

TEST_CASE("A limited workspace's request runs once admitted, and else is refused with Retry-After")
{
    AdmissionFake admission;
    TierFixture fixture({});
    REQUIRE(fixture.waitUntilKnown());
    fixture.vm(0).serving().postAdmission(&admission);
    fixture.site().writeSettings(addWorkspaces);
    fixture.run(400ms);
    const std::vector<HttpHeader> alpha {{"Authorization", "Token a-1"}};
    TierFixture::Outcome &first = fixture.send(withHeaders("/one/x", alpha));
    TierFixture::Outcome &second = fixture.send(withHeaders("/one/x", alpha));
    fixture.run(100ms);
    REQUIRE(admission.pending.size() == 2);
    CHECK_FALSE(first.hasEnded);
    const auto decide = [&](std::size_t index, RequestAdmission::Decision decision) {
        fixture.vm(0).serving().postCall(
            [&admission, index, decision] { admission.pending[index](decision); });
    };
    decide(0, {true, {}});
    decide(1, {false, 700ms});
    fixture.runUntilEnded();
    CHECK(first.status == 200);
    CHECK(second.status == statusTooManyRequests);
    CHECK(second.reply.headers.value("Retry-After") == "0.700");
    CHECK(shownToServers(fixture, second.requestId).workspaces.empty());
    // A workspace without a limit needs no decision.
    CHECK(fixture.sendAndWait(withHeaders("/one/x", {{"Authorization", "Token b-1"}})).status
          == 200);
    CHECK(admission.asked == std::vector<std::string> {"alpha", "alpha"});
}

TEST_CASE("Workspaces are read from the settings, and odd entries open no door")
{
    const auto read = [](const Json &workspaces) {
        Json document {{"version", 1}, {"routes", Json::array()}};
        document["tenants"] = workspaces;
        Reason reason;
        return platform::readRoutes(document.dump(), reason);
    };
    const RouteTablePtr table = read({{{"name", "a"},
                                       {"apiKeys", {"k", 7, ""}},
                                       {"ratePerS", 2.5},
                                       {"burst", 4},
                                       {"priority", 3}},
                                      {{"name", "b"}, {"apiKeys", {"k", "l"}}},
                                      {{"name", "two\r\nlines"}, {"apiKeys", {"m"}}},
                                      5});
    REQUIRE(table != nullptr);
    const WorkspaceTable &workspaces = table->workspaces();
    REQUIRE(workspaces.find("k") != nullptr);
    CHECK(workspaces.find("k")->name == "a");
    CHECK(workspaces.find("k")->limit.requestsPerSecond == 2.5);
    CHECK(workspaces.find("k")->limit.burst == 4);
    CHECK(workspaces.find("k")->priority == 3);
    CHECK_FALSE(workspaces.find("l")->limit.isLimited());
    CHECK_FALSE(workspaces.find("l")->priority.has_value());
    CHECK(workspaces.find("m") == nullptr);
    CHECK(workspaces.find("") == nullptr);
    CHECK(workspaces.named("b") == workspaces.find("l"));
    CHECK(read({5})->workspaces().requiresKeys());
    CHECK_FALSE(read(Json::array())->workspaces().requiresKeys());
    CHECK(read("a") == nullptr);
}
