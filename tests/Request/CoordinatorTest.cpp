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

CallerRequest searchRequest(milliseconds deadline)
{
    CallerRequest request;
    request.service = "service";
    request.field = "badge";
    request.value = "Otter";
    request.deadline = deadline;
    return request;
}

} // namespace

TEST_CASE("Queries without replies end in the order of their deadlines on a real event loop",
          "[request][task]")
{
    event_base *loop = event_base_new();
    {
        const SystemClock clock;
        const auto acceptSend = [](const MemberId &, const auto &) { return true; };
        Coordinator coordinator(loop, clock, "vm-1", "r", {acceptSend, acceptSend});
        coordinator.updateView(makeView(clock.wallNow()));
        std::vector<int> finishOrder;
        const auto startQuery = [&](int name, milliseconds deadline) {
            coordinator.query(searchRequest(deadline), [&, name](const QueryAnswer &answer) {
                CHECK(answer.outcome.code == ResultCode::DeadlineExceeded);
                finishOrder.push_back(name);
                if (finishOrder.size() == 3) {
                    event_base_loopbreak(loop);
                }
            });
        };
        startQuery(1, milliseconds(200));
        startQuery(2, milliseconds(20));
        startQuery(3, milliseconds(90));
        const timeval timeLimit {20, 0};
        event_base_loopexit(loop, &timeLimit);
        event_base_dispatch(loop);
        CHECK(finishOrder == std::vector<int> {2, 3, 1});
        CHECK(coordinator.running() == 0);
        CHECK_FALSE(coordinator.nextTimer());
    }
    event_base_free(loop);
}

TEST_CASE("A time-first query ends early with PeerUnreachable if no batch can be sent", "[request]")
{
    tests::VirtualClock clock;
    const auto refuseSend = [](const MemberId &, const auto &) { return false; };
    Coordinator coordinator(nullptr, clock, "vm-1", "r", {refuseSend, refuseSend});
    coordinator.updateView(makeView(clock.wallNow()));
    std::optional<QueryAnswer> answer;
    const SteadyTime start = clock.now();
    coordinator.query(searchRequest(milliseconds(5000)), [&](const QueryAnswer &a) { answer = a; });
    while (const auto due = coordinator.nextTimer()) {
        clock.advance(*due - clock.now());
        coordinator.onTimer();
    }
    REQUIRE(answer);
    CHECK(answer->coverage == 0);
    CHECK(answer->outcome.code == ResultCode::PeerUnreachable);
    CHECK(clock.now() - start < milliseconds(1000));
}

TEST_CASE("The entry queue refuses less urgent classes first, with NotRunOverloaded", "[request]")
{
    tests::VirtualClock clock;
    const auto acceptSend = [](const MemberId &, const auto &) { return true; };
    Coordinator coordinator(nullptr, clock, "vm-1", "r", {acceptSend, acceptSend});
    const auto view = makeView(clock.wallNow());
    SettingsDocument settings;
    settings.defaults[operator_settings::entryQueueLimit] = "4";
    view->settings = std::make_shared<const SettingsDocument>(settings);
    coordinator.updateView(view);
    const auto isAccepted = [&](RequestClass requestClass) {
        CallerRequest request = searchRequest(milliseconds(1000));
        request.requestClass = requestClass;
        std::optional<ResultCode> refusal;
        coordinator.query(request,
                          [&](const QueryAnswer &answer) { refusal = answer.outcome.code; });
        CHECK((!refusal || *refusal == ResultCode::NotRunOverloaded));
        return !refusal;
    };
    CHECK(isAccepted(RequestClass::Interactive));
    CHECK(isAccepted(RequestClass::Batch));
    CHECK_FALSE(isAccepted(RequestClass::Batch));
    CHECK(isAccepted(RequestClass::Evening));
    CHECK_FALSE(isAccepted(RequestClass::Evening));
    CHECK(isAccepted(RequestClass::Interactive));
    CHECK_FALSE(isAccepted(RequestClass::Interactive));
}
