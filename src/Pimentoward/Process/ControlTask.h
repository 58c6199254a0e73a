#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Process/ControlView.h"
#include "Pimentoward/Process/MembershipSettings.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <set>

namespace pimentoward {

/// Settings of the control task.
struct ControlTaskSettings
{
    Member self;
    Address platform;
    std::chrono::milliseconds storeCallTimeout {1000};
    Address operatorListen;
    Address peerListen;
    MembershipSettings membership;
};

/// The task that exchanges control state with the platform's store and the other VMs: VM list,
/// services, membership, ownership and settings. It publishes a ControlView after each change and
/// periodically.
class ControlTask
{
public:
    using ViewHook = std::function<void(std::shared_ptr<const ControlView>)>;
    using DumpHook = std::function<void(const nlohmann::json &)>;
    /// Requests the state of the query task. The DumpHook passed to it may run on any thread.
    using QueryDumpHook = std::function<void(DumpHook)>;
    /// Receives the sequence number of the view that the query task uses, and the backend servers
    /// at which work of this VM may still run.
    using BusyReportHook
        = std::function<void(std::uint64_t sequence, const std::set<BackendServerId> &busy)>;

    /// Connects the control task to the query task.
    struct Hooks
    {
        /// Receives each new view. Runs on the control task.
        ViewHook publish;
        QueryDumpHook queryDump;
        /// Requests a busy report. The BusyReportHook passed to it may run on any thread.
        std::function<void(BusyReportHook)> queryBusyReport;
    };

    ControlTask(const ControlTaskSettings &settings, const Clock &clock, Hooks hooks);
    ~ControlTask();
    ControlTask(const ControlTask &) = delete;
    ControlTask &operator=(const ControlTask &) = delete;

    /// Binds the operator and peer addresses. Must be called before start().
    bool listen(Reason &reason);
    void start();
    void stop();
    /// Starts to leave the group: refuses new caller requests, notifies the other members and hands
    /// over all owned backend servers. `done` runs on the control task once this VM holds none or
    /// is no longer a member. May be called from any thread.
    void postLeave(std::function<void()> done);
    /// Collects the state of the control and query tasks and passes it to `hook`. May be called
    /// from any thread.
    void postDump(DumpHook hook);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
