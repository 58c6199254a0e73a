#pragma once

#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Discovery/Discovery.h"
#include "Pimentoward/Process/ServingTask.h"
#include "platform/StoreClient.h"
#include "standins/Site.h"
#include "standins/SiteCaller.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// One VM of the tier. Its serving task runs as in production; its discovery runs on the event loop
/// of the test.
class TierNode
{
public:
    /// Changes the settings before the VM is created.
    using Adjust = std::function<void(pimentoward::ServingTaskSettings &)>;
    using AdjustDiscovery = std::function<void(pimentoward::Discovery::Settings &)>;

    TierNode(event_base *loop, const std::string &name, const std::string &domain,
             const pimentoward::Address &store, const Adjust &adjust,
             const AdjustDiscovery &adjustDiscovery);
    ~TierNode();

    pimentoward::Address address() const { return m_settings.callerListen; }
    pimentoward::ServingTask &serving() { return *m_serving; }
    /// True if the VM has settings and knows at least `backends` backend servers and `members` VMs.
    bool knowsAll(std::size_t backends, std::size_t members) const;
    pimentoward::Revision settingsRevision() const { return m_settingsRevision; }
    std::size_t backends() const { return m_backends; }
    std::size_t members() const { return m_members; }

private:
    pimentoward::SystemClock m_clock;
    pimentoward::ServingTaskSettings m_settings;
    std::unique_ptr<pimentoward::ServingTask> m_serving;
    platform::StoreClient m_store;
    pimentoward::Discovery m_discovery;
    pimentoward::Revision m_settingsRevision = 0;
    std::size_t m_backends = 0;
    std::size_t m_members = 0;
};

/// A small deployment that uses the platform's interfaces: a stand-in site, several VMs and
/// callers. Everything except the serving tasks of the VMs runs on one event loop.
class TierFixture
{
public:
    struct Settings
    {
        pimentoward::standins::Site::Settings site;
        std::size_t vms = 1;
        TierNode::Adjust adjust = [](pimentoward::ServingTaskSettings &) {};
        TierNode::AdjustDiscovery adjustDiscovery = [](pimentoward::Discovery::Settings &) {};
    };

    using Outcome = pimentoward::standins::SiteCaller::Outcome;
    struct Request : pimentoward::standins::SiteCaller::Request
    {
        std::size_t vm = 0;
    };

    explicit TierFixture(const Settings &settings);
    ~TierFixture();

    event_base *loop() const { return m_loop; }
    pimentoward::standins::Site &site() { return *m_site; }
    pimentoward::standins::KeyValueServer &store() { return m_site->store(); }
    TierNode &vm(std::size_t index) { return *m_vms.at(index); }
    /// Destroys a VM. Another one can be started in its place.
    void stopVm(std::size_t index) { m_vms.at(index).reset(); }
    void startVm(std::size_t index);
    /// Runs the loop until every VM knows all backend servers and VMs. Returns false if that takes
    /// longer than 5 s.
    bool waitUntilKnown();

    /// Sends a request. The returned outcome is filled in while the loop runs.
    Outcome &send(const Request &request)
    {
        return m_caller->send(vm(request.vm).address(), request);
    }
    const std::list<Outcome> &outcomes() const { return m_caller->outcomes(); }
    /// Sends a request and runs the loop until the request has ended, but for at most 1 s longer
    /// than its deadline.
    Outcome sendAndWait(const Request &request);
    /// Runs the loop for `time`.
    void run(std::chrono::milliseconds time);
    /// Runs the loop until all requests have ended, but for at most 5 s.
    void runUntilEnded();

private:
    Settings m_settings;
    event_base *m_loop;
    std::unique_ptr<pimentoward::standins::Site> m_site;
    std::vector<std::unique_ptr<TierNode>> m_vms;
    std::unique_ptr<pimentoward::standins::SiteCaller> m_caller;
};
