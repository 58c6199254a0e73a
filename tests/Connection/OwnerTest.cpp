#include "Pimentoward/Connection/Owner.h"

#include "Pimentoward/Connection/HttpConnection.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "standins/BackendServerProcess.h"
#include "standins/Deployment.h"
#include "tests/support/LoopbackHost.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

/// An owner and a stand-in for a backend server with three slots, on one event loop.
class OwnerFixture
{
public:
    explicit OwnerFixture(int warmUpRuns, std::chrono::microseconds serviceTime)
        : m_loop(newPreciseLoop())
    {
        standins::Deployment deployment;
        deployment.failureDomains.push_back({"a", loopbackHost(1)});
        standins::ServiceSpec serviceSpec;
        serviceSpec.name = "coach-app";
        serviceSpec.recordKind = "badges";
        serviceSpec.records = 100;
        serviceSpec.shards = 1;
        serviceSpec.replicas = 1;
        serviceSpec.slots = 3;
        serviceSpec.connections = 30;
        serviceSpec.firstPort = 21000;
        const ServiceCatalog catalog = deployment.catalog(serviceSpec, 1);
        m_services["coach-app"] = std::make_shared<const ServiceCatalog>(catalog);
        standins::BackendServerModel::Settings model;
        model.slots = serviceSpec.slots;
        model.serviceTime = serviceTime;
        model.warmUpRuns = warmUpRuns;
        const auto records = std::make_shared<const standins::RecordSet>(
            standins::RecordSet::ofKind("badges", 1, serviceSpec.records));
        const BackendServer &server = catalog.backendServers.begin()->second;
        m_backend = std::make_unique<standins::BackendServerProcess>(m_loop, server, catalog,
                                                                     records, model);
        Reason reason;
        REQUIRE(m_backend->listen(reason));
        m_owner
            = std::make_unique<Owner>(m_loop, m_clock, [this](const MemberId &, const Subreply &r) {
                  m_replies.push_back(r);
              });
        updateView({});
    }
    ~OwnerFixture()
    {
        m_owner.reset();
        m_backend.reset();
        event_base_free(m_loop);
    }
    OwnerFixture(const OwnerFixture &) = delete;
    OwnerFixture &operator=(const OwnerFixture &) = delete;

    /// Passes the owner a view whose operator settings have these defaults. If `owns` is false, its
    /// VM does not own the backend server in that view.
    void updateView(const std::map<std::string, std::string> &defaults, bool owns = true)
    {
        auto document = std::make_shared<SettingsDocument>();
        document->defaults = defaults;
        auto view = std::make_shared<ControlView>();
        view->contactUntil = m_clock.now() + 1h;
        view->services = m_services;
        view->settings = document;
        if (owns) {
            view->ownedUntil[server()] = m_clock.now() + 1h;
        }
        m_owner->updateView(view);
    }
    void acceptBatch(std::uint32_t first, std::uint32_t count, std::chrono::milliseconds timeLeft)
    {
        SubrequestBatch batch;
        batch.requestId = "request";
        batch.coordinator = "vm";
        batch.service = "coach-app";
        batch.version = 1;
        batch.timeLeft = timeLeft;
        batch.body = "{}";
        const Shard &shard = m_services["coach-app"]->versions.front().shards->shards().front();
        for (std::uint32_t number = first; number < first + count; ++number) {
            batch.items.push_back({number, shard.name, server()});
        }
        m_owner->accept(batch);
    }
    template <typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            event_base_loop(m_loop, EVLOOP_ONCE);
        }
    }
    void control(const std::string &body)
    {
        HttpConnection connection(m_loop,
                                  m_services["coach-app"]->backendServers.at(server()).address);
        bool isDone = false;
        connection.send({"POST", "/control", {}, body, 5s},
                        [&](const auto &, auto &) { isDone = true; });
        runUntil([&] { return isDone; });
    }
    std::ptrdiff_t replied(ResultCode code) const
    {
        return std::count_if(m_replies.begin(), m_replies.end(),
                             [code](const Subreply &reply) { return reply.code == code; });
    }
    BackendServerId server() const
    {
        return m_services.at("coach-app")->backendServers.begin()->first;
    }
    std::vector<Subreply> &replies() { return m_replies; }
    Owner &owner() { return *m_owner; }
    standins::BackendServerModel &model() { return m_backend->model(); }
    nlohmann::json dump() const { return m_owner->dump().at(server()); }

