#include "Pimentoward/Request/ReplicaChooser.h"

#include <catch2/catch.hpp>

#include <map>

using namespace pimentoward;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Purpose = ReplicaChooser::Purpose;
using ServerStatus = ReplicaChooser::ServerStatus;

namespace {

const SteadyTime now {std::chrono::hours(1)};
const Shard shard {"s", {0, KeyRange::keySpaceSize}, {"a", "b", "c"}};

LoadReport report(unsigned queue, Duration serviceTime, bool cold = false)
{
    LoadReport load;
    load.queueLength = queue;
    load.limit = 3;
    load.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(serviceTime);
    load.cold = cold;
    return load;
}

ServerStatus defaultStatus(const BackendServerId &)
{
    return {};
}

/// Returns how often each replica is chosen for a primary subrequest.
std::map<BackendServerId, int> choices(ReplicaChooser &chooser, SteadyTime time,
                                       const ReplicaChooser::StatusHook &statusOf = defaultStatus)
{
    std::map<BackendServerId, int> counts;
    for (int choice = 0; choice < 300; ++choice) {
        ++counts[chooser.choose(shard, {}, Purpose::Primary, time, statusOf).value_or("none")];
    }
    return counts;
}

} // namespace

TEST_CASE("The replica with the longest expected wait is not chosen until its report has aged",
          "[request]")
{
    ReplicaChooser chooser;
    chooser.onReport("a", report(0, milliseconds(2)), now);
    chooser.onReport("b", report(9, milliseconds(40)), now);
    chooser.onReport("c", report(0, milliseconds(2)), now);
    CHECK(choices(chooser, now)["b"] == 0);
    CHECK(choices(chooser, now + seconds(60))["b"] > 50);
}

TEST_CASE("Sent subrequests add to the expected wait until the next report", "[request]")
{
    ReplicaChooser chooser;
    for (const char *id : {"a", "b", "c"}) {
        chooser.onReport(id, report(0, milliseconds(2)), now);
    }
    for (int sent = 0; sent < 10; ++sent) {
        chooser.onSent("a");
    }
    CHECK(choices(chooser, now)["a"] == 0);
}

TEST_CASE(
    "Leaving servers get no work, and cold servers or those without an owner only if there is "
    "no other",
    "[request]")
{
    ReplicaChooser chooser;
    chooser.onReport("a", report(0, milliseconds(1), true), now);
    CHECK(choices(chooser, now)["a"] == 0);
    const auto noOwner = [](const BackendServerId &id) {
        return ServerStatus {true, id == "a", false};
    };
    CHECK(choices(chooser, now, noOwner)["a"] == 300);
    const auto leaving = [](const BackendServerId &id) {
        return ServerStatus {id == "c", false, false};
    };
    CHECK(choices(chooser, now, leaving)["c"] == 300);
    const auto allLeaving = [](const BackendServerId &) {
        return ServerStatus {false, true, false};
    };
    CHECK(choices(chooser, now, allLeaving)["none"] == 300);

    ReplicaChooser::Settings settings;
    settings.avoidsLeaving = false;
    ReplicaChooser unchecked(settings);
    CHECK(choices(unchecked, now, allLeaving)["none"] == 0);
}

TEST_CASE("The local replica is preferred if expected waits are equal", "[request]")
{
    ReplicaChooser chooser;
    const auto status = [](const BackendServerId &id) {
        return ServerStatus {true, true, id == "b"};
    };
    CHECK(choices(chooser, now, status)["b"] > 150);
}

TEST_CASE("Hedges go only to servers known to be warm with an empty queue", "[request]")
{
    const auto hedge = [](ReplicaChooser &chooser, SteadyTime time) {
        return chooser.choose(shard, {"c"}, Purpose::Hedge, time, defaultStatus);
    };
    ReplicaChooser chooser;
    CHECK_FALSE(hedge(chooser, now));
    chooser.onReport("a", report(1, milliseconds(2)), now);
    chooser.onReport("b", report(0, milliseconds(2), true), now);
    CHECK_FALSE(hedge(chooser, now));
    chooser.onReport("a", report(0, milliseconds(2)), now);
    CHECK(hedge(chooser, now) == BackendServerId("a"));
    CHECK_FALSE(hedge(chooser, now + seconds(6)));

    ReplicaChooser::Settings settings;
    settings.hedgesOnlyToIdle = false;
    ReplicaChooser unchecked(settings);
    CHECK(hedge(unchecked, now));
}
