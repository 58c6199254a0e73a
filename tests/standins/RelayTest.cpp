#include "standins/Relay.h"
#include "Pimentoward/Connection/HttpConnection.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "tests/support/LoopbackHost.h"

#include <catch2/catch.hpp>
#include <event2/event.h>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

namespace {

const SteadyTime start {};

/// Sends a call, runs the event loop until the call ends, and returns its result.
ResultCode call(event_base *loop, HttpConnection &connection, const HttpCall &call)
{
    ResultCode code = ResultCode::InternalError;
    connection.send(call, [&](const std::optional<HttpAnswer> &answer, const Reason &reason) {
        code = answer ? ResultCode::Ok : reason.code;
        event_base_loopbreak(loop);
    });
    event_base_dispatch(loop);
    return code;
}

} // namespace

TEST_CASE("A relay queue delays bytes and keeps their order despite jitter and loss", "[bench]")
{
    RelayQueue queue({3ms, 2ms, 0.1, 200ms}, 5);
    std::string sent;
    for (int chunk = 0; chunk < 500; ++chunk) {
        const std::string bytes(1, static_cast<char>('a' + chunk % 26));
        sent += bytes;
        queue.push(bytes, start + chunk * 1ms);
    }
    CHECK(queue.takeDue(start + 2ms).empty());
    CHECK(queue.bytes() == sent.size());
    std::string arrived;
    SteadyTime last = start;
    while (const auto due = queue.nextDue()) {
        CHECK(*due >= last);
        last = *due;
        CHECK(last - start >= 3ms + arrived.size() * 1ms);
        arrived += queue.takeDue(last);
    }
    CHECK(arrived == sent);
    CHECK(last - start > 500ms);
}

TEST_CASE("A relay queue that is cut keeps its bytes until it is healed", "[bench]")
{
    RelayQueue queue({3ms, 0ms, 0, 0ms}, 1);
    queue.push("a", start);
    queue.cut();
    CHECK(queue.takeDue(start + 1h).empty());
    CHECK_FALSE(queue.nextDue().has_value());
    queue.heal();
    CHECK(queue.takeDue(start + 1h) == "a");
}

TEST_CASE("A relay passes calls, which time out while a direction is cut or the link is frozen",
          "[bench]")
{
    event_base *loop = newPreciseLoop();
    {
        HttpServer server(loop, {});
        int calls = 0;
        server.route("GET", "/", [&calls](const HttpRequest &, const auto &respond) {
            ++calls;
            respond({200, "ok", "text/plain", {}});
        });
        Reason reason;
        REQUIRE(server.listen({loopbackHost(1), 9000}, reason));
        Relay relay(loop, {1ms, 0ms, 0, 0ms}, 1);
        REQUIRE(relay.listen({"link", {loopbackHost(1), 9001}, {loopbackHost(1), 9000}}, reason));
        REQUIRE_FALSE(
            relay.listen({"again", {loopbackHost(1), 9000}, {loopbackHost(1), 9000}}, reason));
        HttpConnection connection(loop, {loopbackHost(1), 9001});
        const HttpCall get {"GET", "/", {}, {}, 30ms};
        const HttpCall getWithLongTimeout {"GET", "/", {}, {}, 10s};
        CHECK(call(loop, connection, getWithLongTimeout) == ResultCode::Ok);
        for (const auto &[mode, reachesTarget] :
             {std::pair(RelayMode::Cut, false), std::pair(RelayMode::CutToTarget, false),
              std::pair(RelayMode::Frozen, false), std::pair(RelayMode::CutToCaller, true)}) {
            const int before = calls;
            CHECK(relay.changeMode("link", mode));
            CHECK(call(loop, connection, get) == ResultCode::DeadlineExceeded);
            CHECK((calls > before) == reachesTarget);
            CHECK(relay.changeMode("", RelayMode::Up));
            CHECK(call(loop, connection, getWithLongTimeout) == ResultCode::Ok);
        }
        CHECK_FALSE(relay.changeMode("no such pair", RelayMode::Cut));
        CHECK_FALSE(Relay::parsePairs(R"([{"name":"x","listen":"nowhere:1"}])", reason));
        CHECK_FALSE(Relay::parsePairs("[", reason));
    }
    event_base_free(loop);
}
