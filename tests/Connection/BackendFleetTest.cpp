#include "Pimentoward/Connection/BackendFleet.h"

#include "tests/support/TestLoop.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace pimentoward;

namespace {

BackendRecord record(const std::string &id, const std::string &domain)
{
    BackendRecord record;
    record.id = id;
    record.service = "shard";
    record.address = {"127.0.0.1", 9};
    record.failureDomain = domain;
    record.slots = 2;
    return record;
}

BackendListPtr listOf(const std::vector<BackendRecord> &records)
{
    auto list = std::make_shared<BackendList>();
    list->byService["shard"] = records;
    list->size = records.size();
    return list;
}

RouteTablePtr routesWith(unsigned connections)
{
    ServiceRules rules;
    rules.maxConnections = connections;
    return std::make_shared<RouteTable>(
        1, std::vector<Route>(), std::unordered_map<ServiceName, ServiceRules> {{"shard", rules}},
        CallerLimits());
}

std::vector<MemberId> vmNames(std::size_t count)
{
    std::vector<MemberId> names;
    for (std::size_t vm = 0; vm < count; ++vm) {
        names.push_back("vm-" + std::to_string(vm));
    }
    return names;
}

/// Counts the VMs that prefer each of the three replicas of a shard, which are in three failure
/// domains.
std::map<BackendServerId, unsigned> preferredBy(std::size_t vms, unsigned connections)
{
    const LoopPtr loop = newLoop();
    const auto list = listOf({record("1", "a"), record("2", "b"), record("3", "c")});
    std::map<BackendServerId, unsigned> count;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        BackendFleet::Settings settings;
        settings.failureDomain = std::string(1, static_cast<char>('a' + vm % 3));
        settings.self = "vm-" + std::to_string(vm);
        BackendFleet fleet(loop.get(), settings, [](BackendLink &) {});
        fleet.update(list, routesWith(connections), vmNames(vms));
        std::size_t preferred = 0;
        for (const BackendLink *link : fleet.linksOf("shard")) {
            if (!link->isPreferred()) {
                continue;
            }
            ++count[link->record().id];
            ++preferred;
        }
        // The first link goes to the replica in the failure domain of the VM.
        CHECK(fleet.linksOf("shard").front()->record().failureDomain == settings.failureDomain);
        CHECK(preferred >= 2);
    }
    return count;
}

} // namespace

TEST_CASE("If there are fewer VMs than accepted connections, each VM prefers all replicas")
{
    for (const auto &[id, vms] : preferredBy(7, 31)) {
        CHECK(vms == 7);
    }
}

TEST_CASE(
    "If there are more VMs than accepted connections, the VMs spread evenly over the replicas")
{
    constexpr unsigned accepted = 66;
    for (const auto &[id, vms] : preferredBy(87, accepted)) {
        CHECK(vms <= accepted);
        CHECK(vms >= 45);
    }
}

TEST_CASE("A restarted backend server gets a new link, and one that is out of service has none")
{
    const LoopPtr loop = newLoop();
    BackendFleet fleet(loop.get(), {}, [](BackendLink &) {});
    BackendRecord first = record("1", "a");
    fleet.update(listOf({first}), routesWith(31), vmNames(1));
    const BackendLink *before = fleet.link("1");
    fleet.update(listOf({first}), routesWith(31), vmNames(2));
    CHECK(fleet.link("1") == before);
    first.incarnation = 7;
    fleet.update(listOf({first}), routesWith(31), vmNames(2));
    CHECK(fleet.link("1") != before);
    fleet.update(listOf({record("2", "a")}), routesWith(31), vmNames(2));
    CHECK(fleet.link("1") == nullptr);
    fleet.removeDrained();
    CHECK(fleet.size() == 1);
}
