#include "Pimentoward/Process/OperatorApi.h"

#include "Pimentoward/Connection/HttpClient.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/HttpStore.h"
#include "Pimentoward/Process/Metrics.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "standins/PlatformServer.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace pimentoward;

namespace {

using Json = nlohmann::json;

std::string ownHost()
{
    constexpr int nets = 60;
    constexpr int subnets = 256;
    const int process = static_cast<int>(getpid());
    return "127." + std::to_string(2 + process % nets) + "."
        + std::to_string(process / nets % subnets) + ".1";
}

SettingsSyncSettings keeperSettings()
{
    SettingsSyncSettings settings;
    settings.self = "vm-1";
    settings.memberListSettleTime = {}; // one VM, and no others before
    settings.changeTimeLimit = std::chrono::milliseconds(500);
    return settings;
}

struct LoopHolder
{
    event_base *loop = event_base_new();
    ~LoopHolder() { event_base_free(loop); }
};

/// One VM's operator port and the platform, all on one loop that runs while a call waits.
struct OperatorBench
{
    OperatorBench()
        : http(holder.loop, {})
        , api(http, driver, clock, metrics,
              {[this](const auto &done) { done(metrics.render()); },
               [this] { return driver.isReady(); },
               [](ExceptionScope scope) {
                   return scope == ExceptionScope::OneService ? std::vector<std::string>()
                                                              : std::vector<std::string> {"a", "b"};
               }})
        , client(holder.loop, {ownHost(), 2})
    {
        Reason reason;
        REQUIRE(platform.listen({ownHost(), 1}, reason));
        REQUIRE(http.listen({ownHost(), 2}, reason));
        driver.updateMembers({"vm-1"});
        ticks.startRepeating(std::chrono::milliseconds(20));
        while (!driver.isReady()) {
            event_base_loop(holder.loop, EVLOOP_ONCE);
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
            event_base_loop(holder.loop, EVLOOP_ONCE);
        }
        REQUIRE(result);
        return *result;
    }

    ResultCode code(const std::string &method, const std::string &target,
                    const std::string &body = {})
    {
        const HttpAnswer answer = call(method, target, body);
        const auto number = Json::parse(answer.body).at("code").get<std::uint64_t>();
        CHECK(answer.status == resultCodeInfo(resultCodeFromNumber(number)).httpStatus);
        return resultCodeFromNumber(number);
    }

