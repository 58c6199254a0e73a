#include "tests/support/TestDeployment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <future>

using namespace pimentoward;

namespace {

using Json = nlohmann::json;

constexpr std::size_t vms = 3;
constexpr std::size_t stoppedVm = 2;

/// Polls the state of the VMs until `condition` is true for all of them. Returns false after 60 s.
template <typename Condition>
bool waitUntil(tests::TestDeployment &deployment, const std::vector<std::size_t> &polled,
               Condition condition)
{
    const SystemClock clock;
    const SteadyTime limit = clock.now() + std::chrono::seconds(60);
    std::size_t matching = 0;
    while (matching < polled.size()) {
        matching = 0;
        for (const std::size_t vm : polled) {
            const Json state = Json::parse(deployment.state(vm), nullptr, false);
            matching += !state.is_discarded() && condition(state) ? 1 : 0;
        }
        if (clock.now() > limit) {
            return false;
        }
    }
    return true;
}

bool seesMemberAlive(const Json &state, const std::string &id)
{
    for (const Json &member : state.at("members")) {
        if (member.at("id") == id) {
            return member.at("alive").get<bool>();
        }
    }
    return false;
}

/// Repeats a search over all shards until its answer has full coverage. Returns false after 60 s.
/// On a busy machine a VM may lose quorum contact briefly and refuse the search, which is correct.
bool reachesFullCoverage(tests::TestDeployment &deployment, std::size_t vm)
{
    const SystemClock clock;
    const SteadyTime limit = clock.now() + std::chrono::seconds(60);
    const Json search {
        {"service", "coach-app"}, {"field", "badge"}, {"value", "Otter"}, {"deadlineMs", 20000}};
    while (clock.now() < limit) {
        const Json answer = Json::parse(deployment.query(vm, search.dump()).body);
        if (answer.value("coverage", 0.0) == 1.0) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("The other VMs take over the backend servers of a VM that stops without notice", "[task]")
{
    tests::TestDeployment deployment(vms);
    REQUIRE(deployment.waitUntilReady());
    deployment.stopVm(stoppedVm);
    REQUIRE(waitUntil(deployment, {0, 1}, [](const Json &state) {
        return !seesMemberAlive(state, "vm-3") && state.at("unowned") == 0;
    }));
    CHECK(reachesFullCoverage(deployment, 0));
    CHECK(reachesFullCoverage(deployment, 1));
}

TEST_CASE("A leaving VM hands over all backend servers that it owns", "[task]")
{
    tests::TestDeployment deployment(vms);
    REQUIRE(deployment.waitUntilReady());
    std::promise<void> left;
    deployment.control(stoppedVm).postLeave([&left] { left.set_value(); });
    left.get_future().wait();
    const Json state = Json::parse(deployment.state(stoppedVm));
    CHECK(state.at("owned") == 0);
    CHECK(state.at("leaving") == true);
    deployment.stopVm(stoppedVm);
    REQUIRE(
        waitUntil(deployment, {0, 1}, [](const Json &other) { return other.at("unowned") == 0; }));
    CHECK(reachesFullCoverage(deployment, 0));
    // The member list changes as well: a member is removed because of its leave message.
    CHECK(waitUntil(deployment, {0, 1},
                    [](const Json &other) { return other.at("members").size() == 2; }));
}
