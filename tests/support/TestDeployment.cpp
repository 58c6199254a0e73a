#include "tests/support/TestDeployment.h"

#include "Pimentoward/Connection/HttpConnection.h"
#include "tests/support/LoopbackHost.h"

#include <future>
#include <stdexcept>

namespace pimentoward::tests {

namespace {

constexpr std::uint16_t platformPort = 7000;
constexpr unsigned platformHost = 100;
constexpr unsigned firstBackendHost = 101;
constexpr unsigned firstVmHost = 1;
constexpr std::size_t failureDomainCount = 3;

void require(bool condition, const Reason &reason)
{
    if (!condition) {
        throw std::runtime_error(reason.text);
    }
}

} // namespace

TestDeployment::TestDeployment(std::size_t vms)
{
    const std::vector<std::string> domainNames {"a", "b", "c"};
    for (std::size_t index = 0; index < failureDomainCount; ++index) {
        m_deployment.failureDomains.push_back(
            {domainNames[index], loopbackHost(firstBackendHost + static_cast<unsigned>(index))});
    }
    for (std::size_t index = 0; index < vms; ++index) {
        m_deployment.vms.push_back({"vm-" + std::to_string(index + 1),
                                    loopbackHost(firstVmHost + static_cast<unsigned>(index)),
                                    domainNames[index % failureDomainCount], false});
    }
    standins::ServiceSpec serviceSpec;
    serviceSpec.name = "coach-app";
    serviceSpec.recordKind = "badges";
    serviceSpec.records = 2000;
    serviceSpec.shards = 20;
    serviceSpec.replicas = 2;
    serviceSpec.slots = 3;
    serviceSpec.connections = 30;
    serviceSpec.firstPort = 21000;
    serviceSpec.serviceTime = std::chrono::microseconds(500);
    serviceSpec.seed = 5;
    m_deployment.services.push_back(serviceSpec);
    startStandins();
    for (const VmRecord &vm : m_deployment.vms) {
        startVm(vm);
    }
    m_callerTask.start();
}

TestDeployment::~TestDeployment()
{
    m_callerTask.stop();
    for (Vm &vm : m_vms) {
        vm.control->stop();
        vm.query->stop();
    }
    m_standinTask.stop();
}

void TestDeployment::startStandins()
{
    constexpr IndexVersion version = 1;
    Reason reason;
    m_platform = std::make_unique<standins::PlatformServer>(m_standinTask.loop());
    require(m_platform->listen({loopbackHost(platformHost), platformPort}, reason), reason);
    for (const VmRecord &vm : m_deployment.vms) {
        m_platform->store().putVm(vm);
    }
    const ServiceCatalog catalog = m_deployment.catalog(serviceSpec(), version);
    m_platform->store().put("service/" + serviceSpec().name, catalog.toJson());
    const auto records = std::make_shared<const standins::RecordSet>(standins::RecordSet::ofKind(
        serviceSpec().recordKind, serviceSpec().seed, serviceSpec().records));
    standins::BackendServerModel::Settings model;
    model.slots = serviceSpec().slots;
    model.serviceTime = serviceSpec().serviceTime;
    for (const auto &[id, description] : catalog.backendServers) {
        ++model.seed;
        m_backends.push_back(std::make_unique<standins::BackendServerProcess>(
            m_standinTask.loop(), description, catalog, records, model));
        require(m_backends.back()->listen(reason), reason);
    }
    m_standinTask.start();
}

void TestDeployment::startVm(const VmRecord &record)
{
    constexpr std::uint16_t callerPort = 8080;
    Vm vm;
    vm.callerAddress = {record.host, callerPort};
    QueryTaskSettings query;
    query.self = record.id;
    query.requestPrefix = record.id;
    query.callerListen = vm.callerAddress;
    query.peerListen = {record.host, callerPort + 2};
    query.platform = {loopbackHost(platformHost), platformPort};
    vm.query = std::make_unique<QueryTask>(query, m_clock);
    ControlTaskSettings control;
    control.self = {record.id, record.host, record.failureDomain};
    control.platform = {loopbackHost(platformHost), platformPort};
    control.operatorListen = {record.host, callerPort + 1};
    control.peerListen = {record.host, callerPort + 3};
    QueryTask *queryTask = vm.query.get();
    vm.control = std::make_unique<ControlTask>(
        control, m_clock,
        ControlTask::Hooks {
            [queryTask](auto view) { queryTask->postView(std::move(view)); },
            [queryTask](ControlTask::DumpHook hook) { queryTask->postDump(std::move(hook)); },
            [queryTask](ControlTask::BusyReportHook hook) {
                queryTask->postBusyReport(std::move(hook));
            }});
    Reason reason;
    require(vm.query->listen(reason) && vm.control->listen(reason), reason);
    vm.query->start();
    vm.control->start();
    m_vms.push_back(std::move(vm));
}

HttpAnswer TestDeployment::call(const Address &address, const HttpCall &call)
{
    std::promise<HttpAnswer> promise;
    std::shared_ptr<HttpConnection> connection;
    m_callerTask.post([&] {
        connection = std::make_shared<HttpConnection>(m_callerTask.loop(), address);
        connection->send(call, [&](const std::optional<HttpAnswer> &answer, const Reason &reason) {
            HttpAnswer failed;
            failed.status = 0;
            failed.body = reason.text;
            promise.set_value(answer.value_or(failed));
        });
    });
    HttpAnswer answer = promise.get_future().get();
    // A connection belongs to its task and must be destroyed there as well.
    std::promise<void> released;
    m_callerTask.post([&] {
        connection.reset();
        released.set_value();
    });
    released.get_future().wait();
    return answer;
}

HttpAnswer TestDeployment::query(std::size_t vm, const std::string &body)
{
    return call(m_vms[vm].callerAddress, {"POST", "/query", {}, body, std::chrono::seconds(30)});
}

HttpAnswer TestDeployment::order(std::size_t vm, const std::string &body)
{
    return call(m_vms[vm].callerAddress, {"POST", "/order", {}, body, std::chrono::seconds(30)});
}

void TestDeployment::stopVm(std::size_t vm)
{
    m_vms[vm].control->stop();
    m_vms[vm].query->stop();
}

std::string TestDeployment::state(std::size_t vm)
{
    Address address = m_vms[vm].callerAddress;
    ++address.port;
    return call(address, {"GET", "/state", {}, {}, std::chrono::seconds(5)}).body;
}

bool TestDeployment::waitUntilReady()
{
    constexpr int statusOk = 200;
    const SteadyTime limit = m_clock.now() + std::chrono::seconds(30);
    for (const Vm &vm : m_vms) {
        while (
            call(vm.callerAddress, {"GET", "/health/ready", {}, {}, std::chrono::seconds(5)}).status
            != statusOk) {
            if (m_clock.now() > limit) {
                return false;
            }
        }
    }
    return true;
}

} // namespace pimentoward::tests