    LoopHolder holder;
    SystemClock clock;
    standins::PlatformServer platform {holder.loop};
    HttpStore store {holder.loop, {ownHost(), 1}, std::chrono::milliseconds(100)};
    SettingsSyncDriver driver {
        keeperSettings(),
        store,
        clock,
        {[](const auto &, const auto &) {}, [](const auto &) {}, [](const auto &) {}}};
    Metrics metrics;
    Timer ticks {holder.loop, [this] { driver.tick(); }};
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
    OperatorBench bench;
    CHECK(bench.code("POST", "/settings", changeText(0, "first", "7")) == ResultCode::Ok);
    CHECK(bench.code("POST", "/settings", changeText(0, "second", "8"))
          == ResultCode::RevisionConflict);
    // The same change again is the same change, not a conflict.
    CHECK(bench.code("POST", "/settings", changeText(0, "first", "7")) == ResultCode::Ok);
    CHECK(bench.code("POST", "/settings", changeText(1, "third", "9")) == ResultCode::Ok);
    const Json shown = Json::parse(bench.call("GET", "/settings").body);
    CHECK(shown.at("revision") == 2);
    bool isFound = false;
    for (const Json &row : shown.at("effective")) {
        isFound = isFound
            || (row.at("setting") == operator_settings::hedgeBudget && row.at("value") == "9"
                && row.at("origin") == "operators");
    }
    CHECK(isFound);
    while (bench.driver.waitingRecords() > 0) {
        event_base_loop(bench.holder.loop, EVLOOP_ONCE);
    }
    const Json history = Json::parse(bench.call("GET", "/settings/history").body);
    REQUIRE(history.at("records").size() == 2);
    CHECK(history.at("records")[1].at("changeId") == "third");
    const Json diff = Json::parse(bench.call("GET", "/settings/diff?from=0&to=2").body);
    CHECK(diff.at("differences")[0].at("text") == "default hedge-budget-percent: (not set) -> 9");
}

TEST_CASE("Bad operator input gets a numbered code", "[settings]")
{
    OperatorBench bench;
    CHECK(bench.code("POST", "/settings", "{") == ResultCode::MalformedRequest);
    CHECK(bench.code("POST", "/settings", "{}") == ResultCode::MissingField);
    CHECK(bench.code("POST", "/settings", changeText(0, "a", "101")) == ResultCode::InvalidSetting);
    CHECK(bench.code("DELETE", "/settings") == ResultCode::MethodNotAllowed);
    CHECK(bench.code("GET", "/settings/diff?from=x") == ResultCode::MissingField);
    CHECK(bench.code("GET", "/settings/diff?from=9&to=1") == ResultCode::InvalidSetting);
    CHECK(bench.code("GET", "/settings/history?limit=-1") == ResultCode::MissingField);
    CHECK(bench.code("PUT", "/log-level", "LOUD") == ResultCode::InvalidSetting);
    CHECK(bench.call("GET", "/health/ready").status == 200);
    CHECK(bench.call("GET", "/health/live").status == 200);
    SettingsChange out;
    out.kind = SettingsChangeKind::TakeDomainOut;
    out.changeId = "out";
    out.reason = "trial";
    out.target = "bb";
    CHECK(bench.code("POST", "/settings", out.toJson()) == ResultCode::InvalidSetting);
    out.target = "b";
    CHECK(bench.code("POST", "/settings", out.toJson()) == ResultCode::Ok);
    const std::string metrics = bench.call("GET", "/metrics").body;
    CHECK(metrics.find("pimentoward_settings_revision 1\n") != std::string::npos);
    CHECK(metrics.find("pimentoward_settings_changes_total{result=\"ok\"} 1\n")
          != std::string::npos);
}

TEST_CASE("A change tells the truth while the store fails", "[settings]")
{
    using standins::PlatformMode;
    OperatorBench bench;
    bench.platform.changeMode(PlatformMode::Down, {});
    CHECK(bench.code("POST", "/settings", changeText(0, "a", "7")) == ResultCode::StoreUnavailable);
    bench.platform.changeMode(PlatformMode::Silent, {});
    CHECK(bench.code("POST", "/settings", changeText(0, "b", "7")) == ResultCode::StoreUnavailable);
    bench.platform.changeMode(PlatformMode::Up, {});
    CHECK(bench.code("POST", "/settings", changeText(0, "c", "7")) == ResultCode::Ok);
}

TEST_CASE("A store that lost or garbled the settings never takes them back", "[settings]")
{
    OperatorBench bench;
    CHECK(bench.code("POST", "/settings", changeText(0, "a", "7")) == ResultCode::Ok);
    const std::string older = bench.platform.store().read("settings").value;
    CHECK(bench.code("POST", "/settings", changeText(1, "b", "8")) == ResultCode::Ok);
    bench.platform.store().put("settings", older);
    // The next change builds on what is in force, and so gives it back to the store.
    CHECK(bench.code("POST", "/settings", changeText(1, "c", "9")) == ResultCode::RevisionConflict);
    CHECK(bench.code("POST", "/settings", changeText(2, "d", "10")) == ResultCode::Ok);
    CHECK(Json::parse(bench.platform.store().read("settings").value).at("revision") == 3);
    bench.platform.store().put("settings", "garbage");
    CHECK(bench.code("POST", "/settings", changeText(3, "e", "11")) == ResultCode::InvalidSetting);
    const Json shown = Json::parse(bench.call("GET", "/settings").body);
    CHECK(shown.at("revision") == 3);
    CHECK_FALSE(shown.at("problem").get<std::string>().empty());
}
