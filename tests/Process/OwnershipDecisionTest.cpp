#include "Pimentoward/Process/OwnershipDecision.h"

#include <catch2/catch.hpp>

using namespace pimentoward;

TEST_CASE("A permission is published only by a decision, and its release waits for dispatched work",
          "[membership]")
{
    const SteadyTime start {std::chrono::hours(1)};
    OwnershipDecision decision({}, "a");
    decision.updateBackendServers({{"server", "domain"}});
    decision.updateMembers({{"a", "domain"}, {"b", "domain"}, {"c", "domain"}});
    OwnershipDecision::Peers peers;
    peers.isAlive = [](const MemberId &member) { return member == "a"; };
    peers.isStable = peers.isAlive;
    peers.hasRequested = [](const MemberId &, const BackendServerId &) { return false; };
    peers.isIdle = [](const BackendServerId &) { return false; };
    CHECK(decision.decide(peers, 1, start));
    decision.onGrants("a", 1, start, {"server"});
    decision.onGrants("b", 1, start, {"server"});
    // The grants are not published before a decision: if they ended before it, nothing would wait
    // for the work dispatched under them.
    CHECK(decision.owned(start).empty());
    decision.decide(peers, 2, start);
    CHECK(decision.owned(start).size() == 1);
    const SteadyTime end = start + MembershipSettings().contactTime;
    CHECK(decision.owned(end).empty());
    // Another member is now preferred, but the release waits until the last dispatched work has
    // ended.
    peers.isAlive = [](const MemberId &member) { return member != "a"; };
    decision.decide(peers, 3, end);
    CHECK(decision.requested().size() == 1);
}
