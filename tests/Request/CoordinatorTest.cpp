#include "Pimentoward/Request/Coordinator.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "tests/support/QueryPlans.h"
#include "tests/support/VirtualClock.h"

#include <catch2/catch.hpp>
#include <event2/event.h>

using namespace pimentoward;
using std::chrono::milliseconds;

namespace {

std::shared_ptr<ControlView> makeView(WallTime release)
{
    ServiceCatalog catalog;
    catalog.name = "service";
    tests::addVersion(catalog, 1, 2, release);
    auto view = std::make_shared<ControlView>();
    view->members["vm-1"] = {"vm-1", "127.0.0.1", "a"};
    view->contactUntil = SteadyTime::max();
    for (const auto &[id, server] : catalog.backendServers) {
        view->owners[id] = "vm-1";
    }
    view->services["service"] = std::make_shared<const ServiceCatalog>(catalog);
    view->settings = std::make_shared<const SettingsDocument>();
    return view;
}

CallerRequest search(milliseconds deadline)
{
    CallerRequest request;
    request.service = "service";
    request.field = "badge";
    request.value = "Otter";
    request.deadline = deadline;
    return request;
}

} // namespace

TEST_CASE("On a real loop, queries without replies end in the order of their deadlines",
          "[request][task]")
{
    event_base *loop = event_base_new();
    {
        const SystemClock clock;
        const auto keep = [](const MemberId &, const auto &) { return true; };
        Coordinator coordinator(loop, clock, "vm-1", "r", {keep, keep});
        coordinator.updateView(makeView(clock.wallNow()));
        std::vector<int> order;
        const auto ask = [&](int name, milliseconds deadline) {
            coordinator.query(search(deadline), [&, name](const QueryAnswer &answer) {
                CHECK(answer.outcome.code == ResultCode::DeadlineExceeded);
                order.push_back(name);
                if (order.size() == 3) {
                    event_base_loopbreak(loop);
                }
            });
        };
        ask(1, milliseconds(200));
        ask(2, milliseconds(20));
        ask(3, milliseconds(90));
        const timeval guard {20, 0};
        event_base_loopexit(loop, &guard);
        event_base_dispatch(loop);
        CHECK(order == std::vector<int> {2, 3, 1});
        CHECK(coordinator.running() == 0);
        CHECK_FALSE(coordinator.nextTimer());
    }
    event_base_free(loop);
}

TEST_CASE("Where no batch can leave the VM, a time-first query ends soon and truthfully",
          "[request]")
{
    tests::VirtualClock clock;
    const auto refuse = [](const MemberId &, const auto &) { return false; };
    Coordinator coordinator(nullptr, clock, "vm-1", "r", {refuse, refuse});
    coordinator.updateView(makeView(clock.wallNow()));
    std::optional<QueryAnswer> answer;
    const SteadyTime start = clock.now();
    coordinator.query(search(milliseconds(5000)), [&](const QueryAnswer &a) { answer = a; });
    while (const auto due = coordinator.nextTimer()) {
        clock.advance(*due - clock.now());
        coordinator.onTimer();
    }
    REQUIRE(answer);
    CHECK(answer->coverage == 0);
    CHECK(answer->outcome.code == ResultCode::PeerUnreachable);
    CHECK(clock.now() - start < milliseconds(1000));
}

TEST_CASE("A full entry refuses less urgent classes first, as not run", "[request]")
{
    tests::VirtualClock clock;
    const auto keep = [](const MemberId &, const auto &) { return true; };
    Coordinator coordinator(nullptr, clock, "vm-1", "r", {keep, keep});
    const auto view = makeView(clock.wallNow());
    SettingsDocument settings;
    settings.defaults[operator_settings::entryQueueLimit] = "4";
    view->settings = std::make_shared<const SettingsDocument>(settings);
    coordinator.updateView(view);
    const auto isTaken = [&](RequestClass requestClass) {
        CallerRequest request = search(milliseconds(1000));
        request.requestClass = requestClass;
        std::optional<ResultCode> refusal;
        coordinator.query(request,
                          [&](const QueryAnswer &answer) { refusal = answer.outcome.code; });
        CHECK((!refusal || *refusal == ResultCode::NotRunOverloaded));
        return !refusal;
    };
    CHECK(isTaken(RequestClass::Interactive));
    CHECK(isTaken(RequestClass::Batch));
    CHECK_FALSE(isTaken(RequestClass::Batch));
    CHECK(isTaken(RequestClass::Evening));
    CHECK_FALSE(isTaken(RequestClass::Evening));
    CHECK(isTaken(RequestClass::Interactive));
    CHECK_FALSE(isTaken(RequestClass::Interactive));
}
