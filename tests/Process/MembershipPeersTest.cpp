#include "Pimentoward/Process/MembershipPeers.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using Arrival = MembershipPeers::Arrival;

namespace {

Heartbeat heartbeatOf(Incarnation incarnation, std::uint64_t sequence)
{
    Heartbeat heartbeat;
    heartbeat.from = "vm-2";
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = sequence;
    return heartbeat;
}

} // namespace

TEST_CASE("A delayed message of an earlier run does not replace the state of the current run",
          "[membership]")
{
    const SteadyTime start {std::chrono::hours(1)};
    const auto at = [start](int millis) { return start + std::chrono::milliseconds(millis); };
    MembershipPeers peers({}, "vm-1");
    CHECK(peers.onHeartbeat(heartbeatOf(5, 1), std::nullopt, at(100)) == Arrival::NewRun);
    // No message of run 4 was received before it ended. The heartbeat that it echoes was sent
    // before run 5 was heard.
    CHECK(peers.onHeartbeat(heartbeatOf(4, 90), at(50), at(200)) == Arrival::Stale);
    CHECK(peers.onHeartbeat(heartbeatOf(5, 2), at(150), at(300)) == Arrival::SameRun);
    CHECK(peers.find("vm-2")->incarnation == 5);
    // A new run is accepted once it echoes a heartbeat sent after run 5 was last heard.
    CHECK(peers.onHeartbeat(heartbeatOf(6, 1), std::nullopt, at(400)) == Arrival::Stale);
    CHECK(peers.onHeartbeat(heartbeatOf(6, 2), at(450), at(500)) == Arrival::NewRun);
    CHECK(peers.onHeartbeat(heartbeatOf(6, 2), at(450), at(500)) == Arrival::Stale);
}
