#include "standins/DeploymentProcesses.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <stdexcept>
#include <thread>

namespace pimentoward::standins {

namespace {

constexpr int statusOk = 200;
constexpr std::uint16_t callerPort = 8080;
constexpr std::uint16_t operatorPort = 8081;
constexpr std::uint16_t dataPort = 8082;
constexpr std::uint16_t controlPort = 8083;
constexpr std::chrono::milliseconds pollPeriod {20};
constexpr std::chrono::seconds startLimit {30};

Deployment loadOrThrow(const std::string &file)
{
    Reason reason;
    const auto deployment = Deployment::load(file, reason);
    if (!deployment) {
        throw std::runtime_error(reason.text);
    }
    return *deployment;
}

void append(std::vector<std::string> &command, const std::vector<std::string> &flags)
{
    command.insert(command.end(), flags.begin(), flags.end());
}

/// Waits until a GET answers 200; throws after the limit.
void waitForOk(event_base *loop, const Address &address, const std::string &path)
{
    const auto limit = std::chrono::steady_clock::now() + startLimit;
    while (DeploymentProcesses::call(loop, address, {"GET", path, {}, {}, std::chrono::seconds(1)})
               .status
           != statusOk) {
        if (std::chrono::steady_clock::now() > limit) {
            throw std::runtime_error("no answer from " + address.toString() + path);
        }
        std::this_thread::sleep_for(pollPeriod);
    }
}

} // namespace

DeploymentProcesses::DeploymentProcesses(const Settings &settings)
    : m_settings(settings)
    , m_deployment(loadOrThrow(settings.file))
    , m_processes(settings.logFolder)
{ }

void DeploymentProcesses::start(event_base *loop)
{
    startStandins(loop);
    for (const VmRecord &vm : m_deployment.vms) {
        startVm(vm);
    }
    waitUntilReady(loop);
}

void DeploymentProcesses::startStandins(event_base *loop)
{
    m_processes.start("platform",
                      {m_settings.programs + "/standin-platform", "--deployment", m_settings.file,
                       "--listen", m_settings.platform.toString()});
    for (const DomainShape &domain : m_deployment.failureDomains) {
        std::vector<std::string> command {m_settings.programs + "/standin-backend", "--deployment",
                                          m_settings.file, "--failure-domain", domain.name};
        append(command, m_settings.backendFlags);
        if (const auto found = m_settings.domainFlags.find(domain.name);
            found != m_settings.domainFlags.end()) {
            append(command, found->second);
        }
        m_processes.start("backend-" + domain.name, command);
    }
    waitForOk(loop, m_settings.platform, "/vms");
    for (const ServiceCatalog &service : catalogs()) {
        for (const auto &[id, server] : service.backendServers) {
            waitForOk(loop, server.address, "/health");
        }
    }
}

void DeploymentProcesses::startVm(const VmRecord &vm)
{
    std::vector<std::string> command {m_settings.programs + "/pimentod"};
    append(command, {"--vm", vm.id, "--failure-domain", vm.failureDomain});
    append(command, {"--platform", m_settings.platform.toString()});
    append(command, {"--caller-listen", callerAddress(vm).toString()});
    append(command, {"--operator-listen", operatorAddress(vm).toString()});
    append(command, {"--data-listen", Address {vm.host, dataPort}.toString()});
    append(command, {"--control-listen", Address {vm.host, controlPort}.toString()});
    append(command, m_settings.vmFlags);
    m_processes.start(vm.id, command);
}

void DeploymentProcesses::waitUntilReady(event_base *loop) const
{
    for (const VmRecord &vm : m_deployment.vms) {
        waitForOk(loop, callerAddress(vm), "/health/ready");
    }
}

std::vector<ServiceCatalog> DeploymentProcesses::catalogs() const
{
    constexpr IndexVersion firstVersion = 1;
    std::vector<ServiceCatalog> result;
    for (const ServiceShape &shape : m_deployment.services) {
        result.push_back(m_deployment.catalog(shape, firstVersion));
    }
    return result;
}

Address DeploymentProcesses::callerAddress(const VmRecord &vm)
{
    return {vm.host, callerPort};
}

Address DeploymentProcesses::operatorAddress(const VmRecord &vm)
{
    return {vm.host, operatorPort};
}

std::vector<Address> DeploymentProcesses::callerAddresses() const
{
    std::vector<Address> result;
    for (const VmRecord &vm : m_deployment.vms) {
        result.push_back(callerAddress(vm));
    }
    return result;
}

Duration DeploymentProcesses::vmCpuTime() const
{
    Duration total {};
    for (const VmRecord &vm : m_deployment.vms) {
        total += m_processes.cpuTime(vm.id);
    }
    return total;
}

HttpAnswer DeploymentProcesses::call(event_base *loop, const Address &address, const HttpCall &call)
{
    HttpAnswer result;
    HttpConnection connection(loop, address);
    connection.send(call, [&](const std::optional<HttpAnswer> &answer, const Reason &reason) {
        result.status = 0;
        result.body = reason.text;
        result = answer.value_or(result);
        event_base_loopbreak(loop);
    });
    event_base_dispatch(loop);
    return result;
}

void DeploymentProcesses::orderPlatform(event_base *loop, const nlohmann::json &order) const
{
    const HttpAnswer answer = call(loop, m_settings.platform,
                                   {"POST", "/control", {}, order.dump(), std::chrono::seconds(5)});
    if (answer.status != statusOk) {
        throw std::runtime_error("the platform refused an order: " + answer.body);
    }
}

} // namespace pimentoward::standins
