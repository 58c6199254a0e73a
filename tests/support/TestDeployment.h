#pragma once

#include "Pimentoward/Connection/HttpAnswer.h"
#include "Pimentoward/Connection/HttpCall.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/ControlTask.h"
#include "Pimentoward/Process/QueryTask.h"
#include "Pimentoward/Process/Task.h"
#include "standins/BackendServerProcess.h"
#include "standins/Deployment.h"
#include "standins/PlatformServer.h"

#include <memory>
#include <string>
#include <vector>

namespace pimentoward::tests {

/// A small deployment inside the test process. The platform and the backend servers share one task,
/// and each VM has its own tasks. All of them listen on loopback addresses that depend on the
/// process ID.
class TestDeployment
{
public:
    explicit TestDeployment(std::size_t vms);
    ~TestDeployment();

    const standins::ServiceSpec &serviceSpec() const { return m_deployment.services.front(); }
    /// Sends one HTTP call and waits for its answer. If there is none, returns status 0 and the
    /// reason as the body.
    HttpAnswer call(const Address &address, const HttpCall &call);
    /// Sends a query to a VM and waits up to 30 s for its answer.
    HttpAnswer query(std::size_t vm, const std::string &body);
    /// Sends an order to a VM and waits up to 30 s for its answer.
    HttpAnswer order(std::size_t vm, const std::string &body);
    /// Stops a VM without an announcement to the other members.
    void stopVm(std::size_t vm);
    /// Returns the VM's state dump as JSON text.
    std::string state(std::size_t vm);
    ControlTask &control(std::size_t vm) { return *m_vms[vm].control; }
    /// Waits up to 30 s until every VM is ready. Returns false if the time has run out.
    bool waitUntilReady();

private:
    struct Vm
    {
        Address callerAddress;
        std::unique_ptr<QueryTask> query;
        std::unique_ptr<ControlTask> control;
    };

    void startStandins();
    void startVm(const VmRecord &record);

    SystemClock m_clock;
    standins::Deployment m_deployment;
    Task m_standinTask {"standins"};
    Task m_callerTask {"caller"};
    std::unique_ptr<standins::PlatformServer> m_platform;
    std::vector<std::unique_ptr<standins::BackendServerProcess>> m_backends;
    std::vector<Vm> m_vms;
};

} // namespace pimentoward::tests
