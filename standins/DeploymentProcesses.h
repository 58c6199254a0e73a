#pragma once

#include "Pimentoward/Connection/HttpConnection.h"
#include "standins/Deployment.h"
#include "standins/ProcessGroup.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// A whole deployment as real processes: one stand-in platform, one stand-in for the backend
/// servers of each failure domain, one pimentod a VM. For bench programs.
class DeploymentProcesses
{
public:
    struct Settings
    {
        /// Deployment file. Its hosts must be of the form 127.31.x.y; each run moves them to a
        /// network of its own, so that runs side by side do not meet.
        std::string file;
        /// Folder of the built programs.
        std::string programs = "build";
        std::string logFolder = "out/bench";
        /// Further flags of standin-backend and pimentod.
        std::vector<std::string> backendFlags;
        std::vector<std::string> vmFlags;
        /// Further flags of the stand-in of one failure domain.
        std::map<FailureDomain, std::vector<std::string>> domainFlags;
        /// Flags of a relay that stands before each VM's links from the other VMs, such as
        /// {"--delay-ms", "3"}; empty: no relay. Its pairs are "VM-data" and "VM-control".
        std::vector<std::string> relayFlags;
    };

    /// Reads the file; throws std::runtime_error where that fails. Starts nothing.
    explicit DeploymentProcesses(const Settings &settings);

    /// Starts everything and waits until all VMs are ready; throws std::runtime_error after 30 s.
    void start(event_base *loop);
    void startStandins(event_base *loop);
    void startVm(const VmRecord &vm);
    void waitUntilReady(event_base *loop) const;
    void stop() { m_processes.stopAll(); }

    const Deployment &deployment() const { return m_deployment; }
    ProcessGroup &processes() { return m_processes; }
    const ProcessGroup &processes() const { return m_processes; }
    std::vector<ServiceCatalog> catalogs() const;
    static Address callerAddress(const VmRecord &vm);
    static Address operatorAddress(const VmRecord &vm);
    std::vector<Address> callerAddresses() const;
    /// Processor time of all VMs so far.
    Duration vmCpuTime() const;

    /// Runs the loop for one call; status 0 and the reason's text where no answer came.
    static HttpAnswer call(event_base *loop, const Address &address, const HttpCall &call);
    /// One order to the stand-in platform, such as {"mode":"down"}; throws where it is refused.
    void controlPlatform(event_base *loop, const nlohmann::json &order) const;
    const Address &platform() const { return m_platform; }
    /// Where the relay takes orders.
    Address relayControlAddress() const { return {m_platform.host, 7100}; }

private:
    /// Starts the relay; returns the deployment file for the platform, whose VM list names the
    /// relay's addresses in place of the VMs' own.
    std::string startRelay();
    /// Throws where a process that was started has ended, such as for an address in use: what
    /// answers in its place would belong to somebody else.
    void requireAllRunning() const;
    void waitForOk(event_base *loop, const Address &address, const std::string &path) const;

    Settings m_settings;
    Address m_platform;
    Deployment m_deployment;
    ProcessGroup m_processes;
};

} // namespace pimentoward::standins
