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

/// A small deployment inside the test process: platform and backend servers on one task, VMs with
/// their own tasks, on loopback addresses of this process alone.
class TestDeployment
{
public:
    explicit TestDeployment(std::size_t vms);
    ~TestDeployment();

    const standins::ServiceShape &shape() const { return m_deployment.services.front(); }
    /// Sends one HTTP call and waits for its answer.
    HttpAnswer call(const Address &address, const HttpCall &call);
    HttpAnswer query(std::size_t vm, const std::string &body);
    HttpAnswer order(std::size_t vm, const std::string &body);
    /// Stops a VM without any farewell.
    void stopVm(std::size_t vm);
    /// The VM's state dump, as JSON text.
    std::string state(std::size_t vm);
    ControlTask &control(std::size_t vm) { return *m_vms[vm].control; }
    /// Waits until every VM is ready; false where that takes too long.
    bool waitUntilReady();

private:
    struct Vm
    {
        Address callerAddress;
        std::unique_ptr<QueryTask> query;
        std::unique_ptr<ControlTask> control;
    };

    std::string host(unsigned number) const;
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
