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

TEST_CASE(
    "A restarted member without the store is ready once a quorum of others echoes its heartbeats",
    "[membership]")
{
    Membership member({}, {"a", "127.0.0.1", "domain"}, ownRun, start);
    member.onMemberList(threeMembers(4), start);
    member.tick(start);
    // Without an echo the heartbeat may have been sent before this run began, so it does not count.
    member.onHeartbeat(readyHeartbeat("b", 4, std::nullopt), start);
    CHECK_FALSE(member.isReady());
    Heartbeat second = readyHeartbeat("b", 4, HeartbeatEcho {ownRun, 1});
    second.sequence = 2;
    member.onHeartbeat(second, start);
    // Only one of three members is counted: this member itself does not count.
    CHECK_FALSE(member.isReady());
    member.onHeartbeat(readyHeartbeat("c", 5, HeartbeatEcho {ownRun, 1}), start);
    // Two members are a quorum, but one of them has a newer list.
    CHECK_FALSE(member.isReady());
    member.onMemberList(threeMembers(5), start);
    second.sequence = 3;
    member.onHeartbeat(second, start);
    CHECK(member.isReady());
}

TEST_CASE("Without waitsForNewestList a restarted member is ready with an old member list",
          "[membership]")
{
    MembershipSettings settings;
    settings.waitsForNewestList = false;
    Membership member(settings, {"a", "127.0.0.1", "domain"}, ownRun, start);
    member.onMemberList(threeMembers(4), start);
    member.onHeartbeat(readyHeartbeat("b", 4, std::nullopt), start);
    CHECK(member.isReady());
}

TEST_CASE("The member list changes by one member, and only once a quorum has the current list",
          "[membership]")
{
    MemberList list {{}};
    list.replaceIfNewer(threeMembers(4));
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

TEST_CASE("A change of the member list waits for the hold time after the previous change",
          "[membership]")
{
    MembershipSettings settings;
    const bool waits = GENERATE(true, false);
    settings.waitsBetweenChanges = waits;
    Membership member(settings, {"a", "127.0.0.1", "domain"}, ownRun, start);
    MemberRecord singleMember;
    singleMember.epoch = 1;
    singleMember.members["a"] = {"a", "127.0.0.1", "domain"};
    member.onStoredList(singleMember, start);
    member.onVmList({{"a", "127.0.0.1", "domain", false}, {"d", "127.0.0.1", "domain", false}});
    Heartbeat joining = readyHeartbeat("d", 0, std::nullopt);
    member.onHeartbeat(joining, start);
    member.tick(start);
    CHECK(member.proposedChange(start).has_value() == !waits);
    const SteadyTime later = start + settings.holdTime();
    joining.sequence = 2;
    member.onHeartbeat(joining, later);
    member.tick(later);
    REQUIRE(member.proposedChange(later));
    CHECK(member.proposedChange(later)->members.count("d") == 1);
}

TEST_CASE(
    "A new group grants at once, but a group whose list the store has lost waits for the hold time",
    "[membership]")
{
    const Epoch epoch = GENERATE(1, 2);
    Membership member({}, {"a", "127.0.0.1", "domain"}, ownRun, start);
    member.updateBackendServers({{"server", "domain"}});
    member.onListAbsent();
    MemberRecord singleMember;
    singleMember.epoch = epoch;
    singleMember.members["a"] = {"a", "127.0.0.1", "domain"};
    member.onStoredList(singleMember, start);
    member.tick(start);
    member.tick(start);
    CHECK(member.ownedUntil(start).size() == (epoch == 1 ? 1 : 0));
    const SteadyTime later = start + MembershipSettings().holdTime();
    member.tick(later);
    CHECK(member.ownedUntil(later).size() == 1);
}
