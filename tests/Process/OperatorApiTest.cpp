#include "Pimentoward/Process/OperatorApi.h"

#include "Pimentoward/Connection/HttpClient.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/HttpStore.h"
#include "Pimentoward/Process/Metrics.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "standins/PlatformServer.h"
#include "tests/support/LoopbackHost.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>

using namespace pimentoward;

namespace {

using Json = nlohmann::json;

SettingsSyncSettings settingsSyncSettings()
{
    SettingsSyncSettings settings;
    settings.self = "vm-1";
    settings.memberListSettleTime = {}; // no wait: there is no other VM
    settings.changeTimeLimit = std::chrono::milliseconds(500);
    return settings;
}

struct LoopHolder
{
    event_base *loop = event_base_new();
    ~LoopHolder() { event_base_free(loop); }
};

/// The operator API of one VM and the stand-in platform on one loop, which runs while call() waits
/// for an answer.
struct OperatorFixture
{
    OperatorFixture()
        : http(loopHolder.loop, {})
        , api(http, driver, clock, metrics,
              {[this](const auto &done) { done(metrics.render()); },
               [this] { return driver.isReady(); },
               [](ExceptionScope scope) {
                   return scope == ExceptionScope::OneService ? std::vector<std::string>()
                                                              : std::vector<std::string> {"a", "b"};
               }})
        , client(loopHolder.loop, {loopbackHost(1), 2})
    {
        Reason reason;
        REQUIRE(platform.listen({loopbackHost(1), 1}, reason));
        REQUIRE(http.listen({loopbackHost(1), 2}, reason));
        driver.updateMembers({"vm-1"});
        tickTimer.startRepeating(std::chrono::milliseconds(20));
        while (!driver.isReady()) {
            event_base_loop(loopHolder.loop, EVLOOP_ONCE);
        }
    }

    HttpAnswer call(const std::string &method, const std::string &target,
                    const std::string &body = {})
    {
        std::optional<HttpAnswer> result;
        bool isDone = false;
        client.send({method, target, {}, body, std::chrono::seconds(20)},
                    [&](auto answer, const Reason &) {
                        result = std::move(answer);
                        isDone = true;
                    });
        while (!isDone) {
            event_base_loop(loopHolder.loop, EVLOOP_ONCE);
        }
        REQUIRE(result);
        return *result;
    }

    /// Returns the result code of the answer and checks that its HTTP status agrees.
    ResultCode code(const std::string &method, const std::string &target,
                    const std::string &body = {})
    {
        const HttpAnswer answer = call(method, target, body);
        const auto number = Json::parse(answer.body).at("code").get<std::uint64_t>();
        CHECK(answer.status == resultCodeInfo(resultCodeFromNumber(number)).httpStatus);
        return resultCodeFromNumber(number);
    }

    LoopHolder loopHolder;
    SystemClock clock;
    standins::PlatformServer platform {loopHolder.loop};
    HttpStore store {loopHolder.loop, {loopbackHost(1), 1}, std::chrono::milliseconds(100)};
    SettingsSyncDriver driver {
        settingsSyncSettings(),
        store,
        clock,
        {[](const auto &, const auto &) {}, [](const auto &) {}, [](const auto &) {}}};
    Metrics metrics;
    Timer tickTimer {loopHolder.loop, [this] { driver.tick(); }};
    HttpServer http;
    OperatorApi api;
    HttpClient client;
};

std::string changeText(Revision expected, const std::string &id, const std::string &value)
{
    SettingsChange change;
    change.expectedRevision = expected;
    change.changeId = id;
    change.author = "operator";
    change.setting = operator_settings::hedgeBudget;
    change.value = value;
    return change.toJson();
}

} // namespace

TEST_CASE("Operators change settings over HTTP", "[settings]")
{
    OperatorFixture fixture;
    CHECK(fixture.code("POST", "/settings", changeText(0, "first", "7")) == ResultCode::Ok);
    CHECK(fixture.code("POST", "/settings", changeText(0, "second", "8"))
          == ResultCode::RevisionConflict);
    // A change that is sent again with the same ID is not a conflict.
    CHECK(fixture.code("POST", "/settings", changeText(0, "first", "7")) == ResultCode::Ok);
    CHECK(fixture.code("POST", "/settings", changeText(1, "third", "9")) == ResultCode::Ok);
    const Json shown = Json::parse(fixture.call("GET", "/settings").body);
    CHECK(shown.at("revision") == 2);
    bool isFound = false;
    for (const Json &row : shown.at("effective")) {
        isFound = isFound
            || (row.at("setting") == operator_settings::hedgeBudget && row.at("value") == "9"
                && row.at("origin") == "operators");
    }
    CHECK(isFound);
    while (fixture.driver.waitingRecords() > 0) {
        event_base_loop(fixture.loopHolder.loop, EVLOOP_ONCE);
    }
    const Json history = Json::parse(fixture.call("GET", "/settings/history").body);
    REQUIRE(history.at("records").size() == 2);
    CHECK(history.at("records")[1].at("changeId") == "third");
    const Json diff = Json::parse(fixture.call("GET", "/settings/diff?from=0&to=2").body);
    CHECK(diff.at("differences")[0].at("text") == "default hedge-budget-percent: (not set) -> 9");
}

