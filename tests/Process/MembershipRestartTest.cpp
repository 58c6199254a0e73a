#include "Pimentoward/Process/Membership.h"

#include <catch2/catch.hpp>

using namespace pimentoward;

namespace {

constexpr Incarnation ownRun = 7;
const SteadyTime start {std::chrono::hours(1)};

MemberRecord threeMembers(Epoch epoch)
{
    MemberRecord record;
    record.epoch = epoch;
    for (const char *id : {"a", "b", "c"}) {
        record.members[id] = {id, "127.0.0.1", "domain"};
    }
    return record;
}

Heartbeat readyHeartbeat(const MemberId &from, Epoch epoch, std::optional<HeartbeatEcho> echo)
{
    Heartbeat heartbeat;
    heartbeat.from = from;
    heartbeat.incarnation = 1;
    heartbeat.sequence = 1;
    heartbeat.epoch = epoch;
    heartbeat.ready = true;
    heartbeat.echo = echo;
    return heartbeat;
}

} // namespace

TEST_CASE("A restarted member without the store is ready by more than half of the others",
          "[membership]")
{
    Membership member({}, {"a", "127.0.0.1", "domain"}, ownRun, start);
    member.onMemberList(threeMembers(4), start);
    member.tick(start);
    // Sent before this run began, as far as one can tell: it proves nothing.
    member.onHeartbeat(readyHeartbeat("b", 4, std::nullopt), start);
    CHECK_FALSE(member.isReady());
    Heartbeat second = readyHeartbeat("b", 4, HeartbeatEcho {ownRun, 1});
    second.sequence = 2;
    member.onHeartbeat(second, start);
    // One of three; this member itself does not count.
    CHECK_FALSE(member.isReady());
    member.onHeartbeat(readyHeartbeat("c", 5, HeartbeatEcho {ownRun, 1}), start);
    // Now enough, but one of them holds a newer list.
    CHECK_FALSE(member.isReady());
    member.onMemberList(threeMembers(5), start);
    second.sequence = 3;
    member.onHeartbeat(second, start);
    CHECK(member.isReady());
}

TEST_CASE("Without the wait for the newest list a restarted member serves with an old one",
          "[membership]")
{
    MembershipSettings settings;
    settings.waitsForNewestList = false;
    Membership member(settings, {"a", "127.0.0.1", "domain"}, ownRun, start);
    member.onMemberList(threeMembers(4), start);
    member.onHeartbeat(readyHeartbeat("b", 4, std::nullopt), start);
    CHECK(member.isReady());
}

TEST_CASE("The member list changes by one member, and only once more than half hold it",
          "[membership]")
{
    MemberList list {{}};
    list.adopt(threeMembers(4));
    MemberList::PendingChanges pendingChanges;
    pendingChanges.removals = {"b", "c"};
    pendingChanges.additions["d"] = {"d", "127.0.0.1", "domain"};
    CHECK_FALSE(list.nextChange(pendingChanges, 1));
    const auto next = list.nextChange(pendingChanges, 2);
    REQUIRE(next);
    CHECK(next->epoch == 5);
    CHECK(next->members.size() == 2);
    CHECK_FALSE(list.nextChange({}, 3));
}

TEST_CASE("A change of the member list waits until the last one is a hold time old", "[membership]")
{
    MembershipSettings settings;
    const bool spaced = GENERATE(true, false);
    settings.waitsBetweenChanges = spaced;
    Membership member(settings, {"a", "127.0.0.1", "domain"}, ownRun, start);
    MemberRecord alone;
    alone.epoch = 1;
    alone.members["a"] = {"a", "127.0.0.1", "domain"};
    member.onStoredList(alone, start);
    member.onVmList({{"a", "127.0.0.1", "domain", false}, {"d", "127.0.0.1", "domain", false}});
    Heartbeat joining = readyHeartbeat("d", 0, std::nullopt);
    member.onHeartbeat(joining, start);
    member.tick(start);
    CHECK(member.proposedChange(start).has_value() == !spaced);
    const SteadyTime later = start + settings.holdTime();
    joining.sequence = 2;
    member.onHeartbeat(joining, later);
    member.tick(later);
    REQUIRE(member.proposedChange(later));
    CHECK(member.proposedChange(later)->members.count("d") == 1);
}

TEST_CASE("A new group grants at once, one whose list the store has lost does not", "[membership]")
{
    const Epoch epoch = GENERATE(1, 2);
    Membership member({}, {"a", "127.0.0.1", "domain"}, ownRun, start);
    member.updateBackendServers({{"server", "domain"}});
    member.onListAbsent();
    MemberRecord alone;
    alone.epoch = epoch;
    alone.members["a"] = {"a", "127.0.0.1", "domain"};
    member.onStoredList(alone, start);
    member.tick(start);
    member.tick(start);
    CHECK(member.ownedUntil(start).size() == (epoch == 1 ? 1 : 0));
    const SteadyTime later = start + MembershipSettings().holdTime();
    member.tick(later);
    CHECK(member.ownedUntil(later).size() == 1);
}
