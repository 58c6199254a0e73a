#include "Pimentoward/Process/OwnershipDecision.h"

#include <catch2/catch.hpp>

using namespace pimentoward;

TEST_CASE("A permission that comes and goes between two decisions is never published",
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
    // Its last work would not be waited for.
    CHECK(decision.owned(start).empty());
    decision.decide(peers, 2, start);
    CHECK(decision.owned(start).size() == 1);
    const SteadyTime end = start + MembershipSettings().contactTime;
    CHECK(decision.owned(end).empty());
    // Others look better now, yet the release waits for the last work.
    peers.isAlive = [](const MemberId &member) { return member != "a"; };
    decision.decide(peers, 3, end);
    CHECK(decision.requested().size() == 1);
}