private:
    SystemClock m_clock;
    event_base *m_loop;
    std::map<ServiceName, std::shared_ptr<const ServiceCatalog>> m_services;
    std::unique_ptr<standins::BackendServerProcess> m_backend;
    std::vector<Subreply> m_replies;
    std::unique_ptr<Owner> m_owner;
};

} // namespace

TEST_CASE(
    "Waiting work is refused at once if its failure domain is out of service or ownership is lost",
    "[connection][task]")
{
    const bool isOutOfService = GENERATE(true, false);
    OwnerFixture fixture(0, 20ms);
    fixture.acceptBatch(0, 10, 30s);
    fixture.runUntil([&] { return fixture.model().running() > 0; });
    if (isOutOfService) {
        fixture.updateView({{operator_settings::outOfService, "true"}});
    } else {
        fixture.updateView({}, false);
    }
    // This is checked before the event loop has run.
    CHECK(fixture.replied(isOutOfService ? ResultCode::NotRunLeaving : ResultCode::NotRunNotOwner)
          == 9);
    fixture.runUntil([&] { return fixture.replies().size() == 10; });
    CHECK(fixture.model().records().size() == 1);
}

TEST_CASE("A backend server that reports it is leaving gets no further work", "[connection][task]")
{
    OwnerFixture fixture(0, 1ms);
    fixture.control(R"({"leaving": true})");
    fixture.acceptBatch(0, 10, 30s);
    fixture.runUntil([&] { return fixture.replies().size() == 10; });
    CHECK(fixture.replied(ResultCode::Ok) == 1);
    CHECK(fixture.replied(ResultCode::NotRunLeaving) == 9);
    CHECK(fixture.model().records().size() == 1);
}

TEST_CASE("The owner never exceeds the capacity of a new backend server", "[connection][task]")
{
    OwnerFixture fixture(30, 500us);
    std::mt19937 random(7);
    constexpr std::size_t rounds = 40;
    constexpr std::uint32_t batch = 10;
    constexpr std::size_t subrequestCount = rounds * batch;
    for (std::uint32_t first = 0; first < subrequestCount; first += batch) {
        fixture.acceptBatch(first, batch, 30s);
        const auto cancelled = static_cast<std::uint32_t>(random() % batch);
        fixture.owner().cancel({"request", "vm", {first + cancelled}});
        fixture.runUntil([&] { return fixture.replies().size() + batch >= first; });
    }
    fixture.runUntil([&] { return fixture.replies().size() == subrequestCount; });
    const auto &counts = fixture.model().statistics();
    CHECK(counts.overloaded == 0);
    CHECK(counts.coldOverloaded == 0);

    // Restart at full load: the connection resets alone make the server count as cold, before any
    // reply arrives.
    fixture.acceptBatch(subrequestCount, 30, 200ms);
    fixture.runUntil([&] { return fixture.model().running() > 0; });
    fixture.control(R"({"restart": true})");
    fixture.runUntil([&] { return fixture.dump().at("cold").get<bool>(); });
    CHECK(fixture.dump().at("limit") == 1);
    CHECK(fixture.dump().at("inFlight") >= 1);
    fixture.runUntil([&] { return fixture.replies().size() == subrequestCount + 30; });
    CHECK(counts.overloaded == 0);
}

TEST_CASE("Replies contain the current load according to the settings of the newest view",
          "[connection][task]")
{
    OwnerFixture fixture(0, 20ms);
    fixture.acceptBatch(0, 4, 30s);
    fixture.runUntil([&] { return fixture.replies().size() == 1; });
    const LoadReport load = fixture.replies().front().load;
    CHECK(load.limit == 1);
    CHECK(load.cold);
    CHECK(load.queueLength == 2);
    CHECK(load.serviceTime > 5ms);
    fixture.updateView(
        {{operator_settings::coldLimit, "2"}, {operator_settings::ownerQueueLimit, "1"}});
    CHECK(fixture.dump().at("limit") == 2);
    fixture.acceptBatch(4, 4, 30s);
    CHECK(fixture.replied(ResultCode::NotRunOverloaded) >= 3);
}