TEST_CASE("Invalid operator input is refused with a result code", "[settings]")
{
    OperatorFixture fixture;
    CHECK(fixture.code("POST", "/settings", "{") == ResultCode::MalformedRequest);
    CHECK(fixture.code("POST", "/settings", "{}") == ResultCode::MissingField);
    CHECK(fixture.code("POST", "/settings", changeText(0, "a", "101"))
          == ResultCode::InvalidSetting);
    CHECK(fixture.code("DELETE", "/settings") == ResultCode::MethodNotAllowed);
    CHECK(fixture.code("GET", "/settings/diff?from=x") == ResultCode::MissingField);
    CHECK(fixture.code("GET", "/settings/diff?from=9&to=1") == ResultCode::InvalidSetting);
    CHECK(fixture.code("GET", "/settings/history?limit=-1") == ResultCode::MissingField);
    CHECK(fixture.code("PUT", "/log-level", "LOUD") == ResultCode::InvalidSetting);
    CHECK(fixture.call("GET", "/health/ready").status == 200);
    CHECK(fixture.call("GET", "/health/live").status == 200);
    SettingsChange out;
    out.kind = SettingsChangeKind::TakeDomainOut;
    out.changeId = "out";
    out.reason = "trial";
    out.target = "bb";
    CHECK(fixture.code("POST", "/settings", out.toJson()) == ResultCode::InvalidSetting);
    out.target = "b";
    CHECK(fixture.code("POST", "/settings", out.toJson()) == ResultCode::Ok);
    const std::string metrics = fixture.call("GET", "/metrics").body;
    CHECK(metrics.find("pimentoward_settings_revision 1\n") != std::string::npos);
    CHECK(metrics.find("pimentoward_settings_changes_total{result=\"ok\"} 1\n")
          != std::string::npos);
}

TEST_CASE("A change is answered with StoreUnavailable while the store fails", "[settings]")
{
    using standins::PlatformMode;
    OperatorFixture fixture;
    fixture.platform.changeMode(PlatformMode::Down, {});
    CHECK(fixture.code("POST", "/settings", changeText(0, "a", "7"))
          == ResultCode::StoreUnavailable);
    fixture.platform.changeMode(PlatformMode::Unresponsive, {});
    CHECK(fixture.code("POST", "/settings", changeText(0, "b", "7"))
          == ResultCode::StoreUnavailable);
    fixture.platform.changeMode(PlatformMode::Up, {});
    CHECK(fixture.code("POST", "/settings", changeText(0, "c", "7")) == ResultCode::Ok);
}

TEST_CASE("Settings stay in force if the store's copy becomes older or malformed", "[settings]")
{
    OperatorFixture fixture;
    CHECK(fixture.code("POST", "/settings", changeText(0, "a", "7")) == ResultCode::Ok);
    const std::string older = fixture.platform.store().read("settings").value;
    CHECK(fixture.code("POST", "/settings", changeText(1, "b", "8")) == ResultCode::Ok);
    fixture.platform.store().put("settings", older);
    // The next change is based on the settings in force, so it also restores them in the store.
    CHECK(fixture.code("POST", "/settings", changeText(1, "c", "9"))
          == ResultCode::RevisionConflict);
    CHECK(fixture.code("POST", "/settings", changeText(2, "d", "10")) == ResultCode::Ok);
    CHECK(Json::parse(fixture.platform.store().read("settings").value).at("revision") == 3);
    fixture.platform.store().put("settings", "garbage");
    CHECK(fixture.code("POST", "/settings", changeText(3, "e", "11"))
          == ResultCode::InvalidSetting);
    const Json shown = Json::parse(fixture.call("GET", "/settings").body);
    CHECK(shown.at("revision") == 3);
    CHECK_FALSE(shown.at("problem").get<std::string>().empty());
}
