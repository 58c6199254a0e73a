#include "Pimentoward/Discovery/FeedClient.h"

#include "Pimentoward/Process/PreciseLoop.h"
#include "tests/support/ScriptedServer.h"

#include <catch2/catch.hpp>
#include <event2/event.h>

#include <memory>

using namespace pimentoward;
using namespace std::chrono_literals;

TEST_CASE("Connections to VMs that are no longer asked are closed once there are many")
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> loop(newPreciseLoop(),
                                                                       &event_base_free);
    ScriptedServer server(loop.get(), [](ScriptedServer::Peer &peer) {
        peer.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    });
    FeedClient client(loop.get());
    constexpr int vms = 50;
    for (int vm = 1; vm <= vms; ++vm) {
        bool hasEnded = false;
        const Address address {"127.0.0." + std::to_string(vm), server.address().port};
        client.range(address, "", [&](const std::optional<FeedPage> &, const StoreFailure &) {
            hasEnded = true;
        });
        runLoop(loop.get(), 2s, [&] { return hasEnded; });
        REQUIRE(hasEnded);
    }
    runLoop(loop.get(), 20ms);
    CHECK(client.clients() <= 8);
}
