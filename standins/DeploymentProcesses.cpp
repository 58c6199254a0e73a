#include "standins/DeploymentProcesses.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
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
constexpr std::chrono::seconds startTimeout {30};

/// Returns the prefix of the loopback addresses of this run, such as "127.40.".
std::string runNetwork()
{
    constexpr int firstNetwork = 32;
    constexpr int networkCount = 32;
    return "127." + std::to_string(firstNetwork + getpid() % networkCount) + ".";
}

/// Writes a copy of the deployment file whose hosts are in this run's network, and returns its
/// path.
std::string moveToRunNetwork(const std::string &file, const std::string &folder)
{
    const std::string fileNetwork = "127.31.";
    std::ifstream input(file);
    if (!input) {
        throw std::runtime_error("cannot read the deployment file '" + file + "'");
    }
    std::ostringstream stream;
    stream << input.rdbuf();
    std::string text = stream.str();
    const std::string network = runNetwork();
    for (std::size_t at = text.find(fileNetwork); at != std::string::npos;
         at = text.find(fileNetwork, at + network.size())) {
        text.replace(at, fileNetwork.size(), network);
    }
    std::filesystem::create_directories(folder);
    std::string moved = folder + "/deployment.json";
    std::ofstream(moved) << text;
    return moved;
}

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

} // namespace

DeploymentProcesses::DeploymentProcesses(const Settings &settings)
    : m_settings(settings)
    , m_platform {runNetwork() + "0.1", 7000}
    , m_processes(settings.logFolder)
{
    m_settings.file = moveToRunNetwork(settings.file, settings.logFolder);
    m_deployment = loadOrThrow(m_settings.file);
}

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
    const std::string platformFile = m_settings.relayFlags.empty() ? m_settings.file : startRelay();
    m_processes.start("platform",
                      {m_settings.programs + "/standin-platform", "--deployment", platformFile,
                       "--listen", m_platform.toString()});
    for (const FailureDomainSpec &domain : m_deployment.failureDomains) {
        std::vector<std::string> command {m_settings.programs + "/standin-backend", "--deployment",
                                          m_settings.file, "--failure-domain", domain.name};
        append(command, m_settings.backendFlags);
        if (const auto found = m_settings.domainFlags.find(domain.name);
            found != m_settings.domainFlags.end()) {
            append(command, found->second);
        }
        m_processes.start("backend-" + domain.name, command);
    }
    waitForOk(loop, m_platform, "/vms");
    for (const ServiceCatalog &service : catalogs()) {
        for (const auto &[id, server] : service.backendServers) {
            waitForOk(loop, server.address, "/health");
        }
    }
}

std::string DeploymentProcesses::startRelay()
{
    // The relay listens for VM 127.x.y.z at 127.x.(y+100).z.
    constexpr int relayOffset = 100;
    std::ifstream input(m_settings.file);
    nlohmann::json json = nlohmann::json::parse(input);
    nlohmann::json pairs = nlohmann::json::array();
    for (nlohmann::json &vm : json.at("vms")) {
        const auto host = vm.at("host").get<std::string>();
        const auto octetStart = host.find('.', host.find('.') + 1) + 1;
        const auto octetEnd = host.find('.', octetStart);
        const int relayOctet
            = std::stoi(host.substr(octetStart, octetEnd - octetStart)) + relayOffset;
        const std::string relayHost
            = host.substr(0, octetStart) + std::to_string(relayOctet) + host.substr(octetEnd);
        const auto id = vm.at("id").get<std::string>();
        for (const auto &[name, port] :
             {std::pair("-data", dataPort), std::pair("-control", controlPort)}) {
            pairs.push_back({{"name", id + name},
                             {"listen", Address {relayHost, port}.toString()},
                             {"target", Address {host, port}.toString()}});
        }
        vm["host"] = relayHost;
    }
    const std::string pairsFile = m_settings.logFolder + "/relay.json";
    std::ofstream(pairsFile) << pairs.dump(2) << '\n';
    std::string platformFile = m_settings.logFolder + "/platform.json";
    std::ofstream(platformFile) << json.dump(2) << '\n';
    std::vector<std::string> command {m_settings.programs + "/standin-relay", "--pairs", pairsFile,
                                      "--control-listen", relayControlAddress().toString()};
    append(command, m_settings.relayFlags);
    m_processes.start("relay", command);
    return platformFile;
}

void DeploymentProcesses::startVm(const VmRecord &vm)
{
    std::vector<std::string> command {m_settings.programs + "/pimentod"};
    append(command, {"--vm", vm.id, "--failure-domain", vm.failureDomain});
    append(command, {"--platform", m_platform.toString()});
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

void DeploymentProcesses::requireAllRunning() const
{
    if (const auto ended = m_processes.findEndedProcess()) {
        throw std::runtime_error("process '" + *ended + "' ended during startup; see its log in "
                                 + m_settings.logFolder);
    }
}

void DeploymentProcesses::waitForOk(event_base *loop, const Address &address,
                                    const std::string &path) const
{
    const auto deadline = std::chrono::steady_clock::now() + startTimeout;
    while (call(loop, address, {"GET", path, {}, {}, std::chrono::seconds(1)}).status != statusOk) {
        requireAllRunning();
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("no answer with status 200 from " + address.toString() + path);
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    requireAllRunning();
}

std::vector<ServiceCatalog> DeploymentProcesses::catalogs() const
{
    constexpr IndexVersion firstVersion = 1;
    std::vector<ServiceCatalog> result;
    for (const ServiceSpec &serviceSpec : m_deployment.services) {
        result.push_back(m_deployment.catalog(serviceSpec, firstVersion));
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

void DeploymentProcesses::controlPlatform(event_base *loop, const nlohmann::json &command) const
{
    const HttpAnswer answer
        = call(loop, m_platform, {"POST", "/control", {}, command.dump(), std::chrono::seconds(5)});
    if (answer.status != statusOk) {
        throw std::runtime_error("the platform did not accept a control command: " + answer.body);
    }
}

} // namespace pimentoward::standins
