#pragma once

#include "Pimentoward/Connection/HttpConnection.h"
#include "standins/Deployment.h"
#include "standins/ProcessGroup.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// Runs a complete deployment as separate processes: one stand-in platform, one stand-in for the
/// backend servers of each failure domain, and one pimentod per VM. Used by the bench programs.
class DeploymentProcesses
{
public:
    struct Settings
    {
        /// Deployment file. Its hosts must be of the form 127.31.x.y. Each run replaces 127.31 with
        /// a loopback network chosen by its process ID, so that concurrent runs seldom use the same
        /// addresses.
        std::string file;
        /// Folder that holds the built programs.
        std::string programs = "build";
        std::string logFolder = "out/bench";
        /// Additional flags for every standin-backend.
        std::vector<std::string> backendFlags;
        /// Additional flags for every pimentod.
        std::vector<std::string> vmFlags;
        /// Additional flags for the standin-backend of one failure domain.
        std::map<FailureDomain, std::vector<std::string>> domainFlags;
        /// Flags of a relay through which all connections between VMs pass, such as
        /// {"--delay-ms", "3"}. Empty: no relay. The relay has two pairs of addresses for each VM,
        /// named "VM-data" and "VM-control" with the VM's ID.
        std::vector<std::string> relayFlags;
    };

    /// Reads the deployment file. Throws std::runtime_error if that fails. Starts no process.
    explicit DeploymentProcesses(const Settings &settings);

    /// Starts all processes and waits until all VMs are ready. Throws std::runtime_error if a
    /// process ends or does not answer within 30 s.
    void start(event_base *loop);
    /// Starts the platform, the backend servers and, if configured, the relay, and waits until the
    /// platform and the backend servers answer. Fails as start() does.
    void startStandins(event_base *loop);
    /// Starts the pimentod of one VM and does not wait for it.
    void startVm(const VmRecord &vm);
    /// Waits until all VMs report that they are ready. Fails as start() does.
    void waitUntilReady(event_base *loop) const;
    void stop() { m_processes.stopAll(); }

    const Deployment &deployment() const { return m_deployment; }
    ProcessGroup &processes() { return m_processes; }
    const ProcessGroup &processes() const { return m_processes; }
    std::vector<ServiceCatalog> catalogs() const;
    static Address callerAddress(const VmRecord &vm);
    static Address operatorAddress(const VmRecord &vm);
    std::vector<Address> callerAddresses() const;
    /// Processor time that all VMs have used so far.
    Duration vmCpuTime() const;

    /// Makes one HTTP call and runs the event loop until the call ends. If no answer arrives, the
    /// result has status 0 and the reason as its body.
    static HttpAnswer call(event_base *loop, const Address &address, const HttpCall &call);
    /// Sends a command such as {"mode":"down"} to the stand-in platform. Throws std::runtime_error
    /// if the platform does not accept it.
    void controlPlatform(event_base *loop, const nlohmann::json &command) const;
    const Address &platform() const { return m_platform; }
    /// Address at which the relay accepts control commands.
    Address relayControlAddress() const { return {m_platform.host, 7100}; }

private:
    /// Starts the relay and returns the path of the deployment file for the platform, in which the
    /// VMs have the relay's addresses instead of their own.
    std::string startRelay();
    /// Throws std::runtime_error if a started process has ended, for instance because its address
    /// was in use. In that case, the answers from the address come from a process of another run.
    void requireAllRunning() const;
    /// Polls a path until the answer has status 200. Throws std::runtime_error after 30 s.
    void waitForOk(event_base *loop, const Address &address, const std::string &path) const;

    Settings m_settings;
    Address m_platform;
    Deployment m_deployment;
    ProcessGroup m_processes;
};

} // namespace pimentoward::standins
