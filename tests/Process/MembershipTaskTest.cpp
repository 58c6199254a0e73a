#include "tests/support/TestDeployment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <future>

using namespace pimentoward;

namespace {

using Json = nlohmann::json;

constexpr std::size_t vms = 3;
constexpr std::size_t stopped = 2;

/// Asks the VMs for their state until `condition` holds for each; false after too long.
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

/// Repeats a search over all shards until its answer is whole; false after too long. On a busy
/// machine a VM may lose contact for a moment and rightly refuse.
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

TEST_CASE("The others take over from a VM that stops in silence", "[task]")
{
    tests::TestDeployment deployment(vms);
    REQUIRE(deployment.waitUntilReady());
    deployment.stopVm(stopped);
    REQUIRE(waitUntil(deployment, {0, 1}, [](const Json &state) {
        return !seesMemberAlive(state, "vm-3") && state.at("unowned") == 0;
    }));
    CHECK(reachesFullCoverage(deployment, 0));
    CHECK(reachesFullCoverage(deployment, 1));
}

TEST_CASE("A VM that leaves hands over all that it owns", "[task]")
{
    tests::TestDeployment deployment(vms);
    REQUIRE(deployment.waitUntilReady());
    std::promise<void> left;
    deployment.control(stopped).postLeave([&left] { left.set_value(); });
    left.get_future().wait();
    const Json state = Json::parse(deployment.state(stopped));
    CHECK(state.at("owned") == 0);
    CHECK(state.at("leaving") == true);
    deployment.stopVm(stopped);
    REQUIRE(
        waitUntil(deployment, {0, 1}, [](const Json &other) { return other.at("unowned") == 0; }));
    CHECK(reachesFullCoverage(deployment, 0));
    // The list follows: the leave message is what removes a member.
    CHECK(waitUntil(deployment, {0, 1},
                    [](const Json &other) { return other.at("members").size() == 2; }));
}
