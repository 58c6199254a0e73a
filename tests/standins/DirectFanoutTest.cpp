#include "standins/DirectFanout.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "standins/BackendServerProcess.h"
#include "standins/Deployment.h"
#include "tests/support/LoopbackHost.h"

#include <catch2/catch.hpp>
#include <event2/event.h>

using namespace pimentoward;
using namespace pimentoward::standins;

namespace {

/// A service of four shards with one replica each and one slot per replica.
Deployment smallDeployment()
{
    Deployment deployment;
    deployment.failureDomains.push_back({"a", loopbackHost(1)});
    ServiceSpec serviceSpec;
    serviceSpec.name = "coach-app";
    serviceSpec.recordKind = "badges";
    serviceSpec.records = 100;
    serviceSpec.shards = 4;
    serviceSpec.replicas = 1;
    serviceSpec.slots = 1;
    serviceSpec.connections = 30;
    serviceSpec.firstPort = 21000;
    serviceSpec.serviceTime = std::chrono::microseconds(2000);
    deployment.services.push_back(serviceSpec);
    return deployment;
}

/// Runs eight searches at the same time. Returns the maximum number of requests that any one
/// backend server ran at the same time.
int peakConcurrency(event_base *loop, std::size_t vms)
{
    const Deployment deployment = smallDeployment();
    const ServiceSpec &serviceSpec = deployment.services.front();
    const ServiceCatalog catalog = deployment.catalog(serviceSpec, 1);
    const auto records = std::make_shared<const RecordSet>(
        RecordSet::ofKind(serviceSpec.recordKind, serviceSpec.seed, serviceSpec.records));
    std::vector<std::unique_ptr<BackendServerProcess>> servers;
    for (const auto &[id, description] : catalog.backendServers) {
        BackendServerModel::Settings model;
        model.slots = serviceSpec.slots;
        model.serviceTime = serviceSpec.serviceTime;
        servers.push_back(
            std::make_unique<BackendServerProcess>(loop, description, catalog, records, model));
        Reason reason;
        REQUIRE(servers.back()->listen(reason));
    }
    DirectFanout::Settings settings;
    settings.vms = vms;
    DirectFanout fanout(loop, {catalog}, settings);
    constexpr std::size_t searches = 8;
    PlannedRequest search;
    search.service = serviceSpec.name;
    search.isSearch = true;
    search.backendBody = R"({"field":"pool","value":"pool-000001"})";
    search.deadline = std::chrono::seconds(10);
    const auto samples = LoadRunner::run(
        loop, std::vector<PlannedRequest>(searches, search),
        [&fanout](const auto &request, auto done) { fanout.send(request, std::move(done)); });
    for (const LoadSample &sample : samples) {
        CHECK(sample.outcome.isComplete());
    }
    CHECK(fanout.subrequests() == searches * serviceSpec.shards);
    int peak = 0;
    for (const auto &server : servers) {
        peak = std::max(peak, server->model().peakConcurrency());
    }
    return peak;
}

} // namespace

TEST_CASE("Each VM of a direct fan-out keeps its own limit, but several together exceed the slots",
          "[bench]")
{
    event_base *loop = newPreciseLoop();
    CHECK(peakConcurrency(loop, 1) == 1);
    CHECK(peakConcurrency(loop, 4) == 4);
    event_base_free(loop);
}
